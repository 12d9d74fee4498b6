// The scheduler of one service on one instance: queues by team, fair shares,
// limits and placement. It does no I/O and reads no clock:
//
//   Scheduler scheduler(options);
//   scheduler.AddWorker({"w1", "photo/a/0", "rack-1", "a", capacity});
//   scheduler.SetOpen("w1", true);
//   scheduler.SetShare("acme", 3);
//   scheduler.SetUsable("acme", "photo/a/0", 10);
//   scheduler.Enqueue(item);
//   for (const auto& placement : scheduler.Place(now, 64)) { ... start ... }
//   ...
//   scheduler.Release(task_key);
//
// Order of work under the fair policy: urgent work first; then teams below
// their entitled share before teams above it; then calls before services
// before batch work; then the team with the least use for its share. For calls
// the use that counts is the decayed average, so that a burst of short calls
// does not wait behind batch work.

#ifndef LENTILSCALE_SCHEDULER_H_
#define LENTILSCALE_SCHEDULER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lentilscale/clock.h"
#include "lentilscale/placement.h"
#include "lentilscale/resources.h"

namespace lentilscale {

// Classes of work, in order of precedence.
enum class Lane { kUrgent, kCall, kService, kBatch };
constexpr std::size_t kLaneCount = 4;

// Returns the lane's name in metrics and answers.
auto LaneName(Lane lane) -> std::string_view;

// How the queue is ordered and workers are chosen.
enum class Policy { kFair, kFirstFit, kRandom };

// Returns the policy named `name`, or kFair.
auto PolicyFromName(std::string_view name) -> Policy;

// A worker as the scheduler knows it.
struct SchedulerWorker {
  std::string id_;
  std::string shard_;
  std::string rack_;
  std::string data_centre_;
  Resources capacity_;
};

// A task or call that waits for a worker.
struct WorkItem {
  // Unique on this instance; becomes the occupant's key.
  std::string key_;
  Lane lane_ = Lane::kBatch;
  std::string team_;
  Resources need_;
  // Job or deployment, for spreading.
  std::string group_;
  Millis enqueued_ms_ = 0;
  // Time after which the item is not started any more; 0 means never.
  Millis deadline_ms_ = 0;
};

// A task or call on a worker.
struct Allocation {
  std::string worker_;
  std::string team_;
  std::string group_;
  Lane lane_ = Lane::kBatch;
  Resources need_;
  Millis started_ms_ = 0;
  // False for work that must not be stopped, such as calls.
  bool is_preemptible_ = false;
};

// A decision to start an item on a worker.
struct Placement {
  WorkItem item_;
  std::string worker_;
};

// Why an item waits.
enum class WaitReason {
  kNotQueued,
  kNoOpenWorker,
  kNoCapacity,
  kTeamLimitReached,
  kBehindOthers,
};

// Returns the reason's text for a person.
auto WaitReasonText(WaitReason reason) -> std::string_view;

// A team that waits only because its holdings here are used up.
struct LimitDemand {
  std::string team_;
  // An owned shard with room for it.
  std::string shard_;
  std::int64_t waiting_count_ = 0;
  Millis oldest_enqueued_ms_ = 0;
};

// Use and demand of one team, for reports.
struct TeamLoad {
  std::string team_;
  std::int64_t running_count_ = 0;
  std::int64_t waiting_count_ = 0;
  // Dominant share of this instance's capacity in use.
  double share_in_use_ = 0;
  // What it would be entitled to now.
  double entitled_share_ = 0;
};

// The scheduler.
class Scheduler {
 public:
  struct Options {
    Policy policy_ = Policy::kFair;
    // Half-life of the usage that fair ordering remembers.
    Millis usage_half_life_ms_ = 10000;
    // Items behind the head of a lane that are tried when the head does not
    // fit.
    std::size_t backfill_depth_ = 8;
    std::uint64_t seed_ = 1;
  };

  explicit Scheduler(const Options& options);

  auto AddWorker(const SchedulerWorker& worker) -> void;
  // Removes a worker and its occupants.
  auto RemoveWorker(const std::string& id) -> void;
  // Opens or closes a worker for new work.
  auto SetOpen(const std::string& id, bool is_open) -> void;
  auto HasWorker(const std::string& id) const -> bool;

  auto SetTeamWeight(const std::string& team, std::int64_t weight) -> void;
  // Sets how many tasks of a team may run in a shard.
  auto SetTeamLimit(const std::string& team, const std::string& shard,
                    std::int64_t limit) -> void;

  auto Enqueue(const WorkItem& item) -> void;
  // Takes an item out of the queue; returns false if it is not there.
  auto Dequeue(const std::string& key) -> bool;
  // Takes out and returns items whose deadline has passed.
  auto RemoveExpired(Millis now) -> std::vector<WorkItem>;

  // Starts up to `max` items: chooses, occupies and returns them.
  auto Place(Millis now, std::size_t max) -> std::vector<Placement>;

  // Places one item outside the queue, for holds of all-at-once jobs.
  auto PlaceUnqueued(const WorkItem& item, Millis now)
      -> std::optional<Placement>;

  // Records an occupant that was found running. It may exceed limits and
  // room, since it is a fact.
  auto RecordAllocation(const std::string& key, const Allocation& allocation,
                        Millis now) -> void;
  auto Release(const std::string& key, Millis now) -> void;
  auto FindAllocation(const std::string& key) const -> const Allocation*;
  auto AllocationsOn(const std::string& worker) const
      -> std::vector<std::string>;
  // Gives the room of occupant `hold` to `item`.
  auto ReplaceAllocation(const std::string& key, const WorkItem& item,
                         Millis now) -> std::optional<Placement>;

