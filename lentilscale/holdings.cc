// Escrow (O'Neil, "The Escrow Transactional Method", 1986): the limit is split
// into parts that are used without talking, and only moving a part costs a
// write. One record per team makes each move one compare-and-swap that lowers
// the giver and raises the taker at once, so that no order of crashes can lose
// or double a part.

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
  return out;
}

auto HoldingRecord::ToJson() const -> Json::Value {
  Json::Value out;
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

auto HoldingRecord::Of(const std::string& shard) const -> std::int64_t {
  const auto it = by_shard_.find(shard);
  return it == by_shard_.end() ? 0 : it->second;
}

auto Holdings::OnRead(const std::string& team, const HoldingRecord& record,
                      std::int64_t mod_revision) -> void {
  auto& known = known_[team];
  if (mod_revision > known.mod_revision_) {
    known = {record, mod_revision};
  }
}

auto Holdings::Usable(const std::string& team, const std::string& shard) const
    -> std::int64_t {
  const auto it = known_.find(team);
  if (it == known_.end()) {
    return 0;
  }
  auto amount = it->second.record_.Of(shard);
  const auto plan = open_.find(team);
  if (plan == open_.end()) {
    return amount;
  }
  for (const auto& source : plan->second.lowered_) {
    if (source.shard_ == shard) {
      // The plan may have taken effect already, in which case the record read
      // is the lowered one; the planned amount bounds both cases.
      amount = std::min(amount, plan->second.record_.Of(shard));
    }
  }
  return amount;
}

auto Holdings::Open(HoldingPlan plan) -> std::optional<HoldingPlan> {
  open_[plan.team_] = plan;
  return plan;
}

auto Holdings::PlanCreate(const std::string& team, std::int64_t limit,
                          const std::vector<std::string>& shards)
    -> std::optional<HoldingPlan> {
  if (RevisionOf(team) != 0 || HasPlan(team) || shards.empty()) {
    return std::nullopt;
  }
  HoldingPlan plan{team, 0, {}, {}};
  const auto count = static_cast<std::int64_t>(shards.size());
  for (std::int64_t i = 0; i < count; ++i) {
    const auto amount = limit / count + (i < limit % count ? 1 : 0);
    plan.record_.by_shard_[shards[static_cast<std::size_t>(i)]] = amount;
  }
  return Open(std::move(plan));
}

auto Holdings::PlanGive(const std::string& team,
                        const std::vector<HoldingSource>& sources,
                        const std::string& to, std::int64_t amount)
    -> std::optional<HoldingPlan> {
  const auto* record = Find(team);
  if (record == nullptr || HasPlan(team)) {
    return std::nullopt;
  }
  HoldingPlan plan{team, RevisionOf(team), *record, {}};
  auto left = amount;
  for (const auto& source : sources) {
    const auto part =
        std::min({left, source.amount_, record->Of(source.shard_)});
    if (part <= 0 || source.shard_ == to) {
      continue;
    }
    plan.record_.by_shard_[source.shard_] -= part;
    plan.record_.by_shard_[to] += part;
    plan.lowered_.push_back({source.shard_, part, source.shard_revision_});
    left -= part;
  }
  return plan.lowered_.empty() ? std::nullopt : Open(std::move(plan));
}

auto Holdings::PlanRaise(const std::string& team, std::int64_t limit,
                         const std::string& to, std::int64_t amount)
    -> std::optional<HoldingPlan> {
  const auto* record = Find(team);
  if (record == nullptr || HasPlan(team)) {
    return std::nullopt;
  }
  const auto part = std::min(amount, limit - record->Sum());
  if (part <= 0) {
    return std::nullopt;
  }
  HoldingPlan plan{team, RevisionOf(team), *record, {}};
  plan.record_.by_shard_[to] += part;
  return Open(std::move(plan));
}

auto Holdings::PlanLower(const std::string& team, std::int64_t limit,
                         const std::vector<HoldingSource>& owned)
    -> std::optional<HoldingPlan> {
  const auto* record = Find(team);
  if (record == nullptr || HasPlan(team)) {
    return std::nullopt;
  }
  const auto sum = record->Sum();
  if (sum <= limit) {
    return std::nullopt;
  }
  // Each shard keeps floor(held * limit / sum). Once all owners have done so
  // from readings of the same record the sum is within the limit; while they
  // go one after another each works on a smaller sum and keeps a larger part,
  // so that the excess shrinks with every round and ends at zero because the
  // part is rounded down and at least one is taken.
  HoldingPlan plan{team, RevisionOf(team), *record, {}};
  for (const auto& source : owned) {
    const auto& shard = source.shard_;
    const auto held = record->Of(shard);
    const auto part =
        std::min(held, std::max<std::int64_t>(held - held * limit / sum, 1));
    const auto excess = plan.record_.Sum() - limit;
    const auto taken = std::min(part, excess);
    if (taken > 0) {
      plan.record_.by_shard_[shard] -= taken;
      plan.lowered_.push_back({shard, taken, source.shard_revision_});
    }
  }
  return plan.lowered_.empty() ? std::nullopt : Open(std::move(plan));
}

auto Holdings::OnSettled(const HoldingPlan& plan, const HoldingRecord& record,
                         std::int64_t mod_revision) -> void {
  open_.erase(plan.team_);
  OnRead(plan.team_, record, mod_revision);
}

auto Holdings::OnRefused(const HoldingPlan& plan) -> void {
  open_.erase(plan.team_);
}

auto Holdings::Find(const std::string& team) const -> const HoldingRecord* {
  const auto it = known_.find(team);
  return it == known_.end() ? nullptr : &it->second.record_;
}

auto Holdings::RevisionOf(const std::string& team) const -> std::int64_t {
  const auto it = known_.find(team);
  return it == known_.end() ? 0 : it->second.mod_revision_;
}

}  // namespace lentilscale
