// The fleet scheduler on a worker that answers each call, but late: one
// instance with the platform's adapter against the emulated platform, on one
// event loop.

#define BOOST_TEST_MODULE fleet_slow_worker
#include <fmt/format.h>
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "lentilscale/http_client.h"
#include "lentilscale/log.h"
#include "lentilscale/timer.h"
#include "platform/platform_node.h"
#include "testing/free_address_stand_in.h"
#include "testing/platform_emulator_stand_in.h"

namespace lentilscale::testing {
namespace {

// Cases wait for conditions; this bounds a case that never gets there.
constexpr Millis kPatienceMs = 20000;
// Twice a worker's lease.
constexpr Millis kSlowMs = 10000;

constexpr auto kJob = "00000000000000b1";

// One instance and two workers; one of them runs a task that lasts.
class SlowWorker {
 public:
  // All answers of both workers come `delay_ms` late from the beginning.
  explicit SlowWorker(Millis delay_ms = 0) {
    signal(SIGPIPE, SIG_IGN);
    SetLogLevel(LogLevel::kError);
    platform_.store().Put(
        "op/config",
        R"({"version":1,"routes":[{"name":"q","host":"h.example",)"
        R"("prefix":"/q/","service":"s","priority":1,"max_attempts":3,)"
        R"("stretch":2.0,"target_duration_ms":300,"public":false}],)"
        R"("services":[],"limits":{},"tenants":[{"name":"a",)"
        R"("api_keys":["key-a"],"weight":1,"max_count":{}}]})");
    for (const auto* id : {"i-0", "i-1"}) {
      platform_.AddWorker(id, "s", 4000, 4).DelayAnswers(delay_ms);
    }
    platform_.SetDemand(kJob, 1000, 0);
    platform::BootFile boot;
    boot.node_name_ = "node-0";
    boot.client_address_ = FreeAddress();
    boot.readiness_address_ = FreeAddress();
    boot.peer_address_ = FreeAddress();
    boot.store_address_ = platform_.store().address();
    boot.advice_address_ = platform_.advice_address();
    boot.max_stop_ms_ = 200;
    address_ = boot.client_address_;
    auto node = platform::PlatformNode::Create(loop_, boot);
    BOOST_REQUIRE_MESSAGE(node.ok(), node.status().ToString());
    node_ = *std::move(node);
    BOOST_REQUIRE(Submit());
    BOOST_REQUIRE(RunUntil([&] { return platform_.RunningOf(kJob) == 1; }));
    // The answer to the start arrives.
    RunFor(300 + delay_ms);
  }

  auto platform() -> PlatformEmulator& { return platform_; }

  // Returns the worker that runs the task.
  auto worker() -> EmulatedWorker& {
    return platform_.worker(
        platform_.worker("i-0").running_count() > 0 ? "i-0" : "i-1");
  }

  auto RunUntil(const std::function<bool()>& condition) -> bool {
    const RepeatingTimer waker(loop_, 5, [] {});
    const auto until = MonotonicMs() + kPatienceMs;
    auto holds = condition();
    while (!holds && MonotonicMs() < until) {
      uv_run(loop_, UV_RUN_ONCE);
      holds = condition();
    }
    return holds;
  }

  auto RunFor(Millis ms) -> void {
    const auto until = MonotonicMs() + ms;
    RunUntil([&] { return MonotonicMs() >= until; });
  }

 private:
  // Hands the job in, again until it is accepted.
  auto Submit() -> bool {
    const auto body = std::string(
        R"({"spec":"ms=0","steps":[{"count":1,"cpu":1000,"mem_mb":10,)"
        R"("gpu":0,"long_running":true}]})");
    const auto until = MonotonicMs() + kPatienceMs;
    while (MonotonicMs() < until) {
      std::optional<HttpResult> result;
      client_.Send({address_,
                    "POST",
                    fmt::format("/q/{}", kJob),
                    body,
                    "key-a",
                    3000,
                    {},
                    "h.example"},
                   [&](const HttpResult& answer) { result = answer; });
      RunUntil([&] { return result.has_value(); });
      if (result->status_ == 200) {
        return true;
      }
      RunFor(20);
    }
    return false;
  }

