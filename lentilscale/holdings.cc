// Holdings are escrow quantities (O'Neil, "The Escrow Transactional Method",
// 1986): each owner uses its part of the limit without coordination, and only
// moving a part costs a write. With one record per team, a move is a single
// compare-and-swap that lowers one shard and raises another, so no crash can
// lose or duplicate a part.

#include "lentilscale/holdings.h"

#include <algorithm>

#include "lentilscale/json.h"

namespace lentilscale {

auto HoldingRecord::FromJson(const Json::Value& object) -> HoldingRecord {
  HoldingRecord out;
  const auto shards = GetObject(object, "shards");
  for (const auto& shard : shards.getMemberNames()) {
    out.by_shard_[shard] = RequireInt(shards, shard.c_str(), 0, INT64_MAX);
  }
  out.limit_ = GetInt(object, "limit", out.Sum(), 0, INT64_MAX);
  return out;
}

auto HoldingRecord::ToJson() const -> Json::Value {
  Json::Value out;
  out["limit"] = Json::Int64(limit_);
  out["shards"] = Json::Value(Json::objectValue);
  for (const auto& [shard, amount] : by_shard_) {
    if (amount > 0) {
      out["shards"][shard] = Json::Int64(amount);
    }
  }
  return out;
}

auto HoldingRecord::Sum() const -> std::int64_t {
  std::int64_t sum = 0;
  for (const auto& [shard, amount] : by_shard_) {
    sum += amount;
  }
  return sum;
}

auto HoldingRecord::AmountOf(const std::string& shard) const -> std::int64_t {
  const auto it = by_shard_.find(shard);
  return it == by_shard_.end() ? 0 : it->second;
}

auto HoldingTable::OnRead(const std::string& team, const HoldingRecord& record,
                          std::int64_t mod_revision) -> void {
  auto& stored = records_[team];
  if (mod_revision > stored.mod_revision_) {
    stored = {record, mod_revision};
  }
}

auto HoldingTable::SetLimit(const std::string& team, std::int64_t limit)
    -> void {
  auto& current = limits_[team];
  if (current != limit) {
    lowered_shards_.erase(team);
  }
  current = limit;
}

auto HoldingTable::LimitOf(const std::string& team) const -> std::int64_t {
  const auto it = limits_.find(team);
  return it == limits_.end() ? 0 : it->second;
}

// Scales the holding by the new limit over the record's limit and rounds down.
// The holdings sum to no more than the record's limit, whichever moves an
// instance has read, so the scaled parts sum to no more than the new limit.
auto HoldingTable::CapToLimit(const std::string& team, const std::string& shard,
                              std::int64_t amount) const -> std::int64_t {
  const auto* record = FindRecord(team);
  const auto limit = LimitOf(team);
  const auto lowered = lowered_shards_.find(team);
  const auto is_lowered =
      lowered != lowered_shards_.end() && lowered->second.contains(shard);
  if (record == nullptr || record->Sum() <= limit || is_lowered) {
    return amount;
  }
  return amount * limit / std::max(record->limit_, record->Sum());
}

auto HoldingTable::Usable(const std::string& team,
                          const std::string& shard) const -> std::int64_t {
  const auto it = records_.find(team);
  if (it == records_.end()) {
    return 0;
  }
  auto amount = CapToLimit(team, shard, it->second.record_.AmountOf(shard));
  const auto plan = open_plans_.find(team);
  if (plan == open_plans_.end()) {
    return amount;
  }
  for (const auto& source : plan->second.lowered_) {
    if (source.shard_ == shard) {
      // If the plan has already taken effect, the record that was read is the
      // lowered one. The planned amount is an upper bound in both cases.
      amount = std::min(amount, plan->second.record_.AmountOf(shard));
    }
  }
  return amount;
}

auto HoldingTable::OpenPlan(HoldingPlan plan) -> std::optional<HoldingPlan> {
  open_plans_[plan.team_] = plan;
  return plan;
}

auto HoldingTable::PlanCreate(const std::string& team,
                              const std::vector<std::string>& shards)
    -> std::optional<HoldingPlan> {
  if (RevisionOf(team) != 0 || HasOpenPlan(team) || shards.empty()) {
    return std::nullopt;
  }
  const auto limit = LimitOf(team);
  HoldingPlan plan{team, 0, {}, {}, false};
  plan.record_.limit_ = limit;
  const auto count = static_cast<std::int64_t>(shards.size());
  for (std::int64_t i = 0; i < count; ++i) {
    const auto amount = limit / count + (i < limit % count ? 1 : 0);
    plan.record_.by_shard_[shards[static_cast<std::size_t>(i)]] = amount;
  }
  return OpenPlan(std::move(plan));
}

auto HoldingTable::PlanMove(const std::string& team,
                            const std::vector<HoldingSource>& sources,
                            const std::string& to, std::int64_t amount)
    -> std::optional<HoldingPlan> {
  const auto* record = FindRecord(team);
  if (record == nullptr || HasOpenPlan(team)) {
    return std::nullopt;
  }
  HoldingPlan plan{team, RevisionOf(team), *record, {}, false};
  auto left = amount;
  for (const auto& source : sources) {
    const auto part =
        std::min({left, source.amount_, record->AmountOf(source.shard_)});
    if (part <= 0 || source.shard_ == to) {
      continue;
    }
    plan.record_.by_shard_[source.shard_] -= part;
    plan.record_.by_shard_[to] += part;
    plan.lowered_.push_back({source.shard_, part, source.shard_revision_});
    left -= part;
  }
  return plan.lowered_.empty() ? std::nullopt : OpenPlan(std::move(plan));
}

auto HoldingTable::PlanRaise(const std::string& team, const std::string& to,
                             std::int64_t amount)
    -> std::optional<HoldingPlan> {
  const auto* record = FindRecord(team);
  if (record == nullptr || HasOpenPlan(team)) {
    return std::nullopt;
  }
  const auto limit = LimitOf(team);
  const auto part = std::min(amount, limit - record->Sum());
  if (part <= 0) {
    return std::nullopt;
  }
  HoldingPlan plan{team, RevisionOf(team), *record, {}, false};
  plan.record_.by_shard_[to] += part;
  plan.record_.limit_ = limit;
  return OpenPlan(std::move(plan));
}

auto HoldingTable::PlanLower(const std::string& team,
                             const std::vector<HoldingSource>& owned)
    -> std::optional<HoldingPlan> {
  const auto* record = FindRecord(team);
  if (record == nullptr || HasOpenPlan(team) ||
      record->Sum() <= LimitOf(team)) {
    return std::nullopt;
  }
  HoldingPlan plan{team, RevisionOf(team), *record, {}, true};
  for (const auto& source : owned) {
    const auto held = record->AmountOf(source.shard_);
    const auto part = held - CapToLimit(team, source.shard_, held);
    if (part > 0) {
      plan.record_.by_shard_[source.shard_] -= part;
      plan.lowered_.push_back({source.shard_, part, source.shard_revision_});
    }
  }
  return plan.lowered_.empty() ? std::nullopt : OpenPlan(std::move(plan));
}

auto HoldingTable::OnPlanResolved(const HoldingPlan& plan,
                                  const HoldingRecord& record,
                                  std::int64_t mod_revision) -> void {
  open_plans_.erase(plan.team_);
  OnRead(plan.team_, record, mod_revision);
  const auto has_won = record.by_shard_ == plan.record_.by_shard_;
  if (plan.is_limit_reduction_ && has_won) {
    for (const auto& source : plan.lowered_) {
      lowered_shards_[plan.team_].insert(source.shard_);
    }
  }
}

auto HoldingTable::OnPlanRejected(const HoldingPlan& plan) -> void {
  open_plans_.erase(plan.team_);
}

auto HoldingTable::FindRecord(const std::string& team) const
    -> const HoldingRecord* {
  const auto it = records_.find(team);
  return it == records_.end() ? nullptr : &it->second.record_;
}

auto HoldingTable::RevisionOf(const std::string& team) const -> std::int64_t {
  const auto it = records_.find(team);
  return it == records_.end() ? 0 : it->second.mod_revision_;
}

}  // namespace lentilscale
