// An ordered map serves ranges directly. Leases expire when a call arrives,
// which is exact for every observer because only calls observe the store.

#include "lentilscale/kv_server.h"

#include <openssl/evp.h>

#include <vector>

#include "lentilscale/error.h"
#include "lentilscale/json.h"

namespace lentilscale {
namespace {

// etcd's JSON mapping carries 64-bit integers as strings; both are accepted.
auto ReadInt(const Json::Value& value) -> std::int64_t {
  if (value.isString()) {
    return std::atoll(value.asCString());
  }
  return value.isInt64() ? value.asInt64() : 0;
}

auto ReadBytes(const Json::Value& object, const char* name) -> std::string {
  return DecodeBase64(GetString(object, name, ""));
}

auto IsInRange(const std::string& key, const std::string& first,
               const std::string& end) -> bool {
  return end.empty() ? key == first : key >= first && key < end;
}

}  // namespace

auto EncodeBase64(const std::string& bytes) -> std::string {
  std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const auto length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(length));
  return out;
}

auto DecodeBase64(const std::string& text) -> std::string {
  if (text.size() % 4 != 0) {
    throw Error(ErrorCode::kBadRequest, "malformed base64");
  }
  std::string out(text.size() / 4 * 3 + 1, '\0');
  const auto length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0) {
    throw Error(ErrorCode::kBadRequest, "malformed base64");
  }
  auto size = static_cast<std::size_t>(length);
  for (auto i = text.size(); i > 0 && text[i - 1] == '=' && size > 0; --i) {
    --size;
  }
  out.resize(size);
  return out;
}

auto PrefixEnd(const std::string& prefix) -> std::string {
  auto end = prefix;
  while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff) {
    end.pop_back();
  }
  if (!end.empty()) {
    ++end.back();
  }
  return end;
}

auto KvServer::Handle(const std::string& path, const Json::Value& body,
                      Millis now) -> Json::Value {
  ExpireLeases(now);
  if (path == "/v3/kv/range") {
    ++counts_.reads_;
    return Range(body);
  }
  if (path == "/v3/kv/put") {
    ++counts_.writes_;
    return Put(body);
  }
  if (path == "/v3/kv/deleterange") {
    ++counts_.writes_;
    return DeleteRange(body);
  }
  if (path == "/v3/kv/txn") {
    return Txn(body);
  }
  ++counts_.lease_calls_;
  if (path == "/v3/lease/grant") {
    return Grant(body, now);
  }
  if (path == "/v3/lease/keepalive") {
    return KeepAlive(body, now);
  }
  if (path == "/v3/lease/revoke") {
    return Revoke(body);
  }
  throw Error(ErrorCode::kNotFound, "no such store call: " + path);
}

auto KvServer::ExpireLeases(Millis now) -> void {
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_ms_ <= now) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    DropLease(id);
  }
}

auto KvServer::DropLease(std::int64_t id) -> void {
  const auto keys = leases_[id].keys_;
  leases_.erase(id);
  if (!keys.empty()) {
    ++revision_;
  }
  for (const auto& key : keys) {
    entries_.erase(key);
  }
}

auto KvServer::Header() const -> Json::Value {
  Json::Value header;
  header["revision"] = std::to_string(revision_);
  return header;
}

auto KvServer::Range(const Json::Value& body) const -> Json::Value {
  const auto first = ReadBytes(body, "key");
  const auto end = ReadBytes(body, "range_end");
  const auto min_mod = ReadInt(body["min_mod_revision"]);
  Json::Value answer;
  answer["header"] = Header();
  std::int64_t count = 0;
  for (auto it = entries_.lower_bound(first);
       it != entries_.end() && IsInRange(it->first, first, end); ++it) {
    ++count;
    const auto& entry = it->second;
    if (entry.mod_revision_ < min_mod) {
      continue;
    }
    Json::Value kv;
    kv["key"] = EncodeBase64(it->first);
    kv["value"] = EncodeBase64(entry.value_);
    kv["create_revision"] = std::to_string(entry.create_revision_);
    kv["mod_revision"] = std::to_string(entry.mod_revision_);
    kv["version"] = std::to_string(entry.version_);
    answer["kvs"].append(kv);
  }
  answer["count"] = std::to_string(count);
  return answer;
}

auto KvServer::EraseKey(const std::string& key) -> void {
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    return;
  }
  const auto lease = leases_.find(it->second.lease_);
  if (lease != leases_.end()) {
    lease->second.keys_.erase(key);
  }
  entries_.erase(it);
}

auto KvServer::Put(const Json::Value& body) -> Json::Value {
  const auto key = ReadBytes(body, "key");
  const auto lease = ReadInt(body["lease"]);
  if (key.empty()) {
    throw Error(ErrorCode::kBadRequest, "a key is needed");
  }
  if (lease != 0 && !leases_.contains(lease)) {
    throw Error(ErrorCode::kNotFound, "requested lease not found");
  }
  if (!is_in_txn_) {
    ++revision_;
  }
  auto& entry = entries_[key];
  const auto old_lease = leases_.find(entry.lease_);
  if (old_lease != leases_.end()) {
    old_lease->second.keys_.erase(key);
  }
  entry.value_ = ReadBytes(body, "value");
  entry.create_revision_ =
      entry.version_ == 0 ? revision_ : entry.create_revision_;
  entry.mod_revision_ = revision_;
  ++entry.version_;
  entry.lease_ = lease;
  if (lease != 0) {
    leases_[lease].keys_.insert(key);
  }
  Json::Value answer;
  answer["header"] = Header();
  return answer;
}

