// A requester asks every other owner of shards with holdings of the team, and
// each moves what it does not use. One round trip and one write then serve a
// demand even if the unused holdings are spread over many owners. The owner
// writes the move itself and sends the new record to the requester, which need
// not wait for its next read of the store.

#include "lentilscale/holding_rebalancer.h"

#include <fmt/format.h>

#include <algorithm>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/shard_map.h"

namespace lentilscale {
namespace {

constexpr Millis kLowerToLimitsPeriodMs = 200;
// A shard that has a record never has this revision, so a transaction that
// requires it fails.
constexpr std::int64_t kNotOwnedRevision = 0;
constexpr std::int64_t kMaxRequestedAmount = 1'000'000'000;

auto HeldByMemberKey(const std::string& team, const std::string& service,
                     const std::string& id) -> std::string {
  return team + "|" + service + "|" + id;
}

}  // namespace

HoldingRebalancer::HoldingRebalancer(Store* store, StoreView* view,
                                     ShardOwner* owner, Executor* executor,
                                     PeerLink* link, Metrics* metrics,
                                     const Options& options)
    : store_(store),
      view_(view),
      owner_(owner),
      executor_(executor),
      link_(link),
      metrics_(metrics),
      options_(options) {
  link_->AddMethod("ask_holding", [this](const Json::Value& params) {
    return OnHoldingRequest(params);
  });
  link_->AddMethod("holding_moved", [this](const Json::Value& params) {
    return OnHoldingMoved(params);
  });
}

auto HoldingRebalancer::SetConfiguration(const Configuration& configuration)
    -> void {
  configuration_ = configuration;
  for (const auto& [name, team] : configuration_.teams_) {
    holdings_.SetLimit(name, team.limit_);
  }
  UpdateAllUsable();
}

auto HoldingRebalancer::OnRecord(const std::string& team,
                                 const HoldingRecord& record,
                                 std::int64_t mod_revision) -> void {
  holdings_.OnRead(team, record, mod_revision);
  held_by_member_version_ = -1;
  UpdateUsable(team);
}

auto HoldingRebalancer::OnOwned(const std::string& shard) -> void {
  // Up to the claim, the previous owner may have moved holdings away.
  const auto* record = view_->FindShard(shard);
  unread_claims_[shard] = record == nullptr ? INT64_MAX : record->mod_revision_;
  view_->PollSoon();
  UpdateAllUsable();
}

auto HoldingRebalancer::OnViewRead() -> void {
  const auto revision = view_->revision();
  const auto count = std::erase_if(
      unread_claims_,
      [revision](const auto& item) { return item.second <= revision; });
  if (count > 0) {
    UpdateAllUsable();
  }
}

auto HoldingRebalancer::UpdateAllUsable() -> void {
  held_by_member_version_ = -1;
  for (const auto& [name, team] : configuration_.teams_) {
    UpdateUsable(name);
  }
}

auto HoldingRebalancer::UpdateUsable(const std::string& team) -> void {
  for (const auto& shard : owner_->owned()) {
    const auto amount =
        unread_claims_.contains(shard) ? 0 : holdings_.Usable(team, shard);
    executor_->SetUsable(team, shard, amount);
  }
}

auto HoldingRebalancer::CommitPlan(const HoldingPlan& plan) -> void {
  UpdateUsable(plan.team_);
  const auto key = HoldingKey(plan.team_);
  StoreTxn txn;
  txn.IfModRevision(key, plan.base_revision_);
  for (const auto& source : plan.lowered_) {
    txn.IfModRevision(ShardKey(source.shard_), source.shard_revision_);
  }
  txn.Put(key, DumpJson(plan.record_.ToJson())).ElseGet(key);
  store_->Commit(txn, [this, plan](const StoreResult& result) {
    OnCommitResult(plan, result);
  });
}

auto HoldingRebalancer::OnCommitResult(const HoldingPlan& plan,
                                       const StoreResult& result) -> void {
  if (result.outcome_ != StoreOutcome::kAnswered) {
    // The plan may have taken effect. Tick retries the same compare-and-swap,
    // which either takes effect or reads the record that won.
    unanswered_plans_.push_back(plan);
    return;
  }
  if (result.succeeded_) {
    holdings_.OnPlanResolved(plan, plan.record_, result.revision_);
    metrics_->Add(Counter::kHoldingsMoved);
    LogEvent(
        Event::kHoldingMoved,
        {{"team", plan.team_}, {"revision", std::to_string(result.revision_)}});
    NotifyRecipients(plan, result.revision_);
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
  held_by_member_version_ = -1;
  UpdateUsable(plan.team_);
}

auto HoldingRebalancer::NotifyRecipients(const HoldingPlan& plan,
                                         std::int64_t mod_revision) -> void {
  for (const auto& [shard, amount] : plan.record_.by_shard_) {
    const auto* record = view_->FindShard(shard);
    const auto is_promised = promised_shards_.contains(shard);
    if (record == nullptr || owner_->Owns(shard) || !is_promised) {
      continue;
    }
    promised_shards_.erase(shard);
    Json::Value params;
    params["team"] = plan.team_;
    params["record"] = plan.record_.ToJson();
    params["revision"] = Json::Int64(mod_revision);
    link_->Call(record->address_, "holding_moved", params,
                [](const PeerAnswer& /*answer*/) {});
  }
}

// Returns the revision of the shard's record if this instance owns the shard,
// else kNotOwnedRevision.
auto HoldingRebalancer::OwnershipRevision(const std::string& shard) const
    -> std::int64_t {
  const auto* record = view_->FindShard(shard);
  const auto is_own = record != nullptr && record->owner_ == options_.self_id_;
  return is_own ? record->mod_revision_ : kNotOwnedRevision;
}

auto HoldingRebalancer::FindUnusedHoldings(const std::string& team) const
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
        unread_claims_.contains(shard) ? 0 : holdings_.Usable(team, shard);
    const auto free = usable - running;
    if (free > 0) {
      out.push_back({shard, free, OwnershipRevision(shard)});
    }
  }
  return out;
}

