// A repeat of a running request waits for the original's reply. A caller that
// lost its connection and sends the request again thus gets the reply as soon
// as there is one, and the request does not run twice.

#include "lentilscale/request_deduplicator.h"

#include "lentilscale/json.h"
#include "lentilscale/refusal.h"

namespace lentilscale {

auto MakeRefusalReply(ErrorCode code, const std::string& reason)
    -> RequestReply {
  return {GetErrorInfo(code).http_status_, DumpJson(MakeRefusal(code, reason))};
}

auto SnapshotToJson(const RequestSnapshot& snapshot) -> Json::Value {
  Json::Value out;
  out["horizon"] = Json::Int64(snapshot.horizon_ms_);
  for (const auto& entry : snapshot.entries_) {
    Json::Value item;
    item["team"] = entry.key_.team_;
    item["id"] = entry.key_.request_id_;
    item["issued"] = Json::Int64(entry.issued_ms_);
    item["ended"] = entry.is_ended_;
    item["status"] = entry.answer_.http_status_;
    item["body"] = entry.answer_.body_;
    out["entries"].append(item);
  }
  return out;
}

auto SnapshotFromJson(const Json::Value& object) -> RequestSnapshot {
  RequestSnapshot out;
  out.horizon_ms_ = GetInt(object, "horizon", 0, 0, INT64_MAX);
  for (const auto& item : GetArray(object, "entries")) {
    RequestSnapshot::Entry entry;
    entry.key_ = {RequireString(item, "team"), RequireString(item, "id")};
    entry.issued_ms_ = RequireInt(item, "issued", 0, INT64_MAX);
    entry.is_ended_ = GetBool(item, "ended", false);
    entry.answer_.http_status_ =
        static_cast<int>(GetInt(item, "status", 0, 0, 999));
    entry.answer_.body_ = GetString(item, "body", "");
    out.entries_.push_back(std::move(entry));
  }
  return out;
}

auto RequestDeduplicator::Open(const std::string& shard, Millis horizon)
    -> void {
  RequestSnapshot empty;
  empty.horizon_ms_ = horizon;
  OpenFrom(shard, empty);
}

auto RequestDeduplicator::OpenFrom(const std::string& shard,
                                   const RequestSnapshot& snapshot) -> void {
  Close(shard);
  const auto it =
      shards_.emplace(shard, ShardState{RequestTable(options_), false, {}});
  it.first->second.table_.OpenFrom(snapshot);
}

auto RequestDeduplicator::Close(const std::string& shard) -> void {
  const auto it = shards_.find(shard);
  if (it == shards_.end()) {
    return;
  }
  const auto waiters = std::move(it->second.waiters_);
  shards_.erase(it);
  // On this refusal, CallRouter sends the waiting requests to the new owner.
  const auto reply = MakeRefusalReply(
      ErrorCode::kNotOwner,
      "the request's home shard has moved to another instance");
  for (const auto& [key, list] : waiters) {
    for (const auto& done : list) {
      done(reply);
    }
  }
}

auto RequestDeduplicator::SetFrozen(const std::string& shard, bool is_frozen)
    -> void {
  const auto it = shards_.find(shard);
  if (it != shards_.end()) {
    it->second.is_frozen_ = is_frozen;
  }
}

auto RequestDeduplicator::IsAcceptingRequests(const std::string& shard) const
    -> bool {
  const auto it = shards_.find(shard);
  return it != shards_.end() && !it->second.is_frozen_;
}

auto RequestDeduplicator::Snapshot(const std::string& shard) const
    -> RequestSnapshot {
  const auto it = shards_.find(shard);
  return it == shards_.end() ? RequestSnapshot{} : it->second.table_.Snapshot();
}

auto RequestDeduplicator::Begin(const std::string& shard, const RequestKey& key,
                                Millis issued, Millis now_wall,
                                Millis rights_until_wall, const Done& done,
                                const std::function<void()>& run) -> void {
  if (!IsAcceptingRequests(shard)) {
    throw Error(ErrorCode::kNotOwner,
                "shard " + shard + " is not open on this instance");
  }
  auto& state = shards_.at(shard);
  const auto decision =
      state.table_.Begin(key, issued, now_wall, rights_until_wall);
  switch (decision.kind_) {
    case RequestDecision::Kind::kFresh:
      run();
      break;
    case RequestDecision::Kind::kRunning:
      state.waiters_[key].push_back(done);
      break;
    case RequestDecision::Kind::kEnded:
      if (decision.answer_.http_status_ == 0) {
        done(MakeRefusalReply(
            ErrorCode::kOutcomeUnknown,
            "the request has run; its answer was too large to be stored"));
      } else {
        done({decision.answer_.http_status_, decision.answer_.body_});
      }
      break;
    case RequestDecision::Kind::kUnknown:
      done(MakeRefusalReply(
          ErrorCode::kOutcomeUnknown,
          "the request may have run: it was issued before this instance owned "
          "its home shard, or longer ago than requests are remembered"));
      break;
    case RequestDecision::Kind::kNoAuthority:
      done(MakeRefusalReply(ErrorCode::kNoAuthority,
                            "the request's issue time is in the future, or "
                            "later than this instance's rights last"));
      break;
  }
}

auto RequestDeduplicator::NotifyWaiters(ShardState& state,
                                        const RequestKey& key,
                                        const RequestReply& reply) -> void {
  const auto it = state.waiters_.find(key);
  if (it == state.waiters_.end()) {
    return;
  }
  const auto list = std::move(it->second);
  state.waiters_.erase(it);
  for (const auto& done : list) {
    done(reply);
  }
}

auto RequestDeduplicator::End(const std::string& shard, const RequestKey& key,
                              const RequestReply& reply) -> bool {
  const auto it = shards_.find(shard);
  if (it == shards_.end()) {
    return false;
  }
  it->second.table_.End(key, {reply.http_status_, reply.body_});
  NotifyWaiters(it->second, key, reply);
  return true;
}

auto RequestDeduplicator::Forget(const std::string& shard,
                                 const RequestKey& key,
                                 const RequestReply& reply) -> void {
  const auto it = shards_.find(shard);
  if (it == shards_.end()) {
    return;
  }
  it->second.table_.Forget(key);
  NotifyWaiters(it->second, key, reply);
}

auto RequestDeduplicator::Expire(Millis now_wall) -> void {
  for (auto& [shard, state] : shards_) {
    state.table_.Expire(now_wall);
  }
}

auto RequestDeduplicator::size() const -> std::size_t {
  std::size_t sum = 0;
  for (const auto& [shard, state] : shards_) {
    sum += state.table_.size();
  }
  return sum;
}

}  // namespace lentilscale
