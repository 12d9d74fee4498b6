// Packing scores by what would be left over on the worker, summed over the
// resources as fractions of its capacity: a one-number best fit. A worker
// that would be left with free slots but no processors or memory scores the
// difference as waste, since nothing else will fit there.

#include "lentilscale/placement.h"

#include <algorithm>
#include <cmath>

namespace lentilscale {
namespace {

// One task of the group in the same data centre, rack or worker outweighs any
// difference of the next finer kind.
constexpr double kDataCentreWeight = 1.0e2;
constexpr double kRackWeight = 1.0e4;
constexpr double kWorkerWeight = 1.0e6;
constexpr double kImbalanceWeight = 0.5;
// Work that needs no accelerator goes to a worker with accelerators last.
constexpr double kAcceleratorPenalty = 10.0;

auto Fraction(std::int64_t part, std::int64_t whole) -> double {
  return whole <= 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

struct Leftover {
  double slots_;
  double cpu_;
  double memory_;
};

auto LeftoverOf(const PlacementCandidate& candidate) -> Leftover {
  auto left = candidate.free_;
  left -= candidate.need_;
  return {Fraction(left.slots_, candidate.capacity_.slots_),
          Fraction(left.cpu_milli_, candidate.capacity_.cpu_milli_),
          Fraction(left.memory_mb_, candidate.capacity_.memory_mb_)};
}

struct Scorer {
  auto operator()(const PackRule& /*rule*/) const -> double {
    const auto left = LeftoverOf(candidate_);
    const auto sum = left.slots_ + left.cpu_ + left.memory_;
    const auto spread = std::max({left.slots_, left.cpu_, left.memory_}) -
                        std::min({left.slots_, left.cpu_, left.memory_});
    const auto wastes_accelerator = candidate_.need_.accelerators_ == 0 &&
                                    candidate_.free_.accelerators_ > 0;
    return sum + kImbalanceWeight * spread +
           (wastes_accelerator ? kAcceleratorPenalty : 0.0);
  }

  auto operator()(const SpreadRule& /*rule*/) const -> double {
    const auto left = LeftoverOf(candidate_);
    return kWorkerWeight * static_cast<double>(candidate_.group_on_worker_) +
           kRackWeight * static_cast<double>(candidate_.group_in_rack_) +
           kDataCentreWeight *
               static_cast<double>(candidate_.group_in_data_centre_) -
           (left.slots_ + left.cpu_ + left.memory_);
  }

  auto operator()(const FirstFitRule& /*rule*/) const -> double {
    return static_cast<double>(candidate_.index_);
  }

  auto operator()(const RandomRule& /*rule*/) const -> double {
    return static_cast<double>(candidate_.random_ >> 11);
  }

  const PlacementCandidate& candidate_;
};

}  // namespace

auto ScoreWorker(const PlacementRule& rule, const PlacementCandidate& candidate)
    -> double {
  return std::visit(Scorer{candidate}, rule);
}

}  // namespace lentilscale
