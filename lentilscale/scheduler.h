// The scheduler of one service on one instance. It queues work by team, divides
// capacity by weighted fair shares, enforces team limits and chooses workers.
// It does no I/O and reads no clock; the caller passes the time.
//
//   Scheduler scheduler(options);
//   scheduler.AddWorker({"w1", "photo/a/0", "rack-1", "a", capacity});
//   scheduler.SetOpen("w1", true);
//   scheduler.SetTeamWeight("acme", 3);
//   scheduler.SetTeamLimit("acme", "photo/a/0", 10);
//   scheduler.Enqueue(item);
//   for (const auto& item : scheduler.RemoveExpired(now)) { ... refuse ... }
//   for (const auto& placement : scheduler.Place(now, 64)) { ... start ... }
//   ...
//   scheduler.Release(task_key);
//
// The fair policy serves lanes in this order:
//   1. Urgent work, unless its team's average use far exceeds its entitled
//      share.
//   2. Lanes of teams below their share, before those at or above it.
//   3. Calls, then services, then batch work.
//   4. The team that uses least in proportion to its weight.
//
// In step 2, urgent work and calls compare the team's decayed average use with
// its share, other lanes the current use. A burst of short calls therefore does
// not wait behind batch work.
//
// An item with a deadline leaves the queue when it could no longer be expected
// to end in time, so that what is started under overload is of use.

#ifndef LENTILSCALE_SCHEDULER_H_
#define LENTILSCALE_SCHEDULER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
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

// Determines the order of the queue and the choice of workers.
enum class Policy { kFair, kFirstFit, kRandom };

// Returns the policy named `name`, or kFair if there is none.
auto PolicyFromName(std::string_view name) -> Policy;

// A worker's identity, location and capacity.
struct SchedulerWorker {
  std::string id_;
  std::string shard_;
  std::string rack_;
  std::string data_centre_;
  Resources capacity_;
};

// A task or call that waits for a worker.
struct WorkItem {
  // Unique on this instance; also the key of the item's allocation.
  std::string key_;
  Lane lane_ = Lane::kBatch;
  std::string team_;
  Resources need_;
  // The job or deployment. Service tasks of one group are spread over workers.
  std::string group_;
  Millis enqueued_ms_ = 0;
  // The item must have ended by this time to be of use; 0 means no deadline.
  Millis deadline_ms_ = 0;
  // Time that the item is expected to take from its start; 0 if unknown.
  Millis expected_run_ms_ = 0;

  // Returns the time from which on the item is not started; 0 means never. It
  // leaves the expected time until the deadline, but each item may wait for a
  // slot for a short time, whatever is expected of it.
  auto LatestStartMs() const -> Millis;
};

// The resources of a worker that a task or call holds.
struct Allocation {
  std::string worker_;
  std::string team_;
  std::string group_;
  Lane lane_ = Lane::kBatch;
  Resources need_;
  Millis started_ms_ = 0;
  // False for work that must not be preempted, such as calls, and for work that
  // is already being stopped.
  bool is_preemptible_ = false;
};

// A decision to start an item on a worker.
struct Placement {
  WorkItem item_;
  std::string worker_;
};

// Why an item has not been placed.
enum class WaitReason {
  kNotQueued,
  kNoOpenWorker,
  kNoCapacity,
  kTeamLimitReached,
  kBehindOthers,
};

// Returns a description of the reason for people to read.
auto WaitReasonText(WaitReason reason) -> std::string_view;

// Waiting work of a team that has reached its limit in a shard with free
// workers.
struct LimitDemand {
  std::string team_;
  // The shard of the open worker with the most free slots that could run it.
  std::string shard_;
  std::int64_t waiting_count_ = 0;
  Millis oldest_enqueued_ms_ = 0;
};

// Use and demand of one team, for reports.
struct TeamLoad {
  std::string team_;
  std::int64_t running_count_ = 0;
  std::int64_t waiting_count_ = 0;
  // The dominant share of the capacity of open workers that is in use.
  double share_in_use_ = 0;
  // The share that the team is entitled to, given all teams' demand.
  double entitled_share_ = 0;
};

// Queues items, chooses workers for them and tracks allocations.
class Scheduler {
 public:
  struct Options {
    Policy policy_ = Policy::kFair;
    // Half-life of the decayed average use in fair ordering.
    Millis usage_half_life_ms_ = 10000;
    // Items at the front of a lane, the head included, that the fair policy
    // tries in order until one fits.
    std::size_t backfill_depth_ = 8;
    std::uint64_t seed_ = 1;
  };

  explicit Scheduler(const Options& options);

  auto AddWorker(const SchedulerWorker& worker) -> void;
  // Removes a worker and releases its allocations.
  auto RemoveWorker(const std::string& id) -> void;
  // Opens or closes a worker for new work.
  auto SetOpen(const std::string& id, bool is_open) -> void;
  auto HasWorker(const std::string& id) const -> bool;

  // Sets a team's weight in fair ordering, which is its configured share.
  auto SetTeamWeight(const std::string& team, std::int64_t weight) -> void;
  // Sets how many tasks of a team may run in a shard.
  auto SetTeamLimit(const std::string& team, const std::string& shard,
                    std::int64_t limit) -> void;

