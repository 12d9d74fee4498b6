// Walks random interleavings of ownership and holdings over the product's own
// transition code (HoldingTable), with crashes, pauses, lost answers and late
// and doubled messages, and checks the upper limit after every step. Variants
// that leave one rule out must be caught, which shows that the walk can fail.

#define BOOST_TEST_MODULE protocol
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lentilscale/holdings.h"

namespace lentilscale {
namespace {

constexpr std::int64_t kLimit = 5;
constexpr auto kShards = 3;
constexpr auto kInstances = 3;
constexpr auto kSteps = 1500;
constexpr auto kSeeds = 3000;
constexpr auto kBrokenSeeds = 5000;
const std::string kTeam = "t";

// The rule that a variant leaves out.
enum class Broken {
  kNothing,
  // Workers serve any epoch.
  kNoWorkerFence,
  // Moves do not require that the giver still owns the shard.
  kNoShardFence,
  // A taker uses what it was promised before the store has it.
  kRaiseBeforeWrite,
  // A giver lowers in the store only.
  kNoLowerInMemory,
  // A new owner uses holdings that it read before its claim.
  kNoReadAfterClaim,
  // A plan whose answer was lost is dropped instead of repeated.
  kForgetUnanswered,
  // A repeated plan requires the epoch that is current when it is repeated. The
  // walk found this one in the product (seed 280 of the unbroken variant).
  kFenceAtSending,
};

struct ShardState {
  int owner_ = -1;
  std::int64_t epoch_ = 0;
  std::int64_t revision_ = 0;
};

struct Worker {
  std::int64_t epoch_ = 0;
  std::int64_t running_ = 0;
};

struct Message {
  int from_ = 0;
  // Answers are matched to the plan that they answer.
  std::int64_t number_ = 0;
  HoldingPlan plan_;
  // Revisions of the lowered shards as the sender knew them.
  std::map<std::string, std::int64_t> fences_;
};

struct Instance {
  int id_ = 0;
  bool is_paused_ = false;
  HoldingTable holdings_;
  std::map<std::string, ShardState> view_;
  std::int64_t view_revision_ = 0;
  // Shards that this instance believes it owns, with epoch and running tasks.
  std::map<std::string, std::int64_t> epochs_;
  std::map<std::string, std::int64_t> running_;
  std::map<std::string, std::int64_t> claim_revision_;
  std::optional<HoldingPlan> unanswered_;
  std::int64_t plan_number_ = 0;
};

class World {
 public:
  World(std::uint64_t seed, Broken broken) : random_(seed), broken_(broken) {
    for (auto i = 0; i < kShards; ++i) {
      shards_["s/a/" + std::to_string(i)] = {};
      workers_["s/a/" + std::to_string(i)] = {};
    }
    for (auto i = 0; i < kInstances; ++i) {
      instances_.push_back({});
      instances_.back().id_ = next_id_++;
      instances_.back().holdings_.SetLimit(kTeam, kLimit);
    }
  }

  // Runs the walk; returns false as soon as the limit is exceeded.
  auto Run() -> bool {
    for (auto i = 0; i < kSteps; ++i) {
      Step();
      std::int64_t running = 0;
      for (const auto& [shard, worker] : workers_) {
        running += worker.running_;
      }
      const auto sum = has_record_ ? record_.Sum() : 0;
      if (running > kLimit || sum > kLimit) {
        return false;
      }
    }
    return true;
  }

 private:
  auto Pick(std::size_t count) -> std::size_t { return random_() % count; }

  auto PickShard() -> std::string {
    return "s/a/" + std::to_string(Pick(kShards));
  }

  auto Step() -> void {
    auto& instance = instances_[Pick(instances_.size())];
    switch (Pick(12)) {
      case 0:
        if (Pick(6) == 0) {
          Crash(instance);
        }
        break;
      case 1:
        instance.is_paused_ = !instance.is_paused_ && Pick(4) == 0;
        break;
      case 2:
      case 3:
        Deliver();
        break;
      default:
        if (!instance.is_paused_) {
          Act(instance);
        }
    }
    if (Pick(10) == 0) {
      auto& worker = workers_[PickShard()];
      worker.running_ -= worker.running_ > 0 ? 1 : 0;
    }
  }

  auto Act(Instance& instance) -> void {
    switch (Pick(8)) {
      case 0:
        Read(instance);
        break;
      case 6:
        Learn(instance, PickShard());
        break;
      case 1:
        Claim(instance, PickShard());
        break;
      case 2:
        Plan(instance);
        break;
      case 3:
        // A lost answer is resolved by the same plan again.
        if (instance.unanswered_) {
          Send(instance, *instance.unanswered_);
        }
        break;
      default:
        Start(instance, PickShard());
    }
  }

