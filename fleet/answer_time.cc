// The smoothed mean and mean deviation of TCP's retransmission timer (RFC 6298)
// follow a delay that rises within one sample: the deviation grows with the
// first answer that is out of the ordinary. Late answers are samples, too, as
// each belongs to one call; an estimate from answers in time alone could not
// rise above its own timeout.

#include "fleet/answer_time.h"

#include <algorithm>
#include <cmath>

namespace lentilscale::fleet {
namespace {

// The gains of RFC 6298.
constexpr double kWorkerMeanGain = 1.0 / 8;
constexpr double kWorkerDeviationGain = 1.0 / 4;
// The answers of some tens of workers move the estimate for all.
constexpr double kFleetMeanGain = 1.0 / 64;
constexpr double kFleetDeviationGain = 1.0 / 32;
constexpr double kDeviations = 4;
// Least distance from the mean: a steady delay has no deviation.
constexpr double kMinMarginMs = 250;

}  // namespace

AnswerTime::AnswerTime(double mean_gain, double deviation_gain, bool has_sample)
    : mean_gain_(mean_gain),
      deviation_gain_(deviation_gain),
      has_sample_(has_sample) {}

auto AnswerTime::ForWorker() -> AnswerTime {
  return {kWorkerMeanGain, kWorkerDeviationGain, false};
}

// The first sample must not decide for all workers.
auto AnswerTime::ForFleet() -> AnswerTime {
  return {kFleetMeanGain, kFleetDeviationGain, true};
}

auto AnswerTime::AddSample(Millis answer_ms) -> void {
  UpdateRecentPeak(answer_ms);
  UpdateMean(answer_ms);
}

auto AnswerTime::UpdateRecentPeak(Millis answer_ms) -> void {
  recent_peak_ms_ = std::max(answer_ms, recent_peak_ms_ / 2);
}

auto AnswerTime::UpdateMean(Millis answer_ms) -> void {
  const auto sample = static_cast<double>(
      std::clamp<Millis>(answer_ms, 0, kMaxAnswerTimeoutMs));
  if (!has_sample_) {
    has_sample_ = true;
    mean_ms_ = sample;
    deviation_ms_ = sample / 2;
    return;
  }
  deviation_ms_ +=
      deviation_gain_ * (std::abs(sample - mean_ms_) - deviation_ms_);
  mean_ms_ += mean_gain_ * (sample - mean_ms_);
}

auto AnswerTime::AddWaitingCall(Millis answer_ms, Millis wait_ms,
                                bool is_wait_over) -> void {
  const auto beyond_wait = answer_ms - wait_ms;
  UpdateRecentPeak(beyond_wait);
  const auto is_exact = wait_ms == 0 || (is_wait_over && beyond_wait >= 0);
  if (is_exact || static_cast<double>(beyond_wait) > mean_ms_) {
    UpdateMean(beyond_wait);
  }
}

auto AnswerTime::UpperEstimateMs() const -> Millis {
  return static_cast<Millis>(
      mean_ms_ + std::max(kMinMarginMs, kDeviations * deviation_ms_));
}

auto AnswerTimeoutMs(const AnswerTime& worker, const AnswerTime& fleet)
    -> Millis {
  return std::clamp(std::max(worker.UpperEstimateMs(), fleet.UpperEstimateMs()),
                    kMinAnswerTimeoutMs, kMaxAnswerTimeoutMs);
}

}  // namespace lentilscale::fleet
