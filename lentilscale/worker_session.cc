// An answer that arrives after a later one is recognized by its sequence number
// and dropped, because its list of running tasks may be out of date. Sequence
// numbers and clocks are compared within an incarnation of the worker only.
// Incarnations have no order: one that answers a request is the present one
// unless another has answered since the request was sent.
//
// LatestExpiryMs relies on the echo rule: a renewal extends the session to the
// worker's clock in the last answer that this owner has received, plus the
// session's TTL. The worker read that clock before the answer arrived here, so
// the arrival of the last answer plus the TTL is never too early, even if the
// answer to a renewal was lost or a pause of this process delayed a renewal.

#include "lentilscale/worker_session.h"

#include <algorithm>
#include <utility>

namespace lentilscale {
namespace {

auto EraseKeys(std::set<std::string>& set, const std::vector<std::string>& keys)
    -> void {
  for (const auto& key : keys) {
    set.erase(key);
  }
}

}  // namespace

WorkerSession::WorkerSession(WorkerInfo info, std::string shard,
                             std::int64_t epoch, const Options& options,
                             Millis previous_expiry_ms)
    : info_(std::move(info)),
      shard_(std::move(shard)),
      epoch_(epoch),
      options_(options),
      previous_expiry_ms_(previous_expiry_ms) {}

auto WorkerSession::IsRequestDue(Millis now) const -> bool {
  const auto is_urgent = !stop_keys_.empty() || !cancel_keys_.empty();
  if (is_renewal_pending_) {
    // The worker may hold the renewal; an urgent request releases it.
    return is_urgent && !is_urgent_request_pending_ &&
           phase_ == Phase::kReady && now >= next_request_ms_;
  }
  return now >= next_request_ms_;
}

auto WorkerSession::BeginRequest() -> SessionRequest {
  SessionRequest request;
  request.owner_ = options_.owner_;
  request.epoch_ = epoch_;
  request.session_ttl_ms_ = options_.session_ttl_ms_;
  request.echoed_clock_ms_ =
      phase_ == Phase::kReady ? last_worker_clock_ms_ : 0;
  request.incarnation_ = incarnation_;
  request.acknowledged_keys_.assign(acknowledged_keys_.begin(),
                                    acknowledged_keys_.end());
  request.stop_keys_.assign(stop_keys_.begin(), stop_keys_.end());
  request.cancel_keys_.assign(cancel_keys_.begin(), cancel_keys_.end());
  const auto is_urgent = !stop_keys_.empty() || !cancel_keys_.empty();
  if (is_renewal_pending_) {
    is_urgent_request_pending_ = true;
  } else {
    is_renewal_pending_ = true;
    const auto can_wait =
        phase_ == Phase::kReady && !is_urgent && !is_poll_requested_;
    request.max_wait_ms_ = can_wait ? options_.renew_interval_ms_ : 0;
  }
  is_poll_requested_ = false;
  return request;
}

auto WorkerSession::EndRequest(const SessionRequest& request) -> void {
  // The renewal is the request with a maximum wait, or the only one
  // outstanding.
  if (is_urgent_request_pending_ && request.max_wait_ms_ == 0) {
    is_urgent_request_pending_ = false;
  } else {
    is_renewal_pending_ = false;
  }
}

auto WorkerSession::OnAnswer(const SessionRequest& request,
                             const SessionAnswer& answer, Millis now) -> bool {
  EndRequest(request);
  consecutive_failures_ = 0;
  if (!ProcessAnswer(request, answer, now)) {
    return false;
  }
  next_request_ms_ = now;
  return true;
}

auto WorkerSession::OnLateAnswer(const SessionRequest& request,
                                 const SessionAnswer& answer, Millis now)
    -> bool {
  return ProcessAnswer(request, answer, now);
}

auto WorkerSession::ProcessAnswer(const SessionRequest& request,
                                  const SessionAnswer& answer, Millis now)
    -> bool {
  const auto is_present = answer.incarnation_ == incarnation_;
  const auto was_sent_to_present = request.incarnation_ == incarnation_;
  if (!is_present && !was_sent_to_present) {
    return false;
  }
  if (was_sent_to_present) {
    EraseKeys(acknowledged_keys_, request.acknowledged_keys_);
    EraseKeys(stop_keys_, request.stop_keys_);
    EraseKeys(cancel_keys_, request.cancel_keys_);
  }
  if (is_present && answer.sequence_ <= last_sequence_) {
    return false;
  }
  const auto has_restarted = !is_present && incarnation_ != 0;
  if (has_restarted) {
    ClearKeys();
    phase_ = Phase::kClaiming;
  } else if (phase_ != Phase::kReady) {
    if (request.echoed_clock_ms_ != 0 || !was_sent_to_present) {
      return false;
    }
    phase_ = Phase::kReady;
  }
  is_loss_reported_ = false;
  last_sequence_ = answer.sequence_;
  incarnation_ = answer.incarnation_;
  last_worker_clock_ms_ = answer.clock_ms_;
  last_answer_ms_ = now;
  return true;
}

auto WorkerSession::OnFailure(const SessionRequest& request, Millis now)
    -> void {
  EndRequest(request);
  ++consecutive_failures_;
  next_request_ms_ = now + options_.retry_interval_ms_;
}

auto WorkerSession::LatestExpiryMs() const -> Millis {
  const auto own_expiry_ms = last_answer_ms_ == 0
                                 ? 0
                                 : last_answer_ms_ + options_.session_ttl_ms_ +
                                       options_.clock_drift_margin_ms_;
  return std::max(own_expiry_ms, previous_expiry_ms_);
}

auto WorkerSession::EarliestWorkerClockMs(Millis now) const -> Millis {
  const auto age_ms = now - last_answer_ms_;
  const auto drift_ms =
      age_ms * options_.clock_drift_margin_ms_ / options_.session_ttl_ms_;
  return last_worker_clock_ms_ + age_ms - drift_ms;
}

auto WorkerSession::MarkLostIfExpired(Millis now) -> bool {
  if (is_loss_reported_ || consecutive_failures_ == 0 ||
      now < LatestExpiryMs()) {
    return false;
  }
  phase_ = Phase::kLost;
  is_loss_reported_ = true;
  ClearKeys();
  return true;
}

auto WorkerSession::ClearKeys() -> void {
  acknowledged_keys_.clear();
  stop_keys_.clear();
  cancel_keys_.clear();
}

auto WorkerSession::Stop(const std::string& key) -> void {
  stop_keys_.insert(key);
  next_request_ms_ = 0;
}

auto WorkerSession::Cancel(const std::string& key) -> void {
  cancel_keys_.insert(key);
  next_request_ms_ = 0;
}

auto WorkerSession::PollAt(Millis when) -> void {
  is_poll_requested_ = true;
  next_request_ms_ = when;
}

}  // namespace lentilscale