  auto Crash(Instance& instance) -> void {
    instance = Instance{};
    instance.id_ = next_id_++;
    instance.holdings_.SetLimit(kTeam, kLimit);
  }

  auto Read(Instance& instance) -> void {
    instance.view_ = shards_;
    instance.view_revision_ = revision_;
    if (has_record_) {
      instance.holdings_.OnRead(kTeam, record_, record_revision_);
    }
    std::erase_if(instance.epochs_, [this, &instance](const auto& item) {
      const auto& shard = shards_[item.first];
      return shard.owner_ != instance.id_ || shard.epoch_ != item.second;
    });
  }

  auto Claim(Instance& instance, const std::string& shard) -> void {
    auto& stored = shards_[shard];
    const auto& seen = instance.view_[shard];
    // Leases can lapse at any time, so any owner may be thought gone.
    if (stored.revision_ != seen.revision_ || stored.owner_ == instance.id_) {
      return;
    }
    stored = {instance.id_, stored.epoch_ + 1, ++revision_};
    instance.view_[shard] = stored;
    auto& worker = workers_[shard];
    worker.epoch_ = std::max(worker.epoch_, stored.epoch_);
    instance.epochs_[shard] = stored.epoch_;
    instance.claim_revision_[shard] = stored.revision_;
    instance.running_[shard] = worker.running_;
  }

  // The worker tells the owner of its session what runs.
  auto Learn(Instance& instance, const std::string& shard) -> void {
    const auto epoch = instance.epochs_.find(shard);
    if (epoch != instance.epochs_.end() &&
        epoch->second == workers_[shard].epoch_) {
      instance.running_[shard] = workers_[shard].running_;
    }
  }

  auto Usable(Instance& instance, const std::string& shard) -> std::int64_t {
    const auto is_unread =
        instance.view_revision_ < instance.claim_revision_[shard];
    if (is_unread && broken_ != Broken::kNoReadAfterClaim) {
      return 0;
    }
    auto usable = instance.holdings_.Usable(kTeam, shard);
    if (broken_ == Broken::kNoLowerInMemory) {
      const auto* record = instance.holdings_.FindRecord(kTeam);
      usable = record == nullptr ? 0 : record->AmountOf(shard);
    }
    if (broken_ == Broken::kRaiseBeforeWrite && instance.unanswered_) {
      usable = std::max(usable, instance.unanswered_->record_.AmountOf(shard));
    }
    return usable;
  }

  auto Start(Instance& instance, const std::string& shard) -> void {
    const auto epoch = instance.epochs_.find(shard);
    if (epoch == instance.epochs_.end()) {
      return;
    }
    auto& worker = workers_[shard];
    const auto is_fenced = epoch->second < worker.epoch_;
    if (is_fenced && broken_ != Broken::kNoWorkerFence) {
      return;
    }
    if (instance.running_[shard] < Usable(instance, shard)) {
      ++instance.running_[shard];
      ++worker.running_;
    }
  }

  auto Plan(Instance& instance) -> void {
    if (instance.unanswered_) {
      return;
    }
    if (!has_record_) {
      std::vector<std::string> names;
      for (const auto& [shard, state] : shards_) {
        names.push_back(shard);
      }
      SendPlan(instance, instance.holdings_.PlanCreate(kTeam, names));
      return;
    }
    std::vector<HoldingSource> sources;
    for (const auto& [shard, epoch] : instance.epochs_) {
      const auto free = Usable(instance, shard) - instance.running_[shard];
      if (free > 0) {
        sources.push_back({shard, free, OwnRevision(instance, shard)});
      }
    }
    const auto to = PickShard();
    auto plan = Pick(2) == 0 ? instance.holdings_.PlanMove(kTeam, sources, to,
                                                           1 + Pick(3))
                             : instance.holdings_.PlanRaise(kTeam, to, 1);
    SendPlan(instance, std::move(plan));
  }

  static auto OwnRevision(Instance& instance, const std::string& shard)
      -> std::int64_t {
    const auto& seen = instance.view_[shard];
    return seen.owner_ == instance.id_ ? seen.revision_ : -1;
  }

  auto SendPlan(Instance& instance, std::optional<HoldingPlan> plan) -> void {
    if (plan) {
      instance.unanswered_ = *plan;
      instance.plan_number_ = ++next_plan_;
      Send(instance, *plan);
    }
  }

  auto Send(Instance& instance, const HoldingPlan& plan) -> void {
    Message message{instance.id_, instance.plan_number_, plan, {}};
    for (const auto& source : plan.lowered_) {
      message.fences_[source.shard_] =
          broken_ == Broken::kFenceAtSending
              ? OwnRevision(instance, source.shard_)
              : source.shard_revision_;
    }
    network_.push_back(message);
    if (Pick(5) == 0) {
      network_.push_back(message);
    }
  }

