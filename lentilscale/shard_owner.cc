// The claims of one tick share a transaction, so taking over the shards of a
// dead member costs one write instead of one per shard. If another member has
// won any of the shards, the whole transaction fails, and the next claims are
// made one at a time.

#include "lentilscale/shard_owner.h"

#include <fmt/format.h>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"

namespace lentilscale {
namespace {

constexpr std::size_t kMaxClaimsPerTxn = 64;
constexpr auto kTakeShardPath = "/peer/v1/take_shard";
constexpr Millis kHandOverTimeoutMs = 1500;
constexpr Millis kFreezeTimeoutMs = 2000;
constexpr auto kHttpOk = 200;

}  // namespace

ShardOwner::ShardOwner(Store* store, StoreView* view, Members* members,
                       PeerLink* link, Executor* executor,
                       RequestDeduplicator* request_deduplicator,
                       Metrics* metrics, const Options& options, Hooks hooks)
    : store_(store),
      view_(view),
      members_(members),
      link_(link),
      executor_(executor),
      request_deduplicator_(request_deduplicator),
      metrics_(metrics),
      options_(options),
      hooks_(std::move(hooks)) {
  link_->AddRequest(kTakeShardPath, [this](const Json::Value& body,
                                           PeerLink::Responder respond) {
    OnTakeShard(body, std::move(respond));
  });
}

auto ShardOwner::HasRights() const -> bool {
  return hooks_.rights_until_() > MonotonicMs();
}

auto ShardOwner::SetWorkers(const std::vector<WorkerInfo>& workers,
                            const Configuration& configuration) -> void {
  for (const auto& info : workers) {
    const auto* service = configuration.FindService(info.service_);
    if (service == nullptr) {
      continue;
    }
    const auto shard =
        ShardForRack(info.service_, info.data_centre_, info.rack_,
                     service->shards_per_data_centre_);
    locations_[shard] = {shard, info.data_centre_, info.region_};
  }
}

auto ShardOwner::Owns(const std::string& shard) const -> bool {
  const auto it = owned_.find(shard);
  return it != owned_.end() && it->second.phase_ == Phase::kOwned;
}

auto ShardOwner::EpochOf(const std::string& shard) const -> std::int64_t {
  const auto it = owned_.find(shard);
  return it == owned_.end() ? 0 : it->second.epoch_;
}

auto ShardOwner::owned() const -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& [shard, state] : owned_) {
    out.push_back(shard);
  }
  return out;
}

auto ShardOwner::OnViewRead() -> void {
  std::vector<std::string> lost;
  for (const auto& [shard, state] : owned_) {
    const auto* record = view_->FindShard(shard);
    if (record == nullptr || record->owner_ != options_.self_id_) {
      lost.push_back(shard);
    }
  }
  for (const auto& shard : lost) {
    DropShard(shard);
  }
}

auto ShardOwner::Tick(Millis now) -> void {
  const auto elapsed = std::min<Millis>(now - last_tick_ms_, 1000);
  last_tick_ms_ = now;
  move_tokens_ =
      std::min(move_tokens_ +
                   static_cast<double>(elapsed * options_.moves_per_s_) / 1000,
               static_cast<double>(options_.moves_per_s_));
  for (const auto& [shard, record] : view_->shards()) {
    if (locations_.contains(shard)) {
      continue;
    }
    // The platform lists no workers of this shard, so its region is unknown;
    // the region is not needed.
    locations_[shard] = {shard, ShardName::FromString(shard).data_centre_, ""};
  }
  std::vector<ShardLocation> locations;
  for (const auto& [shard, location] : locations_) {
    locations.push_back(location);
  }
  targets_ = AssignShards(locations, members_->Candidates());
  std::vector<ShardRecord> claims;
  for (const auto& location : locations) {
    TickShard(location.shard_, now, claims);
  }
  if (!claims.empty()) {
    CommitClaims(std::move(claims));
  }
}

auto ShardOwner::TickShard(const std::string& shard, Millis now,
                           std::vector<ShardRecord>& claims) -> void {
  const auto* record = view_->FindShard(shard);
  const auto owned = owned_.find(shard);
  const auto is_recorded_owner =
      record != nullptr && record->owner_ == options_.self_id_;
  if (owned != owned_.end()) {
    if (!is_recorded_owner) {
      DropShard(shard);
    } else if (record->epoch_ > owned->second.epoch_) {
      // A claim by this instance took effect but its answer was lost. The
      // request table is still complete.
      const auto snapshot = request_deduplicator_->Snapshot(shard);
      OpenShard(*record, true, &snapshot);
      hooks_.on_frozen_(shard, false);
    } else {
      TickOwned(shard, owned->second, now);
    }
    return;
  }
  if (claiming_.contains(shard) || !HasRights()) {
    return;
  }
  if (is_recorded_owner) {
    AdoptShard(*record);
    return;
  }
  const auto target = targets_.find(shard);
  const auto is_target =
      target != targets_.end() && target->second == options_.self_id_;
  const auto is_free =
      record == nullptr || members_->IsGone(record->owner_, now);
  if (is_target && is_free && claims.size() < max_claims_per_txn_) {
    claims.push_back(MakeClaim(shard, record));
  }
}

