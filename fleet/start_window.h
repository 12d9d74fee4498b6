// Bounds the starts whose answers are awaited, so that under overload work
// waits in the scheduler, in order of priority, and not on the owner's link or
// event loop. There each call would wait behind all others until it times out,
// and a start that times out makes further orders: a stop, and a start
// elsewhere. The overload would then keep itself up.
//
//   if (window.HasRoom()) {
//     window.OnSent();
//     Start(..., [&, sent_ms] {
//       window.OnAnswer(sent_ms, BootMs(), is_answered);
//     });
//   } else { /* wait for an answer */ }
//
// The window follows the answer times, as delay-based congestion control does:
// it is halved when answers come late or not at all, at most once per answer
// time, and grows by one with each window of answers in time. Late are those
// that take longer than Options::target_ms_. Workers that are lost do not halve
// it while most others answer in time: that takes half of the answers of a
// round, and at least Options::min_judged_ answers.
//
// A gang starts all at once, however wide it is: it may exceed the window if
// half of that is free. The caller lets a gang exceed it in any case once it is
// the gang's turn (start_shares.h), and then waits until the window has
// emptied.

#ifndef LENTILSCALE_FLEET_START_WINDOW_H_
#define LENTILSCALE_FLEET_START_WINDOW_H_

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

class StartWindow {
 public:
  struct Options {
    // Bounds of the window, and its size at first, in starts.
    int min_ = 16;
    int max_ = 512;
    int initial_ = 256;
    // Longest time that an answer in good time takes, as measured by the owner.
    Millis target_ms_ = 250;
    // Fewest answers by which a round is judged.
    int min_judged_ = 16;
  };

  StartWindow() : StartWindow(Options{}) {}
  explicit StartWindow(const Options& options)
      : options_(options), limit_(options.initial_) {}

  // Returns true if one more start may be sent.
  auto HasRoom() const -> bool { return awaited_ < limit_; }
  // Returns how many more starts may be sent.
  auto room() const -> int { return HasRoom() ? limit_ - awaited_ : 0; }
  // Returns true if a gang of `count` tasks may be started.
  auto HasRoomForGang(int count) const -> bool;
  // Counts a start that has been sent.
  auto OnSent() -> void;
  // Counts the end of a start that was sent at `sent_ms`: its answer, or, if
  // `is_answered` is false, that there will be none.
  auto OnAnswer(Millis sent_ms, Millis now_ms, bool is_answered) -> void;

  auto limit() const -> int { return limit_; }
  auto awaited() const -> int { return awaited_; }

 private:
  auto BeginRound(Millis now_ms) -> void;

  Options options_;
  int limit_;
  int awaited_ = 0;
  // A round judges the answers to starts that were sent since it began.
  Millis round_begun_ms_ = 0;
  int in_time_ = 0;
  int late_ = 0;
  // True if the window was full since the round began: only then do answers in
  // time show that a larger one would do.
  bool has_been_full_ = false;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_START_WINDOW_H_
