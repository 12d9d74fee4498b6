// Simulates a worker without running any work.
//
// The model follows the worker protocol (worker_protocol.h) and lets time pass
// in place of work. The embedded mode of lentild and the simulated workers of
// the tests (testing/fake_workers.cc) use it:
//
//   WorkerModel worker("w1", capacity, recorder);
//   auto answer = worker.OnSession(request, now);
//   worker.OnStart(start, /*is_call=*/true, now);
//   for (const auto& ended : worker.Tick(now)) ... answer the call ...
//
// The payload of a start describes the simulated work: run_ms (0 means that a
// task runs until it is stopped), cpu_milli, memory_mb and fail. Work that
// needs more CPU than it reserved runs longer in proportion. Work that needs
// more memory than it reserved ends as out of memory.

#ifndef LENTILSCALE_WORKER_MODEL_H_
#define LENTILSCALE_WORKER_MODEL_H_

#include <json/json.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lentilscale/worker_protocol.h"

namespace lentilscale {

// A call that has ended, with its answer.
struct EndedCall {
  std::string key_;
  Json::Value call_answer_;
};

// Simulates one worker.
class WorkerModel {
 public:
  // Receives every "start", "end", "refuse" and "ack" event with its details,
  // as a record that is independent of the scheduler.
  using Recorder = std::function<void(const Json::Value& event)>;

  WorkerModel(std::string id, const Resources& capacity, Recorder recorder)
      : id_(std::move(id)),
        capacity_(capacity),
        recorder_(std::move(recorder)) {}

  // Opens or renews a session. Throws Error(kStaleEpoch) if the worker has
  // seen a higher epoch.
  auto OnSession(const SessionRequest& request, Millis now) -> SessionAnswer;

  // Returns true if the request was meant for the worker before it restarted.
  template <typename Request>
  auto IsForFormerIncarnation(const Request& request) const -> bool {
    return request.incarnation_ != 0 && request.incarnation_ != incarnation_;
  }

  // Returns the answer to a held renewal, as of `now`.
  auto BuildRenewalAnswer(Millis now) -> SessionAnswer;
  // Increases with each change that the owner should learn of.
  auto change_count() const -> std::int64_t { return change_count_; }
  // Reports that a call's answer could not be sent on the call's connection,
  // so that the session's next answer must report the end.
  auto OnCallAnswerUndelivered() -> void { ++change_count_; }

  // Starts a task or call. If it throws an Error, the code tells whether the
  // work is proven not to run.
  auto OnStart(const StartRequest& request, bool is_call, Millis now) -> void;

  // Ends the work that is due, or all work if the session has expired. Returns
  // the calls that ended.
  auto Tick(Millis now) -> std::vector<EndedCall>;

  // If `is_failing` is set, all work that starts later fails at once.
  auto SetFailing(bool is_failing) -> void { is_failing_ = is_failing; }
  // Drops the session and all work, as a restart of the worker does.
  auto Restart() -> void;

  auto running() const -> std::size_t { return running_.size(); }
  auto epoch() const -> std::int64_t { return epoch_; }
  // Returns the resources that the running work reserves.
  auto Reserved() const -> Resources;
  // Adds the slots that the running work reserves to `by_team`.
  auto AddSlotsByTeam(std::map<std::string, std::int64_t>& by_team) const
      -> void;
  // Returns the earliest scheduled end, or 0 if no work has one.
  auto NextEndMs() const -> Millis;

 private:
  struct RunningWork {
    StartRequest request_;
    bool is_call_ = false;
    Millis started_ms_ = 0;
    // Scheduled end; 0 if the work runs until it is stopped.
    Millis ends_ms_ = 0;
    EndStatus end_status_ = EndStatus::kOk;
    Resources used_;
  };

  auto End(const std::string& key, EndStatus status, Millis now) -> EndedTask;
  auto Record(const char* what, const std::string& key,
              const StartRequest& request, const std::string& detail) const
      -> void;

  std::string id_;
  Resources capacity_;
  Recorder recorder_;
  auto BuildAnswer(bool is_opening, Millis now) -> SessionAnswer;

  std::int64_t epoch_ = 0;
  std::int64_t change_count_ = 0;
  std::int64_t last_sequence_ = 0;
  std::int64_t incarnation_ = WallMs();
  std::string owner_;
  Millis session_expiry_ms_ = 0;
  bool is_failing_ = false;
  std::map<std::string, RunningWork, std::less<>> running_;
  std::map<std::string, EndedTask, std::less<>> ended_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_WORKER_MODEL_H_
