// Measures the turns of an event loop.
//
//   LoopMonitor monitor(loop);
//   ...
//   reply->Send(200, monitor.ToPrometheusText(), "text/plain");
//
// A turn is what the loop does between two waits for events: the callbacks of
// sockets and timers. Nothing else happens meanwhile, no renewal of a lease is
// sent and no answer is read. A long turn is logged with the processor time
// that the thread used in it. If that is much shorter than the turn, the
// process was not running: it was stopped, throttled, or waited for a
// processor. The same shows after a wait that ends later than its timer was
// due.

#ifndef LENTILSCALE_LOOP_MONITOR_H_
#define LENTILSCALE_LOOP_MONITOR_H_

#include <uv.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "lentilscale/clock.h"

namespace lentilscale {

// One turn of a loop, with the wait that preceded it.
struct LoopTurn {
  // Duration by the wall clock, without the wait.
  Millis turn_ms_ = 0;
  // Processor time that the loop's thread used in the turn.
  Millis cpu_ms_ = 0;
  // Time by which the wait for events lasted longer than a timer of the monitor
  // allows.
  Millis late_ms_ = 0;
};

// Counts of turns by duration.
class LoopTurnHistogram {
 public:
  // Upper bounds of the buckets; longer turns are counted in the last one.
  static constexpr std::array<Millis, 4> kBoundsMs = {50, 100, 250, 500};

  auto Add(const LoopTurn& turn) -> void;

  auto longest_turn_ms() const -> Millis { return longest_turn_ms_; }
  auto longest_late_ms() const -> Millis { return longest_late_ms_; }
  // Returns the number of turns longer than `bound_ms`, one of kBoundsMs.
  auto CountAbove(Millis bound_ms) const -> std::int64_t;
  // Returns the metrics loop_turn_ms (a histogram), loop_longest_turn_ms and
  // loop_longest_late_ms in Prometheus text format.
  auto ToPrometheusText() const -> std::string;

 private:
  std::array<std::int64_t, kBoundsMs.size() + 1> counts_{};
  Millis sum_ms_ = 0;
  Millis longest_turn_ms_ = 0;
  Millis longest_late_ms_ = 0;
};

// Watches one loop from its next turn on until it is destroyed, and logs
// loop_turn_long for turns and delays of kLongTurnMs or more, at most once in
// kLogIntervalMs. It does not keep the loop alive.
class LoopMonitor {
 public:
  static constexpr Millis kLongTurnMs = 250;
  static constexpr Millis kLogIntervalMs = 1000;

  explicit LoopMonitor(uv_loop_t* loop);
  ~LoopMonitor();
  LoopMonitor(const LoopMonitor&) = delete;
  auto operator=(const LoopMonitor&) -> LoopMonitor& = delete;

  // Returns the turns that have ended.
  auto turns() const -> const LoopTurnHistogram&;
  auto ToPrometheusText() const -> std::string {
    return turns().ToPrometheusText();
  }

 private:
  struct State;
  State* state_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_LOOP_MONITOR_H_
