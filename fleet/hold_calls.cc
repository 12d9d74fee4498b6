// Calls are compared by number rather than by time: several may be sent in the
// millisecond in which an answer arrives.

#include "fleet/hold_calls.h"

#include <algorithm>

namespace lentilscale::fleet {
namespace {

// Most calls that have been given up and whose answers are awaited.
constexpr std::ptrdiff_t kMaxAwaitedCalls = 4;

}  // namespace

auto HoldCalls::Begin(Millis now_ms, Millis timeout_ms, Millis late_answer_ms)
    -> int {
  calls_[++last_call_] = {now_ms, timeout_ms, late_answer_ms, false, 0};
  return last_call_;
}

auto HoldCalls::OnFailure(int call, bool may_be_answered, Millis now_ms)
    -> void {
  if (call > last_call_before_answer_) {
    ++silent_failures_;
  }
  const auto it = calls_.find(call);
  if (it == calls_.end()) {
    return;
  }
  // One that failed before its timeout lost its connection.
  const auto is_awaited =
      may_be_answered && it->second.late_answer_ms_ > 0 &&
      now_ms - it->second.sent_ms_ >= it->second.timeout_ms_;
  if (!is_awaited) {
    calls_.erase(it);
    return;
  }
  it->second.is_given_up_ = true;
  it->second.until_ms_ = now_ms + it->second.late_answer_ms_;
}

auto HoldCalls::OnAnswer(int call, Millis now_ms) -> void {
  OnOtherAnswer(call);
  last_call_before_answer_ = last_call_;
  silent_failures_ = 0;
  last_answer_ms_ = now_ms;
}

auto HoldCalls::OnOtherAnswer(int call) -> void { calls_.erase(call); }

auto HoldCalls::IsAwaitingAnswer(Millis now_ms) const -> bool {
  return std::any_of(calls_.begin(), calls_.end(), [now_ms](const auto& entry) {
    return entry.second.is_given_up_ && now_ms <= entry.second.until_ms_;
  });
}

auto HoldCalls::IsCallPending(Millis sent_ms) const -> bool {
  return std::any_of(
      calls_.begin(), calls_.end(), [sent_ms](const auto& entry) {
        return !entry.second.is_given_up_ && entry.second.sent_ms_ <= sent_ms;
      });
}

auto HoldCalls::LateAnswerMs(Millis longest_ms, Millis now_ms) -> Millis {
  std::erase_if(calls_, [now_ms](const auto& entry) {
    return entry.second.is_given_up_ && now_ms > entry.second.until_ms_;
  });
  const auto awaited = std::count_if(
      calls_.begin(), calls_.end(),
      [](const auto& entry) { return entry.second.is_given_up_; });
  return awaited < kMaxAwaitedCalls ? longest_ms : 0;
}

}  // namespace lentilscale::fleet
