// An answer that was overtaken is recognized by its sequence number and
// dropped: what it says of running tasks may be wrong by then. The expiry bound
// rests on the echo rule: a renewal extends the session to the worker's clock
// in the last answer that this owner has seen, plus the term. That clock was
// read before the answer arrived here, so "arrival of the last answer + term"
// is never too early, even if a renewal was sent and its answer lost, or was
// delayed by a pause of this process.

#include "lentilscale/worker_session.h"

#include <algorithm>
#include <utility>

namespace lentilscale {
namespace {

auto EraseAll(std::set<std::string>& set, const std::vector<std::string>& keys)
    -> void {
  for (const auto& key : keys) {
    set.erase(key);
  }
}

}  // namespace

WorkerSession::WorkerSession(WorkerInfo info, std::string shard,
                             std::int64_t epoch, const Options& options,
                             Millis previous_until)
    : info_(std::move(info)),
      shard_(std::move(shard)),
      epoch_(epoch),
      options_(options),
      previous_until_(previous_until) {}

auto WorkerSession::IsDue(Millis now) const -> bool {
  const auto is_urgent = !stopped_.empty() || !cancelled_.empty();
  if (is_renewing_) {
    // A renewal with waiting time may be held; interrupt it.
    return is_urgent && !is_interrupting_ && phase_ == Phase::kReady &&
           now >= next_ms_;
  }
  return now >= next_ms_;
}

auto WorkerSession::Begin() -> SessionRequest {
  SessionRequest request;
  request.owner_ = options_.owner_;
  request.epoch_ = epoch_;
  request.session_ttl_ms_ = options_.session_ms_;
  request.echoed_clock_ms_ = phase_ == Phase::kReady ? echo_ms_ : 0;
  request.acknowledged_keys_.assign(acknowledged_.begin(), acknowledged_.end());
  request.stop_keys_.assign(stopped_.begin(), stopped_.end());
  request.cancel_keys_.assign(cancelled_.begin(), cancelled_.end());
  const auto is_urgent = !stopped_.empty() || !cancelled_.empty();
  if (is_renewing_) {
    is_interrupting_ = true;
  } else {
    is_renewing_ = true;
    const auto may_wait = phase_ == Phase::kReady && !is_urgent && !is_polling_;
    request.max_wait_ms_ = may_wait ? options_.renew_ms_ : 0;
  }
  is_polling_ = false;
  return request;
}

auto WorkerSession::EndRequest(const SessionRequest& request) -> void {
  // The renewal is the one that may wait, or the only one there is.
  if (is_interrupting_ && request.max_wait_ms_ == 0) {
    is_interrupting_ = false;
  } else {
    is_renewing_ = false;
  }
}

auto WorkerSession::OnAnswer(const SessionRequest& request,
                             const SessionAnswer& answer, Millis now) -> bool {
  EndRequest(request);
  failures_ = 0;
  EraseAll(acknowledged_, request.acknowledged_keys_);
  EraseAll(stopped_, request.stop_keys_);
  EraseAll(cancelled_, request.cancel_keys_);
  // A worker that restarted counts anew, and its session is opened anew.
  const auto is_overtaken =
      phase_ == Phase::kReady && request.echoed_clock_ms_ != 0 &&
      answer.sequence_ <= sequence_ && answer.clock_ms_ <= echo_ms_;
  if (is_overtaken) {
    return false;
  }
  phase_ = Phase::kReady;
  is_lost_taken_ = false;
  sequence_ = answer.sequence_;
  boot_ = answer.incarnation_;
  echo_ms_ = answer.clock_ms_;
  last_answer_ms_ = now;
  next_ms_ = now;
  return true;
}

auto WorkerSession::OnFailure(const SessionRequest& request, Millis now)
    -> void {
  EndRequest(request);
  ++failures_;
  next_ms_ = now + options_.retry_ms_;
}

auto WorkerSession::ExpiryBound() const -> Millis {
  const auto own =
      last_answer_ms_ == 0
          ? 0
          : last_answer_ms_ + options_.session_ms_ + options_.drift_ms_;
  return std::max(own, previous_until_);
}

auto WorkerSession::TakeLost(Millis now) -> bool {
  if (is_lost_taken_ || failures_ == 0 || now < ExpiryBound()) {
    return false;
  }
  phase_ = Phase::kLost;
  is_lost_taken_ = true;
  acknowledged_.clear();
  stopped_.clear();
  cancelled_.clear();
  return true;
}

auto WorkerSession::Stop(const std::string& key) -> void {
  stopped_.insert(key);
  next_ms_ = 0;
}

auto WorkerSession::Cancel(const std::string& key) -> void {
  cancelled_.insert(key);
  next_ms_ = 0;
}

auto WorkerSession::PollAt(Millis when) -> void {
  is_polling_ = true;
  next_ms_ = when;
}

}  // namespace lentilscale
