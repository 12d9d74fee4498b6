// The homes of non-idempotent requests on this instance.
//
// Each shard that the instance owns has a RequestTable. The desk decides
// whether a request may run, joins repeats to the running original, and passes
// tables on when a shard moves:
//
//   desk.Open(shard, horizon);
//   desk.Begin(shard, key, issued, rights_left, deadline, done, run);
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

// Returns the reply for a refusal with a code of the table.
auto MakeRefusalReply(ErrorCode code, const std::string& reason)
    -> RequestReply;

// Serializes a table for the shard's next owner, and reads it back.
auto SnapshotToJson(const RequestSnapshot& snapshot) -> Json::Value;
auto SnapshotFromJson(const Json::Value& object) -> RequestSnapshot;

// The desk.
class RequestDeduplicator {
 public:
  using Done = std::function<void(const RequestReply&)>;

  explicit RequestDeduplicator(const RequestTable::Options& options)
      : options_(options) {}

  auto Open(const std::string& shard, Millis horizon) -> void;
  auto OpenFrom(const std::string& shard, const RequestSnapshot& snapshot)
      -> void;
  auto Close(const std::string& shard) -> void;
  // Refuses new requests of a shard, for a hand-over, or takes them again.
  auto SetFrozen(const std::string& shard, bool is_frozen) -> void;
  auto IsAcceptingRequests(const std::string& shard) const -> bool;
  auto Snapshot(const std::string& shard) const -> RequestSnapshot;

  // Decides on a request. Calls `run` if it is fresh, else `done` now or when
  // the original ends. Throws Error(kNotOwner) if the shard is not open here.
  auto Begin(const std::string& shard, const RequestKey& key, Millis issued,
             Millis now_wall, Millis right_until_wall, const Done& done,
             const std::function<void()>& run) -> void;

  // The original has ended; repeats get the same reply. Returns false if the
  // shard has moved on: the reply is then to be passed to its owner.
  auto End(const std::string& shard, const RequestKey& key,
           const RequestReply& reply) -> bool;
  // The original was proved not to have run.
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

  static auto NotifyWaiters(ShardState& home, const RequestKey& key,
                            const RequestReply& reply) -> void;

  RequestTable::Options options_;
  std::map<std::string, ShardState, std::less<>> shards_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_REQUEST_DEDUPLICATOR_H_
