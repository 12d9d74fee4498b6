// RequestDeduplicator runs each non-idempotent request at most once.
//
// It has a RequestTable for each shard that this instance owns. It decides
// whether a request may run, attaches repeats to the running original, and
// exports the table when a shard moves to another instance:
//
//   deduplicator.Open(shard, horizon);
//   deduplicator.Begin(shard, key, issued, now_wall, rights_until_wall, done,
//                      run);
//
// `run` is called for a fresh request and must later call End or Forget.

#ifndef LENTILSCALE_REQUEST_DEDUPLICATOR_H_
#define LENTILSCALE_REQUEST_DEDUPLICATOR_H_

#include <json/json.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lentilscale/error.h"
#include "lentilscale/request_table.h"

namespace lentilscale {

// A reply to a request: an HTTP status with its body.
struct RequestReply {
  int http_status_ = 0;
  std::string body_;
};

// Returns the reply for a refusal with a code of the error table (error.h).
auto MakeRefusalReply(ErrorCode code, const std::string& reason)
    -> RequestReply;

// Serializes a request table for the shard's next owner, and parses it.
auto SnapshotToJson(const RequestSnapshot& snapshot) -> Json::Value;
auto SnapshotFromJson(const Json::Value& object) -> RequestSnapshot;

// The request tables of one instance.
class RequestDeduplicator {
 public:
  using Done = std::function<void(const RequestReply&)>;

  explicit RequestDeduplicator(const RequestTable::Options& options)
      : options_(options) {}

  // Opens a shard with an empty table, which refuses requests issued before
  // `horizon`; OpenFrom() opens it with the previous owner's table.
  auto Open(const std::string& shard, Millis horizon) -> void;
  auto OpenFrom(const std::string& shard, const RequestSnapshot& snapshot)
      -> void;
  // Drops the table of a shard and refuses the requests that wait in it.
  auto Close(const std::string& shard) -> void;
  // Makes Begin refuse the requests of a shard that is about to be handed over,
  // or accept them again.
  auto SetFrozen(const std::string& shard, bool is_frozen) -> void;
  auto IsAcceptingRequests(const std::string& shard) const -> bool;
  auto Snapshot(const std::string& shard) const -> RequestSnapshot;

  // Decides on a request. Calls `run` if it is fresh; otherwise calls `done`,
  // at once or when the running original ends. `issued` is when the caller
  // first issued it, `rights_until_wall` when this instance's rights end.
  // Throws Error(kNotOwner) if the shard is not open here.
  auto Begin(const std::string& shard, const RequestKey& key, Millis issued,
             Millis now_wall, Millis rights_until_wall, const Done& done,
             const std::function<void()>& run) -> void;

  // Records the reply of the original and passes it to the waiting repeats.
  // Returns false if the shard is not open here; the caller then forwards the
  // reply to the shard's owner.
  auto End(const std::string& shard, const RequestKey& key,
           const RequestReply& reply) -> bool;
  // Removes a request that is known not to have run, so that a repeat may run.
  // The waiting repeats get `reply`.
  auto Forget(const std::string& shard, const RequestKey& key,
              const RequestReply& reply) -> void;

  auto Expire(Millis now_wall) -> void;
  auto size() const -> std::size_t;

 private:
  struct ShardState {
    RequestTable table_;
    bool is_frozen_ = false;
    std::map<RequestKey, std::vector<Done>> waiters_;
  };

  static auto NotifyWaiters(ShardState& state, const RequestKey& key,
                            const RequestReply& reply) -> void;

  RequestTable::Options options_;
  std::map<std::string, ShardState, std::less<>> shards_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_REQUEST_DEDUPLICATOR_H_