  // Returns occupants whose stopping would make room for `item` at the least
  // loss of work, or nothing if that is impossible.
  auto ChooseVictims(const WorkItem& item, Millis now) const
      -> std::vector<std::string>;

  // Returns urgent items that wait, oldest first within each team.
  auto UrgentItems() const -> std::vector<WorkItem>;
  // Excludes an occupant that is being stopped from further choices.
  auto MarkStopping(const std::string& key) -> void;

  // Returns the youngest stoppable occupants of a team in a shard that exceed
  // what it may use.
  auto AllocationsOverLimit(const std::string& team,
                            const std::string& shard) const
      -> std::vector<std::string>;

  auto LimitDemands() const -> std::vector<LimitDemand>;
  // Returns the demand of `count` further items like `item`, if only the limit
  // stands against them.
  auto LimitDemandFor(const WorkItem& item, std::int64_t count) const
      -> std::optional<LimitDemand>;
  auto Explain(const std::string& key) const -> WaitReason;
  auto TeamLoads(Millis now) -> std::vector<TeamLoad>;

  auto QueueSize() const -> std::int64_t { return queue_size_; }
  auto QueueSize(const std::string& team) const -> std::int64_t;
  auto RunningInShard(const std::string& team, const std::string& shard) const
      -> std::int64_t;
  auto FreeSlots() const -> std::int64_t { return open_free_slots_; }
  auto OpenCapacity() const -> Resources { return open_capacity_; }
  auto OpenCapacityInUse() const -> Resources;
  // Returns the largest capacity of any worker by resource.
  auto MaxWorkerCapacity() const -> Resources;

 private:
  using Index = std::uint32_t;

  struct WorkerState {
    SchedulerWorker info_;
    Index shard_ = 0;
    Index rack_ = 0;
    Index data_centre_ = 0;
    Resources free_;
    bool is_open_ = false;
    bool is_present_ = false;
    std::vector<std::string> allocations_;
  };

  struct LaneQueue {
    std::deque<std::string> keys_;
    // Value of the change counter when nothing of the lane could be placed.
    std::uint64_t blocked_at_change_ = 0;
  };

  struct TeamState {
    std::string name_;
    std::int64_t weight_ = 1;
    std::array<LaneQueue, kLaneCount> lanes_;
    std::int64_t waiting_count_ = 0;
    Resources waiting_need_;
    Resources running_need_;
    std::int64_t running_count_ = 0;
    // By shard index.
    std::vector<std::int64_t> limit_by_shard_;
    std::vector<std::int64_t> running_by_shard_;
    // Decayed average of the dominant share.
    double average_share_ = 0;
    Millis average_updated_ms_ = 0;
    bool has_reached_entitled_share_ = false;
    // The decayed average is above the team's part of the capacity.
    bool has_average_reached_fair_share_ = false;
    double entitled_share_ = 0;
  };

  struct TeamLane {
    TeamState* team_ = nullptr;
    std::size_t lane_ = 0;
  };

  // Counts of a group by place, for spreading.
  struct GroupCounts {
    std::map<Index, std::int64_t> by_worker_;
    std::map<Index, std::int64_t> by_rack_;
    std::map<Index, std::int64_t> by_data_centre_;
  };

  // Returns the value at `index`, or 0 if the list is shorter.
  static auto AtOrZero(const std::vector<std::int64_t>& values,
                       std::size_t index) -> std::int64_t {
    return index < values.size() ? values[index] : 0;
  }
  auto GetOrAddTeam(const std::string& name) -> TeamState&;
  auto GetOrAddIndex(std::map<std::string, Index, std::less<>>& names,
                     const std::string& name) -> Index;
  auto CurrentShare(const TeamState& team) const -> double;
  auto UpdateAverage(TeamState& team, Millis now) const -> void;
  auto UpdateEntitledShares() -> void;
  auto ChooseNextLane() -> TeamLane;
  auto IsServedBefore(const TeamLane& a, const TeamLane& b) const -> bool;
  static auto HasReachedShare(const TeamLane& team_lane) -> bool;
  auto IsBlocked(const LaneQueue& lane) const -> bool;
  auto PlacementRuleFor(Lane lane) const -> PlacementRule;
  auto FindBestWorker(const TeamState& team, const WorkItem& item)
      -> std::optional<Index>;
  auto MakeCandidate(const WorkerState& worker, Index index,
                     const WorkItem& item, const GroupCounts* group)
      -> PlacementCandidate;
  auto IsBelowTeamLimit(const TeamState& team, Index shard) const -> bool;
  auto TryPlaceFromLane(const TeamLane& team_lane, Millis now)
      -> std::optional<Placement>;
  auto AllocateItem(const WorkItem& item, Index worker, Millis now)
      -> Placement;
  auto RemoveFromLane(const WorkItem& item) -> void;
  auto UpdateGroupCounts(const Allocation& allocation, Index worker,
                         std::int64_t change) -> void;

  Options options_;
  std::mt19937_64 random_;
  std::vector<WorkerState> workers_;
  std::map<std::string, Index, std::less<>> worker_index_;
  std::map<std::string, Index, std::less<>> shard_index_;
  std::map<std::string, Index, std::less<>> rack_index_;
  std::map<std::string, Index, std::less<>> data_centre_index_;
  std::map<std::string, TeamState, std::less<>> teams_;
  std::unordered_map<std::string, WorkItem> items_;
  std::unordered_map<std::string, Allocation> allocations_;
  std::unordered_map<std::string, GroupCounts> groups_;
  Resources open_capacity_;
  std::int64_t open_free_slots_ = 0;
  std::int64_t queue_size_ = 0;
  // Grows whenever something changed that could unblock a lane.
  std::uint64_t change_count_ = 1;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_SCHEDULER_H_
