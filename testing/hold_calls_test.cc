// Whether a worker answers its Hold calls, and which answers are awaited,
// without network.

#define BOOST_TEST_MODULE hold_calls
#include "fleet/hold_calls.h"

#include <boost/test/unit_test.hpp>

namespace lentilscale::fleet {
namespace {

constexpr Millis kTimeoutMs = 500;
constexpr Millis kLateMs = 5000;

}  // namespace

// Guards against a delayed lapse: the lease of a dead worker is renewed.
BOOST_AUTO_TEST_CASE(a_failure_after_the_last_answer_is_silence) {
  HoldCalls calls;
  calls.OnAnswer(calls.Begin(1000, kTimeoutMs, kLateMs), 1010);
  BOOST_TEST(calls.IsAnswering());
  const auto unanswered = calls.Begin(1010, kTimeoutMs, kLateMs);
  BOOST_TEST(calls.IsAnswering());
  calls.OnFailure(unanswered, true, 1510);
  BOOST_TEST(!calls.IsAnswering());
  calls.OnFailure(calls.Begin(1660, kTimeoutMs, kLateMs), true, 2160);
  BOOST_TEST(calls.silent_failures() == 2);
  BOOST_TEST(calls.last_answer_ms() == 1010);
}

// Guards against a delayed lapse: a failed call of a worker that has never
// answered does not count.
BOOST_AUTO_TEST_CASE(a_worker_that_never_answered_is_silent_after_a_failure) {
  HoldCalls calls;
  calls.OnFailure(calls.Begin(1000, kTimeoutMs, kLateMs), false, 1001);
  BOOST_TEST(!calls.IsAnswering());
  BOOST_TEST(calls.last_answer_ms() == 0);
}

// Guards against LOST: the lease lapses though the worker answers each call.
BOOST_AUTO_TEST_CASE(a_late_answer_ends_the_silence) {
  HoldCalls calls;
  const auto late = calls.Begin(1000, kTimeoutMs, kLateMs);
  calls.OnFailure(late, true, 1500);
  BOOST_TEST(!calls.IsAnswering());
  // Sent before that answer arrives: its failure tells nothing.
  const auto earlier = calls.Begin(1650, kTimeoutMs, kLateMs);
  calls.OnAnswer(late, 1900);
  BOOST_TEST(calls.IsAnswering());
  calls.OnFailure(earlier, true, 2150);
  BOOST_TEST(calls.IsAnswering());
  BOOST_TEST(calls.last_answer_ms() == 1900);
  // Sent in the millisecond of its arrival, but later.
  const auto later = calls.Begin(1900, kTimeoutMs, kLateMs);
  calls.OnFailure(later, true, 2400);
  BOOST_TEST(!calls.IsAnswering());
}

// Guards against a lease for a life that is over: the late answer of another
// incarnation proves nothing about this one.
BOOST_AUTO_TEST_CASE(an_answer_of_another_life_does_not_end_the_silence) {
  HoldCalls calls;
  const auto late = calls.Begin(1000, kTimeoutMs, kLateMs);
  calls.OnFailure(late, true, 1500);
  calls.OnOtherAnswer(late);
  BOOST_TEST(!calls.IsAnswering());
}

// Guards against a worker without free connections: each late answer holds one.
BOOST_AUTO_TEST_CASE(few_late_answers_are_awaited_at_once) {
  HoldCalls calls;
  Millis now = 1000;
  auto awaited = 0;
  const auto fail_one = [&] {
    const auto late_ms = calls.LateAnswerMs(kLateMs, now);
    awaited += late_ms > 0 ? 1 : 0;
    const auto call = calls.Begin(now, kTimeoutMs, late_ms);
    now += kTimeoutMs;
    calls.OnFailure(call, true, now);
    return call;
  };
  const auto first = fail_one();
  for (auto i = 0; i < 8; ++i) {
    fail_one();
  }
  BOOST_TEST(awaited == 4);
  // An answer makes room for one, and so does the end of the time.
  calls.OnAnswer(first, now);
  BOOST_TEST(calls.LateAnswerMs(kLateMs, now) == kLateMs);
  fail_one();
  BOOST_TEST(calls.LateAnswerMs(kLateMs, now) == 0);
  BOOST_TEST(calls.LateAnswerMs(kLateMs, now + kLateMs + 1) == kLateMs);
}

// Guards against late answers that are not awaited: calls whose connections
// were closed are taken for awaited ones.
BOOST_AUTO_TEST_CASE(calls_that_fail_at_once_are_not_awaited) {
  HoldCalls calls;
  for (auto i = 0; i < 20; ++i) {
    calls.OnFailure(calls.Begin(1000, kTimeoutMs, kLateMs), true, 1010);
    calls.OnFailure(calls.Begin(1000, kTimeoutMs, kLateMs), false, 1500);
  }
  BOOST_TEST(calls.LateAnswerMs(kLateMs, 1500) == kLateMs);
}

}  // namespace lentilscale::fleet
