// What callers got is worked out from the jobs once a world has ended, so that
// any interval can be asked for.

#include <algorithm>
#include <numeric>

#include "lentilscale/clock.h"
#include "testing/load_world_stand_in.h"

namespace lentilscale::fleet {
namespace {

// Time until the use of the workers has reached its mean.
constexpr Millis kWarmUpMs = 5000;
constexpr double kLateFactor = 3;
constexpr double kLateCredit = 0.2;

auto Quantile(std::vector<Millis> times, double quantile) -> Millis {
  if (times.empty()) {
    return 0;
  }
  std::sort(times.begin(), times.end());
  return times[static_cast<std::size_t>(quantile *
                                        static_cast<double>(times.size() - 1))];
}

}  // namespace

auto LoadResult::StartWaitMs(double quantile) const -> Millis {
  return Quantile(start_waits_ms_, quantile);
}

auto LoadResult::AdviceWaitMs(double quantile) const -> Millis {
  return Quantile(advice_waits_ms_, quantile);
}

auto LoadResult::RestartWaitMs(double quantile) const -> Millis {
  return Quantile(restart_waits_ms_, quantile);
}

auto LoadWorld::SampleUse() -> void {
  const auto since = BootMs() - began_ms_;
  if (since < kWarmUpMs || since > scenario_.traffic_ms_) {
    return;
  }
  Resources used;
  Resources capacity;
  for (const auto& [id, worker] : workers_) {
    used += worker.used_;
    capacity += worker.entry_.capacity_;
  }
  used_share_sum_ += used.DominantShare(capacity);
  ++used_share_samples_;
}

auto LoadWorld::UsedShare() const -> double {
  return used_share_samples_ == 0 ? 0 : used_share_sum_ / used_share_samples_;
}

auto LoadWorld::ModelJob::CountTasks() const -> int {
  return std::accumulate(
      record_.steps_.begin(), record_.steps_.end(), 0,
      [](int sum, const Step& step) { return sum + step.count_; });
}

auto LoadWorld::ResultOf(const std::string& queue, Millis begin_ms,
                         Millis end_ms) const -> LoadResult {
  LoadResult result;
  for (const auto& [id, job] : jobs_) {
    const auto since = job.submitted_ms_ - began_ms_;
    if (job.kind_->queue_ != queue || since < begin_ms || since >= end_ms) {
      continue;
    }
    ++result.jobs_;
    result.tasks_ += job.CountTasks();
    result.owed_ += job.credit_;
    if (job.is_refused_) {
      ++result.refused_;
      result.refused_tasks_ += job.CountTasks();
      continue;
    }
    const auto took = job.ended_ms_ - job.submitted_ms_;
    if (job.ended_ms_ != 0 && took <= job.objective_ms_) {
      ++result.timely_;
      result.timely_tasks_ += job.CountTasks();
      result.earned_ += job.credit_;
    } else if (job.ended_ms_ != 0 &&
               static_cast<double>(took) <=
                   kLateFactor * static_cast<double>(job.objective_ms_)) {
      ++result.late_;
      result.earned_ += kLateCredit * job.credit_;
    }
    for (std::size_t s = 0; s < job.started_ms_.size(); ++s) {
      if (job.ready_ms_[s] != 0) {
        result.unstarted_steps_ += job.started_ms_[s] == 0 ? 1 : 0;
      }
      if (job.ready_ms_[s] != 0 && job.kind_->is_advised_) {
        result.advice_waits_ms_.push_back(
            (job.advised_ms_[s] != 0 ? job.advised_ms_[s] : BootMs()) -
            job.ready_ms_[s]);
      }
      if (job.started_ms_[s] != 0) {
        result.start_waits_ms_.push_back(job.started_ms_[s] - job.ready_ms_[s]);
      }
    }
  }
  for (const auto& start : starts_) {
    if (start.kind_->queue_ == queue && start.ms_ >= begin_ms &&
        start.ms_ < end_ms) {
      ++result.starts_;
      result.late_starts_ += start.is_late_ ? 1 : 0;
    }
  }
  for (const auto& failure : failures_) {
    if (failure.kind_->queue_ == queue && failure.ms_ >= begin_ms &&
        failure.ms_ < end_ms) {
      result.restart_waits_ms_.push_back(
          failure.restarted_ms_.value_or(BootMs() - began_ms_) - failure.ms_);
    }
  }
  return result;
}

auto LoadWorld::RefusedTicketShare() const -> double {
  return starts_.empty() ? 0
                         : static_cast<double>(refused_tickets_) /
                               static_cast<double>(starts_.size());
}

auto LoadWorld::StartsBetween(Millis begin_ms, Millis end_ms) const
    -> std::ptrdiff_t {
  return std::count_if(starts_.begin(), starts_.end(), [&](const auto& start) {
    return start.ms_ >= begin_ms && start.ms_ < end_ms;
  });
}

}  // namespace lentilscale::fleet
