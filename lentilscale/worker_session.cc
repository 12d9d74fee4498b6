// One request is outstanding at a time, so that answers cannot overtake each
// other. The expiry bound rests on the echo rule: a renewal extends the
// session to the worker's clock in the last answer that this owner has seen,
// plus the term. That clock was read before the answer arrived here, so
// "arrival of the last answer + term" is never too early, even if a renewal
// was sent and its answer lost, or was delayed by a pause of this process.

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
  return !is_waiting_ && now >= next_ms_;
}

auto WorkerSession::Begin(Millis /*now*/) -> SessionRequest {
  is_waiting_ = true;
  SessionRequest request;
  request.owner_ = options_.owner_;
  request.epoch_ = epoch_;
  request.session_ms_ = options_.session_ms_;
  request.echo_ms_ = phase_ == Phase::kReady ? echo_ms_ : 0;
  request.acknowledged_.assign(acknowledged_.begin(), acknowledged_.end());
  request.stopped_.assign(stopped_.begin(), stopped_.end());
  request.cancelled_.assign(cancelled_.begin(), cancelled_.end());
  in_flight_ = request;
  return request;
}

auto WorkerSession::OnAnswer(const SessionAnswer& answer, Millis now) -> void {
  is_waiting_ = false;
  failures_ = 0;
  phase_ = Phase::kReady;
  is_lost_taken_ = false;
  echo_ms_ = answer.clock_ms_;
  last_answer_ms_ = now;
  EraseAll(acknowledged_, in_flight_.acknowledged_);
  EraseAll(stopped_, in_flight_.stopped_);
  EraseAll(cancelled_, in_flight_.cancelled_);
  const auto has_more = !stopped_.empty() || !cancelled_.empty();
  next_ms_ = has_more ? now : now + options_.renew_ms_;
}

auto WorkerSession::OnFailure(Millis now) -> void {
  is_waiting_ = false;
  ++failures_;
  next_ms_ = now + options_.retry_ms_;
}

auto WorkerSession::ExpiryBound() const -> Millis {
  const auto own = last_answer_ms_ == 0
                       ? 0
                       : last_answer_ms_ + options_.session_ms_ +
                             options_.drift_ms_;
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

auto WorkerSession::RenewBy(Millis when) -> void {
  next_ms_ = std::min(next_ms_, when);
}

}  // namespace lentilscale
