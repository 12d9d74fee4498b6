// Tasks that last and lost their worker around changes of the fleet's owner:
// real instances against the emulated platform, all on one event loop. A task
// that lasts has to run again within seconds of the time at which its lease has
// surely ended, whoever owns the fleet then and whatever else waits.

#define BOOST_TEST_MODULE lasting_takeover
#include <fmt/format.h>
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "platform/platform_node.h"
#include "testing/free_address_stand_in.h"
#include "testing/platform_emulator_stand_in.h"

namespace lentilscale::testing {
namespace {

// Cases wait for conditions; this bounds a case that never gets there.
constexpr Millis kPatienceMs = 20000;
constexpr Millis kTurnMs = 5;
// Life of an owner in a chain: less than a lease lasts.
constexpr Millis kOwnerLifeMs = 2500;
// Owners in a chain: two leases and more.
constexpr int kOwners = 6;
constexpr std::int64_t kWorkerCpuMilli = 16000;
constexpr std::int64_t kTaskCpuMilli = 1000;
// Urgent work, and the time that answers to its starts take: more than the
// window of awaited starts allows for.
constexpr auto kBacklogJobs = 120;
constexpr auto kTasksPerBacklogJob = 25;
constexpr Millis kSlowAnswerMs = 300;
// Lasting jobs: one with a task on each worker, and one with a single task.
constexpr const char* kSpreadJob = "00000000000000a1";
constexpr const char* kSingleJob = "00000000000000a2";

class LastingFleet {
 public:
  LastingFleet(int nodes, int workers) : loop_(uv_default_loop()) {
    signal(SIGPIPE, SIG_IGN);
    SetLogLevel(LogLevel::kError);
    platform_ = std::make_unique<PlatformEmulator>(loop_);
    client_ = std::make_unique<HttpClient>(loop_, HttpClient::Options{});
    const auto route = [](const char* name, int priority) {
      return fmt::format(
          R"({{"name":"{0}","host":"h.example","prefix":"/{0}/",)"
          R"("service":"s","priority":{1},"max_attempts":3,"stretch":2.0,)"
          R"("target_duration_ms":300,"public":true}})",
          name, priority);
    };
    platform_->store().Put(
        "op/config",
        fmt::format(R"({{"version":1,"routes":[{},{}],"services":[],)"
                    R"("limits":{{}},"tenants":[]}})",
                    route("urgent", 0), route("lasting", 1)));
    for (auto i = 0; i < workers; ++i) {
      workers_.push_back(fmt::format("i-{}", i));
      platform_->AddWorker(workers_.back(), "s", kWorkerCpuMilli, 0);
    }
    for (auto i = 0; i < nodes; ++i) {
      AddNode();
    }
    for (const auto& address : readiness_) {
      BOOST_REQUIRE(RunUntil([&] { return IsReady(address); }));
    }
  }

  auto platform() -> PlatformEmulator& { return *platform_; }
  auto workers() const -> const std::vector<std::string>& { return workers_; }

  // Returns the instance that schedules; nullopt if there is none.
  auto Owner() -> std::optional<std::size_t> {
    const auto record = platform_->store().Get("ls/owner");
    if (record.empty()) {
      return std::nullopt;
    }
    const auto owner = ParseJson(record)["instance"].asString();
    return static_cast<std::size_t>(std::stoi(owner.substr(5)));
  }
  // Ends the owner as a kill does and waits for its successor.
  auto KillOwner() -> void {
    const auto owner = Owner();
    BOOST_REQUIRE(owner.has_value());
    nodes_[*owner].reset();
    BOOST_REQUIRE(RunUntil([&] {
      const auto next = Owner();
      return next.has_value() && *next != *owner;
    }));
  }

