// Counting consecutive failures per worker and crossing them with the groups
// that failed separates the two causes without statistics: a bad worker fails
// groups that succeed elsewhere, a poisonous group fails everywhere.

#include "lentilscale/worker_health.h"

#include <algorithm>

namespace lentilscale {
namespace {

constexpr std::size_t kMaxGroups = 20000;

}  // namespace

auto WorkerHealth::OnEnd(const std::string& worker, const std::string& group,
                         bool is_ok, Millis now) -> bool {
  if (groups_.size() >= kMaxGroups) {
    groups_.clear();
  }
  auto& group_state = groups_[group];
  auto& state = workers_[worker];
  if (is_ok) {
    group_state.has_succeeded_ = true;
    group_state.failed_on_.clear();
    state = WorkerState{};
    return false;
  }
  group_state.failed_on_.insert(worker);
  if (IsPoisonous(group)) {
    return false;
  }
  ++state.failures_;
  if (state.failures_ < options_.failures_ || state.until_ms_ > now) {
    return false;
  }
  state.wait_ms_ = state.wait_ms_ == 0 ? options_.first_wait_ms_
                                       : std::min(2 * state.wait_ms_,
                                                  options_.longest_wait_ms_);
  state.until_ms_ = now + state.wait_ms_;
  // After the wait a single further failure sets it aside again.
  state.failures_ = options_.failures_ - 1;
  return true;
}

auto WorkerHealth::IsQuarantined(const std::string& worker, Millis now) const
    -> bool {
  const auto it = workers_.find(worker);
  return it != workers_.end() && it->second.until_ms_ > now;
}

auto WorkerHealth::IsPoisonous(const std::string& group) const -> bool {
  const auto it = groups_.find(group);
  return it != groups_.end() &&
         it->second.failed_on_.size() >= options_.poisonous_workers_;
}

}  // namespace lentilscale