auto HoldingRebalancer::OldestDemandMs(const std::string& team) const
    -> Millis {
  Millis oldest = INT64_MAX;
  for (const auto& demand : executor_->LimitDemands()) {
    if (demand.team_ == team) {
      oldest = std::min(oldest, demand.oldest_enqueued_ms_);
    }
  }
  return oldest;
}

auto HoldingRebalancer::Tick(Millis now) -> void {
  const auto unanswered = std::move(unanswered_plans_);
  unanswered_plans_.clear();
  for (const auto& plan : unanswered) {
    CommitPlan(plan);
  }
  for (const auto& demand : executor_->LimitDemands()) {
    ServeDemand(demand, now);
  }
  if (now >= next_lower_ms_) {
    next_lower_ms_ = now + kLowerToLimitsPeriodMs;
    LowerToLimits();
  }
}

auto HoldingRebalancer::ServeDemand(const LimitDemand& demand, Millis now)
    -> void {
  const auto* team = configuration_.FindTeam(demand.team_);
  auto& state = demand_states_[demand.team_];
  if (team == nullptr || now < state.next_request_ms_ ||
      holdings_.HasOpenPlan(demand.team_)) {
    return;
  }
  state.next_request_ms_ = now + options_.request_period_ms_;
  if (holdings_.FindRecord(demand.team_) == nullptr) {
    std::vector<std::string> shards;
    for (const auto& [shard, record] : view_->shards()) {
      shards.push_back(shard);
    }
    // PlanCreate gives the remainder of the division to the first shards. The
    // order differs between teams, so that limits smaller than the number of
    // shards do not all end up on the same shards.
    std::sort(
        shards.begin(), shards.end(), [&demand](const auto& a, const auto& b) {
          return StableHash(a + demand.team_) < StableHash(b + demand.team_);
        });
    if (const auto plan = holdings_.PlanCreate(demand.team_, shards)) {
      CommitPlan(*plan);
    }
    return;
  }
  if (!options_.is_rebalancing_) {
    return;
  }
  auto plan =
      holdings_.PlanRaise(demand.team_, demand.shard_, demand.waiting_count_);
  if (!plan) {
    plan = holdings_.PlanMove(demand.team_, FindUnusedHoldings(demand.team_),
                              demand.shard_, demand.waiting_count_);
  }
  if (plan) {
    CommitPlan(*plan);
    return;
  }
  RequestFromOwners(demand, now);
}