  auto RunUntil(const std::function<bool()>& condition,
                Millis patience_ms = kPatienceMs) -> bool {
    const auto until = MonotonicMs() + patience_ms;
    auto* waker = new uv_timer_t;
    uv_timer_init(loop_, waker);
    uv_timer_start(
        waker, [](uv_timer_t*) {}, kTurnMs, kTurnMs);
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

  // Hands a job of one step in at the last instance, which is killed last.
  auto Submit(const std::string& queue, const std::string& id, int count,
              const std::string& spec, const std::string& more) -> void {
    platform_->SetDemand(id, kTaskCpuMilli, 0);
    const auto body = fmt::format(
        R"({{"spec":"{}","steps":[{{"count":{},"cpu":{},"mem_mb":10,)"
        R"("estimate_ms":100{}}}]}})",
        spec, count, kTaskCpuMilli, more);
    std::optional<int> status;
    client_->Send({addresses_[Entrance()],
                   "POST",
                   fmt::format("/{}/{}", queue, id),
                   body,
                   "",
                   3000,
                   {},
                   "h.example"},
                  [&](const HttpResult& result) { status = result.status_; });
    BOOST_REQUIRE(RunUntil([&] { return status.has_value(); }));
    BOOST_REQUIRE_EQUAL(*status, 200);
  }

  // Starts the lasting jobs and returns the worker that runs the single task.
  auto StartLastingJobs() -> std::string {
    const auto workers = static_cast<int>(workers_.size());
    Submit("lasting", kSpreadJob, workers, "ms=0",
           R"(,"long_running":true,"max_per_server":1)");
    BOOST_REQUIRE(
        RunUntil([&] { return platform_->RunningOf(kSpreadJob) == workers; }));
    Submit("lasting", kSingleJob, 1, "ms=0", R"(,"long_running":true)");
    BOOST_REQUIRE(
        RunUntil([&] { return platform_->RunningOf(kSingleJob) == 1; }));
    for (const auto& id : workers_) {
      if (platform_->worker(id).running_count() == 2) {
        return id;
      }
    }
    return "";
  }

  // Hands in urgent work for longer than a case lasts. Its starts are held back
  // while there is room on the workers.
  auto SubmitBacklog() -> void {
    for (const auto& id : workers_) {
      platform_->worker(id).DelayOrderAnswers(kSlowAnswerMs);
    }
    for (auto i = 0; i < kBacklogJobs; ++i) {
      Submit("urgent", fmt::format("{:016x}", 0xb00 + i), kTasksPerBacklogJob,
             "ms=20", "");
    }
  }

  auto CheckPromises() -> void {
    for (const auto& violation : platform_->violations()) {
      BOOST_ERROR(violation);
    }
  }

 private:
  auto AddNode() -> void {
    platform::BootFile boot;
    boot.node_name_ = fmt::format("node-{}", nodes_.size());
    boot.client_address_ = FreeAddress();
    boot.readiness_address_ = FreeAddress();
    boot.peer_address_ = FreeAddress();
    boot.store_address_ = platform_->store().address();
    boot.advice_address_ = platform_->advice_address();
    boot.max_stop_ms_ = 200;
    auto node = platform::PlatformNode::Create(loop_, boot);
    BOOST_REQUIRE_MESSAGE(node.ok(), node.status().ToString());
    addresses_.push_back(boot.client_address_);
    readiness_.push_back(boot.readiness_address_);
    nodes_.push_back(*std::move(node));
  }
  // Returns an instance that is alive.
  auto Entrance() const -> std::size_t {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i] != nullptr) {
        return i;
      }
    }
    return 0;
  }
  auto IsReady(const std::string& address) -> bool {
    std::optional<int> status;
    client_->Send({address, "GET", "/readiness", "", "", 1000},
                  [&](const HttpResult& result) { status = result.status_; });
    RunUntil([&] { return status.has_value(); });
    return *status == 200;
  }

  uv_loop_t* loop_;
  std::unique_ptr<PlatformEmulator> platform_;
  std::unique_ptr<HttpClient> client_;
  std::vector<std::string> workers_;
  std::vector<std::string> addresses_;
  std::vector<std::string> readiness_;
  std::vector<std::unique_ptr<platform::PlatformNode>> nodes_;
};

