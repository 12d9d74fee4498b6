// Rules that score workers for a task.
//
// Each kind of work has its own rule, so a rule is a variant and scoring is a
// visitor over it:
//
//   PlacementRule rule = PackRule{};
//   double score = ScoreWorker(rule, candidate);   // the lowest score wins
//
// The caller has already checked that the task fits on the candidate.

#ifndef LENTILSCALE_PLACEMENT_H_
#define LENTILSCALE_PLACEMENT_H_

#include <cstdint>
#include <string_view>
#include <variant>

#include "lentilscale/resources.h"

namespace lentilscale {

// Prefers the fullest worker on which the task fits, which keeps empty workers
// for large tasks and all-at-once jobs.
struct PackRule {};

// Spreads the tasks of a group over workers, racks and data centres.
struct SpreadRule {};

// Chooses the first worker in the list. A baseline for comparison.
struct FirstFitRule {};

// Chooses a random worker. A baseline for comparison.
struct RandomRule {};

using PlacementRule =
    std::variant<PackRule, SpreadRule, FirstFitRule, RandomRule>;

// The inputs of a rule: a worker and the task's needs.
struct PlacementCandidate {
  // Position in the scheduler's list of workers.
  std::size_t index_ = 0;
  Resources capacity_;
  // Free resources before the task is placed.
  Resources free_;
  Resources need_;
  // Tasks of the same group on the worker, its rack and its data centre.
  std::int64_t group_on_worker_ = 0;
  std::int64_t group_in_rack_ = 0;
  std::int64_t group_in_data_centre_ = 0;
  // A uniform random number for RandomRule.
  std::uint64_t random_ = 0;
};

// Returns the candidate's score under `rule`; lower is better.
auto ScoreWorker(const PlacementRule& rule, const PlacementCandidate& candidate)
    -> double;

}  // namespace lentilscale

#endif  // LENTILSCALE_PLACEMENT_H_
