// Claims, takes over and hands over the ownership of shards.
//
// The store's record of a shard names its owner and epoch. Every change of this
// record is a compare-and-swap that raises the epoch:
//
//   ShardOwner owner(...);
//   owner.Tick(now);   // claims free shards, hands over misplaced ones
//
// A shard without an owner, or whose owner is gone (Members::IsGone), is
// claimed by the member that AssignShards selects. If AssignShards selects
// another live member for an owned shard, the shard is handed over: the old
// owner stops placing work in it and sends the request table, and the new owner
// swaps the record.
//
// If a hand-over fails, the old owner raises the epoch before it resumes, so
// that a swap by the new owner that is still in flight fails.

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

// Manages the shards that one instance owns.
class ShardOwner {
 public:
  struct Options {
    std::string self_id_;
    std::string self_address_;
    Millis session_ms_ = 10000;
    Millis lease_ms_ = 2000;
    Millis clock_skew_ms_ = 500;
    std::int64_t moves_per_s_ = 4;
    // Shards are moved for balance only after the list of members has been
    // unchanged for this long.
    Millis settle_ms_ = 2000;
  };

  struct Hooks {
    // Returns the time until which this instance's rights are valid.
    std::function<Millis()> rights_until_;
    // Called when this instance starts to own a shard, with its epoch.
    std::function<void(const std::string& shard, std::int64_t epoch)> on_owned_;
    std::function<void(const std::string& shard)> on_lost_;
    // Called with true before a hand-over, and with false if the shard stays.
    std::function<void(const std::string& shard, bool is_frozen)> on_frozen_;
  };

  ShardOwner(Store* store, StoreView* view, Members* members, PeerLink* link,
             Executor* executor, RequestDeduplicator* request_deduplicator,
             Metrics* metrics, const Options& options, Hooks hooks);

  auto SetSelfAddress(const std::string& address) -> void {
    options_.self_address_ = address;
  }

  // Adds the shards of the workers in the platform's list.
  auto SetWorkers(const std::vector<WorkerInfo>& workers,
                  const Configuration& configuration) -> void;

  // Drops the shards that have another owner according to the latest read of
  // the store. Must be called before that read confirms this instance's rights.
  auto OnViewRead() -> void;

  // Claims, hands over and drops shards as needed.
  auto Tick(Millis now) -> void;

  // Returns true if this instance owns the shard, has opened it and is not
  // handing it over.
  auto Owns(const std::string& shard) const -> bool;
  // Returns the epoch of an owned shard, or 0.
  auto EpochOf(const std::string& shard) const -> std::int64_t;
  // Returns the owned shards, including those that are being handed over.
  auto owned() const -> std::vector<std::string>;
  // Hands over shards without the limit on moves or the settling time, and
  // refuses hand-overs from other members.
  auto SetDraining() -> void { is_draining_ = true; }

 private:
  enum class Phase {
    kOwned,
    // Placement is stopped. The request table is sent once the starts in flight
    // are answered or the phase times out.
    kFreezing,
    // The request table was sent; the new owner has not answered.
    kHandingOver,
    // The hand-over failed; the epoch must be raised before work resumes.
    kReclaiming,
  };

  struct OwnedShard {
    std::int64_t epoch_ = 0;
    Phase phase_ = Phase::kOwned;
    std::string new_owner_;
    Millis phase_since_ms_ = 0;
  };

  // The request table received in a hand-over, kept until this instance opens
  // the shard. The answer to the swap may be lost.
  struct ReceivedHandOver {
    std::int64_t epoch_ = 0;
    RequestSnapshot snapshot_;
  };

  auto HasRights() const -> bool;
  auto AdoptShard(const ShardRecord& record) -> void;
  auto TickShard(const std::string& shard, Millis now,
                 std::vector<ShardRecord>& claims) -> void;
  auto TickOwned(const std::string& shard, OwnedShard& owned, Millis now)
      -> void;
  auto MakeClaim(const std::string& shard, const ShardRecord* old) const
      -> ShardRecord;
  auto CommitClaims(std::vector<ShardRecord> claims) -> void;
  auto OnClaimResult(const std::vector<ShardRecord>& claims,
                     const StoreResult& result) -> void;
  auto OpenShard(const ShardRecord& record, bool has_previous,
                 const RequestSnapshot* snapshot) -> void;
  auto DropShard(const std::string& shard) -> void;
  auto SendHandOver(const std::string& shard, OwnedShard& owned, Millis now)
      -> void;
  auto Reclaim(const std::string& shard, Millis now) -> void;
  auto OnTakeShard(const Json::Value& body, PeerLink::Responder respond)
      -> void;

  Store* store_;
  StoreView* view_;
  Members* members_;
  PeerLink* link_;
  Executor* executor_;
  RequestDeduplicator* request_deduplicator_;
  Metrics* metrics_;
  Options options_;
  Hooks hooks_;
  std::map<std::string, ShardLocation, std::less<>> locations_;
  std::map<std::string, OwnedShard, std::less<>> owned_;
  std::set<std::string, std::less<>> claiming_;
  std::map<std::string, ReceivedHandOver, std::less<>> received_hand_overs_;
  ShardAssignment targets_;
  bool is_draining_ = false;
  std::size_t max_claims_per_txn_ = 64;
  double move_tokens_ = 1;
  Millis last_tick_ms_ = 0;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_SHARD_OWNER_H_
