// The store's client on a link that is slow, or to a store that does not
// answer.

#define BOOST_TEST_MODULE slow_store
#include <fmt/format.h>
#include <signal.h>
#include <uv.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "fleet/config_watcher.h"
#include "lentilscale/http_client.h"
#include "lentilscale/log.h"
#include "lentilscale/timer.h"
#include "platform/kv_store.h"
#include "testing/paced_server_stand_in.h"

namespace lentilscale::testing {
namespace {

using fleet::ReadResult;
using fleet::StoreStatus;

constexpr std::size_t kValueBytes = 300000;
constexpr std::int64_t kBytesPerS = 150000;
// A call on a connection that went silent ends within this time.
constexpr Millis kMaxStallMs = 10000;
// A call that takes longer counts as one without an end.
constexpr Millis kPatienceMs = 20000;
constexpr auto kKey = "op/config";

// Three bytes that base64 encodes as four letters.
constexpr std::string_view kGroup = "abc";
constexpr std::string_view kEncodedGroup = "YWJj";

auto Repeat(std::string_view text, std::size_t count) -> std::string {
  std::string out;
  out.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) {
    out += text;
  }
  return out;
}

auto LargeValue() -> std::string {
  return Repeat(kGroup, kValueBytes / kGroup.size());
}

// Returns an item as the store writes it, with LargeValue().
auto LargeItem() -> std::string {
  return fmt::format(
      R"("key":"{}","value":"{}","revision":7,"created":2,"lease":0)", kKey,
      Repeat(kEncodedGroup, kValueBytes / kGroup.size()));
}

auto ReadAnswer() -> PacedAnswer {
  return {.body_ = fmt::format(R"({{{},"at_revision":9}})", LargeItem())};
}

auto WatchAnswer() -> PacedAnswer {
  return {.body_ = fmt::format(R"({{"events":[{{{}}}],"at_revision":9}})",
                               LargeItem())};
}

auto PageAnswer() -> PacedAnswer {
  return {.body_ = fmt::format(
              R"({{"items":[{{{}}}],"truncated":false,"at_revision":9}})",
              LargeItem())};
}

auto AtRate(PacedAnswer answer) -> PacedAnswer {
  answer.bytes_per_s_ = kBytesPerS;
  return answer;
}

// `answer` at the usual rate, of which half arrives.
auto Stalled(PacedAnswer answer) -> PacedAnswer {
  answer = AtRate(std::move(answer));
  answer.stalls_after_ = answer.body_.size() / 2;
  return answer;
}

// A store whose every answer is `answer`, and its client.
class SlowStore {
 public:
  explicit SlowStore(const PacedAnswer& answer)
      : SlowStore([answer](const std::string& /*target*/) { return answer; }) {}
  explicit SlowStore(PacedServer::Handler handler)
      : server_(std::move(handler)), store_(&client_, server_.address()) {
    signal(SIGPIPE, SIG_IGN);
    SetLogLevel(LogLevel::kError);
  }

  auto server() -> PacedServer& { return server_; }
  auto store() -> platform::KvStore& { return store_; }
  auto loop() -> uv_loop_t* { return loop_; }

  // Returns the result, or nothing if there is none within `patience_ms`.
  auto Read(Millis patience_ms = kPatienceMs) -> std::optional<ReadResult> {
    auto result = std::make_shared<std::optional<ReadResult>>();
    store_.Read(kKey, [result](const ReadResult& read) { *result = read; });
    RunFor(patience_ms, [&] { return result->has_value(); });
    return *result;
  }

  auto ReadPrefix(Millis patience_ms = kPatienceMs)
      -> std::optional<ReadResult> {
    auto result = std::make_shared<std::optional<ReadResult>>();
    store_.ReadPrefix(kKey,
                      [result](const ReadResult& read) { *result = read; });
    RunFor(patience_ms, [&] { return result->has_value(); });
    return *result;
  }

  auto Watch(Millis patience_ms = kPatienceMs) -> std::optional<ReadResult> {
    auto result = std::make_shared<std::optional<ReadResult>>();
    store_.Watch(kKey, 5, 800,
                 [result](const ReadResult& read) { *result = read; });
    RunFor(patience_ms, [&] { return result->has_value(); });
    return *result;
  }

  // Runs the loop for `ms`, or until `condition` holds.
  auto RunFor(Millis ms, const std::function<bool()>& condition) -> void {
    const RepeatingTimer waker(loop_, 5, [] {});
    const auto until = MonotonicMs() + ms;
    while (!condition() && MonotonicMs() < until) {
      uv_run(loop_, UV_RUN_ONCE);
    }
  }

