// New jobs while more work waits than the owner can start in time: two real
// instances with the platform's adapter against the emulated platform, all on
// one event loop.

#define BOOST_TEST_MODULE overload_admission
#include <fmt/format.h>
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lentilscale/log.h"
#include "lentilscale/timer.h"
#include "platform/platform_node.h"
#include "testing/free_address_stand_in.h"
#include "testing/platform_emulator_stand_in.h"
#include "testing/raw_call_stand_in.h"

namespace lentilscale::testing {
namespace {

constexpr Millis kPatienceMs = 20000;
constexpr Millis kHeartbeatMs = 1500;
constexpr std::size_t kNodes = 2;
constexpr int kWorkers = 40;
constexpr std::int64_t kWorkerCpuMilli = 16000;
constexpr int kTaskCpuMilli = 100;
constexpr int kTasks = 4000;
// Longer than an answer in good time: the owner then sends some 50 starts a
// second, and the backlog takes several times its objective of 20 s.
constexpr Millis kLateMs = 300;
// Tries until a backlog has shown how fast it is worked off.
constexpr int kTries = 80;
constexpr Millis kTryIntervalMs = 100;
// Tries without an accepted job, each at all instances, that show that all are
// refused: they last longer than the time for which the rate of starts of
// before the answers were late counts.
constexpr int kRefusalsInARow = 25;
constexpr auto kBacklog = "00000000000000c1";

class Fleet {
 public:
  Fleet() {
    signal(SIGPIPE, SIG_IGN);
    SetLogLevel(LogLevel::kError);
    platform_.SetHeartbeat(kHeartbeatMs);
    const auto route = [](const char* name, const char* service) {
      return fmt::format(
          R"({{"name":"{0}","host":"h.example","prefix":"/{0}/",)"
          R"("service":"{1}","priority":1,"max_attempts":3,"stretch":2.0,)"
          R"("target_duration_ms":20000,"public":true}})",
          name, service);
    };
    platform_.store().Put(
        "op/config",
        fmt::format(R"({{"version":1,"routes":[{},{}],"services":[],)"
                    R"("limits":{{}},"tenants":[]}})",
                    route("busy", "s"), route("other", "t")));
    for (auto i = 0; i < kWorkers; ++i) {
      platform_.AddWorker(fmt::format("i-{}", i), "s", kWorkerCpuMilli, 0);
    }
    platform_.AddWorker("j-0", "t", kWorkerCpuMilli, 0);
    for (std::size_t i = 0; i < kNodes; ++i) {
      platform::BootFile boot;
      boot.node_name_ = fmt::format("node-{}", i);
      boot.client_address_ = FreeAddress();
      boot.readiness_address_ = FreeAddress();
      boot.peer_address_ = FreeAddress();
      boot.store_address_ = platform_.store().address();
      boot.advice_address_ = platform_.advice_address();
      boot.heartbeat_ms_ = kHeartbeatMs;
      addresses_.push_back(boot.client_address_);
      auto node = platform::PlatformNode::Create(loop_, boot);
      BOOST_REQUIRE_MESSAGE(node.ok(), node.status().ToString());
      nodes_.push_back(*std::move(node));
    }
    // All workers are claimed, and tasks of both queues may be started.
    for (const auto* queue : {"busy", "other"}) {
      const auto id = NewId();
      BOOST_REQUIRE(RunUntil([&] {
        return Submit(0, queue, id, "ms=20", kWorkers).starts_with("200");
      }));
      BOOST_REQUIRE(RunUntil([&] { return platform_.DoneOf(id) == kWorkers; }));
    }
    RunFor(kHeartbeatMs);
  }

  auto platform() -> PlatformEmulator& { return platform_; }

  // Makes a backlog and waits until new jobs are refused at both instances.
  // Returns the id of one of them.
  auto MakeBacklog() -> std::string {
    DelayAnswers(kLateMs);
    BOOST_REQUIRE(Submit(0, "busy", kBacklog, "ms=60000", kTasks) == "200 ");
    std::string refused;
    auto in_a_row = 0;
    for (auto i = 0; i < kTries && in_a_row < kRefusalsInARow; ++i) {
      ++in_a_row;
      for (std::size_t node = 0; node < kNodes; ++node) {
        const auto id = NewId();
        if (Submit(node, "busy", id, "ms=20", 1).starts_with("503 ")) {
          refused = id;
        } else {
          in_a_row = 0;
        }
      }
      RunFor(kTryIntervalMs);
    }
    BOOST_REQUIRE_MESSAGE(
        in_a_row == kRefusalsInARow,
        "new jobs are accepted although they must wait too long");
    return refused;
  }

