// libuv calls a prepare handle right before it waits for events, and can add up
// the time that it has waited. The time between two such calls less the time
// waited is a turn. A pair of prepare and check handles would not do: libuv
// runs the callbacks of sockets between them.
//
// A timer of the monitor's own bounds each wait, so that a longer one shows
// that the process was not running. uv_backend_timeout would not do: it returns
// 0 whenever a socket has changed since the last wait.

#include "lentilscale/loop_monitor.h"

#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <utility>

#include "lentilscale/log.h"

namespace lentilscale {
namespace {

constexpr Millis kLongestWaitMs = 100;
constexpr std::int64_t kNsPerMs = 1000000;
constexpr std::int64_t kNsPerSecond = 1000000000;

auto ThreadCpuNs() -> std::int64_t {
  timespec now;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<std::int64_t>(now.tv_sec) * kNsPerSecond + now.tv_nsec;
}

}  // namespace

auto LoopTurnHistogram::Add(const LoopTurn& turn) -> void {
  const auto bucket =
      std::lower_bound(kBoundsMs.begin(), kBoundsMs.end(), turn.turn_ms_) -
      kBoundsMs.begin();
  ++counts_.at(static_cast<std::size_t>(bucket));
  sum_ms_ += turn.turn_ms_;
  longest_turn_ms_ = std::max(longest_turn_ms_, turn.turn_ms_);
  longest_late_ms_ = std::max(longest_late_ms_, turn.late_ms_);
}

auto LoopTurnHistogram::CountAbove(Millis bound_ms) const -> std::int64_t {
  std::int64_t count = counts_.back();
  for (std::size_t i = 0; i < kBoundsMs.size(); ++i) {
    count += kBoundsMs[i] > bound_ms ? counts_[i] : 0;
  }
  return count;
}

auto LoopTurnHistogram::ToPrometheusText() const -> std::string {
  std::string out = "# TYPE lentilscale_loop_turn_ms histogram\n";
  std::int64_t total = 0;
  for (std::size_t i = 0; i < kBoundsMs.size(); ++i) {
    total += counts_[i];
    out += fmt::format("lentilscale_loop_turn_ms_bucket{{le=\"{}\"}} {}\n",
                       kBoundsMs[i], total);
  }
  total += counts_.back();
  out += fmt::format(
      "lentilscale_loop_turn_ms_bucket{{le=\"+Inf\"}} {0}\n"
      "lentilscale_loop_turn_ms_sum {1}\nlentilscale_loop_turn_ms_count {0}\n",
      total, sum_ms_);
  for (const auto& [name, value] :
       {std::pair{"turn", longest_turn_ms_}, {"late", longest_late_ms_}}) {
    out += fmt::format(
        "# TYPE lentilscale_loop_longest_{0}_ms gauge\n"
        "lentilscale_loop_longest_{0}_ms {1}\n",
        name, value);
  }
  return out;
}

// libuv closes a handle on a later turn of the loop.
struct LoopMonitor::State {
  auto Handles() -> std::array<uv_handle_t*, 2> {
    return {reinterpret_cast<uv_handle_t*>(&prepare_),
            reinterpret_cast<uv_handle_t*>(&timer_)};
  }
  auto OnTurnEnded() -> void;
  auto Log(const LoopTurn& turn, Millis now_ms) -> void;

  uv_loop_t* loop_ = nullptr;
  uv_prepare_t prepare_{};
  uv_timer_t timer_{};
  // Handles that are not closed yet.
  int open_handles_ = 2;
  LoopTurnHistogram turns_;
  // The readings at the end of the last turn; 0 before the first.
  std::int64_t ended_ns_ = 0;
  std::int64_t waited_ns_ = 0;
  std::int64_t cpu_ns_ = 0;
  // Long turns since the last log line, and when that was (MonotonicMs).
  int unlogged_ = 0;
  Millis logged_ms_ = 0;
};

auto LoopMonitor::State::OnTurnEnded() -> void {
  const auto now_ns = static_cast<std::int64_t>(uv_hrtime());
  const auto waited_ns = static_cast<std::int64_t>(uv_metrics_idle_time(loop_));
  const auto cpu_ns = ThreadCpuNs();
  if (ended_ns_ != 0) {
    const auto wait_ns = waited_ns - waited_ns_;
    LoopTurn turn;
    turn.turn_ms_ = (now_ns - ended_ns_ - wait_ns) / kNsPerMs;
    turn.cpu_ms_ = (cpu_ns - cpu_ns_) / kNsPerMs;
    turn.late_ms_ = std::max<Millis>(0, wait_ns / kNsPerMs - kLongestWaitMs);
    turns_.Add(turn);
    if (std::max(turn.turn_ms_, turn.late_ms_) >= kLongTurnMs) {
      ++unlogged_;
      Log(turn, now_ns / kNsPerMs);
    }
  }
  ended_ns_ = now_ns;
  waited_ns_ = waited_ns;
  cpu_ns_ = cpu_ns;
}

auto LoopMonitor::State::Log(const LoopTurn& turn, Millis now_ms) -> void {
  if (logged_ms_ != 0 && now_ms - logged_ms_ < kLogIntervalMs) {
    return;
  }
  logged_ms_ = now_ms;
  LogEvent(Event::kLoopTurnLong,
           {{"turn_ms", std::to_string(turn.turn_ms_)},
            {"cpu_ms", std::to_string(turn.cpu_ms_)},
            {"late_ms", std::to_string(turn.late_ms_)},
            {"turns", std::to_string(std::exchange(unlogged_, 0))}});
}

LoopMonitor::LoopMonitor(uv_loop_t* loop) : state_(new State) {
  state_->loop_ = loop;
  uv_loop_configure(loop, UV_METRICS_IDLE_TIME);
  uv_prepare_init(loop, &state_->prepare_);
  uv_prepare_start(&state_->prepare_, [](uv_prepare_t* handle) {
    static_cast<State*>(handle->data)->OnTurnEnded();
  });
  uv_timer_init(loop, &state_->timer_);
  uv_timer_start(
      &state_->timer_, [](uv_timer_t*) {}, kLongestWaitMs, kLongestWaitMs);
  for (auto* handle : state_->Handles()) {
    handle->data = state_;
    uv_unref(handle);
  }
}

LoopMonitor::~LoopMonitor() {
  for (auto* handle : state_->Handles()) {
    uv_close(handle, [](uv_handle_t* closed) {
      auto* state = static_cast<State*>(closed->data);
      if (--state->open_handles_ == 0) {
        delete state;
      }
    });
  }
}

auto LoopMonitor::turns() const -> const LoopTurnHistogram& {
  return state_->turns_;
}

}  // namespace lentilscale
