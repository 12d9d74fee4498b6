// A worker that does not run anything but behaves as one.
//
// It follows the worker protocol (worker_protocol.h) and lets time pass in
// place of work. The embedded mode of lentild and the workers' stand-in of the
// tests use it:
//
//   WorkerModel worker("w1", capacity);
//   auto answer = worker.OnSession(request, now);
//   worker.OnStart(start, /*is_call=*/true, now);
//   for (const auto& ended : worker.Tick(now)) ... answer the call ...
//
// The payload of a start says what the work is really like: run_ms (0 on a
// task means that it runs until it is stopped), cpu_milli, memory_mb, fail.
// Work is throttled to its reserved processors, and ends when it needs more
// memory than it reserved.

#ifndef LENTILSCALE_WORKER_MODEL_H_
#define LENTILSCALE_WORKER_MODEL_H_

#include <json/json.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lentilscale/worker_protocol.h"

namespace lentilscale {

// A call that has ended, with what to answer.
struct EndedCall {
  std::string key_;
  Json::Value call_answer_;
};

// The model of one worker.
class WorkerModel {
 public:
  // Told of everything that happens, for a record that is independent of the
  // scheduler: "start", "end" and "refuse" with the details.
  using Recorder = std::function<void(const Json::Value& event)>;

  WorkerModel(std::string id, const Resources& capacity, Recorder recorder)
      : id_(std::move(id)),
        capacity_(capacity),
        recorder_(std::move(recorder)) {}

  // Opens or renews a session. Throws Error(kStaleEpoch).
  auto OnSession(const SessionRequest& request, Millis now) -> SessionAnswer;

  // Returns the current answer to a held renewal.
  auto BuildRenewalAnswer(Millis now) -> SessionAnswer;
  // Grows whenever there is something new to tell the owner.
  auto change_count() const -> std::int64_t { return change_count_; }
  // A call's answer did not reach its connection and must go with the session.
  auto OnCallAnswerUndelivered() -> void { ++change_count_; }

  // Starts a task or call. Throws Error with a code that says whether it is
  // proved not to run.
  auto OnStart(const StartRequest& request, bool is_call, Millis now) -> void;

  // Ends what is due and returns the calls among it.
  auto Tick(Millis now) -> std::vector<EndedCall>;

  // Makes everything that starts fail at once.
  auto SetFailing(bool is_failing) -> void { is_failing_ = is_failing; }
  // Forgets everything, as a restarted worker does.
  auto Restart() -> void;

  auto running() const -> std::size_t { return running_.size(); }
  auto epoch() const -> std::int64_t { return epoch_; }
  auto Reserved() const -> Resources;
  // Adds the slots in use to their teams' counts.
  auto AddSlotsByTeam(std::map<std::string, std::int64_t>& by_team) const
      -> void;
  // Returns the time of the next end, or 0.
  auto NextEndMs() const -> Millis;

 private:
  struct RunningWork {
    StartRequest request_;
    bool is_call_ = false;
    Millis started_ms_ = 0;
    // When the work ends; 0 means never.
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
