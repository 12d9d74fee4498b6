// The estimate is that of TCP's retransmission timer (RFC 6298): a decaying
// mean plus a multiple of the decaying mean deviation, and doubled while there
// is no answer. It needs three numbers per class and follows changes within a
// few calls.
//
// A call that was given up is known to take longer than it was waited for, but
// not how much longer, so that a mean over such bounds would stay too low.
// Doubling finds the time of a class within some calls, and the next answer
// ends it, since the silence of a worker says nothing about the class.

#include "lentilscale/call_time_model.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace lentilscale {
namespace {

constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kDeviationFactor = 4;
constexpr double kGrowthFactor = 2;
// The least time that is doubled, in milliseconds.
constexpr double kMinRaisedMs = 1;
constexpr std::size_t kMaxClasses = 20000;

auto ClassKey(const std::string& team, const std::string& work_class)
    -> std::string {
  return team + "/" + work_class;
}

}  // namespace

auto CallTimeModel::UpperEstimateMs(const CallTime& time) -> double {
  return std::max(time.raised_ms_,
                  time.mean_ms_ + kDeviationFactor * time.deviation_ms_);
}

auto CallTimeModel::GetOrAdd(const std::string& team,
                             const std::string& work_class) -> CallTime& {
  if (classes_.size() >= kMaxClasses) {
    // Callers choose class names, so the number of classes must be bounded.
    // Clearing all is safe: without an estimate, deadlines apply as they are.
    classes_.clear();
  }
  return classes_[ClassKey(team, work_class)];
}

auto CallTimeModel::OnAnswered(const std::string& team,
                               const std::string& work_class, Millis answer_ms)
    -> void {
  auto& time = GetOrAdd(team, work_class);
  const auto sample = static_cast<double>(answer_ms);
  if (time.has_answer_) {
    const auto error = sample - time.mean_ms_;
    time.deviation_ms_ +=
        kDeviationGain * (std::abs(error) - time.deviation_ms_);
    time.mean_ms_ += kMeanGain * error;
  } else {
    time.has_answer_ = true;
    time.mean_ms_ = sample;
  }
  time.raised_ms_ = 0;
}

auto CallTimeModel::OnUnanswered(const std::string& team,
                                 const std::string& work_class,
                                 Millis waited_ms) -> void {
  auto& time = GetOrAdd(team, work_class);
  const auto expected = UpperEstimateMs(time);
  // Of calls that were given up together, only the first raises it.
  if (static_cast<double>(waited_ms) >= std::ceil(expected)) {
    time.raised_ms_ = std::max(kMinRaisedMs, expected * kGrowthFactor);
  }
}

auto CallTimeModel::ExpectedMs(const std::string& team,
                               const std::string& work_class) const -> Millis {
  const auto it = classes_.find(ClassKey(team, work_class));
  return it == classes_.end()
             ? 0
             : static_cast<Millis>(std::ceil(UpperEstimateMs(it->second)));
}

}  // namespace lentilscale
