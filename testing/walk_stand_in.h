// A small fleet for the walk of the protocol (fleet_walk_test): the product's
// dispatcher against a model of the store and the workers that follows the
// platform's pages, with faults by a seed and a judge that sees what the model
// workers do.
//
//   World world(loop, 17, LeftOut::kNothing);
//   while (!world.IsFinished()) uv_run(loop, UV_RUN_ONCE);
//   for (const auto& violation : world.violations()) ...

#ifndef LENTILSCALE_TESTING_WALK_STAND_IN_H_
#define LENTILSCALE_TESTING_WALK_STAND_IN_H_

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fleet/dispatcher.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {

// The rule that a variant leaves out.
enum class LeftOut {
  kNothing,
  // Workers refuse the orders of earlier owners.
  kFencing,
  // An end is acknowledged only when the store holds it.
  kRecordFirst,
  // A start without an answer is ruled out by a stop that was answered.
  kAnsweredStop,
  // What runs on a silent worker ends with its lease.
  kLeases,
  // A write holds only under its conditions.
  kConditions,
  // A new owner waits for the workers of the previous one.
  kUnclaimedWorkers,
};

// Time that a stop takes at most.
inline constexpr Millis kModelStopMs = 20;
// Workers shorten longer leases.
inline constexpr Millis kModelMaxLeaseMs = 800;

class World;

// The store; all owners of a world share it.
class ModelStore : public RecordStore {
 public:
  explicit ModelStore(World* world) : world_(world) {}

  auto Read(const std::string& key, ReadCallback callback) -> void override;
  auto ReadPrefix(const std::string& prefix, ReadCallback callback)
      -> void override;
  auto Watch(const std::string& prefix, std::int64_t after_revision,
             Millis wait_ms, ReadCallback callback) -> void override;
  auto Commit(const Transaction& transaction, CommitCallback callback)
      -> void override;
  auto GrantLease(Millis, LeaseCallback) -> void override {}
  auto RenewLease(std::int64_t, LeaseCallback) -> void override {}
  auto RevokeLease(std::int64_t) -> void override {}

  auto Put(const std::string& key, const std::string& value) -> std::int64_t;
  auto Get(const std::string& key) const -> std::string;
  bool is_down_ = false;
  bool loses_answers_ = false;

 private:
  auto Apply(const Transaction& transaction) -> CommitResult;
  auto Look(const std::string& prefix, std::int64_t after) const -> ReadResult;
  auto PollWatch(const std::string& prefix, std::int64_t after, Millis until_ms,
                 ReadCallback callback) -> void;

  World* world_;
  std::int64_t revision_ = 1;
  std::map<std::string, Record> records_;
};

struct ModelRun {
  std::int64_t run_ = 0;
  Millis ends_ms_ = 0;
  RunEnd end_ = RunEnd::kDone;
};

// One worker; a crash begins a new life.
struct ModelWorker {
  std::string id_;
  std::int64_t born_ms_ = 0;
  Millis life_began_ms_ = 0;
  double clock_rate_ = 1;
  std::int64_t token_ = 0;
  Millis deadline_ms_ = 0;
  bool is_cut_ = false;
  bool is_lossy_ = false;
  // Between two lives: connections are refused.
  bool is_down_ = false;
  std::map<std::string, ModelRun> running_;
  std::map<std::string, std::int64_t> closed_runs_;
  std::vector<EndedRun> ended_;
  std::int64_t next_end_ = 1;

  auto ClockMs() const -> Millis {
    return static_cast<Millis>(
        static_cast<double>(MonotonicMs() - life_began_ms_) * clock_rate_);
  }
  // Extends the lease, at most to the longest one.
  auto TakeLease(Millis end_ms) -> void {
    deadline_ms_ =
        std::max(deadline_ms_, std::min(end_ms, ClockMs() + kModelMaxLeaseMs));
  }
};

// Calls to the model workers; all owners of a world share it.
class ModelGateway : public WorkerGateway {
 public:
  explicit ModelGateway(World* world) : world_(world) {}

  auto Start(const WorkerEntry& worker, const StartOrder& order,
             OrderCallback callback) -> void override;
  auto Stop(const WorkerEntry& worker, const RunRef& run,
            std::int64_t fencing_token, OrderCallback callback)
      -> void override;
  auto Hold(const WorkerEntry& worker, const HoldOrder& order,
            HoldCallback callback) -> void override;
  auto Pace(const WorkerEntry&, const RunRef&, int, std::int64_t, OrderCallback)
      -> void override {}

 private:
  // Delivers an order, perhaps late or not at all, and its answer.
  auto Deliver(const std::string& worker_id,
               std::function<OrderResult(ModelWorker&)> order,
               OrderCallback callback) -> void;
  auto PollHold(const std::string& worker_id, std::int64_t born_ms,
                const HoldOrder& order, Millis sent_ms, Millis until_ms,
                HoldCallback callback) -> void;

  World* world_;
};

// What happened to a task, as the judge saw it.
struct TaskHistory {
  bool is_done_ = false;
  bool is_done_acknowledged_ = false;
  int failures_acknowledged_ = 0;
  // Ends `done` after which the task was started again: by worker, life and
  // number.
  std::set<std::tuple<std::string, std::int64_t, std::int64_t>> overtaken_;
  std::set<std::tuple<std::string, std::int64_t, std::int64_t>> done_ends_;
  // What happened, for a violation's message.
  std::string story_;
};

// One fleet with its faults and its judge.
class World {
 public:
  World(uv_loop_t* loop, unsigned seed, LeftOut left_out);
  auto loop() -> uv_loop_t* { return loop_; }
  auto left_out() const -> LeftOut { return left_out_; }
  auto worker(const std::string& id) -> ModelWorker& { return workers_.at(id); }
  auto violations() const -> const std::vector<std::string>&;
  auto seed() const -> unsigned { return seed_; }
  auto IsFinished() const -> bool { return is_finished_; }

  auto Chance(double probability) -> bool;
  auto Between(int low, int high) -> int;
  // Some tasks outlast a lease, so that it matters that they end with it.
  auto TaskMs() -> Millis;
  auto Later(Millis delay_ms, std::function<void()> action) -> void;

  // The judge.
  // Notes a broken promise.
  auto Violate(const std::string& text) -> void;
  // Notes what happened to a task, for a violation's message.
  auto Tell(const std::string& task, const std::string& text) -> void;
  // Returns what happened to the fleet, for a violation's message.
  auto FleetStory() const -> std::string;
  auto OnStart(ModelWorker& worker, const RunRef& ref, std::int64_t token)
      -> void;
  auto OnEnd(ModelWorker& worker, const EndedRun& end) -> void;
  auto OnAcknowledged(ModelWorker& worker, const EndedRun& end) -> void;

  // A lease that lapsed excuses what is acknowledged later.
  auto OnLapse(ModelWorker& worker) -> void;

  // The workers' own course.
  auto Finish(ModelWorker& worker, const std::string& task, RunEnd how) -> void;

 private:
  struct OwnerProcess {
    bool has_rights_ = true;
    // When the rights end, once that is decided.
    Millis rights_end_ms_ = kNeverMs;
    std::unique_ptr<Dispatcher> dispatcher_;
    FleetMetrics metrics_;
  };
  auto BeginLife(ModelWorker& worker) -> void;

  // A new process claims the fleet; the previous one keeps its rights for a
  // while if it was paused, and is told nothing.
  auto TakeOver() -> void;
  auto ReplaceOwner() -> void;
  auto CauseFault() -> void;
  auto Submit() -> void;
  auto EndLease(ModelWorker& worker) -> void;
  auto TickWorker(ModelWorker& worker, Millis now_ms) -> void;
  auto Tick() -> void;
  auto CheckEnd() -> void;

  uv_loop_t* loop_;
  unsigned seed_;
  std::mt19937 random_;
  LeftOut left_out_;
  ModelStore store_;
  ModelGateway gateway_;
  AdviceBalancer advice_;
  Millis began_ms_;
  std::shared_ptr<const FleetConfig> config_;
  std::map<std::string, ModelWorker> workers_;
  std::int64_t last_born_ms_ = 0;
  std::int64_t epoch_ = 0;
  std::vector<std::shared_ptr<OwnerProcess>> owners_;
  bool is_replacing_ = false;
  // Tasks by step of each job.
  std::map<std::string, std::vector<int>> jobs_;
  std::map<std::string, TaskHistory> histories_;
  std::vector<std::string> violations_;
  bool is_finished_ = false;
  Millis next_fault_ms_ = 0;
  Millis last_tick_ms_ = MonotonicMs();
  std::unique_ptr<RepeatingTimer> tick_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_TESTING_WALK_STAND_IN_H_
