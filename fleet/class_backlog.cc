// Little's law over a sliding window: the tasks ahead divided by the rate at
// which they are started.

#include "fleet/class_backlog.h"

#include <algorithm>

namespace lentilscale::fleet {
namespace {

// The rate is that of the last window, and unknown before starts have been held
// back for the shortest one.
constexpr Millis kRateWindowMs = 2000;
constexpr Millis kMinRateWindowMs = 500;
// Counts that are further apart are those of two backlogs: in between nothing
// waited, or nothing could be started.
constexpr Millis kMaxCountGapMs = 300;
constexpr Millis kMaxWaitMs = 60000;
constexpr double kMsPerS = 1000;

}  // namespace

auto ClassBacklog::Update(const Sample& sample, Millis now_ms) -> void {
  tasks_ahead_ = sample.tasks_ahead_;
  per_ms_ = 0;
  if (!sample.is_held_back_) {
    counts_.clear();
    return;
  }
  if (!counts_.empty() && now_ms - counts_.back().at_ms_ > kMaxCountGapMs) {
    counts_.clear();
  }
  counts_.push_back({now_ms, sample.started_});
  // The oldest count is as old as the window or, at first, younger.
  while (counts_.size() > 1 && now_ms - counts_[1].at_ms_ >= kRateWindowMs) {
    counts_.pop_front();
  }
  const auto window_ms = now_ms - counts_.front().at_ms_;
  if (window_ms < kMinRateWindowMs) {
    return;
  }
  const auto started =
      static_cast<double>(sample.started_ - counts_.front().started_);
  per_ms_ = std::max({started / static_cast<double>(window_ms),
                      sample.share_per_s_ / kMsPerS,
                      1.0 / static_cast<double>(window_ms)});
}

auto ClassBacklog::StartsPerS() const -> double { return per_ms_ * kMsPerS; }

auto ClassBacklog::WaitMs(std::initializer_list<const ClassBacklog*> classes)
    -> Millis {
  std::int64_t tasks = 0;
  auto per_ms = 0.0;
  for (const auto* backlog : classes) {
    if (backlog->per_ms_ > 0) {
      tasks += backlog->tasks_ahead_;
      per_ms += backlog->per_ms_;
    }
  }
  return per_ms == 0 ? 0
                     : static_cast<Millis>(
                           std::min(static_cast<double>(kMaxWaitMs),
                                    static_cast<double>(tasks) / per_ms));
}

}  // namespace lentilscale::fleet
