// A worker's capacity changes while it runs: real instances with the platform's
// adapter against the emulated platform, all on one event loop. The emulator
// judges each start by the capacity that the worker had until a moment ago, and
// counts all that has not ended.

#define BOOST_TEST_MODULE fleet_capacity
#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_worker.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "platform/platform_node.h"
#include "testing/free_address_stand_in.h"
#include "testing/platform_emulator_stand_in.h"

namespace lentilscale::testing {
namespace {

// Cases wait for conditions; this bounds a case that never gets there.
constexpr Millis kPatienceMs = 20000;
constexpr Millis kHeartbeatMs = 1500;
// From this time after a change on, starts are judged by the new capacity.
constexpr Millis kSettledMs = kHeartbeatMs + 3000;
constexpr auto kJob = "00000000000000a1";
constexpr auto kLongJob = "00000000000000a2";
constexpr auto kLasting = R"(,"long_running":true)";
constexpr auto kGang = R"(,"gang":true)";

// One step as clients write it.
struct StepText {
  int count_ = 1;
  int cpu_ = 1000;
  std::string more_ = {};
};

class Fleet {
 public:
  // Starts the given numbers of instances, each with its own entrance to the
  // store, and of workers with four processors.
  Fleet(int nodes, int workers) {
    signal(SIGPIPE, SIG_IGN);
    SetLogLevel(LogLevel::kError);
    platform_.SetHeartbeat(kHeartbeatMs);
    platform_.store().Put(
        "op/config",
        R"({"version":1,"routes":[{"name":"q","host":"h.example",)"
        R"("prefix":"/q/","service":"s","priority":1,"max_attempts":3,)"
        R"("stretch":2.0,"target_duration_ms":300,"public":true}],)"
        R"("services":[],"limits":{},"tenants":[{"name":"a",)"
        R"("api_keys":["key-a"],"weight":1,"max_count":{}}]})");
    for (auto i = 0; i < workers; ++i) {
      platform_.AddWorker(fmt::format("i-{}", i), "s", 4000, 0);
    }
    for (auto i = 0; i < nodes; ++i) {
      AddNode();
    }
    BOOST_REQUIRE(RunUntil(
        [&] { return Submit("ffffffffffffffff", "ms=20", {{}}) == 200; }));
    BOOST_REQUIRE(WaitForState("ffffffffffffffff", "completed"));
  }

  auto platform() -> PlatformEmulator& { return platform_; }
  auto worker(int number) -> EmulatedWorker& {
    return platform_.worker(fmt::format("i-{}", number));
  }

  auto AddNode() -> void {
    const auto entrance = platform_.store().AddEntrance();
    platform::BootFile boot;
    boot.node_name_ = fmt::format("node-{}", nodes_.size());
    boot.client_address_ = FreeAddress();
    boot.readiness_address_ = FreeAddress();
    boot.peer_address_ = FreeAddress();
    boot.store_address_ = platform_.store().entrance_address(entrance);
    boot.advice_address_ = platform_.advice_address();
    boot.heartbeat_ms_ = kHeartbeatMs;
    boot.max_stop_ms_ = 200;
    auto node = platform::PlatformNode::Create(loop_, boot);
    BOOST_REQUIRE_MESSAGE(node.ok(), node.status().ToString());
    client_address_ = boot.client_address_;
    nodes_.push_back(*std::move(node));
  }

