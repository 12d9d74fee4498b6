// The state of an owner's session on one worker, without I/O.
//
//   WorkerSession session(info, shard, epoch, options, now, wait_until);
//   if (session.IsRequestDue(now)) { auto request = session.BeginRequest(); ...
//   send ... } session.OnAnswer(request, answer, now);   // or
//   OnFailure(request, now)
//
// One renewal is outstanding at a time, whose answer the worker may hold;
// besides it there can be one urgent request that stops or cancels something.
//
// The session knows the latest time at which the worker can still run anything
// under it (LatestExpiryMs), whatever was lost on the way.

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
    Millis session_ttl_ms_ = 10000;
    Millis renew_interval_ms_ = 2000;
    // Period of trying a worker that does not answer.
    Millis retry_interval_ms_ = 300;
    // Allowance for clocks that run at different speeds.
    Millis clock_drift_margin_ms_ = 200;
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
  // `previous_expiry_ms`; pass 0 if there was none.
  WorkerSession(WorkerInfo info, std::string shard, std::int64_t epoch,
                const Options& options, Millis previous_expiry_ms);

  // Returns true if a request should be sent now.
  auto IsRequestDue(Millis now) const -> bool;

  // Returns the next request; acknowledgements and stops stay in it until they
  // are answered.
  auto BeginRequest() -> SessionRequest;

  // Takes the answer to `request`. Returns false if a later answer has been
  // taken already; this one then says nothing.
  auto OnAnswer(const SessionRequest& request, const SessionAnswer& answer,
                Millis now) -> bool;
  auto OnFailure(const SessionRequest& request, Millis now) -> void;

  // Returns true once, when the session has just become lost.
  auto MarkLostIfExpired(Millis now) -> bool;

  // Returns the time after which nothing can run under this session or an
  // earlier owner's.
  auto LatestExpiryMs() const -> Millis;

  auto Acknowledge(const std::string& key) -> void {
    acknowledged_keys_.insert(key);
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
  auto consecutive_failures() const -> int { return consecutive_failures_; }
  // Identifies the run of the worker that answered last.
  auto incarnation() const -> std::int64_t { return incarnation_; }
  auto SetLeaving(bool is_leaving) -> void { info_.is_leaving_ = is_leaving; }

 private:
  WorkerInfo info_;
  std::string shard_;
  std::int64_t epoch_;
  Options options_;
  Millis previous_expiry_ms_;
  Phase phase_ = Phase::kClaiming;
  bool is_loss_reported_ = false;
  auto EndRequest(const SessionRequest& request) -> void;

  bool is_renewal_pending_ = false;
  bool is_poll_requested_ = false;
  bool is_urgent_request_pending_ = false;
  Millis next_request_ms_ = 0;
  std::int64_t last_sequence_ = 0;
  std::int64_t incarnation_ = 0;
  Millis last_worker_clock_ms_ = 0;
  Millis last_answer_ms_ = 0;
  int consecutive_failures_ = 0;
  std::set<std::string> acknowledged_keys_;
  std::set<std::string> stop_keys_;
  std::set<std::string> cancel_keys_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_WORKER_SESSION_H_
