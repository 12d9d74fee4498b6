// Drives running processes with the load of an experiment.
//
//   LoadRun run(loop, experiment, targets);
//   run.Start([&run] { ... run.Result() ... });
//
// The load is open: calls arrive at their times whether or not earlier ones
// have ended. Nothing is started or configured here; faults are asked for from
// the stand-ins, or are signals to given processes.

#ifndef LENTILSCALE_LOAD_RUN_H_
#define LENTILSCALE_LOAD_RUN_H_

#include <json/json.h>
#include <uv.h>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lentilscale/http_client.h"
#include "lentilscale/load_experiment.h"
#include "lentilscale/timer.h"

namespace lentilscale {

// What a run talks to.
struct LoadTargets {
  // Callers' addresses of the entry instances.
  std::vector<std::string> entries_;
  // Control addresses of the stand-ins; empty if there are none.
  std::string platform_;
  std::string workers_;
  std::string proxy_;
  std::string operator_key_;
  // Processes by name, for faults of kind "signal".
  std::map<std::string, int, std::less<>> pids_;
  // File for the run's own record of what it sent and got.
  std::string record_;
  bool shows_progress_ = false;
};

// One sample of the fleet, from the workers' stand-in.
struct FleetSample {
  double at_s_ = 0;
  std::int64_t used_slots_ = 0;
  std::int64_t slots_ = 0;
  std::int64_t queued_ = 0;
  std::map<std::string, double, std::less<>> team_share_;
};

// Waits and outcomes of one class of work.
struct ClassResult {
  std::vector<double> waits_ms_;
  std::vector<double> latencies_ms_;
  std::int64_t sent_ = 0;
  std::int64_t answered_ = 0;
  std::int64_t not_run_ = 0;
  std::int64_t unknown_ = 0;
  std::int64_t cut_ = 0;
};

// The results of a run.
struct LoadResult {
  std::map<std::string, ClassResult, std::less<>> classes_;
  std::vector<FleetSample> samples_;
  std::int64_t wrong_answers_ = 0;
  std::int64_t jobs_accepted_ = 0;
  std::int64_t jobs_refused_ = 0;
  std::map<std::string, std::int64_t, std::less<>> refusals_;
  // Metrics of the entries at the end, by entry and name.
  std::map<std::string, std::map<std::string, double>, std::less<>> metrics_;
  // Answered calls by whole second of the run.
  std::vector<std::int64_t> answered_by_second_;
  double seconds_ = 0;
};

// A run.
class LoadRun {
 public:
  LoadRun(uv_loop_t* loop, LoadExperiment experiment, LoadTargets targets);

  // Starts; `done` is called once, after the last answer or a grace time.
  auto Start(std::function<void()> done) -> void;

  auto result() const -> const LoadResult& { return result_; }

 private:
  struct Sent {
    const TeamLoadPlan* plan_ = nullptr;
    std::string class_;
    std::string request_id_;
    std::string echo_;
    bool is_idempotent_ = true;
    bool is_counted_ = true;
    std::int64_t attempt_ = 1;
    Millis issued_wall_ms_ = 0;
    double started_ms_ = 0;
    std::string body_;
  };

  auto Now() const -> double;
  auto ScheduleCall(const TeamLoadPlan& plan) -> void;
  auto ScheduleJob(const TeamLoadPlan& plan) -> void;
  auto IsSending(const TeamLoadPlan& plan) const -> bool;
  auto SendCall(const TeamLoadPlan& plan) -> void;
  auto Post(const std::shared_ptr<Sent>& sent) -> void;
  auto OnAnswer(const std::shared_ptr<Sent>& sent, const HttpResult& http)
      -> void;
  auto SendJob(const TeamLoadPlan& plan) -> void;
  auto PickEntry() -> std::string;
  auto Exponential(double mean) -> double;
  auto Percent() -> std::int64_t;
  auto Record(Json::Value event) -> void;
  auto RunFault(const FaultPlan& fault) -> void;
  auto PostFault(const std::string& address, const std::string& path,
                 const FaultPlan& fault) -> void;
  auto Sample() -> void;
  auto PollTickets() -> void;
  auto Finish() -> void;
  auto ReadMetrics(std::function<void()> done) -> void;

  uv_loop_t* loop_;
  LoadExperiment experiment_;
  LoadTargets targets_;
  HttpClient client_;
  std::mt19937_64 random_;
  LoadResult result_;
  std::ofstream record_;
  std::vector<std::unique_ptr<RepeatingTimer>> timers_;
  std::function<void()> done_;
  double start_ms_ = 0;
  std::string run_id_;
  std::int64_t next_id_ = 0;
  std::int64_t open_ = 0;
  // Waiting work by entry, as its latest status has it.
  std::map<std::string, std::int64_t, std::less<>> queued_;
  bool is_over_ = false;
  Millis finish_by_ms_ = 0;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_LOAD_RUN_H_
