// Reading by revision instead of watching: one call a period per instance is a
// few dozen reads a second at the designed size, needs no standing connection
// that could go silent, and each answer is a confirmation with a time, which
// is what authority is made of. docs/design/store.md weighs the two.

#include "lentilscale/store_view.h"

#include <fmt/format.h>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/shard_map.h"
#include "lentilscale/timer.h"

namespace lentilscale {
namespace {

constexpr std::string_view kMemberPrefix = "members/";
constexpr std::string_view kStatePrefix = "state/";
constexpr std::string_view kShardPrefix = "state/shards/";
constexpr std::string_view kHoldingPrefix = "state/holdings/";

}  // namespace

auto MemberKey(const std::string& id) -> std::string {
  return std::string(kMemberPrefix) + id;
}
auto ShardKey(const std::string& shard) -> std::string {
  return std::string(kShardPrefix) + shard;
}
auto HoldingKey(const std::string& team) -> std::string {
  return std::string(kHoldingPrefix) + team;
}
auto JobKey(const std::string& job) -> std::string { return kJobPrefix + job; }
auto TicketLogKey(std::int64_t number) -> std::string {
  return fmt::format("{}{:010}", kTicketLogPrefix, number);
}

auto ShardRecord::FromJson(const std::string& shard, const Json::Value& object)
    -> ShardRecord {
  ShardRecord out;
  out.shard_ = shard;
  out.owner_ = RequireString(object, "owner");
  out.address_ = RequireString(object, "address");
  out.epoch_ = RequireInt(object, "epoch", 1, INT64_MAX);
  out.horizon_ms_ = GetInt(object, "horizon", 0, 0, INT64_MAX);
  return out;
}

auto ShardRecord::ToJson() const -> Json::Value {
  Json::Value out;
  out["owner"] = owner_;
  out["address"] = address_;
  out["epoch"] = Json::Int64(epoch_);
  out["horizon"] = Json::Int64(horizon_ms_);
  return out;
}

auto StoreView::Poll() -> void {
  if (is_reading_) {
    return;
  }
  is_reading_ = true;
  const auto sent = MonotonicMs();
  StoreTxn txn;
  const auto since = revision_ + 1;
  txn.GetPrefix(std::string(kMemberPrefix), 0)
      .GetPrefix(std::string(kStatePrefix), since);
  store_->Commit(txn, [this, sent](const StoreResult& result) {
    is_reading_ = false;
    if (result.outcome_ == StoreOutcome::kAnswered) {
      Apply(result);
      hooks_.on_read_(sent);
    } else {
      hooks_.on_failure_();
    }
    if (is_again_) {
      is_again_ = false;
      PollSoon();
    }
  });
}

auto StoreView::PollSoon() -> void {
  if (is_reading_) {
    is_again_ = true;
    return;
  }
  RunAfter(loop_, 0, [this] { Poll(); });
}

auto StoreView::Apply(const StoreResult& result) -> void {
  std::vector<MemberRecord> members;
  for (const auto& entry : result.entries_) {
    try {
      ApplyEntry(entry, members);
    } catch (const Error& e) {
      LogEvent(Event::kInternalError,
               {{"key", entry.key_}, {"problem", e.what()}});
    }
  }
  revision_ = std::max(revision_, result.revision_);
  hooks_.on_members_(members);
}

auto StoreView::ApplyEntry(const StoreEntry& entry,
                           std::vector<MemberRecord>& members) -> void {
  const std::string_view key = entry.key_;
  const auto value = ParseJson(entry.value_);
  if (key.starts_with(kMemberPrefix)) {
    members.push_back(MemberRecord::FromJson(value));
  } else if (key.starts_with(kShardPrefix)) {
    auto record = ShardRecord::FromJson(
        std::string(key.substr(kShardPrefix.size())), value);
    record.mod_revision_ = entry.mod_revision_;
    OnShard(record);
  } else if (key.starts_with(kHoldingPrefix)) {
    hooks_.on_holding_(std::string(key.substr(kHoldingPrefix.size())),
                       HoldingRecord::FromJson(value), entry.mod_revision_);
  } else if (key == kTicketHeadKey) {
    hooks_.on_configuration_(
        Configuration::FromJson(GetObject(value, "configuration")));
  }
}

auto StoreView::FindShard(const std::string& shard) const
    -> const ShardRecord* {
  const auto it = shards_.find(shard);
  return it == shards_.end() ? nullptr : &it->second;
}

auto StoreView::ShardsOf(const std::string& service) const
    -> const std::vector<std::string>& {
  static const std::vector<std::string> kNone;
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? kNone : it->second;
}

auto StoreView::OnShard(const ShardRecord& record) -> void {
  const auto it = shards_.find(record.shard_);
  if (it != shards_.end() && it->second.mod_revision_ >= record.mod_revision_) {
    return;
  }
  const auto is_new = it == shards_.end();
  shards_[record.shard_] = record;
  ++shard_changes_;
  if (is_new) {
    const auto name = ShardName::FromString(record.shard_);
    auto& list = by_service_[name.service_];
    list.insert(std::lower_bound(list.begin(), list.end(), record.shard_),
                record.shard_);
  }
}

}  // namespace lentilscale
