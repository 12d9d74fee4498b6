// The state of an owner's session on one worker, without I/O.
//
//   WorkerSession session(info, shard, epoch, options, now, wait_until);
//   if (session.IsDue(now)) { auto request = session.Begin(); ... send ... }
//   session.OnAnswer(request, answer, now);   // or OnFailure(request, now)
//
// One renewal is outstanding at a time, whose answer the worker may hold;
// besides it there can be one urgent request that stops or cancels something.
//
// The session knows the latest time at which the worker can still run anything
// under it (ExpiryBound), whatever was lost on the way.

#ifndef LENTILSCALE_WORKER_SESSION_H_
#define LENTILSCALE_WORKER_SESSION_H_

#include <set>
#include <string>
#include <vector>

#include "lentilscale/worker_protocol.h"

namespace lentilscale {

// One session.
class WorkerSession {
 public:
  struct Options {
    std::string owner_;
    Millis session_ms_ = 10000;
    Millis renew_ms_ = 2000;
    // Period of trying a worker that does not answer.
    Millis retry_ms_ = 300;
    // Allowance for clocks that run at different speeds.
    Millis drift_ms_ = 200;
  };

  enum class Phase {
    // The worker has not answered yet under this epoch.
    kClaiming,
    kReady,
    // The worker has not answered for the length of a session: it has stopped
    // everything that ran under this session or the previous owner's.
    kLost,
  };

  // Starts to claim at `now`. A previous owner's session may live until
  // `previous_until`; pass 0 if there was none.
  WorkerSession(WorkerInfo info, std::string shard, std::int64_t epoch,
                const Options& options, Millis previous_until);

  // Returns true if a request should be sent now.
  auto IsDue(Millis now) const -> bool;

  // Returns the next request; acknowledgements and stops stay in it until they
  // are answered.
  auto Begin() -> SessionRequest;

  // Takes the answer to `request`. Returns false if a later answer has been
  // taken already; this one then says nothing.
  auto OnAnswer(const SessionRequest& request, const SessionAnswer& answer,
                Millis now) -> bool;
  auto OnFailure(const SessionRequest& request, Millis now) -> void;

  // Returns true once, when the session has just become lost.
  auto TakeLost(Millis now) -> bool;

  // Returns the time after which nothing can run under this session or an
  // earlier owner's.
  auto ExpiryBound() const -> Millis;

  auto Acknowledge(const std::string& key) -> void {
    acknowledged_.insert(key);
  }
  // Stops a task; the request goes out at once.
  auto Stop(const std::string& key) -> void;
  // Makes a key known as never started unless it runs.
  auto Cancel(const std::string& key) -> void;
  // Asks for an answer without waiting at `when`, once the renewal under way
  // has been answered.
  auto PollAt(Millis when) -> void;

  auto info() const -> const WorkerInfo& { return info_; }
  auto shard() const -> const std::string& { return shard_; }
  auto epoch() const -> std::int64_t { return epoch_; }
  auto phase() const -> Phase { return phase_; }
  auto last_answer_ms() const -> Millis { return last_answer_ms_; }
  auto failures() const -> int { return failures_; }
  // Identifies the run of the worker that answered last.
  auto boot() const -> std::int64_t { return boot_; }
  auto SetLeaving(bool is_leaving) -> void { info_.is_leaving_ = is_leaving; }

 private:
  WorkerInfo info_;
  std::string shard_;
  std::int64_t epoch_;
  Options options_;
  Millis previous_until_;
  Phase phase_ = Phase::kClaiming;
  bool is_lost_taken_ = false;
  auto EndRequest(const SessionRequest& request) -> void;

  bool is_renewing_ = false;
  bool is_polling_ = false;
  bool is_interrupting_ = false;
  Millis next_ms_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t boot_ = 0;
  Millis echo_ms_ = 0;
  Millis last_answer_ms_ = 0;
  int failures_ = 0;
  std::set<std::string> acknowledged_;
  std::set<std::string> stopped_;
  std::set<std::string> cancelled_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_WORKER_SESSION_H_
