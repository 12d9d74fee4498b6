// Consecutive failures per worker, together with the set of workers on which
// each group failed, separate the two causes without statistics: a bad worker
// fails groups that succeed elsewhere, and a faulty group fails everywhere.

#include "lentilscale/worker_health.h"

#include <algorithm>

namespace lentilscale {
namespace {

// Bounds the memory for groups; beyond it, all are forgotten.
constexpr std::size_t kMaxGroups = 20000;

}  // namespace

auto WorkerHealth::OnTaskEnd(const std::string& worker,
                             const std::string& group, bool is_ok, Millis now)
    -> bool {
  if (groups_.size() >= kMaxGroups) {
    groups_.clear();
  }
  auto& group_state = groups_[group];
  auto& state = workers_[worker];
  if (is_ok) {
    group_state.has_succeeded_ = true;
    group_state.failed_workers_.clear();
    state = WorkerState{};
    return false;
  }
  group_state.failed_workers_.insert(worker);
  if (IsGroupFaulty(group)) {
    return false;
  }
  ++state.consecutive_failures_;
  if (state.consecutive_failures_ < options_.quarantine_failures_ ||
      state.quarantined_until_ms_ > now) {
    return false;
  }
  state.quarantine_ms_ =
      state.quarantine_ms_ == 0
          ? options_.min_quarantine_ms_
          : std::min(2 * state.quarantine_ms_, options_.max_quarantine_ms_);
  state.quarantined_until_ms_ = now + state.quarantine_ms_;
  // After the quarantine, a single further failure starts the next one.
  state.consecutive_failures_ = options_.quarantine_failures_ - 1;
  return true;
}

auto WorkerHealth::IsQuarantined(const std::string& worker, Millis now) const
    -> bool {
  const auto it = workers_.find(worker);
  return it != workers_.end() && it->second.quarantined_until_ms_ > now;
}

auto WorkerHealth::IsGroupFaulty(const std::string& group) const -> bool {
  const auto it = groups_.find(group);
  return it != groups_.end() &&
         it->second.failed_workers_.size() >= options_.faulty_group_workers_;
}

}  // namespace lentilscale
