// The Hold calls to one worker: whether it answers, and which answers are still
// awaited.
//
// Each answer, in time or late, proves that the worker answered at some time
// after the call was sent. A worker is silent if a call has failed that was
// sent after the last answer had arrived; a failure of an earlier call tells no
// more than that answers are slow. The lease of a silent worker is not renewed.
//
// Whether the worker's incarnation is unchanged, so that ends may be
// acknowledged, is another question: only answers in time tell.

#ifndef LENTILSCALE_FLEET_HOLD_CALLS_H_
#define LENTILSCALE_FLEET_HOLD_CALLS_H_

#include <map>

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

class HoldCalls {
 public:
  // Returns the number of a call that is sent now and given up after
  // `timeout_ms`; its answer is awaited for `late_answer_ms` from then on.
  auto Begin(Millis now_ms, Millis timeout_ms, Millis late_answer_ms) -> int;
  // Records that the call was not answered in time, or that it failed. If
  // `may_be_answered` is false, no answer will follow.
  auto OnFailure(int call, bool may_be_answered, Millis now_ms) -> void;
  // Records an answer of the worker's current incarnation.
  auto OnAnswer(int call, Millis now_ms) -> void;
  // Records an answer that tells nothing about that incarnation.
  auto OnOtherAnswer(int call) -> void;

  // Returns false if the worker is silent.
  auto IsAnswering() const -> bool { return silent_failures_ == 0; }
  // Returns the number of failed calls that were sent since the last answer.
  auto silent_failures() const -> int { return silent_failures_; }
  // When the last answer arrived; 0 if there was none.
  auto last_answer_ms() const -> Millis { return last_answer_ms_; }

  // Returns true if a late answer is awaited, which may list ends.
  auto IsAwaitingAnswer(Millis now_ms) const -> bool;
  // Returns true if a call that was sent by `sent_ms` is still waited for in
  // time.
  auto IsCallPending(Millis sent_ms) const -> bool;
  // Returns for how long the answer to a call that is sent now may be awaited
  // after the call was given up: `longest_ms`, or 0 while many answers are
  // awaited. Each takes one of the few connections that a worker accepts.
  auto LateAnswerMs(Millis longest_ms, Millis now_ms) -> Millis;

 private:
  struct Call {
    Millis sent_ms_ = 0;
    Millis timeout_ms_ = 0;
    Millis late_answer_ms_ = 0;
    bool is_given_up_ = false;
    // Until when a late answer is awaited.
    Millis until_ms_ = 0;
  };

  // Calls without an answer, by number.
  std::map<int, Call> calls_;
  int last_call_ = 0;
  // The last call that had been sent when the last answer arrived.
  int last_call_before_answer_ = 0;
  int silent_failures_ = 0;
  Millis last_answer_ms_ = 0;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_HOLD_CALLS_H_
