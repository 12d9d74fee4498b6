// A fleet under load on a simulated clock: the product's dispatcher, advice
// balancer and admission against models of the store, the workers and the
// advice service, at the size of a grown deployment. Nothing fails but tasks
// and, at the times that a scenario names, owners. It measures what callers
// get; the walk of placement (placement_walk_stand_in.h) judges what must hold.
//
//   LoadWorld world(loop, 7, CraftsLoad());
//   ... run the loop until world.IsFinished() ...
//   BOOST_TEST(world.ResultOf("analysis").EarnedShare() >= 0.85);
//
// All times are those of the product, so the clock must be simulated. Nothing
// but the seed decides the course. A scenario may state the processor time that
// the owner's calls take; the world then asks the test to let it pass.

#ifndef LENTILSCALE_TESTING_LOAD_WORLD_STAND_IN_H_
#define LENTILSCALE_TESTING_LOAD_WORLD_STAND_IN_H_

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/admission.h"
#include "fleet/dispatcher.h"
#include "lentilscale/timer.h"
#include "testing/load_scenarios_stand_in.h"
#include "testing/simulated_store_stand_in.h"

namespace lentilscale::fleet {

// What the callers of one kind of jobs got.
struct LoadResult {
  // All that were submitted, and those of them that were refused for load.
  int jobs_ = 0;
  int refused_ = 0;
  // Jobs that ended within their objective, and within three times that.
  int timely_ = 0;
  int late_ = 0;
  // Tasks of all jobs, of those refused, and of those that ended in time.
  int tasks_ = 0;
  int refused_tasks_ = 0;
  int timely_tasks_ = 0;
  // Starts that workers received in the interval, whenever their jobs came, and
  // those that came after their job's objective had passed.
  int starts_ = 0;
  int late_starts_ = 0;
  // Credit of all jobs, and what was earned of it; large jobs weigh more.
  double owed_ = 0;
  double earned_ = 0;
  // Times from a step's becoming ready to the first start of its tasks.
  std::vector<Millis> start_waits_ms_;
  // Times from a step's becoming ready to the first call for advice, or to now.
  std::vector<Millis> advice_waits_ms_;
  // Times from the end of a failed run to the task's next start, or to now.
  std::vector<Millis> restart_waits_ms_;
  // Steps that are ready and of which no task has ever started.
  int unstarted_steps_ = 0;

  auto EarnedShare() const -> double {
    return owed_ == 0 ? 1 : earned_ / owed_;
  }
  // Returns the given quantile of the waits, 0 to 1.
  auto StartWaitMs(double quantile) const -> Millis;
  auto AdviceWaitMs(double quantile) const -> Millis;
  auto RestartWaitMs(double quantile) const -> Millis;
};

class LoadWorld : public SimulatedEvents {
 public:
  // Lets the given time pass on the simulated clock.
  using Spend = std::function<void(std::int64_t us)>;

  LoadWorld(uv_loop_t* loop, unsigned seed, const LoadScenario& scenario,
            Spend spend);
  ~LoadWorld();

  auto IsFinished() const -> bool { return is_finished_; }
  auto ResultOf(const std::string& queue) const -> LoadResult {
    return ResultOf(queue, 0, scenario_.traffic_ms_ + 1);
  }
  // Of the jobs that were submitted between two times since the start of
  // traffic.
  auto ResultOf(const std::string& queue, Millis begin_ms, Millis end_ms) const
      -> LoadResult;
  // Share of the starts that workers refused for want of a valid ticket.
  auto RefusedTicketShare() const -> double;
  // Starts that workers received between two times since the start of traffic.
  auto StartsBetween(Millis begin_ms, Millis end_ms) const -> std::ptrdiff_t;
  // Advice calls, and the time that they took in all.
  auto advice_calls() const -> int { return advice_calls_; }
  auto advice_ms() const -> double { return advice_ms_; }
  // Share of the processors that was in use, on average over the traffic.
  auto UsedShare() const -> double;
  // Overfilled workers and double runs.
  auto violations() const -> const std::vector<std::string>& {
    return violations_;
  }

