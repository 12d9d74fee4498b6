// An in-memory key-value store with the semantics of etcd v3's JSON mapping.
//
// It serves the embedded mode of lentild and the platform stand-in of the
// tests. It understands /v3/kv/range, /v3/kv/put, /v3/kv/txn,
// /v3/lease/grant, /v3/lease/keepalive and /v3/lease/revoke:
//
//   KvServer server;
//   auto answer = server.Handle("/v3/kv/range", body, MonotonicMs());
//
// Revisions, creation and modification revisions, comparisons and leases
// follow the published API; watches and compaction are left out, since
// lentilscale reads by revision (docs/design/store.md).

#ifndef LENTILSCALE_KV_SERVER_H_
#define LENTILSCALE_KV_SERVER_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "lentilscale/clock.h"

namespace lentilscale {

// How many calls of each kind a store has served.
struct KvCallCounts {
  std::int64_t reads_ = 0;
  std::int64_t writes_ = 0;
  std::int64_t lease_calls_ = 0;
};

// The store.
class KvServer {
 public:
  // Serves one call at time `now`. Throws Error(kBadRequest) on malformed
  // input and Error(kNotFound) on an unknown path or lease.
  auto Handle(const std::string& path, const Json::Value& body, Millis now)
      -> Json::Value;

  auto counts() const -> const KvCallCounts& { return counts_; }
  auto revision() const -> std::int64_t { return revision_; }

 private:
  struct Entry {
    std::string value_;
    std::int64_t create_revision_ = 0;
    std::int64_t mod_revision_ = 0;
    std::int64_t version_ = 0;
    std::int64_t lease_ = 0;
  };

  struct Lease {
    std::int64_t ttl_s_ = 0;
    Millis expires_ms_ = 0;
    std::set<std::string> keys_;
  };

  auto ExpireLeases(Millis now) -> void;
  auto Header() const -> Json::Value;
  auto Range(const Json::Value& body) const -> Json::Value;
  auto Put(const Json::Value& body) -> Json::Value;
  auto DeleteRange(const Json::Value& body) -> Json::Value;
  auto Txn(const Json::Value& body) -> Json::Value;
  auto RunOp(const Json::Value& op) -> Json::Value;
  auto IsCompareTrue(const Json::Value& compare) const -> bool;
  auto Grant(const Json::Value& body, Millis now) -> Json::Value;
  auto KeepAlive(const Json::Value& body, Millis now) -> Json::Value;
  auto Revoke(const Json::Value& body) -> Json::Value;
  auto DropLease(std::int64_t id) -> void;
  auto EraseKey(const std::string& key) -> void;

  std::map<std::string, Entry> entries_;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 1000;
  // True within a transaction, whose writes share one revision.
  bool is_in_txn_ = false;
  KvCallCounts counts_;
};

// Encodes and decodes the base64 of keys and values in the JSON mapping.
auto EncodeBase64(const std::string& bytes) -> std::string;
auto DecodeBase64(const std::string& text) -> std::string;

// Returns the end of the range of all keys that start with `prefix`.
auto PrefixEnd(const std::string& prefix) -> std::string;

}  // namespace lentilscale

#endif  // LENTILSCALE_KV_SERVER_H_
