// Peak use is a decaying maximum: it rises at once to a larger report and falls
// by a small fraction of the difference with each smaller one. It needs two
// numbers per class, follows growth without lag, and forgets an outlier after
// some dozens of reports. A quantile sketch would pack slightly better for
// classes with long-tailed use.

#include "lentilscale/size_model.h"

#include <algorithm>
#include <cmath>

namespace lentilscale {
namespace {

constexpr std::int64_t kMinReports = 3;
constexpr double kDecayPerReport = 0.02;
constexpr double kHeadroomFactor = 1.15;
constexpr double kOutOfMemoryGrowthFactor = 2.0;
constexpr std::size_t kMaxClasses = 20000;

auto ClassKey(const std::string& team, const std::string& work_class)
    -> std::string {
  return team + "/" + work_class;
}

auto DecayingMax(double old, double report) -> double {
  return report >= old ? report : old + (report - old) * kDecayPerReport;
}

}  // namespace

auto SizeModel::OnUsage(const std::string& team, const std::string& work_class,
                        const Resources& used) -> void {
  if (classes_.size() >= kMaxClasses) {
    // Callers choose class names, so the number of classes must be bounded.
    // Clearing all is safe: declared sizes apply until new reports arrive.
    classes_.clear();
  }
  auto& usage = classes_[ClassKey(team, work_class)];
  ++usage.report_count_;
  usage.cpu_milli_ =
      DecayingMax(usage.cpu_milli_, static_cast<double>(used.cpu_milli_));
  usage.memory_mb_ =
      DecayingMax(usage.memory_mb_, static_cast<double>(used.memory_mb_));
}

auto SizeModel::OnOutOfMemory(const std::string& team,
                              const std::string& work_class,
                              const Resources& reserved) -> void {
  auto& usage = classes_[ClassKey(team, work_class)];
  usage.min_memory_mb_ =
      std::max(usage.min_memory_mb_, static_cast<double>(reserved.memory_mb_) *
                                         kOutOfMemoryGrowthFactor);
}

auto SizeModel::Reservation(const std::string& team,
                            const std::string& work_class,
                            const Resources& declared) const -> Resources {
  const auto it = classes_.find(ClassKey(team, work_class));
  if (it == classes_.end()) {
    return declared;
  }
  const auto& usage = it->second;
  auto out = declared;
  if (usage.report_count_ >= kMinReports) {
    out.cpu_milli_ = static_cast<std::int64_t>(
        std::ceil(usage.cpu_milli_ * kHeadroomFactor));
    out.memory_mb_ = static_cast<std::int64_t>(
        std::ceil(usage.memory_mb_ * kHeadroomFactor));
  }
  out.memory_mb_ =
      std::max(out.memory_mb_, static_cast<std::int64_t>(usage.min_memory_mb_));
  return out;
}

}  // namespace lentilscale
