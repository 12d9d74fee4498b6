#define BOOST_TEST_MODULE decisions
#include <boost/test/unit_test.hpp>
#include <map>

#include "lentilscale/retry_budget.h"
#include "lentilscale/scheduler.h"
#include "lentilscale/size_model.h"
#include "lentilscale/worker_health.h"

namespace lentilscale {
namespace {

constexpr Resources kCapacity{8, 8000, 8192, 0};
constexpr Resources kSmall{1, 1000, 1024, 0};

// A scheduler with `count` workers in one shard, two to a rack.
auto MakeScheduler(int count, Policy policy = Policy::kFair) -> Scheduler {
  Scheduler::Options options;
  options.policy_ = policy;
  Scheduler scheduler(options);
  for (auto i = 0; i < count; ++i) {
    const auto id = "w" + std::to_string(i);
    scheduler.AddWorker(
        {id, "s/a/0", "rack" + std::to_string(i / 2), "a", kCapacity});
    scheduler.SetOpen(id, true);
  }
  return scheduler;
}

auto Item(const std::string& key, Lane lane, const std::string& team,
          Millis at = 0) -> WorkItem {
  return {key, lane, team, kSmall, team, at, 0};
}

auto KeysOf(const std::vector<Placement>& placements)
    -> std::vector<std::string> {
  std::vector<std::string> out;
  out.reserve(placements.size());
  for (const auto& placement : placements) {
    out.push_back(placement.item_.key_);
  }
  return out;
}

BOOST_AUTO_TEST_CASE(UrgentAndCallsComeBeforeBatch) {
  auto scheduler = MakeScheduler(1);
  scheduler.SetTeamLimit("t", "s/a/0", 100);
  scheduler.Enqueue(Item("batch", Lane::kBatch, "t", 1));
  scheduler.Enqueue(Item("call", Lane::kCall, "t", 2));
  scheduler.Enqueue(Item("urgent", Lane::kUrgent, "t", 3));
  const std::vector<std::string> expected = {"urgent", "call", "batch"};
  BOOST_TEST(KeysOf(scheduler.Place(10, 8)) == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(SharesDivideAFullFleet) {
  auto scheduler = MakeScheduler(4);
  scheduler.SetTeamWeight("a", 3);
  scheduler.SetTeamWeight("b", 1);
  std::map<std::string, int> started;
  for (auto i = 0; i < 64; ++i) {
    for (const auto* team : {"a", "b"}) {
      scheduler.SetTeamLimit(team, "s/a/0", 100);
      scheduler.Enqueue(Item(team + std::to_string(i), Lane::kBatch, team, i));
    }
  }
  for (const auto& placement : scheduler.Place(100, 1000)) {
    ++started[placement.item_.team_];
  }
  BOOST_TEST(started["a"] == 24);
  BOOST_TEST(started["b"] == 8);
}

// A team whose calls come in bursts but stay below its share on average does
// not wait behind batch work of others.
BOOST_AUTO_TEST_CASE(BurstsOfCallsGoBeforeBatch) {
  auto scheduler = MakeScheduler(2);
  for (const auto* team : {"calls", "batch"}) {
    scheduler.SetTeamLimit(team, "s/a/0", 100);
  }
  for (auto i = 0; i < 30; ++i) {
    scheduler.Enqueue(Item("b" + std::to_string(i), Lane::kBatch, "batch", i));
  }
  scheduler.Place(100, 4);
  for (auto i = 0; i < 12; ++i) {
    scheduler.Enqueue(Item("c" + std::to_string(i), Lane::kCall, "calls", 100));
  }
  for (const auto& placement : scheduler.Place(101, 12)) {
    BOOST_TEST(placement.item_.team_ == "calls");
  }
}

BOOST_AUTO_TEST_CASE(LimitsStopATeamAndAreAskedFor) {
  auto scheduler = MakeScheduler(2);
  scheduler.SetTeamLimit("t", "s/a/0", 3);
  for (auto i = 0; i < 5; ++i) {
    scheduler.Enqueue(Item("k" + std::to_string(i), Lane::kCall, "t", i));
  }
  BOOST_TEST(scheduler.Place(10, 100).size() == 3U);
  BOOST_TEST(scheduler.Place(11, 100).empty());
  const auto demands = scheduler.LimitDemands();
  BOOST_REQUIRE(demands.size() == 1U);
  BOOST_TEST(demands[0].waiting_count_ == 2);
  BOOST_TEST((scheduler.Explain("k4") == WaitReason::kTeamLimitReached));
  scheduler.SetTeamLimit("t", "s/a/0", 4);
  BOOST_TEST(scheduler.Place(12, 100).size() == 1U);
}

BOOST_AUTO_TEST_CASE(NothingIsPlacedBeyondRoom) {
  auto scheduler = MakeScheduler(1);
  scheduler.SetTeamLimit("t", "s/a/0", 100);
  for (auto i = 0; i < 20; ++i) {
    scheduler.Enqueue(Item("k" + std::to_string(i), Lane::kCall, "t", i));
  }
  BOOST_TEST(scheduler.Place(1, 100).size() == 8U);
  BOOST_TEST(scheduler.FreeSlots() == 0);
  scheduler.Release("k0", 2);
  BOOST_TEST(scheduler.Place(3, 100).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ServicesSpreadAndBatchPacks) {
  auto scheduler = MakeScheduler(4);
  scheduler.SetTeamLimit("t", "s/a/0", 100);
  std::map<std::string, int> on_worker;
  for (auto i = 0; i < 4; ++i) {
    scheduler.Enqueue(Item("s" + std::to_string(i), Lane::kService, "t"));
  }
  for (const auto& placement : scheduler.Place(1, 4)) {
    ++on_worker[placement.worker_];
  }
  BOOST_TEST(on_worker.size() == 4U);
  on_worker.clear();
  for (auto i = 0; i < 4; ++i) {
    scheduler.Enqueue(Item("b" + std::to_string(i), Lane::kBatch, "t"));
  }
  for (const auto& placement : scheduler.Place(2, 4)) {
    ++on_worker[placement.worker_];
  }
  BOOST_TEST(on_worker.size() == 1U);
}

BOOST_AUTO_TEST_CASE(UrgentWorkChoosesTheLeastLoss) {
  auto scheduler = MakeScheduler(1);
  scheduler.SetTeamLimit("t", "s/a/0", 100);
  scheduler.SetTeamLimit("u", "s/a/0", 100);
  for (auto i = 0; i < 8; ++i) {
    scheduler.Enqueue(Item("b" + std::to_string(i), Lane::kBatch, "t"));
    scheduler.Place(100 * i, 1);
  }
  const auto victims =
      scheduler.ChooseVictims(Item("urgent", Lane::kUrgent, "u", 900), 900);
  const std::vector<std::string> youngest = {"b7"};
  BOOST_TEST(victims == youngest, boost::test_tools::per_element());
  scheduler.MarkStopping("b7");
  const std::vector<std::string> next = {"b6"};
  BOOST_TEST(
      scheduler.ChooseVictims(Item("x", Lane::kUrgent, "u"), 900) == next,
      boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ExpiredItemsLeaveTheQueue) {
  auto scheduler = MakeScheduler(1);
  auto item = Item("k", Lane::kCall, "t");
  item.deadline_ms_ = 50;
  scheduler.Enqueue(item);
  BOOST_TEST(scheduler.RemoveExpired(49).empty());
  BOOST_TEST(scheduler.RemoveExpired(50).size() == 1U);
  BOOST_TEST(scheduler.QueueSize() == 0);
}

BOOST_AUTO_TEST_CASE(LoweredLimitsNameTheYoungestTasks) {
  auto scheduler = MakeScheduler(1);
  scheduler.SetTeamLimit("t", "s/a/0", 4);
  for (auto i = 0; i < 4; ++i) {
    scheduler.Enqueue(Item("b" + std::to_string(i), Lane::kBatch, "t"));
    scheduler.Place(10 * i, 1);
  }
  scheduler.SetTeamLimit("t", "s/a/0", 2);
  const std::vector<std::string> expected = {"b3", "b2"};
  BOOST_TEST(scheduler.AllocationsOverLimit("t", "s/a/0") == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(SizesAreLearnedAndNeverBelowUse) {
  SizeModel sizes;
  const Resources declared{1, 1000, 1000, 1};
  BOOST_TEST((sizes.Reservation("t", "c", declared) == declared));
  for (auto i = 0; i < 5; ++i) {
    sizes.OnUsage("t", "c", {0, 3000, 3000, 0});
  }
  const auto learned = sizes.Reservation("t", "c", declared);
  BOOST_TEST(learned.cpu_milli_ >= 3000);
  BOOST_TEST(learned.memory_mb_ >= 3000);
  BOOST_TEST(learned.accelerators_ == 1);
  sizes.OnOutOfMemory("t", "c", learned);
  BOOST_TEST(sizes.Reservation("t", "c", declared).memory_mb_ >=
             2 * learned.memory_mb_);
}

BOOST_AUTO_TEST_CASE(BadWorkersAreToldFromPoisonousWork) {
  WorkerHealth health({3, 1000, 8000, 3});
  // Poison fails everywhere: nobody is set aside for it.
  for (auto i = 0; i < 30; ++i) {
    health.OnTaskEnd("w" + std::to_string(i % 6), "poison", false, i);
  }
  BOOST_TEST(health.IsGroupFaulty("poison"));
  BOOST_TEST(!health.IsQuarantined("w4", 31));
  // A bad worker fails groups that succeed elsewhere.
  for (auto i = 0; i < 6; ++i) {
    const auto group = "g" + std::to_string(i);
    health.OnTaskEnd("good", group, true, 100);
    health.OnTaskEnd("bad", group, false, 100);
  }
  BOOST_TEST(health.IsQuarantined("bad", 101));
  BOOST_TEST(!health.IsQuarantined("good", 101));
  BOOST_TEST(!health.IsQuarantined("bad", 100 + 16001));
}

BOOST_AUTO_TEST_CASE(RetriesAreAFractionOfFreshRequests) {
  RetryBudget budget({10, 5});
  auto taken = 0;
  for (auto i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    taken += budget.TryTake() ? 1 : 0;
  }
  BOOST_TEST(taken <= 105);
  BOOST_TEST(taken >= 95);
}

}  // namespace
}  // namespace lentilscale
