// Rules that choose a worker for a task.
//
// Kinds of work want unlike rules, so a rule is a variant and scoring is a
// visitor over it:
//
//   PlacementRule rule = PackRule{};
//   double score = ScoreWorker(rule, candidate);   // the lowest score wins
//
// A candidate has already been found to have room.

#ifndef LENTILSCALE_PLACEMENT_H_
#define LENTILSCALE_PLACEMENT_H_

#include <cstdint>
#include <string_view>
#include <variant>

#include "lentilscale/resources.h"

namespace lentilscale {

// Fills the fullest worker that has room, so that large tasks and all-at-once
// jobs find empty ones.
struct PackRule {};

// Puts tasks of one group on different workers, racks and data centres.
struct SpreadRule {};

// Takes the first worker in the list; a baseline.
struct FirstFitRule {};

// Takes any worker; a baseline.
struct RandomRule {};

using PlacementRule =
    std::variant<PackRule, SpreadRule, FirstFitRule, RandomRule>;

// What a rule may know of a worker.
struct PlacementCandidate {
  // Position in the scheduler's list.
  std::size_t index_ = 0;
  Resources capacity_;
  // Free before the task is placed.
  Resources free_;
  Resources need_;
  // Tasks of the same group on the worker, its rack and its data centre.
  std::int64_t group_on_worker_ = 0;
  std::int64_t group_in_rack_ = 0;
  std::int64_t group_in_data_centre_ = 0;
  // A uniform random number.
  std::uint64_t random_ = 0;
};

// Returns the candidate's score under `rule`; lower is better.
auto ScoreWorker(const PlacementRule& rule, const PlacementCandidate& candidate)
    -> double;

}  // namespace lentilscale

#endif  // LENTILSCALE_PLACEMENT_H_
