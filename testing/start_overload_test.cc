// Starts that are answered late: a real instance with the platform's adapter
// against the emulated platform, all on one event loop.

#define BOOST_TEST_MODULE start_overload
#include <fmt/format.h>
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "platform/platform_node.h"
#include "testing/free_address_stand_in.h"
#include "testing/platform_emulator_stand_in.h"

namespace lentilscale::testing {
namespace {

constexpr Millis kPatienceMs = 20000;
constexpr Millis kHeartbeatMs = 1500;
constexpr int kWorkers = 60;
constexpr std::int64_t kWorkerCpuMilli = 16000;
constexpr int kTaskCpuMilli = 1000;
constexpr int kTasks = 900;
// Longer than an answer in good time, shorter than the time-out of a call.
constexpr Millis kLateMs = 300;
// Starts that may be awaited at first.
constexpr int kWindow = 256;
constexpr auto kBacklog = "00000000000000c1";
constexpr auto kLasting = "00000000000000c2";

class Fleet {
 public:
  Fleet() {
    signal(SIGPIPE, SIG_IGN);
    SetLogLevel(LogLevel::kError);
    platform_.SetHeartbeat(kHeartbeatMs);
    platform_.store().Put(
        "op/config",
        R"({"version":1,"routes":[{"name":"first","host":"h.example",)"
        R"("prefix":"/first/","service":"s","priority":1,"max_attempts":3,)"
        R"("stretch":2.0,"target_duration_ms":300,"public":true},)"
        R"({"name":"second","host":"h.example",)"
        R"("prefix":"/second/","service":"s","priority":2,"max_attempts":3,)"
        R"("stretch":2.0,"target_duration_ms":300,"public":true}],)"
        R"("services":[],"limits":{},"tenants":[]})");
    for (auto i = 0; i < kWorkers; ++i) {
      platform_.AddWorker(fmt::format("i-{}", i), "s", kWorkerCpuMilli, 0);
    }
    platform::BootFile boot;
    boot.node_name_ = "node-0";
    boot.client_address_ = FreeAddress();
    boot.readiness_address_ = FreeAddress();
    boot.peer_address_ = FreeAddress();
    boot.store_address_ = platform_.store().address();
    boot.advice_address_ = platform_.advice_address();
    boot.heartbeat_ms_ = kHeartbeatMs;
    address_ = boot.client_address_;
    auto node = platform::PlatformNode::Create(loop_, boot);
    BOOST_REQUIRE_MESSAGE(node.ok(), node.status().ToString());
    node_ = *std::move(node);
    // All workers are claimed, and tasks of both queues may be started.
    for (const auto* path : {"/first/", "/second/"}) {
      const auto id = fmt::format("f{:015x}", path[1]);
      BOOST_REQUIRE(RunUntil(
          [&] { return Submit(path, id, "ms=20", kWorkers, "") == 200; }));
      BOOST_REQUIRE(
          RunUntil([&] { return platform_.StartsOf(id) == kWorkers; }));
    }
    RunFor(kHeartbeatMs);
  }

  auto platform() -> PlatformEmulator& { return platform_; }

  auto DelayAnswers(Millis ms) -> void {
    for (auto i = 0; i < kWorkers; ++i) {
      platform_.worker(fmt::format("i-{}", i)).DelayAnswers(ms);
    }
  }

  auto Submit(const std::string& path, const std::string& id,
              const std::string& spec, int count, const std::string& more)
      -> int {
    platform_.SetDemand(id, kTaskCpuMilli, 0);
    std::optional<int> status;
    client_.Send(
        {address_,
         "POST",
         path + id,
         fmt::format(R"({{"spec":"{}","steps":[{{"count":{},)"
                     R"("cpu":{},"mem_mb":10,"estimate_ms":300{}}}]}})",
                     spec, count, kTaskCpuMilli, more),
         "",
         3000,
         {},
         "h.example"},
        [&](const HttpResult& result) { status = result.status_; });
    BOOST_REQUIRE(RunUntil([&] { return status.has_value(); }));
    return *status;
  }

  auto RunUntil(const std::function<bool()>& condition,
                Millis patience_ms = kPatienceMs) -> bool {
    const auto until = MonotonicMs() + patience_ms;
    RepeatingTimer waker(loop_, 5, [] {});
    while (!condition() && MonotonicMs() < until) {
      uv_run(loop_, UV_RUN_ONCE);
    }
    return condition();
  }

  auto RunFor(Millis ms) -> void {
    RunUntil([] { return false; }, ms);
  }

  auto CheckPromises() -> void {
    const auto& violations = platform_.violations();
    BOOST_TEST(violations.empty(),
               violations.size() << " broken promises, the first: "
                                 << (violations.empty() ? "" : violations[0]));
  }

 private:
  uv_loop_t* loop_ = uv_default_loop();
  PlatformEmulator platform_{loop_};
  HttpClient client_{loop_, HttpClient::Options{}};
  std::string address_;
  std::unique_ptr<platform::PlatformNode> node_;
};

}  // namespace

// Guards against an overload that keeps itself up: a backlog sent all at once,
// each call of which waits behind all others until it times out.
BOOST_AUTO_TEST_CASE(a_backlog_is_not_sent_all_at_once_when_answers_are_late) {
  Fleet fleet;
  fleet.DelayAnswers(kLateMs);
  BOOST_TEST(fleet.Submit("/first/", kBacklog, "ms=15000", kTasks, "") == 200);
  BOOST_TEST(
      fleet.RunUntil([&] { return fleet.platform().StartsOf(kBacklog) > 0; }));
  fleet.RunFor(kLateMs - 50);
  BOOST_TEST(fleet.platform().StartsOf(kBacklog) <= kWindow);
  // Two answer times later the window is a quarter of what it was.
  fleet.RunFor(2 * kLateMs);
  BOOST_TEST(fleet.platform().StartsOf(kBacklog) <= 2 * kWindow);
  fleet.DelayAnswers(0);
  BOOST_TEST(fleet.RunUntil(
      [&] { return fleet.platform().RunningOf(kBacklog) == kTasks; }));
  BOOST_TEST(fleet.platform().StartsOf(kBacklog) == kTasks);
  fleet.CheckPromises();
}

// Guards against lasting tasks whose users wait behind a backlog of other work.
BOOST_AUTO_TEST_CASE(a_lasting_task_goes_before_a_backlog_of_higher_priority) {
  Fleet fleet;
  fleet.DelayAnswers(kLateMs);
  BOOST_TEST(fleet.Submit("/first/", kBacklog, "ms=15000", kTasks, "") == 200);
  BOOST_TEST(
      fleet.RunUntil([&] { return fleet.platform().StartsOf(kBacklog) > 0; }));
  BOOST_TEST(fleet.Submit("/second/", kLasting, "ms=0", 1,
                          R"(,"long_running":true)") == 200);
  BOOST_TEST(fleet.RunUntil(
      [&] { return fleet.platform().RunningOf(kLasting) == 1; }, 3000));
  BOOST_TEST(fleet.platform().StartsOf(kBacklog) < kTasks);
  fleet.CheckPromises();
}

}  // namespace lentilscale::testing
