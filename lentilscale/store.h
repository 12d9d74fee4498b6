// The platform's key-value store as the rest of the library sees it.
//
// All access is by transactions of comparisons and operations, plus leases.
// The adapter speaks etcd's JSON mapping over HTTP, or to an in-process
// KvServer in embedded mode:
//
//   StoreTxn txn;
//   txn.IfVersion("tickets/head", 7).Put("tickets/head", text);
//   store.Commit(txn, [](const StoreResult& result) { ... });
//
// A result says whether the store answered. If it did not, a write may or may
// not have taken effect, and the writer must read back before it decides.
// When the store cannot be reached directly, calls go through a peer that can
// reach it (see SetRelay).

#ifndef LENTILSCALE_STORE_H_
#define LENTILSCALE_STORE_H_

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "lentilscale/clock.h"
#include "lentilscale/http_client.h"
#include "lentilscale/kv_server.h"

namespace lentilscale {

// One key read from the store.
struct StoreEntry {
  // The key without the prefix of the settings.
  std::string key_;
  std::string value_;
  std::int64_t mod_revision_ = 0;
  std::int64_t version_ = 0;
};

// A transaction under construction. Keys are without the store's prefix.
class StoreTxn {
 public:
  // Requires that `key` has been written `version` times; 0 means absent.
  auto IfVersion(const std::string& key, std::int64_t version) -> StoreTxn&;
  // Requires that `key` was last written at `mod_revision`; 0 means absent.
  auto IfModRevision(const std::string& key, std::int64_t mod_revision)
      -> StoreTxn&;
  // Writes `key`, bound to lease `lease` unless that is 0.
  auto Put(const std::string& key, const std::string& value,
           std::int64_t lease = 0) -> StoreTxn&;
  auto Delete(const std::string& key) -> StoreTxn&;
  // Reads `key`.
  auto Get(const std::string& key) -> StoreTxn&;
  // Reads the keys under `prefix` written at or after `min_mod_revision`.
  auto GetPrefix(const std::string& prefix, std::int64_t min_mod_revision)
      -> StoreTxn&;
  // Reads `key` if the comparisons fail.
  auto ElseGet(const std::string& key) -> StoreTxn&;

  // Returns the transaction in etcd's JSON mapping.
  auto ToJson(const std::string& prefix) const -> Json::Value;

 private:
  struct Compare {
    std::string key_;
    bool is_version_;
    std::int64_t number_;
  };
  struct Op {
    enum class Kind { kPut, kDelete, kGet, kGetPrefix };
    Kind kind_;
    std::string key_;
    std::string value_;
    std::int64_t number_;
  };

  static auto OpToJson(const Op& op, const std::string& prefix) -> Json::Value;

  std::vector<Compare> compares_;
  std::vector<Op> ops_;
  std::vector<Op> else_ops_;
};

// How a store call ended.
enum class StoreOutcome {
  kAnswered,
  // The store was not reached: nothing was written.
  kNotSent,
  // No answer: a write may have taken effect.
  kUnknown,
};

// The answer to a transaction.
struct StoreResult {
  StoreOutcome outcome_ = StoreOutcome::kNotSent;
  // True if the comparisons held.
  bool succeeded_ = false;
  std::int64_t revision_ = 0;
  // All entries read, in the order of the operations.
  std::vector<StoreEntry> entries_;

  // Returns the first entry read under `key`, or nullptr.
  auto Find(const std::string& key) const -> const StoreEntry*;
};

// The answer to a lease call.
struct LeaseResult {
  StoreOutcome outcome_ = StoreOutcome::kNotSent;
  // The lease's id; 0 if it has lapsed.
  std::int64_t id_ = 0;
};

// Access to the store.
class Store {
 public:
  struct Options {
    std::string address_;
    std::string prefix_;
    Millis timeout_ms_ = 800;
  };

  // Sends a call to a peer that can reach the store; returns false if there
  // is none.
  using Relay =
      std::function<bool(const std::string& path, const std::string& body,
                         HttpClient::Callback callback)>;

  // A store over HTTP.
  Store(HttpClient* client, const Options& options);
  // A store within the process.
  Store(uv_loop_t* loop, KvServer* server, const Options& options);

  auto SetRelay(Relay relay) -> void { relay_ = std::move(relay); }

  auto Commit(const StoreTxn& txn,
              std::function<void(const StoreResult&)> callback) -> void;
  auto GrantLease(std::int64_t ttl_s,
                  std::function<void(const LeaseResult&)> callback) -> void;
  auto KeepLease(std::int64_t id,
                 std::function<void(const LeaseResult&)> callback) -> void;

  // Sends a raw call for a peer, directly only.
  auto SendForPeer(const std::string& path, const std::string& body,
                   HttpClient::Callback callback) -> void;

  // Returns true if the latest direct call was answered.
  auto IsReachable() const -> bool { return direct_failures_ == 0; }
  // Returns true if the latest call was answered directly or by a relay.
  auto IsReachableByAnyPath() const -> bool { return is_any_path_ok_; }

  // Returns calls sent, by kind.
  auto counts() const -> const KvCallCounts& { return counts_; }
  auto relayed_calls() const -> std::int64_t { return relayed_calls_; }

 private:
  struct Remote {
    HttpClient* client_;
  };
  struct Embedded {
    uv_loop_t* loop_;
    KvServer* server_;
  };

  auto Send(const std::string& path, const Json::Value& body,
            HttpClient::Callback callback) -> void;
  auto SendDirect(const std::string& path, const std::string& body,
                  HttpClient::Callback callback) -> void;
  auto ParseTxnAnswer(const HttpResult& http) const -> StoreResult;

  std::variant<Remote, Embedded> transport_;
  Options options_;
  Relay relay_;
  int direct_failures_ = 0;
  bool is_any_path_ok_ = false;
  Millis last_probe_ms_ = 0;
  std::int64_t relayed_calls_ = 0;
  KvCallCounts counts_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_STORE_H_
