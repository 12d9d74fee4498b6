// A fixed time, divided by what a start has taken lately. The mean is smoothed,
// as a single start may have been interrupted.

#include "fleet/pass_budget.h"

#include <algorithm>

namespace lentilscale::fleet {
namespace {

// Time that the starts of a pass take at most: a fraction of what urgent jobs
// can wait in all.
constexpr double kMaxPassNs = 20e6;
// Number of starts whose mean has as much weight as that of all before.
constexpr double kSmoothingStarts = 64;
// Largest factor of the mean by which a pass counts: a pause of the process
// within a pass says nothing about starts.
constexpr double kMaxRise = 2;
// Weight of a pass with shorter starts, so that a small budget, whose passes
// have few, does not last.
constexpr double kMinFallWeight = 0.25;

}  // namespace

auto PassBudget::OnPass(int starts, std::int64_t ns) -> void {
  if (starts == 0) {
    return;
  }
  auto each_ns = static_cast<double>(ns) / starts;
  if (start_ns_ != 0) {
    each_ns = std::min(each_ns, kMaxRise * start_ns_);
  }
  const auto weight = std::max(starts / (starts + kSmoothingStarts),
                               each_ns < start_ns_ ? kMinFallWeight : 0.0);
  start_ns_ =
      start_ns_ == 0 ? each_ns : start_ns_ + weight * (each_ns - start_ns_);
}

auto PassBudget::starts() const -> int {
  return start_ns_ == 0
             ? kMaxStarts
             : static_cast<int>(std::clamp(kMaxPassNs / start_ns_,
                                           static_cast<double>(kMinStarts),
                                           static_cast<double>(kMaxStarts)));
}

}  // namespace lentilscale::fleet
