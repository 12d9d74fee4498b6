// Entries are kept in a map by key and in a queue by age. They are removed
// after the retention period, and a request issued before it is reported as
// unknown. This bounds memory to request rate times retention period, and no
// request runs twice.
//
// A replica of the table on another instance would cost a message per request
// and would still fail if both instances failed at once. The horizon also holds
// in that case.

#include "lentilscale/request_table.h"

#include <algorithm>

namespace lentilscale {

auto RequestTable::Open(Millis horizon) -> void {
  horizon_ms_ = horizon;
  entries_.clear();
  expiry_queue_.clear();
}

auto RequestTable::OpenFrom(const RequestSnapshot& snapshot) -> void {
  Open(snapshot.horizon_ms_);
  for (const auto& entry : snapshot.entries_) {
    entries_[entry.key_] = {entry.issued_ms_, entry.is_ended_, entry.answer_};
    expiry_queue_.push_back({entry.issued_ms_, entry.key_});
  }
  std::sort(expiry_queue_.begin(), expiry_queue_.end(),
            [](const auto& a, const auto& b) {
              return a.retained_from_ms_ < b.retained_from_ms_;
            });
}

auto RequestTable::Begin(const RequestKey& key, Millis issued, Millis now,
                         Millis authority_expiry) -> RequestDecision {
  const auto it = entries_.find(key);
  if (it != entries_.end()) {
    const auto kind = it->second.is_ended_ ? RequestDecision::Kind::kEnded
                                           : RequestDecision::Kind::kRunning;
    return {kind, it->second.answer_};
  }
  const auto is_too_new =
      issued > authority_expiry || issued > now + options_.clock_skew_ms_;
  if (is_too_new) {
    return {RequestDecision::Kind::kNoAuthority, {}};
  }
  const auto is_too_old =
      issued < horizon_ms_ || issued < now - options_.retention_ms_;
  if (is_too_old) {
    return {RequestDecision::Kind::kUnknown, {}};
  }
  entries_[key] = {issued, false, {}};
  expiry_queue_.push_back({issued, key});
  return {RequestDecision::Kind::kFresh, {}};
}

auto RequestTable::End(const RequestKey& key, const StoredAnswer& answer)
    -> void {
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    return;
  }
  it->second.is_ended_ = true;
  it->second.answer_ = answer;
  if (answer.body_.size() > options_.max_stored_answer_bytes_) {
    it->second.answer_ = {};
  }
}

auto RequestTable::Forget(const RequestKey& key) -> void {
  entries_.erase(key);
}

auto RequestTable::Expire(Millis now) -> void {
  // Twice the clock skew, because the clock of the caller may be ahead and that
  // of the instance behind.
  const auto limit = now - options_.retention_ms_ - 2 * options_.clock_skew_ms_;
  while (!expiry_queue_.empty() &&
         expiry_queue_.front().retained_from_ms_ < limit) {
    const auto it = entries_.find(expiry_queue_.front().key_);
    const auto may_run = it != entries_.end() && !it->second.is_ended_ &&
                         it->second.issued_ms_ >= now - options_.max_run_ms_;
    if (may_run) {
      // Check again after another retention period.
      expiry_queue_.push_back({now, expiry_queue_.front().key_});
    } else if (it != entries_.end()) {
      entries_.erase(it);
    }
    expiry_queue_.pop_front();
  }
}

auto RequestTable::Snapshot() const -> RequestSnapshot {
  RequestSnapshot out;
  out.horizon_ms_ = horizon_ms_;
  for (const auto& [key, entry] : entries_) {
    out.entries_.push_back(
        {key, entry.issued_ms_, entry.is_ended_, entry.answer_});
  }
  return out;
}

}  // namespace lentilscale
