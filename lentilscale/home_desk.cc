// Repeats of a running request wait for it: the caller that lost its
// connection gets the answer as soon as there is one, and never a second run.

#include "lentilscale/home_desk.h"

#include "lentilscale/json.h"
#include "lentilscale/refusal.h"

namespace lentilscale {

auto MakeRefusalReply(ErrorCode code, const std::string& reason) -> HomeReply {
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

auto HomeDesk::Open(const std::string& shard, Millis horizon) -> void {
  RequestSnapshot empty;
  empty.horizon_ms_ = horizon;
  OpenFrom(shard, empty);
}

auto HomeDesk::OpenFrom(const std::string& shard,
                        const RequestSnapshot& snapshot) -> void {
  Close(shard);
  const auto it =
      homes_.emplace(shard, Home{RequestTable(options_), false, {}});
  it.first->second.table_.OpenFrom(snapshot);
}

auto HomeDesk::Close(const std::string& shard) -> void {
  const auto it = homes_.find(shard);
  if (it == homes_.end()) {
    return;
  }
  const auto waiters = std::move(it->second.waiters_);
  homes_.erase(it);
  // The router takes those who wait to the new home.
  const auto reply =
      MakeRefusalReply(ErrorCode::kNotOwner, "the request's home has moved");
  for (const auto& [key, list] : waiters) {
    for (const auto& done : list) {
      done(reply);
    }
  }
}

auto HomeDesk::SetFrozen(const std::string& shard, bool is_frozen) -> void {
  const auto it = homes_.find(shard);
  if (it != homes_.end()) {
    it->second.is_frozen_ = is_frozen;
  }
}

auto HomeDesk::IsHome(const std::string& shard) const -> bool {
  const auto it = homes_.find(shard);
  return it != homes_.end() && !it->second.is_frozen_;
}

auto HomeDesk::Snapshot(const std::string& shard) const -> RequestSnapshot {
  const auto it = homes_.find(shard);
  return it == homes_.end() ? RequestSnapshot{} : it->second.table_.Snapshot();
}

auto HomeDesk::Begin(const std::string& shard, const RequestKey& key,
                     Millis issued, Millis now_wall, Millis right_until_wall,
                     const Done& done, const std::function<void()>& run)
    -> void {
  if (!IsHome(shard)) {
    throw Error(ErrorCode::kNotOwner, "shard " + shard + " is not open here");
  }
  auto& home = homes_.at(shard);
  const auto decision =
      home.table_.Begin(key, issued, now_wall, right_until_wall);
  switch (decision.kind_) {
    case RequestDecision::Kind::kFresh:
      run();
      break;
    case RequestDecision::Kind::kRunning:
      home.waiters_[key].push_back(done);
      break;
    case RequestDecision::Kind::kEnded:
      if (decision.answer_.http_status_ == 0) {
        done(MakeRefusalReply(ErrorCode::kOutcomeUnknown,
                              "it has run; its answer was too large to keep"));
      } else {
        done({decision.answer_.http_status_, decision.answer_.body_});
      }
      break;
    case RequestDecision::Kind::kUnknown:
      done(MakeRefusalReply(
          ErrorCode::kOutcomeUnknown,
          "it was issued before this instance became its home; "
          "it may have run"));
      break;
    case RequestDecision::Kind::kNoAuthority:
      done(
          MakeRefusalReply(ErrorCode::kNoAuthority,
                           "its issue time lies beyond this instance's right"));
      break;
  }
}

auto HomeDesk::Notify(Home& home, const RequestKey& key, const HomeReply& reply)
    -> void {
  const auto it = home.waiters_.find(key);
  if (it == home.waiters_.end()) {
    return;
  }
  const auto list = std::move(it->second);
  home.waiters_.erase(it);
  for (const auto& done : list) {
    done(reply);
  }
}

auto HomeDesk::End(const std::string& shard, const RequestKey& key,
                   const HomeReply& reply) -> bool {
  const auto it = homes_.find(shard);
  if (it == homes_.end()) {
    return false;
  }
  it->second.table_.End(key, {reply.http_status_, reply.body_});
  Notify(it->second, key, reply);
  return true;
}

auto HomeDesk::Forget(const std::string& shard, const RequestKey& key,
                      const HomeReply& reply) -> void {
  const auto it = homes_.find(shard);
  if (it == homes_.end()) {
    return;
  }
  it->second.table_.Forget(key);
  Notify(it->second, key, reply);
}

auto HomeDesk::Expire(Millis now_wall) -> void {
  for (auto& [shard, home] : homes_) {
    home.table_.Expire(now_wall);
  }
}

auto HomeDesk::size() const -> std::size_t {
  std::size_t sum = 0;
  for (const auto& [shard, home] : homes_) {
    sum += home.table_.size();
  }
  return sum;
}

}  // namespace lentilscale
