// libuv closes a handle on a later turn of the loop, so a timer's state lives
// on the heap until its close callback.
//
// The loop's clock is not updated to the time at which a timer is set: other
// timers that fall due by that would fire before the sockets are read again.

#include "lentilscale/timer.h"

#include <algorithm>
#include <utility>

namespace lentilscale {
namespace {

constexpr std::uint64_t kNsPerMs = 1000000;

struct OneShot {
  uv_timer_t timer_{};
  std::function<void()> function_;
};

template <typename State>
auto CloseAndDelete(State* state) -> void {
  uv_close(
      reinterpret_cast<uv_handle_t*>(&state->timer_),
      [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
}

}  // namespace

auto TimerDelay(const uv_loop_t* loop, Millis delay_ms) -> std::uint64_t {
  const auto now_ms = uv_hrtime() / kNsPerMs;
  const auto lag_ms = now_ms - std::min<std::uint64_t>(now_ms, uv_now(loop));
  return static_cast<std::uint64_t>(delay_ms) + lag_ms;
}

auto RunAfter(uv_loop_t* loop, Millis delay_ms, std::function<void()> function)
    -> void {
  auto* state = new OneShot{{}, std::move(function)};
  uv_timer_init(loop, &state->timer_);
  state->timer_.data = state;
  uv_timer_start(
      &state->timer_,
      [](uv_timer_t* timer) {
        auto* fired = static_cast<OneShot*>(timer->data);
        fired->function_();
        CloseAndDelete(fired);
      },
      TimerDelay(loop, delay_ms), 0);
}

struct RepeatingTimer::State {
  uv_timer_t timer_{};
  std::function<void()> function_;
};

RepeatingTimer::RepeatingTimer(uv_loop_t* loop, Millis period_ms,
                               std::function<void()> function)
    : state_(new State{{}, std::move(function)}) {
  uv_timer_init(loop, &state_->timer_);
  state_->timer_.data = state_;
  uv_timer_start(
      &state_->timer_,
      [](uv_timer_t* timer) { static_cast<State*>(timer->data)->function_(); },
      TimerDelay(loop, period_ms), static_cast<std::uint64_t>(period_ms));
}

RepeatingTimer::~RepeatingTimer() {
  uv_timer_stop(&state_->timer_);
  CloseAndDelete(state_);
}

}  // namespace lentilscale
