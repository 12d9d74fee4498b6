// A taker asks every other owner that holds something of the team, and each
// gives what it has free, so one round trip and one write fill a demand that is
// spread thin. A giver writes the move itself and tells the taker the new
// record, so that the taker need not wait for its next reading of the store.

#include "lentilscale/holding_rebalancer.h"

#include <fmt/format.h>

#include <algorithm>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/shard_map.h"

namespace lentilscale {
namespace {

constexpr Millis kLowerPeriodMs = 200;
// A shard with a record never has this revision.
constexpr std::int64_t kNoRevision = 0;
constexpr std::int64_t kMaxAmount = 1'000'000'000;

auto HeldKey(const std::string& team, const std::string& service,
             const std::string& id) -> std::string {
  return team + "|" + service + "|" + id;
}

}  // namespace

HoldingDesk::HoldingDesk(Store* store, StoreView* view, ShardOwner* owner,
                         Executor* executor, PeerLink* link, Metrics* metrics,
                         const Options& options)
    : store_(store),
      view_(view),
      owner_(owner),
      executor_(executor),
      link_(link),
      metrics_(metrics),
      options_(options) {
  link_->AddMethod("ask_holding",
                   [this](const Json::Value& params) { return OnAsk(params); });
  link_->AddMethod("holding_moved", [this](const Json::Value& params) {
    return OnMoved(params);
  });
}

auto HoldingDesk::SetConfiguration(const Configuration& configuration) -> void {
  configuration_ = configuration;
  for (const auto& [name, team] : configuration_.teams_) {
    holdings_.SetLimit(name, team.limit_);
  }
  PushAll();
}

auto HoldingDesk::OnRecord(const std::string& team, const HoldingRecord& record,
                           std::int64_t mod_revision) -> void {
  holdings_.OnRead(team, record, mod_revision);
  held_by_changes_ = -1;
  PushUsable(team);
}

auto HoldingDesk::OnOwned(const std::string& shard) -> void {
  // The previous owner may have given holdings away up to the claim.
  const auto* record = view_->FindShard(shard);
  unread_[shard] = record == nullptr ? INT64_MAX : record->mod_revision_;
  view_->PollSoon();
  PushAll();
}

auto HoldingDesk::OnViewRead() -> void {
  const auto revision = view_->revision();
  const auto count = std::erase_if(unread_, [revision](const auto& item) {
    return item.second <= revision;
  });
  if (count > 0) {
    PushAll();
  }
}

auto HoldingDesk::PushAll() -> void {
  held_by_changes_ = -1;
  for (const auto& [name, team] : configuration_.teams_) {
    PushUsable(name);
  }
}

auto HoldingDesk::PushUsable(const std::string& team) -> void {
  for (const auto& shard : owner_->owned()) {
    const auto amount =
        unread_.contains(shard) ? 0 : holdings_.Usable(team, shard);
    executor_->SetUsable(team, shard, amount);
  }
}

auto HoldingDesk::Commit(const HoldingPlan& plan) -> void {
  PushUsable(plan.team_);
  const auto key = HoldingKey(plan.team_);
  StoreTxn txn;
  txn.IfModRevision(key, plan.base_revision_);
  for (const auto& source : plan.lowered_) {
    txn.IfModRevision(ShardKey(source.shard_), source.shard_revision_);
  }
  txn.Put(key, DumpJson(plan.record_.ToJson())).ElseGet(key);
  store_->Commit(txn, [this, plan](const StoreResult& result) {
    OnCommitted(plan, result);
  });
}

auto HoldingDesk::OnCommitted(const HoldingPlan& plan,
                              const StoreResult& result) -> void {
  if (result.outcome_ != StoreOutcome::kAnswered) {
    // It may have taken effect. The same swap again either finds that or takes
    // effect now; Tick repeats it.
    unanswered_.push_back(plan);
    return;
  }
  if (result.succeeded_) {
    holdings_.OnPlanResolved(plan, plan.record_, result.revision_);
    metrics_->Add(Counter::kHoldingsMoved);
    LogEvent(
        Event::kHoldingMoved,
        {{"team", plan.team_}, {"revision", std::to_string(result.revision_)}});
    TellTaker(plan, result.revision_);
  } else {
    const auto* entry = result.Find(HoldingKey(plan.team_));
    if (entry == nullptr) {
      holdings_.OnPlanRejected(plan);
    } else {
      holdings_.OnPlanResolved(
          plan, HoldingRecord::FromJson(ParseJson(entry->value_)),
          entry->mod_revision_);
    }
  }
  held_by_changes_ = -1;
  PushUsable(plan.team_);
}

auto HoldingDesk::TellTaker(const HoldingPlan& plan, std::int64_t mod_revision)
    -> void {
  for (const auto& [shard, amount] : plan.record_.by_shard_) {
    const auto* record = view_->FindShard(shard);
    const auto is_told = told_.contains(shard);
    if (record == nullptr || owner_->Owns(shard) || !is_told) {
      continue;
    }
    told_.erase(shard);
    Json::Value params;
    params["team"] = plan.team_;
    params["record"] = plan.record_.ToJson();
    params["revision"] = Json::Int64(mod_revision);
    link_->Call(record->address_, "holding_moved", params,
                [](const PeerAnswer& /*answer*/) {});
  }
}

// Returns the revision under which this instance owns the shard, or one that
// no comparison meets.
auto HoldingDesk::OwnRevision(const std::string& shard) const -> std::int64_t {
  const auto* record = view_->FindShard(shard);
  const auto is_own = record != nullptr && record->owner_ == options_.self_id_;
  return is_own ? record->mod_revision_ : kNoRevision;
}

auto HoldingDesk::FreeSources(const std::string& team) const
    -> std::vector<HoldingSource> {
  std::vector<HoldingSource> out;
  for (const auto& shard : owner_->owned()) {
    if (!owner_->Owns(shard) || !executor_->IsShardOpen(shard)) {
      continue;
    }
    const auto service = ShardName::FromString(shard).service_;
    const auto* scheduler = executor_->FindScheduler(service);
    const auto running =
        scheduler == nullptr ? 0 : scheduler->RunningInShard(team, shard);
    const auto usable =
        unread_.contains(shard) ? 0 : holdings_.Usable(team, shard);
    const auto free = usable - running;
    if (free > 0) {
      out.push_back({shard, free, OwnRevision(shard)});
    }
  }
  return out;
}

auto HoldingDesk::OldestWaiting(const std::string& team) const -> Millis {
  Millis oldest = INT64_MAX;
  for (const auto& demand : executor_->LimitDemands()) {
    if (demand.team_ == team) {
      oldest = std::min(oldest, demand.oldest_ms_);
    }
  }
  return oldest;
}

auto HoldingDesk::Tick(Millis now) -> void {
  const auto unanswered = std::move(unanswered_);
  unanswered_.clear();
  for (const auto& plan : unanswered) {
    Commit(plan);
  }
  for (const auto& demand : executor_->LimitDemands()) {
    ServeDemand(demand, now);
  }
  if (now >= next_lower_ms_) {
    next_lower_ms_ = now + kLowerPeriodMs;
    LowerToLimits();
  }
}

auto HoldingDesk::ServeDemand(const LimitDemand& demand, Millis now) -> void {
  const auto* team = configuration_.FindTeam(demand.team_);
  auto& asking = asking_[demand.team_];
  if (team == nullptr || now < asking.next_ms_ ||
      holdings_.HasOpenPlan(demand.team_)) {
    return;
  }
  asking.next_ms_ = now + options_.ask_period_ms_;
  if (holdings_.FindRecord(demand.team_) == nullptr) {
    std::vector<std::string> shards;
    for (const auto& [shard, record] : view_->shards()) {
      shards.push_back(shard);
    }
    // Limits smaller than the number of shards start in different places for
    // different teams.
    std::sort(
        shards.begin(), shards.end(), [&demand](const auto& a, const auto& b) {
          return StableHash(a + demand.team_) < StableHash(b + demand.team_);
        });
    if (const auto plan = holdings_.PlanCreate(demand.team_, shards)) {
      Commit(*plan);
    }
    return;
  }
  if (!options_.is_rebalancing_) {
    return;
  }
  auto plan = holdings_.PlanRaise(demand.team_, demand.shard_, demand.waiting_);
  if (!plan) {
    plan = holdings_.PlanMove(demand.team_, FreeSources(demand.team_),
                              demand.shard_, demand.waiting_);
  }
  if (plan) {
    Commit(*plan);
    return;
  }
  AskOwners(demand, now);
}

auto HoldingDesk::AskOwners(const LimitDemand& demand, Millis now) -> void {
  const auto* record = holdings_.FindRecord(demand.team_);
  std::set<std::string> addresses;
  for (const auto& [shard, amount] : record->by_shard_) {
    const auto* owner = view_->FindShard(shard);
    if (amount > 0 && owner != nullptr && !owner_->Owns(shard)) {
      addresses.insert(owner->address_);
    }
  }
  Json::Value params;
  params["team"] = demand.team_;
  params["to"] = demand.shard_;
  params["amount"] = Json::Int64(demand.waiting_);
  params["waited_ms"] = Json::Int64(now - demand.oldest_ms_);
  for (const auto& address : addresses) {
    link_->Call(address, "ask_holding", params,
                [](const PeerAnswer& /*answer*/) {});
  }
}

auto HoldingDesk::OnAsk(const Json::Value& params) -> Json::Value {
  const auto team = RequireString(params, "team");
  const auto to = RequireString(params, "to");
  const auto amount = RequireInt(params, "amount", 1, kMaxAmount);
  const auto waited = RequireInt(params, "waited_ms", 0, INT64_MAX);
  Json::Value answer;
  answer["given"] = 0;
  const auto oldest = OldestWaiting(team);
  const auto own_waited = oldest == INT64_MAX ? 0 : MonotonicMs() - oldest;
  const auto has_own_demand = oldest != INT64_MAX;
  if (has_own_demand && waited < own_waited + options_.hysteresis_ms_) {
    return answer;
  }
  const auto plan = holdings_.PlanMove(team, FreeSources(team), to, amount);
  if (plan) {
    told_.insert(to);
    Commit(*plan);
    answer["given"] = Json::Int64(plan->record_.AmountOf(to));
  }
  return answer;
}

auto HoldingDesk::OnMoved(const Json::Value& params) -> Json::Value {
  OnRecord(RequireString(params, "team"),
           HoldingRecord::FromJson(GetObject(params, "record")),
           RequireInt(params, "revision", 1, INT64_MAX));
  return Json::Value(Json::objectValue);
}

auto HoldingDesk::LowerToLimits() -> void {
  std::vector<HoldingSource> owned;
  for (const auto& shard : owner_->owned()) {
    owned.push_back({shard, 0, OwnRevision(shard)});
  }
  for (const auto& [name, team] : configuration_.teams_) {
    const auto plan = holdings_.PlanLower(name, owned);
    if (plan) {
      LogEvent(Event::kHoldingLowered,
               {{"team", name}, {"limit", std::to_string(team.limit_)}});
      Commit(*plan);
    }
  }
}

auto HoldingDesk::HeldBy(const std::string& team, const std::string& service,
                         const std::string& id) -> std::int64_t {
  if (held_by_changes_ != view_->shard_changes()) {
    held_by_changes_ = view_->shard_changes();
    held_by_.clear();
    for (const auto& [name, unused] : configuration_.teams_) {
      const auto* record = holdings_.FindRecord(name);
      if (record == nullptr) {
        continue;
      }
      for (const auto& [shard, amount] : record->by_shard_) {
        const auto* owner = view_->FindShard(shard);
        if (owner != nullptr) {
          const auto of = ShardName::FromString(shard).service_;
          held_by_[HeldKey(name, of, owner->owner_)] += amount;
        }
      }
    }
  }
  const auto it = held_by_.find(HeldKey(team, service, id));
  return it == held_by_.end() ? 0 : it->second;
}

auto HoldingDesk::TeamsOverLimit() const -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& [name, team] : configuration_.teams_) {
    const auto* record = holdings_.FindRecord(name);
    if (record != nullptr && record->Sum() > team.limit_) {
      out.push_back(name);
    }
  }
  return out;
}

}  // namespace lentilscale
