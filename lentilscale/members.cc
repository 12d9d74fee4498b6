// Two sources, two purposes. The store's list is slow and the same for all, so
// it decides over rights. Heartbeats are fast and each member's own view, so
// they steer routing and can only delay a take-over, never cause one.

#include "lentilscale/members.h"

#include "lentilscale/json.h"

namespace lentilscale {
namespace {

constexpr std::int64_t kMaxCount = 1'000'000'000;

}  // namespace

auto MemberRecord::FromJson(const Json::Value& object) -> MemberRecord {
  MemberRecord out;
  out.id_ = RequireString(object, "id");
  out.address_ = RequireString(object, "address");
  out.data_centre_ = RequireString(object, "data_centre");
  out.region_ = RequireString(object, "region");
  return out;
}

auto MemberRecord::ToJson() const -> Json::Value {
  Json::Value out;
  out["id"] = id_;
  out["address"] = address_;
  out["data_centre"] = data_centre_;
  out["region"] = region_;
  return out;
}

auto MemberDigest::FromJson(const Json::Value& object) -> MemberDigest {
  MemberDigest out;
  out.id_ = RequireString(object, "id");
  out.ticket_ = GetInt(object, "ticket", 0, 0, INT64_MAX);
  out.has_store_ = GetBool(object, "store", false);
  out.configuration_age_ms_ = GetInt(object, "age_ms", 0, 0, INT64_MAX);
  out.is_draining_ = GetBool(object, "draining", false);
  for (const auto& item : GetArray(object, "loads")) {
    ServiceLoad load;
    load.service_ = RequireString(item, "s");
    load.free_slots_ = GetInt(item, "f", 0, 0, kMaxCount);
    load.queued_ = GetInt(item, "q", 0, 0, kMaxCount);
    load.slots_ = GetInt(item, "c", 0, 0, kMaxCount);
    out.loads_.push_back(load);
  }
  return out;
}

auto MemberDigest::ToJson() const -> Json::Value {
  Json::Value out;
  out["id"] = id_;
  out["ticket"] = Json::Int64(ticket_);
  out["store"] = has_store_;
  out["age_ms"] = Json::Int64(configuration_age_ms_);
  if (is_draining_) {
    out["draining"] = true;
  }
  for (const auto& load : loads_) {
    Json::Value item;
    item["s"] = load.service_;
    item["f"] = Json::Int64(load.free_slots_);
    item["q"] = Json::Int64(load.queued_);
    item["c"] = Json::Int64(load.slots_);
    out["loads"].append(item);
  }
  return out;
}

auto Members::SetRecords(const std::vector<MemberRecord>& records, Millis now)
    -> std::vector<Change> {
  std::vector<Change> changes;
  std::map<std::string, bool, std::less<>> is_listed;
  for (const auto& record : records) {
    is_listed[record.id_] = true;
    auto& state = members_[record.id_];
    if (!state.is_listed_) {
      changes.push_back({record.id_, record.address_, true});
    }
    state.record_ = record;
    state.is_listed_ = true;
  }
  for (auto it = members_.begin(); it != members_.end();) {
    auto& state = it->second;
    if (state.is_listed_ && !is_listed.contains(it->first)) {
      state.is_listed_ = false;
      state.missing_since_ms_ = now;
      changes.push_back({it->first, state.record_.address_, false});
    }
    const auto is_forgotten =
        !state.is_listed_ &&
        now - state.missing_since_ms_ > options_.forget_ms_;
    it = is_forgotten ? members_.erase(it) : std::next(it);
  }
  changed_ms_ = changes.empty() ? changed_ms_ : now;
  return changes;
}

auto Members::OnHeartbeat(const MemberDigest& digest, Millis sent, Millis now)
    -> void {
  const auto it = members_.find(digest.id_);
  if (it == members_.end()) {
    return;
  }
  auto& state = it->second;
  // Answers can overtake each other; only a later question's answer counts.
  if (sent < state.heartbeat_sent_ms_) {
    return;
  }
  state.digest_ = digest;
  state.has_digest_ = true;
  state.heartbeat_sent_ms_ = sent;
  state.heartbeat_ms_ = now;
}

auto Members::OnHeard(const MemberDigest& digest) -> void {
  const auto it = members_.find(digest.id_);
  if (it != members_.end()) {
    it->second.digest_ = digest;
  }
}

auto Members::RestartMissingTimes(Millis now) -> void {
  for (auto& [id, state] : members_) {
    state.missing_since_ms_ = now;
  }
}

auto Members::IsReachable(const std::string& id, Millis now) const -> bool {
  if (id == self_id_) {
    return true;
  }
  const auto* state = Find(id);
  return state != nullptr && state->has_digest_ &&
         now - state->heartbeat_ms_ <= options_.suspect_ms_;
}

auto Members::IsGone(const std::string& id, Millis now) const -> bool {
  if (id == self_id_) {
    return false;
  }
  const auto* state = Find(id);
  if (state == nullptr) {
    return true;
  }
  return !state->is_listed_ &&
         now - state->missing_since_ms_ >= options_.missing_grace_ms_ &&
         !IsReachable(id, now);
}

auto Members::Find(const std::string& id) const -> const MemberState* {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

auto Members::Others() const -> std::vector<const MemberState*> {
  std::vector<const MemberState*> out;
  for (const auto& [id, state] : members_) {
    if (id != self_id_) {
      out.push_back(&state);
    }
  }
  return out;
}

auto Members::Listed() const -> std::vector<const MemberState*> {
  std::vector<const MemberState*> out;
  for (const auto& [id, state] : members_) {
    if (state.is_listed_) {
      out.push_back(&state);
    }
  }
  return out;
}

auto Members::Candidates() const -> std::vector<MemberRecord> {
  std::vector<MemberRecord> out;
  for (const auto* state : Listed()) {
    const auto is_self = state->record_.id_ == self_id_;
    const auto is_draining =
        is_self ? is_draining_ : state->digest_.is_draining_;
    if (!is_draining) {
      out.push_back(state->record_);
    }
  }
  return out;
}

}  // namespace lentilscale