auto HoldingRebalancer::RequestFromOwners(const LimitDemand& demand, Millis now)
    -> void {
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
  params["amount"] = Json::Int64(demand.waiting_count_);
  params["waited_ms"] = Json::Int64(now - demand.oldest_enqueued_ms_);
  for (const auto& address : addresses) {
    link_->Call(address, "ask_holding", params,
                [](const PeerAnswer& /*answer*/) {});
  }
}

auto HoldingRebalancer::OnHoldingRequest(const Json::Value& params)
    -> Json::Value {
  const auto team = RequireString(params, "team");
  const auto to = RequireString(params, "to");
  const auto amount = RequireInt(params, "amount", 1, kMaxRequestedAmount);
  const auto requester_waited_ms =
      RequireInt(params, "waited_ms", 0, INT64_MAX);
  Json::Value answer;
  answer["given"] = 0;
  const auto oldest = OldestDemandMs(team);
  const auto own_waited_ms = oldest == INT64_MAX ? 0 : MonotonicMs() - oldest;
  const auto has_own_demand = oldest != INT64_MAX;
  if (has_own_demand &&
      requester_waited_ms < own_waited_ms + options_.hysteresis_ms_) {
    return answer;
  }
  const auto plan =
      holdings_.PlanMove(team, FindUnusedHoldings(team), to, amount);
  if (plan) {
    promised_shards_.insert(to);
    CommitPlan(*plan);
    answer["given"] = Json::Int64(plan->record_.AmountOf(to));
  }
  return answer;
}

auto HoldingRebalancer::OnHoldingMoved(const Json::Value& params)
    -> Json::Value {
  OnRecord(RequireString(params, "team"),
           HoldingRecord::FromJson(GetObject(params, "record")),
           RequireInt(params, "revision", 1, INT64_MAX));
  return Json::Value(Json::objectValue);
}

auto HoldingRebalancer::LowerToLimits() -> void {
  std::vector<HoldingSource> owned;
  for (const auto& shard : owner_->owned()) {
    owned.push_back({shard, 0, OwnershipRevision(shard)});
  }
  for (const auto& [name, team] : configuration_.teams_) {
    const auto plan = holdings_.PlanLower(name, owned);
    if (plan) {
      LogEvent(Event::kHoldingLowered,
               {{"team", name}, {"limit", std::to_string(team.limit_)}});
      CommitPlan(*plan);
    }
  }
}

auto HoldingRebalancer::HeldByMember(const std::string& team,
                                     const std::string& service,
                                     const std::string& id) -> std::int64_t {
  if (held_by_member_version_ != view_->shard_changes()) {
    held_by_member_version_ = view_->shard_changes();
    held_by_member_.clear();
    for (const auto& [name, unused] : configuration_.teams_) {
      const auto* record = holdings_.FindRecord(name);
      if (record == nullptr) {
        continue;
      }
      for (const auto& [shard, amount] : record->by_shard_) {
        const auto* owner = view_->FindShard(shard);
        if (owner != nullptr) {
          const auto shard_service = ShardName::FromString(shard).service_;
          held_by_member_[HeldByMemberKey(name, shard_service,
                                          owner->owner_)] += amount;
        }
      }
    }
  }
  const auto it = held_by_member_.find(HeldByMemberKey(team, service, id));
  return it == held_by_member_.end() ? 0 : it->second;
}

auto HoldingRebalancer::TeamsOverLimit() const -> std::vector<std::string> {
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
