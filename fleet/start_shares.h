// Shares the starts that the owner can send among classes of steps: those whose
// queues have the same service and priority, and which all can still be in time
// or are all late.
//
// Classes go in order of priority until one has waited for long. Each class of
// which that is true has a share: services share equally, as they compete for
// nothing but the owner; within a service the most urgent class has all but a
// quarter, which the others share. Of what they have for one priority, late
// steps have kLateShare: most starts then go to work that can be in time, while
// each late job ends some day. What a class leaves goes to the others in order
// of priority. Without shares, one class that has more work than the
// owner can send would leave the workers of all other services idle; with
// shares at all times, a short burst of urgent work would wait for work that
// has time.
//
//   shares.BeginPass(64, 64, now);
//   for (...) {  // all steps, in order of priority
//     if (shares.MayStart(start_class)) {
//       Start(...);
//       shares.OnStarted(start_class, 1);
//     } else {
//       // Look at none of its other steps.
//       shares.OnHeldBack(start_class, has_waited_for_long);
//     }
//   }
//   shares.ReleaseRest();
//   ...  // once more for what was held back
//   shares.EndPass();
//
// A class that has a share earns credit with each start that is sent, its own
// or another's, and spends it on its own; a pass may have room for a single
// start, and the credits then decide whose it is. A gang starts all at once and
// may spend more than its class has, which the class then owes.
//
// Tickets last for seconds only. While starts of a class are held back, it asks
// for no more tickets than it can use before they lapse: MayRequestAdvice. The
// others would lapse and be asked for again.

#ifndef LENTILSCALE_FLEET_START_SHARES_H_
#define LENTILSCALE_FLEET_START_SHARES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

// Starts a second, as the larger of the counts of this second and of the last.
class StartRate {
 public:
  auto Add(int starts) -> void { current_ += starts; }
  // Ends the current second if it has passed.
  auto Update(Millis now_ms) -> void;
  auto PerSecond() const -> double;

 private:
  Millis began_ms_ = 0;
  int current_ = 0;
  double last_per_s_ = 0;
};

// Whether the steps of a class can still meet their jobs' objectives.
enum class Lateness { kInTime, kLate };

// Identifies a class. In the order of these keys, the classes of a service
// follow each other by urgency.
struct StartClassKey {
  std::string service_;
  int priority_ = 0;
  Lateness lateness_ = Lateness::kInTime;

  auto operator<=>(const StartClassKey&) const = default;
};

// One class; its fields are set by StartShares, but for the last ones.
struct StartClass {
  // Starts that the class has earned; negative if it owes some.
  double credit_ = 0;
  // Its share of all starts when it last earned credit.
  double share_ = 0;
  // True if a step that has waited for long was held back in the last pass, and
  // in the current one.
  bool is_backlogged_ = false;
  bool is_long_held_back_ = false;
  // True if any step was held back in the current pass.
  bool is_held_back_ = false;
  // When a step was last held back; 0 if none was.
  Millis held_back_ms_ = 0;
  // When a pass last ended with a step held back, so that not even what others
  // had left was enough; 0 if none did.
  Millis left_held_back_ms_ = 0;
  StartRate rate_ = {};
  // Starts in all.
  std::int64_t started_ = 0;
  // Number of the round in which each step that cannot start is looked at once;
  // the next one begins when none was left in a pass.
  std::int64_t look_round_ = 1;
  // Kept by the caller: how many of these steps the pass may still look at,
  // whether some are left for the next, and for how many tasks calls for advice
  // are open.
  int looks_left_ = 0;
  bool is_look_due_ = false;
  int awaiting_advice_ = 0;
};

class StartShares {
 public:
  // Share of the late steps in what their service and priority have.
  static constexpr double kLateShare = 0.15;

  // Returns the class; it stays valid.
  auto ClassOf(const StartClassKey& key) -> StartClass& {
    return classes_[key];
  }

  // Begins a pass in which up to `budget` starts are sent, and `looks` steps of
  // each class that cannot start are looked at.
  auto BeginPass(int budget, int looks, Millis now_ms) -> void;
  // Returns true if the pass has room for a start of any class.
  auto HasRoom() const -> bool { return sent_ < budget_; }
  // Returns true if the class has earned a start, whatever others wait for.
  auto HasCredit(const StartClass& start_class) const -> bool {
    return start_class.credit_ >= 1;
  }
  // Returns true if the class may start a task, or a gang, now.
  auto MayStart(const StartClass& start_class) const -> bool;
  // Counts starts that were sent; a gang may exceed the budget.
  auto OnStarted(StartClass& start_class, int count) -> void;
  // Notes that a step of the class could start but for MayStart.
  auto OnHeldBack(StartClass& start_class, bool has_waited_for_long) -> void;
  // From now on classes need no credit, so that the budget is used up. Forgets
  // in the current pass what was held back.
  auto ReleaseRest() -> void;
  // Ends the pass; returns true if steps are held back.
  auto EndPass() -> bool;

  // Returns true unless starts of the class are held back and it waits for as
  // many tickets as it can use within the `valid_ms` that each lasts. At least
  // its share of `window`, the starts that may be awaited at the same time, is
  // taken to be useful.
  auto MayRequestAdvice(const StartClass& start_class, int window,
                        Millis valid_ms) const -> bool;

  // Returns the starts a second of the class: those that it makes, or its
  // share if that is more.
  auto StartsPerS(const StartClass& start_class) const -> double;
  // Returns the starts a second that any class has at least once it has waited
  // for long, if all services have something to start.
  auto LeastPerS() const -> double;
  // Returns the starts a second that the class may have whatever others wait
  // for; 0 if it has no share, as nothing of it has waited for long.
  auto SharePerS(const StartClass& start_class) const -> double;

  // Starts that were sent in this pass.
  auto sent() const -> int { return sent_; }

 private:
  // Divides the starts among the classes that earn credit.
  auto UpdateShares() -> void;

  std::map<StartClassKey, StartClass> classes_;
  StartRate rate_;
  int budget_ = 0;
  int sent_ = 0;
  bool is_rest_released_ = false;
  Millis now_ms_ = 0;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_START_SHARES_H_