 private:
  struct ModelRun {
    std::int64_t run_ = 0;
    const Step* step_ = nullptr;
    // 0 while the gang is not complete.
    Millis ends_ms_ = 0;
    RunEnd end_ = RunEnd::kDone;
  };
  struct ModelWorker {
    WorkerEntry entry_;
    double speed_ = 1;
    Resources used_;
    std::map<std::string, ModelRun> running_;
    std::map<std::string, std::int64_t> closed_runs_;
    std::vector<EndedRun> ended_;
    std::int64_t next_end_ = 1;
    // The Hold call that waits for an end.
    WorkerGateway::HoldCallback hold_callback_;
    Millis hold_sent_ms_ = 0;
    std::int64_t hold_number_ = 0;
  };
  struct ModelJob {
    JobRecord record_;
    const LoadKind* kind_ = nullptr;
    // Work of each step's tasks on a worker of speed 1, and its end.
    std::vector<Millis> work_ms_;
    std::vector<Millis> ready_ms_;
    std::vector<Millis> advised_ms_;
    std::vector<Millis> started_ms_;
    // Indices of the tasks that are done, by step.
    std::vector<std::set<int>> done_;
    Millis submitted_ms_ = 0;
    // 0 until all tasks are done.
    Millis ended_ms_ = 0;
    Millis objective_ms_ = 0;
    double credit_ = 0;
    bool is_refused_ = false;

    auto CountTasks() const -> int;
  };
  // A start that a worker received, since the start of traffic.
  struct ModelStart {
    Millis ms_ = 0;
    const LoadKind* kind_ = nullptr;
    bool is_late_ = false;
  };
  // A run that failed, since the start of traffic.
  struct ModelFailure {
    Millis ms_ = 0;
    const LoadKind* kind_ = nullptr;
    // The task's next start; nullopt if there was none.
    std::optional<Millis> restarted_ms_ = std::nullopt;
  };
  class Gateway;
  class Advice;
  struct OwnerProcess;

  // load_world_stand_in.cc
  // Makes an owner of the next epoch.
  auto TakeOver() -> void;
  auto LoseOwnerIfDue(Millis now_ms) -> void;
  auto SendReports() -> void;
  auto IsRefusedForLoad(const JobRecord& record) -> bool;
  auto Draw(const Spread& spread) -> double;
  auto KindOf(const std::string& job) const -> const LoadKind&;
  auto IsAllowed(const std::string& step, const std::string& worker) const
      -> bool;
  auto Submit(const LoadKind& kind) -> void;
  auto AddWorkers(const std::string& service, int count) -> void;
  auto SubmitDue() -> void;

  // load_models_stand_in.cc
  auto MakeGateway() -> std::unique_ptr<WorkerGateway>;
  auto MakeAdvice() -> std::unique_ptr<AdviceGateway>;
  auto BeginRun(ModelWorker& worker, const StartOrder& order) -> WorkerStatus;
  // Notes the first call for advice for the step of that name.
  auto MarkAdvised(const std::string& step) -> void;
  auto BeginGangIfComplete(const TaskId& id, std::int64_t run) -> void;
  auto EndRun(ModelWorker& worker, const std::string& task, RunEnd end) -> void;
  auto AnswerHold(ModelWorker& worker) -> void;
  auto MarkDone(const TaskId& id) -> void;

  // load_results_stand_in.cc
  auto SampleUse() -> void;

  uv_loop_t* loop_;
  unsigned seed_;
  LoadScenario scenario_;
  Spend spend_;
  SimulatedStore store_;
  std::shared_ptr<FleetConfig> config_;
  std::map<std::string, ModelWorker> workers_;
  std::vector<WorkerEntry> entries_;
  std::map<std::string, ModelJob> jobs_;
  // Members of gangs that have arrived, by step and run: worker and task.
  std::map<std::pair<std::string, std::int64_t>,
           std::vector<std::pair<std::string, std::string>>>
      gangs_;
  // Tasks that run on any worker.
  std::set<std::string> running_tasks_;
  // The instances, as they call the advice service and as they admit jobs.
  std::vector<std::unique_ptr<AdviceGateway>> instances_;
  std::vector<Admission> admissions_;
  Millis owner_seen_ms_ = 0;
  std::unique_ptr<WorkerGateway> gateway_;
  // Of the latest owner.
  std::int64_t epoch_ = 0;
  // Null from a loss until the take-over.
  std::unique_ptr<OwnerProcess> owner_;
  std::size_t next_loss_ = 0;
  std::vector<double> due_jobs_;
  Millis began_ms_ = 0;
  Millis last_submit_ms_ = 0;
  Millis next_beat_ms_ = 0;
  Millis next_report_ms_ = 0;
  std::vector<ModelStart> starts_;
  std::vector<ModelFailure> failures_;
  // By task that has not been started again: its latest in `failures_`.
  std::map<std::string, std::size_t> open_failures_;
  int refused_tickets_ = 0;
  int advice_calls_ = 0;
  double advice_ms_ = 0;
  double used_share_sum_ = 0;
  int used_share_samples_ = 0;
  std::vector<std::string> violations_;
  bool is_finished_ = false;
  std::unique_ptr<RepeatingTimer> tick_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_TESTING_LOAD_WORLD_STAND_IN_H_
