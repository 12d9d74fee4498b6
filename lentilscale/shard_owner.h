// Ownership of shards: claiming, taking over and handing over.
//
// The store's record of a shard names its owner and epoch; every change is a
// compare-and-swap on the record that raises the epoch:
//
//   ShardOwner owner(...);
//   owner.Tick(now);      // claims what is free, hands over what should move
//
// A shard without an owner, or whose owner is gone (Members::IsGone), is
// claimed by the member that AssignShards names. A shard that should belong to
// another live member is handed over: the old owner stops, passes the request
// table, and the new owner swaps the record. An old owner whose hand-over went
// wrong raises the epoch itself before it goes on, so that a swap that is still
// on its way fails.

#ifndef LENTILSCALE_SHARD_OWNER_H_
#define LENTILSCALE_SHARD_OWNER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lentilscale/executor.h"
#include "lentilscale/members.h"
#include "lentilscale/peer_link.h"
#include "lentilscale/request_deduplicator.h"
#include "lentilscale/shard_map.h"
#include "lentilscale/store_view.h"

namespace lentilscale {

// The shards of this instance.
class ShardOwner {
 public:
  struct Options {
    std::string self_id_;
    std::string self_address_;
    Millis session_ms_ = 10000;
    Millis lease_ms_ = 2000;
    Millis clock_skew_ms_ = 500;
    std::int64_t moves_per_s_ = 4;
    // Time without a change of the members before shards move for balance.
    Millis settle_ms_ = 2000;
  };

  struct Hooks {
    std::function<Millis()> rights_until_;
    // A shard is now owned, at this epoch.
    std::function<void(const std::string& shard, std::int64_t epoch)> on_owned_;
    std::function<void(const std::string& shard)> on_lost_;
    // The shard is about to be handed over, or stays after all.
    std::function<void(const std::string& shard, bool is_frozen)> on_frozen_;
  };

  ShardOwner(Store* store, StoreView* view, Members* members, PeerLink* link,
             Executor* executor, RequestDeduplicator* homes, Metrics* metrics,
             const Options& options, Hooks hooks);

  auto SetSelfAddress(const std::string& address) -> void {
    options_.self_address_ = address;
  }

  // Takes the platform's list, from which the shards follow.
  auto SetWorkers(const std::vector<WorkerInfo>& workers,
                  const Configuration& configuration) -> void;

  // The store's view has been read: drops what has another owner. It must come
  // before rights are confirmed by that reading.
  auto OnViewRead() -> void;

  // Claims, hands over and drops what is due.
  auto Tick(Millis now) -> void;

  // Returns true if the store names this instance and it has opened the shard.
  auto Owns(const std::string& shard) const -> bool;
  auto EpochOf(const std::string& shard) const -> std::int64_t;
  auto owned() const -> std::vector<std::string>;
  // Moves shards away as fast as they can be passed.
  auto SetDraining() -> void { is_draining_ = true; }

 private:
  enum class Phase {
    kOwned,
    // Stopped; waiting for starts in flight before the table is passed.
    kFreezing,
    // The table was passed; waiting for the answer.
    kPassing,
    // The hand-over failed; raising the epoch before going on.
    kReclaiming,
  };

  struct Owned {
    std::int64_t epoch_ = 0;
    Phase phase_ = Phase::kOwned;
    std::string target_;
    Millis since_ms_ = 0;
  };

  // A table that came with a hand-over whose swap was not answered yet.
  struct Passed {
    std::int64_t epoch_ = 0;
    RequestSnapshot snapshot_;
  };

  auto HasRights() const -> bool;
  auto TakeNamed(const ShardRecord& record) -> void;
  auto TickShard(const std::string& shard, Millis now,
                 std::vector<ShardRecord>& claims) -> void;
  auto TickOwned(const std::string& shard, Owned& owned, Millis now) -> void;
  auto MakeClaim(const std::string& shard, const ShardRecord* old) const
      -> ShardRecord;
  auto Claim(std::vector<ShardRecord> claims) -> void;
  auto OnClaimed(const std::vector<ShardRecord>& claims,
                 const StoreResult& result) -> void;
  auto Take(const ShardRecord& record, bool has_previous,
            const RequestSnapshot* snapshot) -> void;
  auto Lose(const std::string& shard) -> void;
  auto Pass(const std::string& shard, Owned& owned, Millis now) -> void;
  auto Reclaim(const std::string& shard, Millis now) -> void;
  auto OnTakeShard(const Json::Value& body, PeerLink::Responder respond)
      -> void;

  Store* store_;
  StoreView* view_;
  Members* members_;
  PeerLink* link_;
  Executor* executor_;
  RequestDeduplicator* homes_;
  Metrics* metrics_;
  Options options_;
  Hooks hooks_;
  std::map<std::string, ShardPlace, std::less<>> places_;
  std::map<std::string, Owned, std::less<>> owned_;
  std::set<std::string, std::less<>> claiming_;
  std::map<std::string, Passed, std::less<>> passed_;
  ShardAssignment targets_;
  bool is_draining_ = false;
  std::size_t claim_batch_ = 64;
  double move_tokens_ = 1;
  Millis last_tick_ms_ = 0;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_SHARD_OWNER_H_
