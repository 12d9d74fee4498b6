// Admission by the rate of service, as in DAGOR (Zhou and others, 2018), with
// the rate measured instead of probed for: the share follows from what is
// offered and what is served in one step, and the queue's length only corrects
// errors of the two. A share that was stepped up and down until the queue is
// short would need many steps for each change of the load, and be wrong
// meanwhile by more than urgent jobs can wait.

#include "fleet/admitted_share.h"

#include <algorithm>
#include <cmath>

namespace lentilscale::fleet {
namespace {

constexpr Millis kOfferWindowMs = 1000;
// Time until instances apply a new share, on average: half of the interval of
// their reports (FleetNode), and the ways there and back.
constexpr Millis kReportDelayMs = 200;
// Wait for starts that is aimed at, as a share of the jobs' slack: long enough
// that the class always has something to start, and short enough that a job
// with several steps can wait for each.
constexpr double kTargetSlackShare = 0.3;
// Jobs that wait at least, on average: fewer than one can't, so that classes
// whose jobs take a good part of their slack to start would get none.
constexpr double kMinJobsAhead = 1.5;
// Part by which the mean size of a job follows that of a new one.
constexpr double kSmoothing = 0.05;
// Jobs with less slack are treated as if they had this much: shorter waits
// can't be told from none.
constexpr Millis kMinSlackMs = 200;
// Lowest rate at which tasks are let in, as a factor of the rate at which they
// are started: what waits gets late by itself, and then yields.
constexpr double kMinRateFactor = 0.5;
constexpr double kMinShare = 0.02;
// Late work that takes longer lowers the rate; at twice that time it is at its
// lowest, as a factor.
constexpr Millis kMaxDrainMs = 10000;
constexpr double kMinDrainFactor = 0.5;
// Factor by which the share grows a second while the wait is short: the rate is
// then not known, or that of a class that waits for other things than starts.
constexpr double kGrowthPerS = 2;
// By how much it grows besides, so that a small share is soon a useful one.
constexpr double kIncreasePerS = 0.2;
constexpr double kMsPerS = 1000;

}  // namespace

auto AdmittedShare::ValueInForce(Millis now_ms) -> double {
  while (changes_.size() > 1 && changes_[1].at_ms_ + kReportDelayMs <= now_ms) {
    changes_.pop_front();
  }
  return changes_.empty() ? 1 : changes_.front().value_;
}

auto AdmittedShare::OnAdmitted(int tasks, Millis now_ms) -> void {
  const auto offered = tasks / ValueInForce(now_ms);
  offers_.push_back({now_ms, offered});
  job_tasks_ += job_tasks_ == 0 ? tasks : kSmoothing * (tasks - job_tasks_);
  offered_tasks_ += offered;
}

auto AdmittedShare::OfferedPerS(Millis now_ms) -> double {
  while (!offers_.empty() &&
         offers_.front().at_ms_ <= now_ms - kOfferWindowMs) {
    offered_tasks_ -= offers_.front().tasks_;
    offers_.pop_front();
  }
  if (offers_.empty()) {
    offered_tasks_ = 0;
  }
  return offered_tasks_ * kMsPerS / kOfferWindowMs;
}

auto AdmittedShare::Update(const Sample& sample, Millis now_ms) -> void {
  const auto elapsed_s = static_cast<double>(now_ms - updated_ms_) / kMsPerS;
  updated_ms_ = now_ms;
  const auto offered_per_s = OfferedPerS(now_ms);
  const auto slack_s =
      static_cast<double>(std::max(sample.slack_ms_, kMinSlackMs)) / kMsPerS;
  const auto in_slack = slack_s * sample.per_s_;
  const auto ahead = static_cast<double>(sample.tasks_ahead_);
  const auto aimed_ahead =
      std::max(kTargetSlackShare * in_slack, kMinJobsAhead * job_tasks_);
  const auto excess = static_cast<double>(sample.drain_ms_ - kMaxDrainMs) /
                      static_cast<double>(kMaxDrainMs);
  if (excess <= 0 && (!sample.is_held_back_ || ahead < aimed_ahead)) {
    value_ = std::min(1.0, value_ * std::pow(kGrowthPerS, elapsed_s) +
                               kIncreasePerS * elapsed_s);
  } else if (sample.per_s_ > 0 && offered_per_s > 0) {
    const auto factor =
        std::clamp(1 - (ahead - aimed_ahead) / in_slack, kMinRateFactor, 1.0) *
        std::clamp(1 - excess, kMinDrainFactor, 1.0);
    value_ = std::clamp(factor * sample.per_s_ / offered_per_s, kMinShare, 1.0);
  }
  if (changes_.empty() || changes_.back().value_ != value_) {
    changes_.push_back({now_ms, value_});
  }
}

}  // namespace lentilscale::fleet
