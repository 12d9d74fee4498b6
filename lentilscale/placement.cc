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
constexpr double kUnusedAcceleratorPenalty = 10.0;

auto Fraction(std::int64_t part, std::int64_t whole) -> double {
  return whole <= 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

struct FreeFractions {
  double slots_;
  double cpu_;
  double memory_;
};

auto FreeFractionsAfterPlacing(const PlacementCandidate& candidate)
    -> FreeFractions {
  auto free = candidate.free_;
  free -= candidate.need_;
  return {Fraction(free.slots_, candidate.capacity_.slots_),
          Fraction(free.cpu_milli_, candidate.capacity_.cpu_milli_),
          Fraction(free.memory_mb_, candidate.capacity_.memory_mb_)};
}

struct Scorer {
  auto operator()(const PackRule& /*rule*/) const -> double {
    const auto free = FreeFractionsAfterPlacing(candidate_);
    const auto sum = free.slots_ + free.cpu_ + free.memory_;
    const auto imbalance = std::max({free.slots_, free.cpu_, free.memory_}) -
                           std::min({free.slots_, free.cpu_, free.memory_});
    const auto wastes_accelerator = candidate_.need_.accelerators_ == 0 &&
                                    candidate_.free_.accelerators_ > 0;
    return sum + kImbalanceWeight * imbalance +
           (wastes_accelerator ? kUnusedAcceleratorPenalty : 0.0);
  }

  auto operator()(const SpreadRule& /*rule*/) const -> double {
    const auto free = FreeFractionsAfterPlacing(candidate_);
    return kWorkerWeight * static_cast<double>(candidate_.group_on_worker_) +
           kRackWeight * static_cast<double>(candidate_.group_in_rack_) +
           kDataCentreWeight *
               static_cast<double>(candidate_.group_in_data_centre_) -
           (free.slots_ + free.cpu_ + free.memory_);
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
