// Timers on a libuv loop.
//
//   RepeatingTimer tick(loop, 100, [this] { OnTick(); });
//   RunAfter(loop, 20, [] { ... });
//
// Functions run on the loop's thread, never from within the call that set the
// timer.

#ifndef LENTILSCALE_TIMER_H_
#define LENTILSCALE_TIMER_H_

#include <uv.h>

#include <cstdint>
#include <functional>

#include "lentilscale/clock.h"

namespace lentilscale {

// Returns the delay for uv_timer_start that lets a timer fire `delay_ms` from
// now. libuv counts delays from the loop's clock, which stands still during a
// callback, so that the time that the callback has taken would be missing.
auto TimerDelay(const uv_loop_t* loop, Millis delay_ms) -> std::uint64_t;

// Runs `function` once, `delay_ms` from now; 0 means on the loop's next turn.
auto RunAfter(uv_loop_t* loop, Millis delay_ms, std::function<void()> function)
    -> void;

// Runs a function every period until it is destroyed.
class RepeatingTimer {
 public:
  RepeatingTimer(uv_loop_t* loop, Millis period_ms,
                 std::function<void()> function);
  ~RepeatingTimer();
  RepeatingTimer(const RepeatingTimer&) = delete;
  auto operator=(const RepeatingTimer&) -> RepeatingTimer& = delete;

 private:
  struct State;
  State* state_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_TIMER_H_