  // Delivers any message that is on its way, or loses it; its answer may be
  // lost as well.
  auto Deliver() -> void {
    if (network_.empty()) {
      return;
    }
    const auto index = Pick(network_.size());
    const auto message = network_[index];
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
    if (Pick(6) == 0) {
      return;
    }
    auto holds = record_revision_ == message.plan_.base_revision_;
    if (broken_ != Broken::kNoShardFence) {
      for (const auto& [shard, revision] : message.fences_) {
        holds = holds && shards_[shard].revision_ == revision;
      }
    }
    if (holds) {
      record_ = message.plan_.record_;
      record_revision_ = ++revision_;
      has_record_ = true;
    }
    const auto is_answer_lost = Pick(3) == 0;
    for (auto& instance : instances_) {
      const auto is_sender = instance.id_ == message.from_ &&
                             instance.unanswered_.has_value() &&
                             instance.plan_number_ == message.number_;
      if (!is_sender) {
        continue;
      }
      if (!is_answer_lost) {
        instance.holdings_.OnPlanResolved(message.plan_, record_,
                                          record_revision_);
        instance.unanswered_.reset();
      } else if (broken_ == Broken::kForgetUnanswered) {
        instance.holdings_.OnPlanRejected(message.plan_);
        instance.unanswered_.reset();
      }
    }
  }

  std::mt19937_64 random_;
  Broken broken_;
  std::map<std::string, ShardState> shards_;
  std::map<std::string, Worker> workers_;
  std::vector<Instance> instances_;
  std::deque<Message> network_;
  HoldingRecord record_;
  bool has_record_ = false;
  std::int64_t record_revision_ = 0;
  std::int64_t revision_ = 0;
  int next_id_ = 0;
  std::int64_t next_plan_ = 0;
};

// Returns the first seed of `seeds` that exceeds the limit, or 0.
auto FirstBreach(Broken broken, int seeds) -> int {
  for (auto seed = 1; seed <= seeds; ++seed) {
    if (!World(static_cast<std::uint64_t>(seed), broken).Run()) {
      return seed;
    }
  }
  return 0;
}

BOOST_AUTO_TEST_CASE(TheLimitHoldsInEveryInterleaving) {
  BOOST_TEST(FirstBreach(Broken::kNothing, kSeeds) == 0);
}

BOOST_AUTO_TEST_CASE(EachRuleIsNeeded) {
  for (const auto broken :
       {Broken::kNoWorkerFence, Broken::kNoShardFence,
        Broken::kRaiseBeforeWrite, Broken::kNoLowerInMemory,
        Broken::kNoReadAfterClaim, Broken::kForgetUnanswered,
        Broken::kFenceAtSending}) {
    BOOST_TEST_CONTEXT("variant " << static_cast<int>(broken)) {
      BOOST_TEST(FirstBreach(broken, kBrokenSeeds) > 0);
    }
  }
}

// Seed 93 of the chaos schedules: the store went down right after a ticket had
// lowered a limit, and owners went on under what they held.
BOOST_AUTO_TEST_CASE(ALoweredLimitBindsWithoutTheStore) {
  const std::vector<std::string> shards = {"s/a/0", "s/a/1", "s/a/2"};
  HoldingRecord record;
  record.limit_ = 10;
  record.by_shard_ = {{"s/a/0", 7}, {"s/a/1", 2}, {"s/a/2", 1}};
  std::int64_t usable = 0;
  std::vector<HoldingTable> owners(3);
  for (std::size_t i = 0; i < owners.size(); ++i) {
    owners[i].SetLimit(kTeam, 10);
    owners[i].OnRead(kTeam, record, 5);
    owners[i].SetLimit(kTeam, 4);
    usable += owners[i].Usable(kTeam, shards[i]);
  }
  BOOST_TEST(usable <= 4);
  // The store is back: each owner lowers its shard once, and no further.
  std::int64_t revision = 5;
  for (auto round = 0; round < 3; ++round) {
    for (std::size_t i = 0; i < owners.size(); ++i) {
      owners[i].OnRead(kTeam, record, revision);
      const auto plan = owners[i].PlanLower(kTeam, {{shards[i], 0, 1}});
      if (plan) {
        record = plan->record_;
        owners[i].OnPlanResolved(*plan, record, ++revision);
      }
    }
  }
  BOOST_TEST(record.Sum() <= 4);
  BOOST_TEST(record.AmountOf("s/a/0") == 2);
}

}  // namespace
}  // namespace lentilscale
