// A decaying maximum: it rises at once with a larger report and sinks by a
// small part with each smaller one. It needs two numbers per class, follows
// growth without lag, and forgets an outlier after some dozens of reports. A
// quantile sketch would pack a little better for classes with long tails.

#include "lentilscale/size_model.h"

#include <algorithm>
#include <cmath>

namespace lentilscale {
namespace {

constexpr std::int64_t kReportsNeeded = 3;
constexpr double kDecay = 0.02;
constexpr double kHeadroom = 1.15;
constexpr double kOutOfMemoryGrowth = 2.0;
constexpr std::size_t kMaxClasses = 20000;

auto ClassKey(const std::string& team, const std::string& work_class)
    -> std::string {
  return team + "/" + work_class;
}

auto RaiseOrDecay(double old, double report) -> double {
  return report >= old ? report : old + (report - old) * kDecay;
}

}  // namespace

auto SizeModel::OnUsage(const std::string& team, const std::string& work_class,
                        const Resources& used) -> void {
  if (classes_.size() >= kMaxClasses) {
    // Callers choose class names; forgetting all is safe and bounds memory.
    classes_.clear();
  }
  auto& learned = classes_[ClassKey(team, work_class)];
  ++learned.reports_;
  learned.cpu_milli_ =
      RaiseOrDecay(learned.cpu_milli_, static_cast<double>(used.cpu_milli_));
  learned.memory_mb_ =
      RaiseOrDecay(learned.memory_mb_, static_cast<double>(used.memory_mb_));
}

auto SizeModel::OnOutOfMemory(const std::string& team,
                              const std::string& work_class,
                              const Resources& reserved) -> void {
  auto& learned = classes_[ClassKey(team, work_class)];
  learned.memory_floor_mb_ =
      std::max(learned.memory_floor_mb_,
               static_cast<double>(reserved.memory_mb_) * kOutOfMemoryGrowth);
}

auto SizeModel::Reservation(const std::string& team,
                            const std::string& work_class,
                            const Resources& declared) const -> Resources {
  const auto it = classes_.find(ClassKey(team, work_class));
  if (it == classes_.end()) {
    return declared;
  }
  const auto& learned = it->second;
  auto out = declared;
  if (learned.reports_ >= kReportsNeeded) {
    out.cpu_milli_ =
        static_cast<std::int64_t>(std::ceil(learned.cpu_milli_ * kHeadroom));
    out.memory_mb_ =
        static_cast<std::int64_t>(std::ceil(learned.memory_mb_ * kHeadroom));
  }
  out.memory_mb_ = std::max(
      out.memory_mb_, static_cast<std::int64_t>(learned.memory_floor_mb_));
  return out;
}

}  // namespace lentilscale