auto KvServer::DeleteRange(const Json::Value& body) -> Json::Value {
  const auto first = ReadBytes(body, "key");
  const auto end = ReadBytes(body, "range_end");
  std::vector<std::string> doomed;
  for (auto it = entries_.lower_bound(first);
       it != entries_.end() && IsInRange(it->first, first, end); ++it) {
    doomed.push_back(it->first);
  }
  if (!doomed.empty() && !is_in_txn_) {
    ++revision_;
  }
  for (const auto& key : doomed) {
    EraseKey(key);
  }
  Json::Value answer;
  answer["header"] = Header();
  answer["deleted"] = std::to_string(doomed.size());
  return answer;
}

auto KvServer::IsCompareTrue(const Json::Value& compare) const -> bool {
  const auto it = entries_.find(ReadBytes(compare, "key"));
  const Entry absent;
  const auto& entry = it == entries_.end() ? absent : it->second;
  const auto target = GetString(compare, "target", "VERSION");
  if (GetString(compare, "result", "EQUAL") != "EQUAL") {
    throw Error(ErrorCode::kBadRequest, "only EQUAL is served");
  }
  if (target == "VERSION") {
    return entry.version_ == ReadInt(compare["version"]);
  }
  if (target == "CREATE") {
    return entry.create_revision_ == ReadInt(compare["create_revision"]);
  }
  if (target == "MOD") {
    return entry.mod_revision_ == ReadInt(compare["mod_revision"]);
  }
  if (target == "VALUE") {
    return entry.value_ == ReadBytes(compare, "value");
  }
  throw Error(ErrorCode::kBadRequest, "unknown compare target " + target);
}

auto KvServer::RunOp(const Json::Value& op) -> Json::Value {
  Json::Value answer;
  if (op.isMember("request_range")) {
    answer["response_range"] = Range(op["request_range"]);
  } else if (op.isMember("request_put")) {
    answer["response_put"] = Put(op["request_put"]);
  } else if (op.isMember("request_delete_range")) {
    answer["response_delete_range"] = DeleteRange(op["request_delete_range"]);
  } else {
    throw Error(ErrorCode::kBadRequest, "unknown operation in transaction");
  }
  return answer;
}

auto KvServer::Txn(const Json::Value& body) -> Json::Value {
  auto is_true = true;
  for (const auto& compare : GetArray(body, "compare")) {
    is_true = is_true && IsCompareTrue(compare);
  }
  const auto ops = GetArray(body, is_true ? "success" : "failure");
  auto writes = false;
  for (const auto& op : ops) {
    writes = writes || !op.isMember("request_range");
  }
  // A transaction counts as one call, a write if it could write.
  const auto could_write = writes || !GetArray(body, "compare").empty();
  ++(could_write ? counts_.writes_ : counts_.reads_);
  if (writes) {
    ++revision_;
  }
  is_in_txn_ = true;
  Json::Value answer;
  answer["succeeded"] = is_true;
  answer["responses"] = Json::Value(Json::arrayValue);
  try {
    for (const auto& op : ops) {
      answer["responses"].append(RunOp(op));
    }
  } catch (...) {
    is_in_txn_ = false;
    throw;
  }
  is_in_txn_ = false;
  answer["header"] = Header();
  return answer;
}

auto KvServer::Grant(const Json::Value& body, Millis now) -> Json::Value {
  Lease lease;
  lease.ttl_s_ = std::max<std::int64_t>(ReadInt(body["TTL"]), 1);
  lease.expires_ms_ = now + lease.ttl_s_ * 1000;
  const auto id = ++next_lease_;
  leases_[id] = lease;
  Json::Value answer;
  answer["header"] = Header();
  answer["ID"] = std::to_string(id);
  answer["TTL"] = std::to_string(lease.ttl_s_);
  return answer;
}

auto KvServer::KeepAlive(const Json::Value& body, Millis now) -> Json::Value {
  const auto id = ReadInt(body["ID"]);
  Json::Value result;
  result["header"] = Header();
  result["ID"] = std::to_string(id);
  const auto it = leases_.find(id);
  if (it == leases_.end()) {
    result["TTL"] = "0";
  } else {
    it->second.expires_ms_ = now + it->second.ttl_s_ * 1000;
    result["TTL"] = std::to_string(it->second.ttl_s_);
  }
  Json::Value answer;
  answer["result"] = result;
  return answer;
}

auto KvServer::Revoke(const Json::Value& body) -> Json::Value {
  const auto id = ReadInt(body["ID"]);
  if (!leases_.contains(id)) {
    throw Error(ErrorCode::kNotFound, "requested lease not found");
  }
  DropLease(id);
  Json::Value answer;
  answer["header"] = Header();
  return answer;
}

}  // namespace lentilscale
