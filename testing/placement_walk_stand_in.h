// A fleet on a simulated clock for the walk of placement (placement_walk_test):
// the product's dispatcher and advice balancer against a model of the store,
// the workers and the advice service. Tasks have what placement has to weigh:
// gangs, advice with tickets, team limits, limits per worker, labels and tasks
// that last. Workers fail, drain, return as another kind; owners follow each
// other.
//
// The judge looks only at the model. It names each task that waited although
// the users' rule LOST says that it must run, each start beyond a worker's
// room or limit, and each task that runs twice:
//
//   PlacementWorld world(loop, 17, PlacementGap::kNothing);
//   ... run the loop until world.IsFinished() ...
//   for (const auto& violation : world.violations()) ...
//
// All times are those of the product, so the clock must be simulated. Nothing
// but the seed decides the course.

#ifndef LENTILSCALE_TESTING_PLACEMENT_WALK_STAND_IN_H_
#define LENTILSCALE_TESTING_PLACEMENT_WALK_STAND_IN_H_

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet/dispatcher.h"
#include "lentilscale/timer.h"
#include "testing/simulated_store_stand_in.h"

namespace lentilscale::fleet {

// What a variant of the world withholds from the dispatcher.
enum class PlacementGap {
  kNothing,
  // Some advice calls are never answered, not even by their time-out.
  kAdviceAnswers,
  // Some Hold calls are never answered, not even by their time-out.
  kHoldAnswers,
};

class PlacementWorld;

// A run on a model worker.
struct PlacementRun {
  std::int64_t run_ = 0;
  const Step* step_ = nullptr;
  std::string step_name_;
  std::string team_;
  Millis arrived_ms_ = 0;
  // Length of the run's work, and how it ends then.
  Millis work_ms_ = 0;
  RunEnd end_ = RunEnd::kDone;
  // 0 while a gang waits for its members.
  Millis ends_ms_ = 0;
};

struct PlacementWorker {
  WorkerEntry entry_;
  Millis life_began_ms_ = 0;
  double clock_rate_ = 1;
  std::int64_t token_ = 0;
  Millis deadline_ms_ = 0;
  bool is_down_ = false;
  // Left for good; another worker may answer at its address.
  bool is_gone_ = false;
  bool is_cut_ = false;
  bool is_failing_ = false;
  double start_loss_ = 0;
  // The judge counts the worker's room only when it was sound for a while.
  Millis sound_since_ms_ = 0;
  std::map<std::string, PlacementRun> running_;
  std::map<std::string, std::int64_t> closed_runs_;
  std::vector<EndedRun> ended_;
  std::int64_t next_end_ = 1;

  auto ClockMs() const -> Millis;
  // Extends the lease, at most to the longest one.
  auto TakeLease(Millis end_ms) -> void;
  auto Used() const -> Resources;
  auto IsReachable() const -> bool { return !is_down_ && !is_cut_; }
};

class PlacementGateway : public WorkerGateway {
 public:
  explicit PlacementGateway(PlacementWorld* world) : world_(world) {}

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
  auto Deliver(const std::string& worker_id, bool may_be_lost,
               std::function<OrderResult(PlacementWorker&)> order,
               OrderCallback callback) -> void;
  auto PollHold(const std::string& worker_id, std::int64_t born_ms,
                Millis sent_ms, Millis until_ms, HoldCallback callback) -> void;

  PlacementWorld* world_;
};

// The advice service, as one instance calls it.
class PlacementAdvice : public AdviceGateway {
 public:
  explicit PlacementAdvice(PlacementWorld* world) : world_(world) {}

  auto RequestAdvice(const std::string& step,
                     const std::vector<std::string>& workers,
                     Millis expected_ms, Callback callback) -> void override;
  bool is_down_ = false;

 private:
  PlacementWorld* world_;
  // When the service has answered this instance's earlier calls.
  Millis free_at_ms_ = 0;
};

class PlacementWorld : public SimulatedEvents {
 public:
  PlacementWorld(uv_loop_t* loop, unsigned seed, PlacementGap gap);