  // Ends the instance that schedules as a kill does.
  auto KillOwner() -> void {
    const auto owner =
        ParseJson(platform_.store().Get("ls/owner"))["instance"].asString();
    nodes_[static_cast<std::size_t>(std::stoi(owner.substr(5)))].reset();
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

  // Calls the instance that was added last.
  auto Call(const std::string& method, const std::string& path,
            const std::string& body) -> HttpResult {
    std::optional<HttpResult> answer;
    client_.Send(
        {client_address_, method, path, body, "key-a", 3000, {}, "h.example"},
        [&](const HttpResult& result) { answer = result; });
    BOOST_REQUIRE(RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }

  // Hands a job in and returns the status. All steps are judged as the first.
  auto Submit(const std::string& id, const std::string& spec,
              const std::vector<StepText>& steps) -> int {
    std::string list;
    for (const auto& step : steps) {
      list += fmt::format(
          R"({}{{"count":{},"cpu":{},"mem_mb":10,"estimate_ms":300{}}})",
          list.empty() ? "" : ",", step.count_, step.cpu_, step.more_);
    }
    platform_.SetDemand(id, steps[0].cpu_, 0);
    return Call("POST", "/q/" + id,
                fmt::format(R"({{"spec":"{}","steps":[{}]}})", spec, list))
        .status_;
  }

  auto Cancel(const std::string& id) -> int {
    return Call("DELETE", "/q/" + id, "").status_;
  }

  auto WaitForState(const std::string& id, const std::string& state) -> bool {
    const auto until = MonotonicMs() + kPatienceMs;
    while (MonotonicMs() < until) {
      const auto answer = Call("GET", "/q/" + id, "");
      if (answer.status_ == 200 &&
          ParseJson(answer.body_)["state"].asString() == state) {
        return true;
      }
      RunFor(20);
    }
    return false;
  }

  auto WaitForRunning(const std::string& job, int count) -> bool {
    return RunUntil([&] { return platform_.RunningOf(job) == count; });
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
  std::string client_address_;
  std::vector<std::unique_ptr<platform::PlatformNode>> nodes_;
};

}  // namespace

// Guards against LIMIT: starts by the capacity of before.
BOOST_AUTO_TEST_CASE(a_shrunk_worker_is_not_filled_as_before) {
  Fleet fleet(1, 1);
  BOOST_TEST(fleet.Submit(kJob, "ms=300", {{90}}) == 200);
  BOOST_TEST(fleet.WaitForRunning(kJob, 4));
  fleet.worker(0).SetCapacity(2000, 0);
  BOOST_TEST(fleet.WaitForState(kJob, "completed"));
  fleet.CheckPromises();
}

// Guards against LIMIT: a worker that runs more than it has room for gets the
// next task as soon as one of its runs ends.
BOOST_AUTO_TEST_CASE(a_worker_that_is_over_its_capacity_gets_nothing) {
  Fleet fleet(1, 1);
  BOOST_TEST(fleet.Submit(kLongJob, "ms=0", {{3, 1000, kLasting}}) == 200);
  BOOST_TEST(fleet.WaitForRunning(kLongJob, 3));
  BOOST_TEST(fleet.Submit(kJob, "ms=300", {{30}}) == 200);
  BOOST_TEST(fleet.WaitForRunning(kJob, 1));
  fleet.worker(0).SetCapacity(2000, 0);
  fleet.RunFor(kSettledMs);
  const auto starts = fleet.platform().StartsOf(kJob);
  fleet.RunFor(1500);
  BOOST_TEST(fleet.platform().StartsOf(kJob) == starts);
  // Nothing is stopped for it.
  BOOST_TEST(fleet.platform().RunningOf(kLongJob) == 3);
  BOOST_TEST(fleet.platform().StartsOf(kLongJob) == 3);
  fleet.Cancel(kLongJob);
  BOOST_TEST(fleet.RunUntil(
      [&] { return fleet.platform().StartsOf(kJob) >= starts + 4; }));
  fleet.CheckPromises();
}

// Guards against LOST: room that has grown again stays unused.
BOOST_AUTO_TEST_CASE(room_that_grows_again_is_used) {
  Fleet fleet(1, 1);
  fleet.worker(0).SetCapacity(500, 0);
  fleet.RunFor(kSettledMs);
  BOOST_TEST(fleet.Submit(kJob, "ms=0", {{6, 1000, kLasting}}) == 200);
  fleet.RunFor(1000);
  BOOST_TEST(fleet.platform().StartsOf(kJob) == 0);
  fleet.worker(0).SetCapacity(6000, 0);
  BOOST_TEST(fleet.WaitForRunning(kJob, 6));
  fleet.CheckPromises();
}

// Guards against LOST and LIMIT: large tasks, for which workers are kept free,
// beside workers that have no room at all or are over their capacity.
BOOST_AUTO_TEST_CASE(large_tasks_go_where_there_still_is_room) {
  Fleet fleet(1, 4);
  BOOST_TEST(fleet.Submit(kLongJob, "ms=0",
                          {{4, 3000,
                            R"(,"long_running":true,)"
                            R"("max_per_server":1)"}}) == 200);
  BOOST_TEST(fleet.WaitForRunning(kLongJob, 4));
  fleet.worker(0).SetCapacity(0, 0);
  fleet.worker(1).SetCapacity(1000, 0);
  fleet.worker(2).SetCapacity(2000, 0);
  fleet.RunFor(kSettledMs);
  BOOST_TEST(fleet.Cancel(kLongJob) / 100 == 2);
  // Small tasks fill each gap; the large ones fit on the last worker only.
  BOOST_TEST(fleet.Submit("00000000000000b1", "ms=200", {{60, 900}}) == 200);
  BOOST_TEST(fleet.Submit(kJob, "ms=200", {{3, 4000}}) == 200);
  BOOST_TEST(fleet.WaitForState(kJob, "completed"));
  BOOST_TEST(fleet.WaitForState("00000000000000b1", "completed"));
  BOOST_TEST(fleet.worker(0).running_count() == 0U);
  fleet.CheckPromises();
}

// Guards against LIMIT: starts by an old entry while the store answers no one,
// which the owner's rights outlast.
BOOST_AUTO_TEST_CASE(nothing_starts_by_old_entries_while_the_store_is_down) {
  for (const auto mode :
       {EmulatedStore::Mode::kRefusing, EmulatedStore::Mode::kSilent}) {
    Fleet fleet(2, 1);
    // Reports of the other instance prolong the rights.
    fleet.RunFor(1500);
    BOOST_TEST(fleet.Submit(kJob, "ms=200", {{250}}) == 200);
    BOOST_TEST(fleet.WaitForRunning(kJob, 4));
    for (const auto entrance : {0, 1}) {
      fleet.platform().store().SetEntranceMode(
          static_cast<std::size_t>(entrance), mode);
    }
    fleet.worker(0).SetCapacity(1000, 0);
    const auto starts = fleet.platform().StartsOf(kJob);
    fleet.RunFor(kSettledMs + 5000);
    // Right after the failure work goes on.
    BOOST_TEST(fleet.platform().StartsOf(kJob) > starts + 8);
    for (const auto entrance : {0, 1}) {
      fleet.platform().store().SetEntranceMode(
          static_cast<std::size_t>(entrance), EmulatedStore::Mode::kUp);
    }
    const auto resumed = fleet.platform().StartsOf(kJob);
    BOOST_TEST(fleet.RunUntil(
        [&] { return fleet.platform().StartsOf(kJob) >= resumed + 10; }));
    fleet.CheckPromises();
  }
}

// Guards against LIMIT: the store renews the owner's rights, but refuses to
// list the workers.
BOOST_AUTO_TEST_CASE(nothing_starts_by_old_entries_while_lists_are_refused) {
  Fleet fleet(1, 1);
  BOOST_TEST(fleet.Submit(kJob, "ms=200", {{250}}) == 200);
  BOOST_TEST(fleet.WaitForRunning(kJob, 4));
  fleet.platform().store().SetRangeRefused("servers/", true);
  fleet.worker(0).SetCapacity(1000, 0);
  fleet.RunFor(kSettledMs + 2000);
  fleet.platform().store().SetRangeRefused("servers/", false);
  const auto resumed = fleet.platform().StartsOf(kJob);
  BOOST_TEST(fleet.RunUntil(
      [&] { return fleet.platform().StartsOf(kJob) >= resumed + 10; }));
  fleet.CheckPromises();
}

// Guards against LOST: a single read of the workers that fails stops all work.
BOOST_AUTO_TEST_CASE(work_goes_on_between_failed_reads) {
  Fleet fleet(1, 1);
  BOOST_TEST(fleet.Submit(kJob, "ms=100", {{400}}) == 200);
  BOOST_TEST(fleet.WaitForRunning(kJob, 4));
  for (auto i = 0; i < 4; ++i) {
    fleet.platform().store().SetRangeRefused("servers/", true);
    fleet.RunFor(1000);
    const auto starts = fleet.platform().StartsOf(kJob);
    fleet.RunFor(500);
    BOOST_TEST(fleet.platform().StartsOf(kJob) >= starts + 8);
    fleet.platform().store().SetRangeRefused("servers/", false);
    fleet.RunFor(700);
  }
  fleet.CheckPromises();
}

// Guards against LIMIT: starts by an entry of another writer, whose capacity is
// missing or of another type.
BOOST_AUTO_TEST_CASE(an_entry_without_a_valid_capacity_brings_no_starts) {
  const std::vector<std::function<void(Json::Value&)>> changes = {
      [](Json::Value& entry) { entry.removeMember("capacity"); },
      [](Json::Value& entry) { entry["capacity"] = "4000"; },
      [](Json::Value& entry) { entry["capacity"]["cpu"] = 0; },
      [](Json::Value& entry) { entry["capacity"]["cpu"] = "4000"; },
      [](Json::Value& entry) { entry["capacity"]["cpu"] = -1; },
      [](Json::Value& entry) { entry["capacity"].removeMember("mem_mb"); },
      [](Json::Value& entry) { entry["capacity"] = Json::arrayValue; }};
  Fleet fleet(1, 1);
  // The worker's own entries do not interfere.
  fleet.platform().SetHeartbeat(60000);
  fleet.RunFor(kHeartbeatMs + 100);
  auto& store = fleet.platform().store();
  const auto own_entry = store.Get("servers/i-0");
  for (std::size_t i = 0; i < changes.size(); ++i) {
    BOOST_TEST_CONTEXT("change " << i) {
      auto entry = ParseJson(own_entry);
      changes[i](entry);
      store.Put("servers/i-0", DumpJson(entry));
      fleet.RunFor(800);
      const auto id = fmt::format("00000000000000d{}", i);
      BOOST_TEST(fleet.Submit(id, "ms=20", {{}}) == 200);
      fleet.RunFor(300);
      BOOST_TEST(fleet.platform().StartsOf(id) == 0);
      store.Put("servers/i-0", own_entry);
      BOOST_TEST(fleet.WaitForState(id, "completed"));
    }
  }
  fleet.CheckPromises();
}

// Guards against LIMIT and GANG: members beyond what is left of the room.
BOOST_AUTO_TEST_CASE(a_gang_waits_until_all_its_members_fit_again) {
  Fleet fleet(1, 2);
  fleet.worker(0).SetCapacity(1000, 0);
  fleet.worker(1).SetCapacity(2000, 0);
  fleet.RunFor(kSettledMs);
  BOOST_TEST(fleet.Submit(kJob, "ms=200 gang=4", {{4, 1000, kGang}}) == 200);
  fleet.RunFor(1000);
  BOOST_TEST(fleet.platform().StartsOf(kJob) == 0);
  fleet.worker(0).SetCapacity(2000, 0);
  BOOST_TEST(fleet.WaitForState(kJob, "completed"));
  BOOST_TEST(fleet.platform().StartsOf(kJob) == 4);
  fleet.CheckPromises();
}

// Guards against LIMIT: a new life with less room is used by the entry of the
// former one.
BOOST_AUTO_TEST_CASE(a_new_life_with_less_room_is_not_filled_as_the_former) {
  Fleet fleet(1, 1);
  BOOST_TEST(fleet.Submit(kJob, "ms=300", {{60}}) == 200);
  BOOST_TEST(fleet.WaitForRunning(kJob, 4));
  fleet.worker(0).SetCapacity(2000, 0);
  fleet.worker(0).Restart();
  const auto starts = fleet.platform().StartsOf(kJob);
  BOOST_TEST(fleet.RunUntil(
      [&] { return fleet.platform().StartsOf(kJob) >= starts + 30; }));
  fleet.CheckPromises();
}

// Guards against LIMIT: runs that are being stopped no longer count although
// their processes have not ended yet.
BOOST_AUTO_TEST_CASE(what_is_being_stopped_counts_until_it_has_ended) {
  for (const auto cpu : {4000, 2000}) {
    Fleet fleet(1, 1);
    fleet.worker(0).SetStopDuration(190);
    BOOST_TEST(fleet.Submit(kLongJob, "ms=0", {{4, 1000, kLasting}}) == 200);
    BOOST_TEST(fleet.WaitForRunning(kLongJob, 4));
    fleet.worker(0).SetCapacity(cpu, 0);
    fleet.RunFor(kSettledMs);
    BOOST_TEST(fleet.Submit(kJob, "ms=200", {{6}}) == 200);
    BOOST_TEST(fleet.Cancel(kLongJob) / 100 == 2);
    BOOST_TEST(fleet.WaitForState(kJob, "completed"));
    fleet.CheckPromises();
  }
}

// Guards against LIMIT: a run whose stop got no answer is taken for ended.
BOOST_AUTO_TEST_CASE(a_run_whose_stop_is_not_answered_still_counts) {
  const std::vector<std::function<void(EmulatedWorker&)>> troubles = {
      [](EmulatedWorker& worker) { worker.LoseStops(12); },
      [](EmulatedWorker& worker) { worker.LoseStopAnswers(12); }};
  for (const auto& trouble : troubles) {
    Fleet fleet(1, 1);
    fleet.worker(0).SetStopDuration(190);
    BOOST_TEST(fleet.Submit(kLongJob, "ms=0", {{3, 1000, kLasting}}) == 200);
    BOOST_TEST(fleet.WaitForRunning(kLongJob, 3));
    fleet.worker(0).SetCapacity(2000, 0);
    fleet.RunFor(kSettledMs);
    trouble(fleet.worker(0));
    BOOST_TEST(fleet.Submit(kJob, "ms=200", {{6}}) == 200);
    BOOST_TEST(fleet.Cancel(kLongJob) / 100 == 2);
    BOOST_TEST(fleet.WaitForState(kJob, "completed"));
    fleet.CheckPromises();
  }
}

// Guards against LIMIT: runs that a worker may have begun on an order without
// an answer do not count.
BOOST_AUTO_TEST_CASE(a_start_that_is_not_answered_counts) {
  Fleet fleet(1, 1);
  fleet.worker(0).SetStopDuration(190);
  fleet.worker(0).SetCapacity(2000, 0);
  fleet.RunFor(kSettledMs);
  for (auto i = 0; i < 5; ++i) {
    fleet.worker(0).LoseStartAnswers(2);
    const auto id = fmt::format("00000000000000e{}", i);
    BOOST_TEST(fleet.Submit(id, "ms=700", {{4}}) == 200);
    BOOST_TEST(fleet.WaitForState(id, "completed"));
  }
  fleet.CheckPromises();
}

// Guards against LIMIT: a worker that was silent is filled by the capacity that
// it had before.
BOOST_AUTO_TEST_CASE(a_silent_worker_that_answers_again_has_its_new_capacity) {
  Fleet fleet(1, 2);
  BOOST_TEST(fleet.Submit(kLongJob, "ms=0", {{3, 1000, kLasting}}) == 200);
  BOOST_TEST(fleet.WaitForRunning(kLongJob, 3));
  auto& worker = fleet.worker(0);
  BOOST_TEST(fleet.Submit(kJob, "ms=300", {{150}}) == 200);
  worker.SetCut(true);
  // Shorter than the lease at first, then longer.
  fleet.RunFor(1000);
  worker.SetCapacity(3000, 0);
  worker.SetCut(false);
  fleet.RunFor(kSettledMs + 1000);
  worker.SetCut(true);
  worker.SetCapacity(1000, 0);
  fleet.RunFor(7000);
  worker.SetCut(false);
  BOOST_TEST(fleet.WaitForState(kJob, "completed"));
  fleet.RunFor(1000);
  fleet.CheckPromises();
}

// Guards against LIMIT: a new owner fills a worker over its capacity, which
// shrank while nobody scheduled, or counts nothing of what runs there.
BOOST_AUTO_TEST_CASE(a_new_owner_keeps_to_the_capacity_that_has_shrunk) {
  Fleet fleet(2, 2);
  BOOST_TEST(fleet.Submit(kLongJob, "ms=0", {{3, 1000, kLasting}}) == 200);
  BOOST_TEST(fleet.WaitForRunning(kLongJob, 3));
  BOOST_TEST(fleet.Submit(kJob, "ms=300", {{80}}) == 200);
  fleet.AddNode();
  fleet.KillOwner();
  fleet.worker(0).SetCapacity(2000, 0);
  fleet.worker(1).SetCapacity(3000, 0);
  BOOST_TEST(fleet.WaitForState(kJob, "completed"));
  BOOST_TEST(fleet.platform().StartsOf(kLongJob) == 3);
  fleet.CheckPromises();
}

// Guards against LIMIT: changes that follow each other quickly, one of them
// back to more, are mixed up.
BOOST_AUTO_TEST_CASE(the_last_of_several_changes_counts) {
  Fleet fleet(1, 3);
  BOOST_TEST(fleet.Submit(kJob, "ms=150", {{600}}) == 200);
  BOOST_TEST(fleet.WaitForRunning(kJob, 12));
  const auto capacities = {2000, 3000, 1000, 0, 5000, 2000};
  for (const auto cpu : capacities) {
    for (auto i = 0; i < 3; ++i) {
      fleet.worker(i).SetCapacity(cpu, 0);
      fleet.RunFor(700);
    }
  }
  fleet.RunFor(kSettledMs);
  BOOST_TEST(fleet.WaitForState(kJob, "completed"));
  fleet.CheckPromises();
}

// Guards against LIMIT: a run whose task is not known takes some of the room.
BOOST_AUTO_TEST_CASE(a_worker_with_a_run_of_unknown_demand_gets_nothing) {
  constexpr Millis kNowMs = 100000;
  fleet::FleetWorker worker;
  worker.entry_.capacity_ = {0, 4000, 4000, 0};
  worker.is_in_workers_record_ = true;
  worker.is_claimed_ = true;
  worker.UpdateClock(500, kNowMs, kNowMs, 10000);
  BOOST_REQUIRE(worker.IsUsable(kNowMs));
  fleet::PlacedRun run;
  run.task_ = *fleet::TaskId::FromString("j.0.0.0");
  run.run_ = 1;
  run.is_demand_known_ = false;
  worker.Add(run);
  worker.entry_.capacity_ = {0, 8000, 8000, 0};
  BOOST_TEST(!worker.IsUsable(kNowMs));
  worker.Remove("j.0.0.0", 1);
  BOOST_TEST(worker.IsUsable(kNowMs));
}

// Guards against LIMIT: a capacity below what runs counts as room of some kind.
BOOST_AUTO_TEST_CASE(a_capacity_below_what_runs_leaves_no_room_of_any_kind) {
  constexpr Millis kNowMs = 100000;
  fleet::FleetWorker worker;
  worker.entry_.capacity_ = {0, 4000, 4000, 4};
  fleet::PlacedRun run;
  run.task_ = *fleet::TaskId::FromString("j.0.0.0");
  run.run_ = 1;
  run.demand_ = {0, 3000, 1000, 1};
  run.is_long_running_ = true;
  worker.Add(run);
  worker.entry_.capacity_ = {0, 2000, 4000, 4};
  // Neither a task that only fills nor one that needs memory alone fits.
  const auto filling = Resources{0, 0, 100, 0};
  BOOST_TEST(!filling.FitsIn(worker.FreeCapacityFor("step", 0)));
  BOOST_TEST(!filling.FitsIn(worker.CapacityOnceEnded()));
  BOOST_TEST(worker.TimeUntilFitsMs(filling, kNowMs) == fleet::kNeverMs);
  worker.entry_.capacity_ = {0, 3000, 4000, 4};
  BOOST_TEST(filling.FitsIn(worker.FreeCapacityFor("step", 0)));
}

}  // namespace lentilscale::testing