// Opens a shard that the store assigns to this instance although the answer to
// the write was lost. After a hand-over, the received request table covers
// earlier requests. After a claim, the record's horizon does: requests issued
// before it are not run.
auto ShardOwner::AdoptShard(const ShardRecord& record) -> void {
  const auto it = received_hand_overs_.find(record.shard_);
  if (it != received_hand_overs_.end() && it->second.epoch_ == record.epoch_) {
    const auto snapshot = std::move(it->second.snapshot_);
    received_hand_overs_.erase(it);
    OpenShard(record, true, &snapshot);
    return;
  }
  OpenShard(record, true, nullptr);
}

auto ShardOwner::MakeClaim(const std::string& shard,
                           const ShardRecord* old) const -> ShardRecord {
  ShardRecord record;
  record.shard_ = shard;
  record.owner_ = options_.self_id_;
  record.address_ = options_.self_address_;
  record.epoch_ = old == nullptr ? 1 : old->epoch_ + 1;
  // A new shard becomes the home of requests that had another home before.
  // Instances that have not read the new record may send such requests to the
  // previous home for up to lease_ms_.
  const auto margin = old == nullptr
                          ? options_.lease_ms_ + options_.clock_skew_ms_
                          : options_.clock_skew_ms_;
  record.horizon_ms_ = WallMs() + margin;
  record.mod_revision_ = old == nullptr ? 0 : old->mod_revision_;
  return record;
}

auto ShardOwner::CommitClaims(std::vector<ShardRecord> claims) -> void {
  StoreTxn txn;
  for (const auto& record : claims) {
    claiming_.insert(record.shard_);
    txn.IfModRevision(ShardKey(record.shard_), record.mod_revision_)
        .Put(ShardKey(record.shard_), DumpJson(record.ToJson()));
  }
  store_->Commit(txn, [this, claims](const StoreResult& result) {
    OnClaimResult(claims, result);
  });
}

auto ShardOwner::OnClaimResult(const std::vector<ShardRecord>& claims,
                               const StoreResult& result) -> void {
  for (const auto& record : claims) {
    claiming_.erase(record.shard_);
  }
  // If the answer was lost or another member won, the next read shows the
  // owners.
  view_->PollSoon();
  if (result.outcome_ != StoreOutcome::kAnswered || !result.succeeded_) {
    max_claims_per_txn_ = 1;
    return;
  }
  max_claims_per_txn_ = kMaxClaimsPerTxn;
  for (auto record : claims) {
    const auto had_owner = record.mod_revision_ != 0;
    record.mod_revision_ = result.revision_;
    view_->OnShard(record);
    metrics_->Add(Counter::kShardsTakenOver, had_owner ? 1 : 0);
    OpenShard(record, had_owner, nullptr);
  }
}

auto ShardOwner::OpenShard(const ShardRecord& record, bool has_previous,
                           const RequestSnapshot* snapshot) -> void {
  const auto now = MonotonicMs();
  const auto& shard = record.shard_;
  LogEvent(Event::kShardClaimed,
           {{"shard", shard}, {"epoch", std::to_string(record.epoch_)}});
  owned_[shard] = {record.epoch_, Phase::kOwned, "", now};
  if (snapshot != nullptr) {
    request_deduplicator_->OpenFrom(shard, *snapshot);
  } else {
    request_deduplicator_->Open(shard, record.horizon_ms_);
  }
  // The previous owner's last answer from a worker came before `now`, so its
  // sessions end within session_ms_, plus the clock skew.
  const auto previous_until =
      has_previous ? now + options_.session_ms_ + options_.clock_skew_ms_ : 0;
  executor_->OpenShard(shard, record.epoch_, previous_until);
  hooks_.on_owned_(shard, record.epoch_);
}

auto ShardOwner::DropShard(const std::string& shard) -> void {
  const auto was_handing_over = owned_.at(shard).phase_ == Phase::kHandingOver;
  LogEvent(was_handing_over ? Event::kShardHandedOver : Event::kShardLost,
           {{"shard", shard}});
  metrics_->Add(Counter::kShardsHandedOver, was_handing_over ? 1 : 0);
  owned_.erase(shard);
  executor_->DropShard(shard);
  request_deduplicator_->Close(shard);
  hooks_.on_lost_(shard);
}

