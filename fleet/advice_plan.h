// Which workers a step asks the advice service about, and in how many calls.
//
// A step needs tickets for so many workers that its tasks find room on those
// that are allowed; which ones are, only the answer tells. A gang needs all its
// tickets at the same time, and each lasts for about as long as two calls about
// many workers. It therefore asks about all workers that it needs at once, in
// calls through several instances, each of which has one slot.
//
// Which workers are allowed never changes, so an answer is worth keeping while
// a step waits for room. A step also asks about workers without room until
// enough are known to be allowed that it will find room on them:
//
//   const auto calls = PlanAdviceCalls(need, candidates);
//   for (const auto& call : calls) { ... RequestAdvice(call) ... }
//
// Steps ask in the order of AdviceRank, as each instance makes one call at a
// time. Those that can still be in time go first, but for the turns that
// AdviceTurns keeps for late ones:
//
//   while (...) {
//     auto& step = turns.IsLateNext(has_in_time, has_late) ? ... : ...;
//     if (RequestAdvice(step)) {
//       turns.OnRequested(is_late);
//     }
//   }
//
// Pure functions: no clock, no I/O.

#ifndef LENTILSCALE_FLEET_ADVICE_PLAN_H_
#define LENTILSCALE_FLEET_ADVICE_PLAN_H_

#include <cstddef>
#include <string>
#include <vector>

#include "fleet/fleet_config.h"

namespace lentilscale::fleet {

// The service accepts at most this many workers in a call.
inline constexpr std::size_t kMaxAdviceWorkers = 100;

// A waiting step knows workers that will have room for this many times its
// tasks, as others want that room, too.
inline constexpr double kFutureRoomFactor = 2;

// A worker without a ticket on which the step may be allowed.
struct AdviceCandidate {
  std::string worker_id_;
  // Tasks of the step that fit now, and once all runs there have ended that end
  // while the answer is of use.
  int fitting_tasks_ = 0;
  int fitting_later_ = 0;
  // True if the service has allowed the step there before.
  bool is_allowed_ = false;
  double score_ = 0;
};

// What a step needs.
struct AdviceNeed {
  // Tasks that wait, and how many of them fit where tickets are still valid
  // when the calls have been answered.
  int task_count_ = 0;
  int ticketed_tasks_ = 0;
  // True if all tasks have to start together.
  bool is_gang_ = false;
  // True if workers without room are named, too, so that the step need not ask
  // again when they have some.
  bool names_full_workers_ = true;
  // Share of the workers that is expected to be allowed, more than 0.
  double allowed_share_ = 1;
  AdvicePolicy policy_;
  // Calls that can be made now, at least 1.
  std::size_t free_slots_ = 1;
};

// Returns the workers to name in each call; no calls if there is nothing to ask
// about, or if a gang cannot have room now even if all workers are allowed.
// Workers that are known to be allowed come first, then those with higher
// scores.
auto PlanAdviceCalls(const AdviceNeed& need,
                     std::vector<AdviceCandidate> candidates)
    -> std::vector<std::vector<std::string>>;

// A step that competes with others for calls.
struct AdviceClaim {
  // Priority of its queue; 0 comes first.
  int priority_ = 0;
  // Rounds of calls since all its tasks were last placed.
  int rounds_ = 0;
  // Time since its last round ended, or since it first needed one.
  Millis idle_ms_ = 0;
  // True if tasks that last have waited for long: they have to run again within
  // seconds, whatever else is waiting.
  bool is_overdue_ = false;
  // For how long the longest waiting task has waited.
  Millis waited_ms_ = 0;
};

// Returns the step's place among those that need advice; lower asks first. Each
// round moves a step back, so that steps without room cannot take all calls;
// waiting makes up for that, so that none is passed over without end. Steps
// that are overdue come before those of all queues, in the order of their
// waits.
auto AdviceRank(const AdviceClaim& claim) -> double;

// Gives late steps every fourth turn to ask, as long as others want to.
class AdviceTurns {
 public:
  // Returns true if the next step to ask should be a late one. At least one
  // argument has to be true.
  auto IsLateNext(bool has_in_time, bool has_late) const -> bool;
  // Notes that a step has asked.
  auto OnRequested(bool is_late) -> void;

 private:
  // Steps in time that have asked since the last late one.
  int in_time_ = 0;
};

// Returns the time that the service takes for a call about so many workers.
auto AdviceCallMs(const AdvicePolicy& policy, std::size_t workers) -> Millis;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_ADVICE_PLAN_H_
