// A calm fleet under load on a simulated clock: the product's dispatcher and
// advice balancer against models of the store, the workers and the advice
// service, at the size of a grown deployment. It measures what callers get; the
// walk of placement (placement_walk_stand_in.h) judges what must hold.
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
#include <string>
#include <vector>

#include "fleet/dispatcher.h"
#include "lentilscale/timer.h"
#include "testing/simulated_store_stand_in.h"

namespace lentilscale::fleet {

// The distribution of an amount: log-normal with the given mean, up to a
// maximum.
struct Spread {
  double mean_ = 1;
  double sigma_ = 0;
  double max_ = 1;
};

// One kind of jobs.
struct LoadKind {
  std::string queue_;
  std::string service_ = "s";
  int priority_ = 0;
  double jobs_per_s_ = 1;
  Spread steps_;
  Spread tasks_per_step_;
  Spread cpu_milli_;
  Spread memory_mb_;
  Spread work_ms_;
  // Share of the steps whose tasks start together or not at all.
  double gang_share_ = 0;
  // Share of the runs that fail.
  double failure_share_ = 0;
  // True if the tasks last until the end of the world.
  bool is_lasting_ = false;
  bool is_advised_ = true;
  AdvicePolicy advice_;
  // Share of the workers that the advice service allows.
  double allowed_share_ = 1;
  double stretch_ = 2;
  Millis target_ms_ = 0;
};

struct LoadScenario {
  // Workers of the service "s".
  int workers_ = 0;
  // Workers of further services, by name.
  std::map<std::string, int> more_workers_;
  // All workers are alike but for their speed.
  Resources capacity_;
  int instances_ = 1;
  Millis traffic_ms_ = 0;
  // Extra jobs between two times since the start of traffic, as a factor.
  double burst_factor_ = 1;
  Millis burst_begins_ms_ = 0;
  Millis burst_ends_ms_ = 0;
  // Processor time of the owner for a start order and for the answer to a Hold.
  std::int64_t start_cost_us_ = 0;
  std::int64_t hold_cost_us_ = 0;
  std::vector<LoadKind> kinds_;
};

// The load of the Crafts Authority's grown deployment: wide gangs with slow
// advice about few workers, wide steps, and lookups that are due at once.
auto CraftsLoad() -> LoadScenario;

// One class of priority 0 with more tasks than the owner can start, beside two
// classes of a lower priority whose workers it may not use.
auto SaturatedOwnerLoad() -> LoadScenario;

// The same with calls for advice for all classes, a further class on the
// workers of the first, and twice the jobs for some seconds.
auto DoubledBurstLoad() -> LoadScenario;

// The same classes with a burst that leaves several objectives' worth of starts
// waiting, and little room to work them off. Each instance makes one call for
// advice at a time.
auto LongBacklogLoad(int instances) -> LoadScenario;

// What the callers of one kind of jobs got.
struct LoadResult {
  int jobs_ = 0;
  // Jobs that ended within their objective, and within three times that.
  int timely_ = 0;
  int late_ = 0;
  // Credit of all jobs, and what was earned of it; large jobs weigh more.
  double owed_ = 0;
  double earned_ = 0;
  // Times from a step's becoming ready to the first start of its tasks.
  std::vector<Millis> start_waits_ms_;
  // Times from a step's becoming ready to the first call for advice, or to now.
  std::vector<Millis> advice_waits_ms_;
  // Steps that are ready and of which no task has ever started.
  int unstarted_steps_ = 0;

  auto EarnedShare() const -> double {
    return owed_ == 0 ? 1 : earned_ / owed_;
  }
  // Returns the given quantile of the waits, 0 to 1.
  auto StartWaitMs(double quantile) const -> Millis;
  auto AdviceWaitMs(double quantile) const -> Millis;
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
    std::vector<int> done_;
    Millis submitted_ms_ = 0;
    // 0 until all tasks are done.
    Millis ended_ms_ = 0;
    Millis objective_ms_ = 0;
    double credit_ = 0;
  };
  class Gateway;
  class Advice;
  struct OwnerProcess;

  auto Draw(const Spread& spread) -> double;
  auto KindOf(const std::string& job) const -> const LoadKind&;
  auto IsAllowed(const std::string& step, const std::string& worker) const
      -> bool;
  auto Submit(const LoadKind& kind) -> void;
  auto AddWorkers(const std::string& service, int count) -> void;
  auto SubmitDue() -> void;
  auto SampleUse() -> void;
  auto BeginRun(ModelWorker& worker, const StartOrder& order) -> WorkerStatus;
  // Notes the first call for advice for the step of that name.
  auto MarkAdvised(const std::string& step) -> void;
  auto BeginGangIfComplete(const TaskId& id, std::int64_t run) -> void;
  auto EndRun(ModelWorker& worker, const std::string& task, RunEnd end) -> void;
  auto AnswerHold(ModelWorker& worker) -> void;
  auto MarkDone(const TaskId& id, int tasks) -> void;

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
  std::unique_ptr<OwnerProcess> owner_;
  std::vector<double> due_jobs_;
  Millis began_ms_ = 0;
  Millis last_submit_ms_ = 0;
  Millis next_beat_ms_ = 0;
  // When each start arrived, since the start of traffic.
  std::vector<Millis> starts_ms_;
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
