// Instances with the platform's adapter and workers that may crash, all on one
// event loop.

#ifndef LENTILSCALE_TESTING_CRASH_FLEET_STAND_IN_H_
#define LENTILSCALE_TESTING_CRASH_FLEET_STAND_IN_H_

#include <fmt/format.h>
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "platform/platform_node.h"
#include "testing/free_address_stand_in.h"
#include "testing/platform_emulator_stand_in.h"

namespace lentilscale::testing {

// Instances and workers of one service, each worker with 4 processors.
class CrashFleet {
 public:
  // Cases wait for conditions; this bounds a case that never gets there.
  static constexpr Millis kPatienceMs = 30000;

  CrashFleet(int instances, int workers, Millis crash_down_ms = 0) {
    signal(SIGPIPE, SIG_IGN);
    SetLogLevel(LogLevel::kError);
    platform_.store().Put(
        "op/config",
        R"({"version":1,"routes":[{"name":"q","host":"h.example",)"
        R"("prefix":"/q/","service":"s","priority":1,"max_attempts":3,)"
        R"("stretch":2.0,"target_duration_ms":300,"public":false}],)"
        R"("services":[],"limits":{},"tenants":[{"name":"a",)"
        R"("api_keys":["key-a"],"weight":1,"max_count":{}}]})");
    for (auto i = 0; i < workers; ++i) {
      platform_.AddWorker(fmt::format("i-{}", i), "s", 4000, 0)
          .SetCrashDownTime(crash_down_ms);
    }
    for (auto i = 0; i < instances; ++i) {
      AddInstance();
    }
    Submit("ffffffffffffffff", "ms=20", 1);
    Await("ffffffffffffffff", "completed");
  }

  auto platform() -> PlatformEmulator& { return platform_; }

  auto AddInstance() -> void {
    platform::BootFile boot;
    boot.node_name_ = fmt::format("node-{}", instances_.size());
    boot.client_address_ = FreeAddress();
    boot.readiness_address_ = FreeAddress();
    boot.peer_address_ = FreeAddress();
    boot.store_address_ = platform_.store().address();
    boot.advice_address_ = platform_.advice_address();
    boot.max_stop_ms_ = 200;
    boot.status_retention_ms_ = 120000;
    auto node = platform::PlatformNode::Create(loop_, boot);
    BOOST_REQUIRE_MESSAGE(node.ok(), node.status().ToString());
    instances_.push_back(
        {boot.client_address_, boot.readiness_address_, *std::move(node)});
    BOOST_REQUIRE(RunUntil([&] {
      return Call({boot.readiness_address_, "GET", "/readiness", "", "", 1000})
                 .status_ == 200;
    }));
  }

  // Ends the instance that schedules as a kill does.
  auto KillOwner() -> void {
    const auto owner =
        ParseJson(platform_.store().Get("ls/owner"))["instance"].asString();
    instances_[std::stoul(owner.substr(5))].node_.reset();
  }

  auto RunUntil(const std::function<bool()>& condition) -> bool {
    const auto until = MonotonicMs() + kPatienceMs;
    auto* waker = new uv_timer_t;
    uv_timer_init(loop_, waker);
    uv_timer_start(
        waker, [](uv_timer_t*) {}, 5, 5);
    auto holds = condition();
    while (!holds && MonotonicMs() < until) {
      uv_run(loop_, UV_RUN_ONCE);
      holds = condition();
    }
    uv_close(reinterpret_cast<uv_handle_t*>(waker), [](uv_handle_t* handle) {
      delete reinterpret_cast<uv_timer_t*>(handle);
    });
    return holds;
  }

  // Hands in a job of one step.
  auto Submit(const std::string& id, const std::string& spec, int tasks,
              int cpu_milli = 1000, const std::string& more = "") -> void {
    platform_.SetDemand(id, cpu_milli, 0);
    const auto body = fmt::format(
        R"({{"spec":"{}","steps":[{{"count":{},"cpu":{},"mem_mb":10,)"
        R"("gpu":0,"estimate_ms":100{}}}]}})",
        spec, tasks, cpu_milli, more);
    BOOST_REQUIRE_EQUAL(Call({Address(),
                              "POST",
                              "/q/" + id,
                              body,
                              "key-a",
                              3000,
                              {},
                              "h.example"})
                            .status_,
                        200);
  }

  auto State(const std::string& id) -> std::string {
    const auto result = Call(
        {Address(), "GET", "/q/" + id, "", "key-a", 3000, {}, "h.example"});
    return result.status_ == 200 ? ParseJson(result.body_)["state"].asString()
                                 : std::to_string(result.status_);
  }

  auto Await(const std::string& id, const std::string& state) -> void {
    auto shown = State(id);
    const auto until = MonotonicMs() + kPatienceMs;
    while (shown != state && MonotonicMs() < until) {
      Pause();
      shown = State(id);
    }
    BOOST_TEST(shown == state, id << " is shown as " << shown);
  }

  auto Pause(Millis pause_ms = 20) -> void {
    const auto until = MonotonicMs() + pause_ms;
    RunUntil([&] { return MonotonicMs() >= until; });
  }

  auto CheckPromises() -> void {
    for (const auto& violation : platform_.violations()) {
      BOOST_ERROR(violation);
    }
  }

 private:
  struct Instance {
    std::string client_address_;
    std::string readiness_address_;
    std::unique_ptr<platform::PlatformNode> node_;
  };

  auto Call(const HttpCall& call) -> HttpResult {
    std::optional<HttpResult> answer;
    client_.Send(call, [&](const HttpResult& result) { answer = result; });
    RunUntil([&] { return answer.has_value(); });
    return answer.value_or(HttpResult{});
  }
  // Returns the address of an instance that runs.
  auto Address() const -> std::string {
    for (const auto& instance : instances_) {
      if (instance.node_ != nullptr) {
        return instance.client_address_;
      }
    }
    return "";
  }

  uv_loop_t* loop_ = uv_default_loop();
  PlatformEmulator platform_{loop_};
  HttpClient client_{loop_, HttpClient::Options{}};
  std::vector<Instance> instances_;
};

// Two data centres with four workers each. A task of kWholeWorkerMilli fits
// into the first one alone, once on each worker.
inline constexpr auto kWholeWorkerMilli = 3000;

class TwoDataCentres : public CrashFleet {
 public:
  TwoDataCentres() : CrashFleet(1, 2 * kWorkers, 300) {
    for (auto i = 0; i < 2 * kWorkers; ++i) {
      auto& worker = platform().worker(fmt::format("i-{}", i));
      worker.SetZone(i < kWorkers ? "east" : "west");
      worker.SetCapacity(i < kWorkers ? 4000 : 500, 0);
    }
    Pause(1000);
  }

  static constexpr auto kWorkers = 4;

  auto AwaitRunning(const std::string& job, int tasks) -> void {
    const auto runs =
        RunUntil([&] { return platform().RunningOf(job) == tasks; });
    BOOST_REQUIRE_MESSAGE(runs, job << " is shown as " << State(job));
  }
  auto CrashFirst() -> void {
    for (auto i = 0; i < kWorkers; ++i) {
      platform().worker(fmt::format("i-{}", i)).Crash();
    }
  }
};

}  // namespace lentilscale::testing

#endif  // LENTILSCALE_TESTING_CRASH_FLEET_STAND_IN_H_
