// The window under good and bad answer times, and in a model of an overload in
// which late answers make more orders.

#define BOOST_TEST_MODULE start_window
#include "fleet/start_window.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

namespace lentilscale::fleet {
namespace {

constexpr Millis kGoodMs = 20;
constexpr Millis kLateMs = 400;
constexpr Millis kTimeoutMs = 500;

// Fills the window, and answers all of it `answer_ms` later. Returns then.
auto RunRound(StartWindow& window, Millis now_ms, Millis answer_ms) -> Millis {
  while (window.HasRoom()) {
    window.OnSent();
  }
  const auto answered_ms = now_ms + answer_ms;
  for (auto awaited = window.awaited(); awaited > 0; --awaited) {
    window.OnAnswer(now_ms, answered_ms, true);
  }
  return answered_ms;
}

// One event loop that carries out an order each millisecond, in the order in
// which they were sent. A start that has waited for longer than its time-out is
// carried out in vain: it is stopped and started again.
class Overload {
 public:
  explicit Overload(const StartWindow::Options& options) : window_(options) {}

  auto AddStarts(int count) -> void { backlog_ += count; }
  // Lets `ms` go by while a new start arrives every `arrival_ms`.
  auto Run(Millis ms, Millis arrival_ms) -> void {
    for (const auto end = now_ms_ + ms; now_ms_ < end; ++now_ms_) {
      backlog_ += now_ms_ % arrival_ms == 0 ? 1 : 0;
      TimeOut();
      for (; backlog_ > 0 && window_.HasRoom(); --backlog_) {
        window_.OnSent();
        loop_.push_back({now_ms_, true});
        awaited_.push_back(now_ms_);
      }
      CarryOutNext();
    }
  }

  // Starts that are not done, wherever they wait.
  auto open() const -> int {
    return backlog_ + static_cast<int>(awaited_.size());
  }
  auto in_vain() const -> int { return in_vain_; }

 private:
  struct Order {
    Millis sent_ms_;
    bool is_start_;
  };

  auto TimeOut() -> void {
    while (!awaited_.empty() && now_ms_ - awaited_.front() > kTimeoutMs) {
      window_.OnAnswer(awaited_.front(), now_ms_, false);
      awaited_.pop_front();
      loop_.push_back({now_ms_, false});
      ++backlog_;
    }
  }

  auto CarryOutNext() -> void {
    if (loop_.empty()) {
      return;
    }
    const auto order = loop_.front();
    loop_.pop_front();
    if (!order.is_start_) {
      return;
    }
    if (now_ms_ - order.sent_ms_ > kTimeoutMs) {
      ++in_vain_;
      return;
    }
    awaited_.pop_front();
    window_.OnAnswer(order.sent_ms_, now_ms_, true);
  }

  StartWindow window_;
  Millis now_ms_ = 0;
  int backlog_ = 0;
  int in_vain_ = 0;
  std::deque<Order> loop_;
  // When each awaited start was sent.
  std::deque<Millis> awaited_;
};

}  // namespace

BOOST_AUTO_TEST_CASE(an_overload_does_not_keep_itself_up) {
  constexpr auto kBurst = 3000;
  constexpr Millis kArrivalMs = 2;
  constexpr Millis kEndMs = 12000;
  Overload bounded{StartWindow::Options{}};
  bounded.AddStarts(kBurst);
  bounded.Run(kEndMs, kArrivalMs);
  BOOST_TEST(bounded.open() < 10);
  BOOST_TEST(bounded.in_vain() < kBurst / 10);

  // The same without a bound: orders in vain leave no time for those that come
  // in.
  StartWindow::Options unbounded_options;
  unbounded_options.min_ = 1000000;
  unbounded_options.max_ = 1000000;
  unbounded_options.initial_ = 1000000;
  Overload unbounded{unbounded_options};
  unbounded.AddStarts(kBurst);
  unbounded.Run(kEndMs, kArrivalMs);
  BOOST_TEST(unbounded.open() > kBurst / 2);
}

BOOST_AUTO_TEST_CASE(answers_in_time_widen_the_window_up_to_its_bound) {
  StartWindow window;
  const auto initial = window.limit();
  Millis now = 1000;
  now = RunRound(window, now, kGoodMs);
  BOOST_TEST(window.limit() == initial + 1);
  for (auto i = 0; i < 600; ++i) {
    now = RunRound(window, now, kGoodMs);
  }
  BOOST_TEST(window.limit() == StartWindow::Options{}.max_);
}

BOOST_AUTO_TEST_CASE(late_answers_halve_the_window_once_per_answer_time) {
  StartWindow window;
  const auto initial = window.limit();
  Millis now = 1000;
  now = RunRound(window, now, kLateMs);
  BOOST_TEST(window.limit() == initial / 2);
  for (auto i = 0; i < 10; ++i) {
    now = RunRound(window, now, kLateMs);
  }
  BOOST_TEST(window.limit() == StartWindow::Options{}.min_);
}

BOOST_AUTO_TEST_CASE(unanswered_starts_count_as_late_and_free_their_places) {
  StartWindow window;
  const auto initial = window.limit();
  while (window.HasRoom()) {
    window.OnSent();
  }
  for (auto i = 0; i < initial; ++i) {
    window.OnAnswer(0, kTimeoutMs, false);
  }
  BOOST_TEST(window.limit() == initial / 2);
  BOOST_TEST(window.awaited() == 0);
  BOOST_TEST(window.HasRoom());
}

BOOST_AUTO_TEST_CASE(a_lost_third_of_the_workers_does_not_slow_the_others) {
  StartWindow window;
  const auto initial = window.limit();
  Millis now = 1000;
  for (auto i = 0; i < 1000; ++i, now += kGoodMs) {
    window.OnSent();
    window.OnAnswer(now - kGoodMs, now, i % 3 != 0);
  }
  BOOST_TEST(window.limit() >= initial);
}

BOOST_AUTO_TEST_CASE(a_light_load_says_nothing_about_a_wider_window) {
  StartWindow window;
  const auto initial = window.limit();
  for (Millis now = 0; now < 10000; now += kGoodMs) {
    window.OnSent();
    window.OnAnswer(now, now + kGoodMs, true);
  }
  BOOST_TEST(window.limit() == initial);
}

BOOST_AUTO_TEST_CASE(a_gang_wider_than_the_window_starts_once_half_is_free) {
  StartWindow window;
  const auto wide = 2 * window.limit();
  for (auto i = 0; i <= window.limit() / 2; ++i) {
    window.OnSent();
  }
  BOOST_TEST(!window.HasRoomForGang(wide));
  BOOST_TEST(window.HasRoomForGang(2));
  window.OnAnswer(0, kGoodMs, true);
  BOOST_TEST(window.HasRoomForGang(wide));
}

BOOST_AUTO_TEST_CASE(a_second_answer_does_not_free_a_place_twice) {
  StartWindow window;
  window.OnSent();
  window.OnAnswer(0, kTimeoutMs, false);
  window.OnAnswer(0, kTimeoutMs + 1, true);
  BOOST_TEST(window.awaited() == 0);
}

}  // namespace lentilscale::fleet