  // Returns false if `item`, queued now, would be too late by the pace at which
  // its lane was served of late.
  auto CanStartInTime(const WorkItem& item, Millis now) const -> bool;
  auto Enqueue(const WorkItem& item) -> void;
  // Removes an item from the queue. Returns false if it is not queued.
  auto Dequeue(const std::string& key) -> bool;
  // Removes and returns the items that are too late to be started. Is called
  // before each Place.
  auto RemoveExpired(Millis now) -> std::vector<WorkItem>;

  // Removes up to `max` items from the queue, allocates workers to them and
  // returns the placements.
  auto Place(Millis now, std::size_t max) -> std::vector<Placement>;

  // Places one item that is not in the queue. Used to reserve capacity for the
  // tasks of an all-at-once job.
  auto PlaceUnqueued(const WorkItem& item, Millis now)
      -> std::optional<Placement>;

  // Records an allocation, also of work that was found running on a worker.
  // It may exceed the team's limit and the worker's capacity, since such work
  // already runs.
  auto RecordAllocation(const std::string& key, const Allocation& allocation,
                        Millis now) -> void;
  auto Release(const std::string& key, Millis now) -> void;
  auto FindAllocation(const std::string& key) const -> const Allocation*;
  auto AllocationsOn(const std::string& worker) const
      -> std::vector<std::string>;
  // Releases allocation `key` and allocates its worker to `item`, without
  // checking that `item` fits. Returns nothing if there is no such allocation.
  auto ReplaceAllocation(const std::string& key, const WorkItem& item,
                         Millis now) -> std::optional<Placement>;

  // Returns the allocations on one worker to preempt so that `item` fits there,
  // chosen for the least run time lost. Returns none if no worker qualifies.
  auto ChooseVictims(const WorkItem& item, Millis now) const
      -> std::vector<std::string>;

  // Returns the queued urgent items, in queue order within each team.
  auto UrgentItems() const -> std::vector<WorkItem>;
  // Excludes an allocation that is being stopped from ChooseVictims.
  auto MarkStopping(const std::string& key) -> void;

  // Returns a team's youngest service and batch allocations in a shard, as many
  // as the team has above its limit there.
  auto AllocationsOverLimit(const std::string& team,
                            const std::string& shard) const
      -> std::vector<std::string>;

  // Returns the demand of each team whose oldest lane head fits on an open
  // worker of a shard where the team is at its limit. The count covers all
  // queued items of the team.
  auto LimitDemands() const -> std::vector<LimitDemand>;
  // Returns the demand of `count` further items like `item`, if `item` fits on
  // an open worker of a shard where the team is at its limit.
  auto LimitDemandFor(const WorkItem& item, std::int64_t count) const
      -> std::optional<LimitDemand>;
  // Returns why the item `key` has not been placed.
  auto Explain(const std::string& key) const -> WaitReason;
  auto TeamLoads(Millis now) -> std::vector<TeamLoad>;

  auto QueueSize() const -> std::int64_t { return queue_size_; }
  auto QueueSize(const std::string& team) const -> std::int64_t;
  auto RunningInShard(const std::string& team, const std::string& shard) const
      -> std::int64_t;
  auto FreeSlots() const -> std::int64_t { return open_free_slots_; }
  auto OpenCapacity() const -> Resources { return open_capacity_; }
  auto OpenCapacityInUse() const -> Resources;
  // Returns the maximum of each resource over the capacities of all workers.
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
    // Value of `change_count_` when no tried item of the lane could be placed;
    // 0 if the lane has to be tried.
    std::uint64_t blocked_at_change_ = 0;
    // Decayed mean of the time between two placements while items wait.
    double mean_interval_ms_ = 0;
    // When the last item was placed, or the first one joined the empty lane.
    Millis served_ms_ = 0;
  };

  struct TeamState {
    std::string name_;
    std::int64_t weight_ = 1;
    std::array<LaneQueue, kLaneCount> lanes_;
    std::int64_t waiting_count_ = 0;
    Resources waiting_need_;
    Resources running_need_;
    std::int64_t running_count_ = 0;
    // The two lists below are indexed by shard.
    std::vector<std::int64_t> limit_by_shard_;
    std::vector<std::int64_t> running_by_shard_;
    // Decayed average of the team's dominant share.
    double average_share_ = 0;
    Millis average_updated_ms_ = 0;
    bool has_reached_entitled_share_ = false;
    // The decayed average is at or above the team's share by weight, which,
    // unlike the entitled share, its demand does not cap.
    bool has_average_reached_fair_share_ = false;
    double entitled_share_ = 0;
  };

  struct TeamLane {
    TeamState* team_ = nullptr;
    std::size_t lane_ = 0;
  };

  // Running service tasks of a group by worker, rack and data centre.
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
  // Returns the time that `item` would wait in its lane if it were queued now.
  auto ExpectedWaitMs(const WorkItem& item) const -> Millis;
  // Follows the pace of a lane of which an item has been placed.
  static auto RecordServed(LaneQueue& lane, Millis now) -> void;
  // Removes an item that is queued from all records of the queue.
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
  // The queued items that have a latest start, by it.
  std::set<std::pair<Millis, std::string>> latest_starts_;
  std::unordered_map<std::string, Allocation> allocations_;
  std::unordered_map<std::string, GroupCounts> groups_;
  Resources open_capacity_;
  std::int64_t open_free_slots_ = 0;
  std::int64_t queue_size_ = 0;
  // Incremented by each change that could unblock a lane: released resources,
  // an opened worker or a raised limit.
  std::uint64_t change_count_ = 1;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_SCHEDULER_H_