  auto DelayAnswers(Millis ms) -> void {
    for (auto i = 0; i < kWorkers; ++i) {
      platform_.worker(fmt::format("i-{}", i)).DelayAnswers(ms);
    }
  }

  auto NewId() -> std::string { return fmt::format("f{:015x}", ++last_id_); }

  // Hands a job in and returns the status, a space and the Retry-After.
  auto Submit(std::size_t node, const std::string& queue, const std::string& id,
              const std::string& spec, int count,
              const std::string& of_step = "", const std::string& of_job = "")
      -> std::string {
    platform_.SetDemand(id, kTaskCpuMilli, 0);
    return Call(node, "POST", queue, id,
                fmt::format(R"({{"spec":"{}","steps":[{{"count":{},"cpu":{},)"
                            R"("mem_mb":10,"estimate_ms":300{}}}]{}}})",
                            spec, count, kTaskCpuMilli, of_step, of_job));
  }

  // The same for any call.
  auto Call(std::size_t node, const std::string& method,
            const std::string& queue, const std::string& id,
            const std::string& body) -> std::string {
    const auto answer = RawCall(
        addresses_[node],
        fmt::format("{} /{}/{} HTTP/1.1\r\nHost: h.example\r\nContent-Type: "
                    "application/json\r\nContent-Length: {}\r\n\r\n{}",
                    method, queue, id, body.size(), body),
        [&](const auto& condition) {
          if (const auto action = std::exchange(before_next_answer_, nullptr)) {
            action();
          }
          RunUntil(condition);
        });
    BOOST_REQUIRE(answer.starts_with("HTTP/1.1 "));
    const std::string name = "\r\nretry-after: ";
    const auto at = answer.find(name);
    const auto value = at == std::string::npos ? at : at + name.size();
    return answer.substr(9, 3) + " " +
           (value == std::string::npos
                ? ""
                : answer.substr(value, answer.find("\r\n", value) - value));
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

  // Runs `action` while the next call waits for its answer.
  auto BeforeNextAnswer(std::function<void()> action) -> void {
    before_next_answer_ = std::move(action);
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
  std::vector<std::string> addresses_;
  std::vector<std::unique_ptr<platform::PlatformNode>> nodes_;
  int last_id_ = 0;
  std::function<void()> before_next_answer_;
};

}  // namespace

// Guards against an overload in which every job is accepted and fails later,
// and against jobs that run although their client was told that they don't.
BOOST_AUTO_TEST_CASE(a_job_that_would_wait_too_long_is_refused_and_never_runs) {
  Fleet fleet;
  const auto refused = fleet.MakeBacklog();
  BOOST_TEST(!fleet.platform().store().HasPrefix("ls/in/job/" + refused));
  BOOST_TEST(fleet.Call(1, "GET", "busy", refused, "") == "410 ");
  for (std::size_t node = 0; node < kNodes; ++node) {
    const auto answer = fleet.Submit(node, "busy", refused, "ms=20", 1);
    BOOST_TEST(answer.starts_with("503 "));
    BOOST_TEST(std::stoi(answer.substr(4)) >= 1);
  }
  BOOST_TEST(fleet.Call(0, "DELETE", "busy", kBacklog, "") == "200 ");
  fleet.DelayAnswers(0);
  BOOST_TEST(fleet.RunUntil(
      [&] { return fleet.platform().RunningOf(kBacklog) == 0; }));
  // There is room again, at both instances.
  for (std::size_t node = 0; node < kNodes; ++node) {
    const auto id = fleet.NewId();
    BOOST_TEST(fleet.RunUntil(
        [&] { return fleet.Submit(node, "busy", id, "ms=20", 1) == "200 "; }));
    BOOST_TEST(
        fleet.RunUntil([&] { return fleet.platform().DoneOf(id) == 1; }));
  }
  BOOST_TEST(fleet.platform().StartsOf(refused) == 0);
  fleet.CheckPromises();
}

// Guards against refusals that are of no use to anyone: of jobs that were
// accepted, of classes with room, of lasting jobs and of those with due times.
BOOST_AUTO_TEST_CASE(what_was_accepted_or_has_room_is_not_refused) {
  Fleet fleet;
  fleet.MakeBacklog();
  for (std::size_t node = 0; node < kNodes; ++node) {
    BOOST_TEST(fleet.Submit(node, "busy", kBacklog, "ms=60000", kTasks) ==
               "200 ");
    BOOST_TEST(fleet.Submit(node, "other", fleet.NewId(), "ms=20", 1) ==
               "200 ");
    const auto lasting = fleet.NewId();
    BOOST_TEST(fleet.Submit(node, "busy", lasting, "ms=0", 1,
                            R"(,"long_running":true)") == "200 ");
    BOOST_TEST(fleet.RunUntil(
        [&] { return fleet.platform().RunningOf(lasting) == 1; }));
    BOOST_TEST(fleet.Submit(node, "busy", fleet.NewId(), "ms=20", 1, "",
                            R"(,"repeat_count":2,"start_at_ms":1,)"
                            R"("interval_ms":1000)") == "200 ");
    BOOST_TEST(fleet.Submit(node, "busy", fleet.NewId(), "ms=20", 1)
                   .starts_with("503 "));
    // It is not known whether the job was accepted before.
    const auto unknown = fleet.NewId();
    fleet.platform().store().SetRangeRefused("ls/in/job/" + unknown, true);
    BOOST_TEST(fleet.Submit(node, "busy", unknown, "ms=20", 1) == "200 ");
  }
  fleet.CheckPromises();
}

// Guards against a client that is told that its job never runs while another
// instance still writes it: its connection there broke, so it came again.
BOOST_AUTO_TEST_CASE(
    a_job_that_another_instance_writes_is_not_said_to_never_run,
    *boost::unit_test::disabled()) {
  constexpr Millis kWriteMs = 1000;
  constexpr Millis kReadMs = 200;
  Fleet fleet;
  fleet.MakeBacklog();
  const auto id = fleet.NewId();
  auto& store = fleet.platform().store();
  // The first instance can't look the job up, so it is admitted.
  store.SetRangeRefused("ls/in/job/" + id, true);
  // Writes of the owner may come first.
  store.CarryOutLate(3, kWriteMs);
  std::string second;
  fleet.BeforeNextAnswer([&] {
    fleet.RunFor(kReadMs);
    store.SetRangeRefused("ls/in/job/" + id, false);
    BOOST_TEST(!store.HasPrefix("ls/in/job/" + id));
    second = fleet.Submit(1, "busy", id, "ms=20", 1);
  });
  const auto first = fleet.Submit(0, "busy", id, "ms=20", 1);
  fleet.RunFor(2 * kWriteMs);
  BOOST_TEST_MESSAGE("first " << first << ", second " << second);
  BOOST_TEST(
      (!second.starts_with("503 ") || !store.HasPrefix("ls/in/job/" + id)));
}

// Guards against refusals for tasks that wait for a worker with their label: a
// new job without one starts before them.
BOOST_AUTO_TEST_CASE(tasks_that_no_worker_may_run_delay_nobody) {
  constexpr auto kShortBacklog = 200;
  for (const auto is_any_unplaceable : {false, true}) {
    Fleet fleet;
    if (is_any_unplaceable) {
      BOOST_REQUIRE(fleet.Submit(0, "busy", kBacklog, "ms=20", kTasks,
                                 R"(,"requires":"absent")") == "200 ");
    }
    fleet.DelayAnswers(kLateMs);
    BOOST_REQUIRE(fleet.Submit(0, "busy", fleet.NewId(), "ms=20",
                               kShortBacklog) == "200 ");
    auto refused = 0;
    for (auto i = 0; i < kTries; ++i) {
      refused +=
          fleet.Submit(0, "busy", fleet.NewId(), "ms=20", 1).starts_with("503 ")
              ? 1
              : 0;
      fleet.RunFor(kTryIntervalMs);
    }
    BOOST_TEST_CONTEXT((is_any_unplaceable ? "beside" : "without")
                       << " tasks that no worker may run") {
      BOOST_TEST(refused == 0);
    }
  }
}

}  // namespace lentilscale::testing