auto ShardOwner::TickOwned(const std::string& shard, OwnedShard& owned,
                           Millis now) -> void {
  switch (owned.phase_) {
    case Phase::kOwned: {
      // The assignment is not reliable while the list of members changes or
      // lacks this instance.
      const auto is_settled =
          now - members_->changed_ms() >= options_.settle_ms_;
      const auto target = targets_.find(shard);
      const auto should_move = target != targets_.end() &&
                               target->second != options_.self_id_ &&
                               members_->IsReachable(target->second, now) &&
                               (is_settled || is_draining_);
      const auto may_move = move_tokens_ >= 1 || is_draining_;
      if (should_move && may_move && HasRights()) {
        move_tokens_ -= 1;
        owned.phase_ = Phase::kFreezing;
        owned.new_owner_ = target->second;
        owned.phase_since_ms_ = now;
        executor_->PauseShard(shard);
        request_deduplicator_->SetFrozen(shard, true);
        hooks_.on_frozen_(shard, true);
      }
      break;
    }
    case Phase::kFreezing:
      if (!executor_->HasUnansweredStarts(shard) ||
          now - owned.phase_since_ms_ > kFreezeTimeoutMs) {
        SendHandOver(shard, owned, now);
      }
      break;
    case Phase::kHandingOver:
      break;
    case Phase::kReclaiming:
      if (!claiming_.contains(shard) && HasRights()) {
        Reclaim(shard, now);
      }
      break;
  }
}

auto ShardOwner::SendHandOver(const std::string& shard, OwnedShard& owned,
                              Millis now) -> void {
  owned.phase_ = Phase::kHandingOver;
  owned.phase_since_ms_ = now;
  const auto* target = members_->Find(owned.new_owner_);
  Json::Value body;
  body["shard"] = shard;
  body["epoch"] = Json::Int64(owned.epoch_);
  body["revision"] = Json::Int64(view_->FindShard(shard)->mod_revision_);
  body["table"] = SnapshotToJson(request_deduplicator_->Snapshot(shard));
  const auto address = target == nullptr ? "" : target->record_.address_;
  link_->Ask(
      address, kTakeShardPath, body, kHandOverTimeoutMs,
      [this, shard](const PeerAnswer& answer) {
        view_->PollSoon();
        const auto it = owned_.find(shard);
        if (it == owned_.end() || it->second.phase_ != Phase::kHandingOver) {
          return;
        }
        if (!answer.is_ok_) {
          it->second.phase_ = Phase::kReclaiming;
        }
      });
}

auto ShardOwner::Reclaim(const std::string& shard, Millis /*now*/) -> void {
  const auto* old = view_->FindShard(shard);
  auto record = *old;
  record.epoch_ = old->epoch_ + 1;
  StoreTxn txn;
  claiming_.insert(shard);
  txn.IfModRevision(ShardKey(shard), old->mod_revision_)
      .Put(ShardKey(shard), DumpJson(record.ToJson()));
  store_->Commit(txn, [this, record](const StoreResult& result) {
    claiming_.erase(record.shard_);
    view_->PollSoon();
    if (result.outcome_ != StoreOutcome::kAnswered || !result.succeeded_ ||
        !owned_.contains(record.shard_)) {
      return;
    }
    auto claimed = record;
    claimed.mod_revision_ = result.revision_;
    view_->OnShard(claimed);
    // This instance kept the request table, so it is still complete.
    const auto snapshot = request_deduplicator_->Snapshot(record.shard_);
    OpenShard(claimed, true, &snapshot);
    hooks_.on_frozen_(record.shard_, false);
  });
}

auto ShardOwner::OnTakeShard(const Json::Value& body,
                             PeerLink::Responder respond) -> void {
  const auto shard = RequireString(body, "shard");
  const auto snapshot = SnapshotFromJson(GetObject(body, "table"));
  if (!HasRights() || claiming_.contains(shard) || is_draining_) {
    throw Error(ErrorCode::kNoAuthority,
                "this instance cannot take over a shard now");
  }
  ShardRecord record;
  record.shard_ = shard;
  record.owner_ = options_.self_id_;
  record.address_ = options_.self_address_;
  record.epoch_ = RequireInt(body, "epoch", 1, INT64_MAX) + 1;
  record.horizon_ms_ = snapshot.horizon_ms_;
  record.mod_revision_ = RequireInt(body, "revision", 1, INT64_MAX);
  claiming_.insert(shard);
  received_hand_overs_[shard] = {record.epoch_, snapshot};
  StoreTxn txn;
  txn.IfModRevision(ShardKey(shard), record.mod_revision_)
      .Put(ShardKey(shard), DumpJson(record.ToJson()));
  store_->Commit(
      txn, [this, record, snapshot, respond](const StoreResult& result) {
        claiming_.erase(record.shard_);
        if (result.outcome_ != StoreOutcome::kAnswered || !result.succeeded_) {
          // The swap may still have taken effect. The next read then shows this
          // instance as the owner, and AdoptShard uses the received table.
          Json::Value refusal;
          refusal["code"] = "not_owner";
          respond(503, refusal);
          return;
        }
        received_hand_overs_.erase(record.shard_);
        auto claimed = record;
        claimed.mod_revision_ = result.revision_;
        view_->OnShard(claimed);
        OpenShard(claimed, true, &snapshot);
        respond(kHttpOk, Json::Value(Json::objectValue));
      });
}

}  // namespace lentilscale