  uv_loop_t* loop_ = uv_default_loop();
  PlatformEmulator platform_{loop_};
  HttpClient client_{loop_, HttpClient::Options{}};
  std::string address_;
  std::unique_ptr<platform::PlatformNode> node_;
};

// Longest time from the death of a slow worker until its lease has expired by
// the owner's count: the lease, and the last Hold call that an answer allows
// may be sent as late as one is given up.
constexpr Millis kMaxLapseMs = 5152 + 2500;

// Expects that the task's run goes on although all answers of its worker come
// `delay_ms` late.
auto CheckThatRunLasts(Millis delay_ms) -> void {
  SlowWorker fleet;
  auto& worker = fleet.worker();
  worker.DelayAnswers(delay_ms);
  const auto delayed_ms = MonotonicMs();
  fleet.RunUntil([&] {
    return worker.running_count() == 0 || MonotonicMs() >= delayed_ms + kSlowMs;
  });
  BOOST_TEST(worker.running_count() == 1);
  BOOST_TEST(MonotonicMs() - delayed_ms >= kSlowMs);
  // A second start would follow the count of the owner, which is later.
  fleet.RunFor(1500);
  BOOST_TEST(fleet.platform().StartsOf(kJob) == 1);
  for (const auto& violation : fleet.platform().violations()) {
    BOOST_ERROR(violation);
  }
}

}  // namespace

// Guards against LOST: a lasting task whose lease lapses though its worker
// answers each Hold.
BOOST_AUTO_TEST_CASE(a_worker_that_answers_900_ms_late_keeps_its_lease) {
  CheckThatRunLasts(900);
}

// Guards against LOST: a lasting task whose lease lapses though its worker
// answers each Hold.
BOOST_AUTO_TEST_CASE(a_worker_that_answers_1500_ms_late_keeps_its_lease) {
  CheckThatRunLasts(1500);
}

// Guards against LOST: an owner whose link is slow from the beginning never
// gets an answer in time, and starts nothing.
BOOST_AUTO_TEST_CASE(tasks_start_on_workers_that_were_always_slow) {
  for (const Millis delay_ms : {900, 1500}) {
    SlowWorker fleet(delay_ms);
    fleet.RunFor(kSlowMs);
    BOOST_TEST(fleet.platform().RunningOf(kJob) == 1);
    BOOST_TEST(fleet.platform().StartsOf(kJob) == 1);
    for (const auto& violation : fleet.platform().violations()) {
      BOOST_ERROR(violation);
    }
  }
}

// Guards against LOST: the tasks of a worker that dies after it was slow start
// elsewhere too late, or while they still run there.
BOOST_AUTO_TEST_CASE(a_slow_worker_that_dies_is_given_up) {
  for (const Millis delay_ms : {900, 1500}) {
    SlowWorker fleet;
    auto& platform = fleet.platform();
    auto& worker = fleet.worker();
    worker.DelayAnswers(delay_ms);
    fleet.RunFor(6000);
    BOOST_TEST(platform.StartsOf(kJob) == 1);
    worker.SetCut(true);
    const auto cut_ms = MonotonicMs();
    BOOST_TEST(fleet.RunUntil([&] { return platform.StartsOf(kJob) == 2; }));
    const auto lapse_ms = MonotonicMs() - cut_ms;
    // The rest covers the start elsewhere.
    BOOST_TEST(lapse_ms < kMaxLapseMs + 500);
    BOOST_TEST_MESSAGE("given up after " << lapse_ms << " ms");
    for (const auto& violation : platform.violations()) {
      BOOST_ERROR(violation);
    }
  }
}

}  // namespace lentilscale::testing