// Returns true if the single task and the tasks of `lost_workers` workers have
// been started once more.
auto AreRestarted(LastingFleet& fleet, int lost_workers) -> bool {
  return fleet.platform().StartsOf(kSpreadJob) ==
             static_cast<int>(fleet.workers().size()) + lost_workers &&
         fleet.platform().StartsOf(kSingleJob) == 2;
}

// Kills the owner and its successors, each kOwnerLifeMs after its claim, until
// what AreRestarted asks for holds; returns false if it never does.
auto IsRestartedByChain(LastingFleet& fleet, int lost_workers) -> bool {
  for (auto owners = 1; owners <= kOwners; ++owners) {
    fleet.KillOwner();
    if (fleet.RunUntil([&] { return AreRestarted(fleet, lost_workers); },
                       kOwnerLifeMs)) {
      BOOST_TEST_MESSAGE("running again under owner " << owners);
      return true;
    }
  }
  return false;
}

// Without a backlog to the end, a case shows nothing about it.
auto CheckBacklogWaits(LastingFleet& fleet) -> void {
  const auto done = fleet.platform().done_count();
  BOOST_TEST(done < kBacklogJobs * kTasksPerBacklogJob);
  BOOST_TEST_MESSAGE("running again after " << done << " urgent tasks");
}

}  // namespace

// Guards against lasting tasks that stay down for as long as owners follow each
// other faster than a lease lasts: each waits anew for a worker that none has
// reached.
BOOST_AUTO_TEST_CASE(a_chain_of_owners_waits_once_for_a_silent_worker) {
  LastingFleet fleet(kOwners + 1, 4);
  const auto restarted = fleet.StartLastingJobs();
  const auto silent = fleet.workers()[fleet.workers()[0] == restarted ? 1 : 0];
  fleet.platform().worker(silent).SetCut(true);
  fleet.platform().worker(restarted).Restart();
  // The task of the silent worker needs another one.
  fleet.platform().AddWorker("i-new", "s", kWorkerCpuMilli, 0);
  BOOST_TEST(IsRestartedByChain(fleet, 2));
  fleet.CheckPromises();
}

// Guards against a lasting task that waits behind a backlog of urgent work as
// its owner takes over.
BOOST_AUTO_TEST_CASE(a_lapsed_task_goes_before_a_backlog_at_a_take_over) {
  LastingFleet fleet(3, 12);
  const auto lost = fleet.StartLastingJobs();
  fleet.SubmitBacklog();
  fleet.platform().AddWorker("i-new", "s", kWorkerCpuMilli, 0);
  fleet.platform().worker(lost).SetCut(true);
  fleet.KillOwner();
  BOOST_TEST(fleet.RunUntil([&] { return AreRestarted(fleet, 1); }));
  CheckBacklogWaits(fleet);
  fleet.CheckPromises();
}

// Guards against either where both meet: a third of the workers is lost as the
// first of several owners is killed in a backlog.
BOOST_AUTO_TEST_CASE(lasting_tasks_come_back_in_a_chain_and_a_backlog) {
  constexpr auto kLostWorkers = 4;
  LastingFleet fleet(kOwners + 1, 12);
  auto lost = std::set<std::string>{fleet.StartLastingJobs()};
  for (const auto& id : fleet.workers()) {
    if (lost.size() < kLostWorkers) {
      lost.insert(id);
    }
  }
  fleet.SubmitBacklog();
  for (const auto& id : lost) {
    fleet.platform().AddWorker(id + "-new", "s", kWorkerCpuMilli, 0);
    fleet.platform().worker(id).SetCut(true);
  }
  BOOST_TEST(IsRestartedByChain(fleet, kLostWorkers));
  CheckBacklogWaits(fleet);
  fleet.CheckPromises();
}

}  // namespace lentilscale::testing
