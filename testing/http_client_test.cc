// What the client takes for an answer when its loop has stood still.

#define BOOST_TEST_MODULE http_client
#include "lentilscale/http_client.h"

#include <signal.h>
#include <uv.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "lentilscale/timer.h"
#include "testing/paced_server_stand_in.h"

namespace lentilscale::testing {
namespace {

constexpr Millis kTimeoutMs = 500;
constexpr Millis kAnswerMs = 100;
constexpr Millis kStandstillMs = 700;
// Bounds a case that never gets there.
constexpr Millis kPatienceMs = 10000;

// A client, and a server that answers "/slow" after kAnswerMs, "/silent" never
// and other paths at once.
class StandingLoop {
 public:
  StandingLoop()
      : server_([](const std::string& target) {
          return PacedAnswer{.body_ = "{}",
                             .delay_ms_ = target == "/slow" ? kAnswerMs : 0,
                             .is_silent_ = target == "/silent"};
        }) {
    signal(SIGPIPE, SIG_IGN);
  }

  auto loop() -> uv_loop_t* { return loop_; }

  auto Send(const std::string& path, HttpClient::Callback callback) -> void {
    answers_ += path == "/silent" ? 0 : 1;
    client_.Send({server_.address(), "GET", path, "", "", kTimeoutMs},
                 std::move(callback));
  }

  // Opens a connection that later calls use, so that a request is sent before
  // the loop turns.
  auto Connect() -> void {
    std::optional<HttpResult> result;
    Send("/", [&](const HttpResult& answer) { result = answer; });
    BOOST_TEST((RunUntilSet(result).outcome_ == HttpOutcome::kAnswered));
  }

  // Blocks the loop until the answers to all calls but "/silent" lie in their
  // sockets and the calls are past their timeout.
  auto StandStill() -> void {
    std::this_thread::sleep_for(std::chrono::milliseconds(kStandstillMs));
    BOOST_TEST(server_.answers() == answers_);
  }

  auto RunUntilSet(const std::optional<HttpResult>& result)
      -> const HttpResult& {
    const RepeatingTimer waker(loop_, 50, [] {});
    const auto until = MonotonicMs() + kPatienceMs;
    while (!result.has_value() && MonotonicMs() < until) {
      uv_run(loop_, UV_RUN_ONCE);
    }
    BOOST_REQUIRE(result.has_value());
    return *result;
  }

 private:
  uv_loop_t* loop_ = uv_default_loop();
  int answers_ = 0;
  PacedServer server_;
  HttpClient client_{loop_, HttpClient::Options{}};
};

auto CheckAnswered(const HttpResult& result) -> void {
  BOOST_TEST((result.outcome_ == HttpOutcome::kAnswered));
  BOOST_TEST(result.status_ == 200);
  BOOST_TEST(result.body_ == "{}");
}

}  // namespace

// Guards against TWICE: an end that the worker has listed in time is lost, as
// the loop handled something else until the call's timeout.
BOOST_AUTO_TEST_CASE(an_answer_that_arrived_during_a_callback_counts) {
  StandingLoop standing;
  standing.Connect();
  std::optional<HttpResult> result;
  std::optional<HttpResult> other;
  standing.Send("/", [&](const HttpResult& answer) {
    other = answer;
    standing.StandStill();
  });
  standing.Send("/slow", [&](const HttpResult& answer) { result = answer; });
  CheckAnswered(standing.RunUntilSet(result));
  CheckAnswered(standing.RunUntilSet(other));
}

// As above, with a loop that stands still in a timer.
BOOST_AUTO_TEST_CASE(an_answer_that_arrived_during_a_timer_counts) {
  StandingLoop standing;
  standing.Connect();
  std::optional<HttpResult> result;
  RunAfter(standing.loop(), 1, [&] {
    standing.Send("/slow", [&](const HttpResult& answer) { result = answer; });
    standing.StandStill();
  });
  CheckAnswered(standing.RunUntilSet(result));
}

// Guards against a call that is waited for without end since the loop stood
// still.
BOOST_AUTO_TEST_CASE(a_call_without_an_answer_ends_after_a_standstill) {
  StandingLoop standing;
  standing.Connect();
  std::optional<HttpResult> result;
  RunAfter(standing.loop(), 1, [&] {
    standing.Send("/silent",
                  [&](const HttpResult& answer) { result = answer; });
    standing.StandStill();
  });
  BOOST_TEST((standing.RunUntilSet(result).outcome_ == HttpOutcome::kUnknown));
}

}  // namespace lentilscale::testing