 private:
  uv_loop_t* loop_ = uv_default_loop();
  PacedServer server_;
  HttpClient client_{loop_, HttpClient::Options{}};
  platform::KvStore store_;
};

auto CheckLargeValue(const std::optional<ReadResult>& result) -> void {
  BOOST_REQUIRE(result.has_value());
  BOOST_REQUIRE((result->status_ == StoreStatus::kOk));
  BOOST_REQUIRE(result->records_.size() == 1);
  BOOST_TEST(result->records_[0].key_ == kKey);
  BOOST_TEST((result->records_[0].value_ == LargeValue()));
  BOOST_TEST(result->revision_ == 9);
}

// Lets a watcher follow a store whose every answer is `answer` for 6 s and
// returns the number of its calls.
auto CallsIn6s(const PacedAnswer& answer) -> int {
  SlowStore slow(answer);
  const fleet::ConfigWatcher watcher(
      slow.loop(), &slow.store(), kKey,
      [](const std::string& /*text*/) -> absl::StatusOr<fleet::FleetConfig> {
        return absl::InvalidArgumentError("no answer has a configuration");
      });
  slow.RunFor(6000, [] { return false; });
  return slow.server().requests();
}

// Retries back off to one a second; the first few come sooner.
constexpr auto kMaxCallsIn6s = 10;

}  // namespace

// Guards against a configuration that never arrives, and a link that is full of
// its transfers: a read that is given up although bytes keep coming.
BOOST_AUTO_TEST_CASE(a_large_value_is_read_over_a_slow_link) {
  SlowStore slow(AtRate(ReadAnswer()));
  CheckLargeValue(slow.Read());
}

// Guards against the same of a page of a range.
BOOST_AUTO_TEST_CASE(a_large_page_is_read_over_a_slow_link) {
  SlowStore slow(AtRate(PageAnswer()));
  CheckLargeValue(slow.ReadPrefix());
}

// Guards against the same of a watch.
BOOST_AUTO_TEST_CASE(a_large_event_is_read_over_a_slow_link) {
  SlowStore slow(AtRate(WatchAnswer()));
  CheckLargeValue(slow.Watch());
}

// Guards against a read that never ends, since some of its answer has arrived.
BOOST_AUTO_TEST_CASE(a_read_whose_answer_stalls_ends) {
  SlowStore slow(Stalled(ReadAnswer()));
  const auto result = slow.Read(kMaxStallMs);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->status_ == StoreStatus::kUnknown));
}

// Guards against the same of a page of a range.
BOOST_AUTO_TEST_CASE(a_page_whose_answer_stalls_ends) {
  SlowStore slow(Stalled(PageAnswer()));
  const auto result = slow.ReadPrefix(kMaxStallMs);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->status_ == StoreStatus::kUnknown));
}

// Guards against the same of a watch.
BOOST_AUTO_TEST_CASE(a_watch_whose_answer_stalls_ends) {
  SlowStore slow(Stalled(WatchAnswer()));
  const auto result = slow.Watch(kMaxStallMs);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->status_ == StoreStatus::kUnknown));
}

// Guards against a store that is kept down by the calls that it refuses.
BOOST_AUTO_TEST_CASE(a_refusing_store_is_asked_less_and_less) {
  const auto calls = CallsIn6s({.status_ = 503, .body_ = "{}"});
  BOOST_TEST(calls >= 2);
  BOOST_TEST(calls <= kMaxCallsIn6s);
}

// Guards against a link that is kept full by calls that are given up.
BOOST_AUTO_TEST_CASE(a_silent_store_is_asked_less_and_less) {
  const auto calls = CallsIn6s({.is_silent_ = true});
  BOOST_TEST(calls >= 2);
  BOOST_TEST(calls <= kMaxCallsIn6s);
}

// Guards against a link that is kept full by reads whose first byte waits
// behind others' for longer than the store's usual answer.
BOOST_AUTO_TEST_CASE(a_large_value_whose_first_byte_is_late_is_read,
                     *boost::unit_test::disabled()) {
  auto answer = AtRate(ReadAnswer());
  answer.delay_ms_ = 800;
  SlowStore slow(answer);
  CheckLargeValue(slow.Read());
}

// Guards against LOST: instances that read a large configuration again and
// again fill their links and those between regions, so that answers of workers
// come late. The watch of this store never answers; the value was read once.
BOOST_AUTO_TEST_CASE(a_failed_watch_does_not_repeat_the_read) {
  auto reads = std::make_shared<std::atomic<int>>(0);
  SlowStore slow([reads](const std::string& target) {
    if (target.starts_with("/kv-watch")) {
      return PacedAnswer{.is_silent_ = true};
    }
    ++*reads;
    return ReadAnswer();
  });
  const fleet::ConfigWatcher watcher(
      slow.loop(), &slow.store(), kKey,
      [](const std::string& /*text*/) -> absl::StatusOr<fleet::FleetConfig> {
        fleet::FleetConfig config;
        config.version_ = 1;
        return config;
      });
  slow.RunFor(6000, [] { return false; });
  BOOST_TEST(watcher.current() != nullptr);
  BOOST_TEST(*reads == 1);
  BOOST_TEST(slow.server().requests() > 3);
}

}  // namespace lentilscale::testing
