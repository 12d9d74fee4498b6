// Tracks an owner's session on one worker; performs no I/O.
//
//   WorkerSession session(info, shard, epoch, options, previous_expiry_ms);
//   if (session.IsRequestDue(now)) {
//     auto request = session.BeginRequest();  // then send it
//   }
//   session.OnAnswer(request, answer, now);  // or OnFailure(request, now)
//
// At most one renewal is outstanding, and the worker may hold its answer. One
// urgent request, to stop or cancel something, may be outstanding besides it.
//
// The session knows the latest time at which the worker can still run anything
// under it (LatestExpiryMs), whichever messages were lost.

#ifndef LENTILSCALE_WORKER_SESSION_H_
#define LENTILSCALE_WORKER_SESSION_H_

#include <set>
#include <string>
#include <vector>

#include "lentilscale/worker_protocol.h"

namespace lentilscale {

// The session of one shard owner on one worker.
class WorkerSession {
 public:
  struct Options {
    std::string owner_;
    Millis session_ttl_ms_ = 10000;
    Millis renew_interval_ms_ = 2000;
    // Interval between requests to a worker that does not answer.
    Millis retry_interval_ms_ = 300;
    // Margin for clocks that run at different speeds, over the session's TTL.
    Millis clock_drift_margin_ms_ = 200;
  };

  enum class Phase {
    // The session has not been opened yet under this epoch with the worker's
    // present incarnation.
    kClaiming,
    // The worker has opened the session.
    kReady,
    // The worker has not answered by LatestExpiryMs, so it has stopped
    // everything that ran under this session or the previous owner's.
    kLost,
  };

  // Starts claiming the worker. A previous owner's session may last until
  // `previous_expiry_ms`; pass 0 if there was none.
  WorkerSession(WorkerInfo info, std::string shard, std::int64_t epoch,
                const Options& options, Millis previous_expiry_ms);

  // Returns true if a request should be sent now.
  auto IsRequestDue(Millis now) const -> bool;

  // Returns the next request. Acknowledgements, stops and cancels are repeated
  // in every request until one that carries them has been answered.
  auto BeginRequest() -> SessionRequest;

  // Processes the answer to `request`. Returns false if a later answer has
  // been processed already, of this or a later incarnation, or the session
  // must be opened first; the caller must then ignore the contents of this one.
  // If the worker has restarted, the session is to be opened again.
  auto OnAnswer(const SessionRequest& request, const SessionAnswer& answer,
                Millis now) -> bool;
  // Processes an answer to `request` that arrives after OnFailure. The worker
  // gets no credit for being reachable.
  auto OnLateAnswer(const SessionRequest& request, const SessionAnswer& answer,
                    Millis now) -> bool;
  // Schedules a retry after `request` has failed.
  auto OnFailure(const SessionRequest& request, Millis now) -> void;

  // Marks the session as lost if requests fail and LatestExpiryMs has passed.
  // Returns true once for each loss.
  auto MarkLostIfExpired(Millis now) -> bool;

  // Returns the time after which nothing can run under this session or an
  // earlier owner's.
  auto LatestExpiryMs() const -> Millis;

  // Returns the earliest time that the worker's clock can show at `now`. What
  // is invalid from there is so before anything sent later arrives.
  auto EarliestWorkerClockMs(Millis now) const -> Millis;

  auto Acknowledge(const std::string& key) -> void {
    acknowledged_keys_.insert(key);
  }
  // Requests that a task be stopped; the request is due at once.
  auto Stop(const std::string& key) -> void;
  // Requests that the worker record a key as never started, unless it runs or
  // has ended; the request is due at once.
  auto Cancel(const std::string& key) -> void;
  // Makes the next renewal due at `when` and asks for an immediate answer to
  // it. An outstanding renewal is answered first.
  auto PollAt(Millis when) -> void;

  auto info() const -> const WorkerInfo& { return info_; }
  auto shard() const -> const std::string& { return shard_; }
  auto epoch() const -> std::int64_t { return epoch_; }
  auto phase() const -> Phase { return phase_; }
  auto last_answer_ms() const -> Millis { return last_answer_ms_; }
  auto consecutive_failures() const -> int { return consecutive_failures_; }
  // Incarnation of the worker in its latest processed answer.
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
  auto ProcessAnswer(const SessionRequest& request, const SessionAnswer& answer,
                     Millis now) -> bool;
  auto ClearKeys() -> void;

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
