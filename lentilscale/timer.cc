// libuv closes a handle on a later turn of the loop, so a timer's state lives
// on the heap until its close callback.

#include "lentilscale/timer.h"

#include <utility>

namespace lentilscale {
namespace {

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
      static_cast<std::uint64_t>(delay_ms), 0);
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
  const auto period = static_cast<std::uint64_t>(period_ms);
  uv_timer_start(
      &state_->timer_,
      [](uv_timer_t* timer) { static_cast<State*>(timer->data)->function_(); },
      period, period);
}

RepeatingTimer::~RepeatingTimer() {
  uv_timer_stop(&state_->timer_);
  CloseAndDelete(state_);
}

}  // namespace lentilscale
