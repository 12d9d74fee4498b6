// Packing is a best fit: the score is the sum, over the resources, of the
// fraction of the worker's capacity that would remain free. Part of the largest
// difference between these fractions is added as waste, since nothing else fits
// on a worker that has free slots but no free processors or memory.

#include "lentilscale/placement.h"

#include <algorithm>
#include <cmath>

namespace lentilscale {
namespace {

// Weights of each task of the same group in the data centre, rack and worker.
// One on the worker counts as much as 100 in the rack, and one in the rack as
// much as 100 in the data centre. One in the data centre outweighs any
// difference in free resources.
constexpr double kDataCentreWeight = 1.0e2;
constexpr double kRackWeight = 1.0e4;
constexpr double kWorkerWeight = 1.0e6;
constexpr double kImbalanceWeight = 0.5;
// Keeps work without accelerators off workers with free accelerators while
// another worker fits.
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

// Returns the fractions of the worker's capacity that remain free once the task
// is placed.
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
