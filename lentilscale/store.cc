// Two transports share one encoding: HTTP to the platform, or a direct call
// within the process. An instance whose direct calls fail twice in a row sends
// its calls through a peer, and probes the direct path once a second. A call
// is never sent on two paths: the second path could repeat a write whose first
// answer was lost.

#include "lentilscale/store.h"

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/timer.h"

namespace lentilscale {
namespace {

constexpr auto kFailuresBeforeRelay = 2;
constexpr Millis kProbePeriodMs = 1000;
constexpr auto kHttpOk = 200;

auto ToStoreOutcome(const HttpResult& http) -> StoreOutcome {
  switch (http.outcome_) {
    case HttpOutcome::kNotSent:
      return StoreOutcome::kNotSent;
    case HttpOutcome::kUnknown:
      return StoreOutcome::kUnknown;
    case HttpOutcome::kAnswered:
      break;
  }
  return http.status_ == kHttpOk ? StoreOutcome::kAnswered
                                 : StoreOutcome::kUnknown;
}

auto ReadInt(const Json::Value& value) -> std::int64_t {
  return value.isString() ? std::atoll(value.asCString()) : 0;
}

auto ParseEntry(const Json::Value& kv, const std::string& prefix)
    -> StoreEntry {
  StoreEntry entry;
  entry.key_ = DecodeBase64(RequireString(kv, "key")).substr(prefix.size());
  entry.value_ = DecodeBase64(GetString(kv, "value", ""));
  entry.mod_revision_ = ReadInt(kv["mod_revision"]);
  entry.version_ = ReadInt(kv["version"]);
  return entry;
}

}  // namespace

auto StoreTxn::IfVersion(const std::string& key, std::int64_t version)
    -> StoreTxn& {
  compares_.push_back({key, true, version});
  return *this;
}

auto StoreTxn::IfModRevision(const std::string& key, std::int64_t mod_revision)
    -> StoreTxn& {
  compares_.push_back({key, false, mod_revision});
  return *this;
}

auto StoreTxn::Put(const std::string& key, const std::string& value,
                   std::int64_t lease) -> StoreTxn& {
  ops_.push_back({Op::Kind::kPut, key, value, lease});
  return *this;
}

auto StoreTxn::Delete(const std::string& key) -> StoreTxn& {
  ops_.push_back({Op::Kind::kDelete, key, "", 0});
  return *this;
}

auto StoreTxn::Get(const std::string& key) -> StoreTxn& {
  ops_.push_back({Op::Kind::kGet, key, "", 0});
  return *this;
}

auto StoreTxn::GetPrefix(const std::string& prefix,
                         std::int64_t min_mod_revision) -> StoreTxn& {
  ops_.push_back({Op::Kind::kGetPrefix, prefix, "", min_mod_revision});
  return *this;
}

auto StoreTxn::ElseGet(const std::string& key) -> StoreTxn& {
  else_ops_.push_back({Op::Kind::kGet, key, "", 0});
  return *this;
}

auto StoreTxn::OpToJson(const Op& op, const std::string& prefix)
    -> Json::Value {
  Json::Value request;
  request["key"] = EncodeBase64(prefix + op.key_);
  Json::Value out;
  switch (op.kind_) {
    case Op::Kind::kPut:
      request["value"] = EncodeBase64(op.value_);
      if (op.number_ != 0) {
        request["lease"] = std::to_string(op.number_);
      }
      out["request_put"] = request;
      break;
    case Op::Kind::kDelete:
      out["request_delete_range"] = request;
      break;
    case Op::Kind::kGetPrefix:
      request["range_end"] = EncodeBase64(PrefixEnd(prefix + op.key_));
      request["min_mod_revision"] = std::to_string(op.number_);
      out["request_range"] = request;
      break;
    case Op::Kind::kGet:
      out["request_range"] = request;
      break;
  }
  return out;
}

auto StoreTxn::ToJson(const std::string& prefix) const -> Json::Value {
  Json::Value out;
  for (const auto& compare : compares_) {
    Json::Value item;
    item["key"] = EncodeBase64(prefix + compare.key_);
    item["target"] = compare.is_version_ ? "VERSION" : "MOD";
    item["result"] = "EQUAL";
    item[compare.is_version_ ? "version" : "mod_revision"] =
        std::to_string(compare.number_);
    out["compare"].append(item);
  }
  for (const auto& op : ops_) {
    out["success"].append(OpToJson(op, prefix));
  }
  for (const auto& op : else_ops_) {
    out["failure"].append(OpToJson(op, prefix));
  }
  return out;
}

auto StoreResult::Find(const std::string& key) const -> const StoreEntry* {
  for (const auto& entry : entries_) {
    if (entry.key_ == key) {
      return &entry;
    }
  }
  return nullptr;
}

Store::Store(HttpClient* client, const Options& options)
    : transport_(Remote{client}), options_(options) {}

Store::Store(uv_loop_t* loop, KvServer* server, const Options& options)
    : transport_(Embedded{loop, server}), options_(options) {}

auto Store::SendDirect(const std::string& path, const std::string& body,
                       HttpClient::Callback callback) -> void {
  struct Sender {
    auto operator()(const Remote& remote) const -> void {
      remote.client_->Send(
          {options_.address_, "POST", path_, body_, "", options_.timeout_ms_},
          callback_);
    }
    auto operator()(const Embedded& embedded) const -> void {
      HttpResult result{HttpOutcome::kAnswered, kHttpOk, ""};
      try {
        const auto answer =
            embedded.server_->Handle(path_, ParseJson(body_), MonotonicMs());
        result.body_ = DumpJson(answer);
      } catch (const Error& e) {
        result.status_ = e.info().http_status_;
      }
      RunAfter(embedded.loop_, 0,
               [callback = callback_, result] { callback(result); });
    }
    const Options& options_;
    const std::string& path_;
    const std::string& body_;
    const HttpClient::Callback& callback_;
  };
  std::visit(Sender{options_, path, body, callback}, transport_);
}

auto Store::SendForPeer(const std::string& path, const std::string& body,
                        HttpClient::Callback callback) -> void {
  SendDirect(path, body, std::move(callback));
}

auto Store::Send(const std::string& path, const Json::Value& body,
                 HttpClient::Callback callback) -> void {
  const auto text = DumpJson(body);
  const auto now = MonotonicMs();
  const auto wants_relay = direct_failures_ >= kFailuresBeforeRelay &&
                           now - last_probe_ms_ < kProbePeriodMs;
  auto on_relayed = [this, callback](const HttpResult& result) {
    is_any_path_ok_ = ToStoreOutcome(result) == StoreOutcome::kAnswered;
    callback(result);
  };
  if (wants_relay && relay_ && relay_(path, text, on_relayed)) {
    ++relayed_calls_;
    return;
  }
  last_probe_ms_ = now;
  SendDirect(path, text, [this, callback](const HttpResult& result) {
    const auto is_answered =
        result.outcome_ == HttpOutcome::kAnswered && result.status_ < 500;
    direct_failures_ = is_answered ? 0 : direct_failures_ + 1;
    is_any_path_ok_ = is_answered;
    callback(result);
  });
}

auto Store::ParseTxnAnswer(const HttpResult& http) const -> StoreResult {
  StoreResult result;
  result.outcome_ = ToStoreOutcome(http);
  if (result.outcome_ != StoreOutcome::kAnswered) {
    return result;
  }
  try {
    const auto body = ParseJson(http.body_);
    result.succeeded_ = GetBool(body, "succeeded", false);
    result.revision_ = ReadInt(GetObject(body, "header")["revision"]);
    for (const auto& response : GetArray(body, "responses")) {
      for (const auto& kv : GetArray(response["response_range"], "kvs")) {
        result.entries_.push_back(ParseEntry(kv, options_.prefix_));
      }
    }
  } catch (const std::exception&) {
    // A malformed answer proves nothing about the write.
    result = StoreResult{};
    result.outcome_ = StoreOutcome::kUnknown;
  }
  return result;
}

auto Store::Commit(const StoreTxn& txn,
                   std::function<void(const StoreResult&)> callback) -> void {
  const auto body = txn.ToJson(options_.prefix_);
  const auto is_read = !body.isMember("compare");
  ++(is_read ? counts_.reads_ : counts_.writes_);
  Send("/v3/kv/txn", body,
       [this, callback = std::move(callback)](const HttpResult& http) {
         callback(ParseTxnAnswer(http));
       });
}

auto Store::GrantLease(std::int64_t ttl_s,
                       std::function<void(const LeaseResult&)> callback)
    -> void {
  ++counts_.lease_calls_;
  Json::Value body;
  body["TTL"] = std::to_string(ttl_s);
  Send("/v3/lease/grant", body,
       [callback = std::move(callback)](const HttpResult& http) {
         LeaseResult result{ToStoreOutcome(http), 0};
         try {
           if (result.outcome_ == StoreOutcome::kAnswered) {
             result.id_ = ReadInt(ParseJson(http.body_)["ID"]);
           }
         } catch (const Error&) {
           result.outcome_ = StoreOutcome::kUnknown;
         }
         callback(result);
       });
}

auto Store::KeepLease(std::int64_t id,
                      std::function<void(const LeaseResult&)> callback)
    -> void {
  ++counts_.lease_calls_;
  Json::Value body;
  body["ID"] = std::to_string(id);
  Send("/v3/lease/keepalive", body,
       [id, callback = std::move(callback)](const HttpResult& http) {
         LeaseResult result{ToStoreOutcome(http), 0};
         try {
           if (result.outcome_ == StoreOutcome::kAnswered) {
             const auto answer = GetObject(ParseJson(http.body_), "result");
             result.id_ = ReadInt(answer["TTL"]) > 0 ? id : 0;
           }
         } catch (const Error&) {
           result.outcome_ = StoreOutcome::kUnknown;
         }
         callback(result);
       });
}

}  // namespace lentilscale