  auto gap() const -> PlacementGap { return gap_; }
  auto IsFinished() const -> bool { return is_finished_; }
  auto violations() const -> const std::vector<std::string>& {
    return violations_;
  }
  auto starts() const -> int { return starts_; }

  auto worker(const std::string& id) -> PlacementWorker& {
    return workers_.at(id);
  }

  // Returns the queue whose job the step name or task name belongs to.
  auto QueueOf(const std::string& name) const -> const Queue*;
  // Returns true if the advice service allows the step on the worker.
  auto IsAllowed(const std::string& step_name, const std::string& worker) const
      -> bool;
  // Notes a broken promise.
  auto Violate(const std::string& text) -> void;
  // Begins a run that was ordered; the order has been checked.
  auto BeginRun(PlacementWorker& worker, const RunRef& ref) -> void;
  auto EndRun(PlacementWorker& worker, const std::string& task, RunEnd end)
      -> void;

 private:
  struct OwnerProcess {
    FleetMetrics metrics_;
    std::unique_ptr<AdviceBalancer> advice_;
    std::unique_ptr<Dispatcher> dispatcher_;
  };
  struct SubmittedJob {
    JobRecord record_;
    Millis submitted_ms_ = 0;
    bool is_cancelled_ = false;
    bool is_hopeless_ = false;
    std::set<std::string> done_tasks_;
    std::map<std::string, Millis> last_run_ended_ms_;
  };

  auto AddWorker(const std::string& service) -> void;
  auto BeginLife(PlacementWorker& worker) -> void;
  auto WriteEntry(PlacementWorker& worker) -> void;
  auto TakeOver() -> void;
  auto CauseFault() -> void;
  auto Disturb(PlacementWorker& worker) -> void;
  auto Submit() -> void;
  auto Cancel(const std::string& id) -> void;
  auto AdvanceGangs() -> void;
  auto TickWorker(PlacementWorker& worker) -> void;
  auto Tick() -> void;

  // The judge.
  auto Judge() -> void;
  auto JudgeJob(const std::string& id, SubmittedJob& job) -> void;
  auto IsRunning(const std::string& task) const -> bool;
  auto CountRooms(const std::string& step_name, const Step& step,
                  const Queue& queue) const -> int;
  // Returns true if the team uses under half of its limit and may use `demand`
  // besides.
  auto IsTeamUnderHalf(const std::string& team, const Resources& demand) const
      -> bool;
  auto IsServiceUnderHalf(const std::string& service) const -> bool;
  // Notes whether `name` is kept waiting now; reports it after the bound.
  auto NoteWaiting(const std::string& name, bool is_kept_waiting,
                   const std::string& text) -> void;

  uv_loop_t* loop_;
  unsigned seed_;
  PlacementGap gap_;
  SimulatedStore store_;
  PlacementGateway gateway_;
  std::vector<std::unique_ptr<PlacementAdvice>> instances_;
  std::shared_ptr<FleetConfig> config_;
  Millis began_ms_;
  std::int64_t last_born_ms_ = 0;
  std::int64_t epoch_ = 0;
  std::unique_ptr<OwnerProcess> owner_;
  std::map<std::string, PlacementWorker> workers_;
  // Entries as written to the store, by the number that the store holds.
  std::vector<WorkerEntry> entries_;
  std::map<std::string, SubmittedJob> jobs_;
  Millis next_submit_ms_ = 0;
  Millis next_fault_ms_ = 0;
  Millis next_beat_ms_ = 0;
  Millis next_judge_ms_ = 0;
  Millis last_fault_ms_ = 0;
  std::map<std::string, Millis> waiting_since_ms_;
  std::set<std::string> reported_;
  std::vector<std::string> violations_;
  int starts_ = 0;
  bool is_finished_ = false;
  std::unique_ptr<RepeatingTimer> tick_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_TESTING_PLACEMENT_WALK_STAND_IN_H_
