// Moves holdings of team limits between shards to follow demand.
//
//   HoldingRebalancer rebalancer(...);
//   rebalancer.OnRecord(team, record, mod_revision);   // from the StoreView
//   rebalancer.Tick(now);
//
// If a team's work waits only because the holdings of this instance's shards
// are used up, the instance requests more from the owners of other shards,
// which move the holdings that they do not use. The invariants that keep the
// sum within the limit are in holdings.h; this class does the I/O and decides
// which owners to ask and for how much.

#ifndef LENTILSCALE_HOLDING_REBALANCER_H_
#define LENTILSCALE_HOLDING_REBALANCER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lentilscale/executor.h"
#include "lentilscale/holdings.h"
#include "lentilscale/peer_link.h"
#include "lentilscale/shard_owner.h"
#include "lentilscale/store_view.h"

namespace lentilscale {

// Requests, moves and lowers the holdings of one instance's shards.
class HoldingRebalancer {
 public:
  struct Options {
    // Interval between requests for one team.
    Millis request_period_ms_ = 50;
    // An owner with waiting work of its own grants a request only if the
    // requester's work has waited at least this much longer. Without it, a
    // holding would move back and forth between two shards.
    Millis hysteresis_ms_ = 100;
    // If false, waiting demand raises and requests no holdings.
    bool is_rebalancing_ = true;
    std::string self_id_;
  };

  HoldingRebalancer(Store* store, StoreView* view, ShardOwner* owner,
                    Executor* executor, PeerLink* link, Metrics* metrics,
                    const Options& options);

  auto SetConfiguration(const Configuration& configuration) -> void;
  auto OnRecord(const std::string& team, const HoldingRecord& record,
                std::int64_t mod_revision) -> void;
  // Records that this instance now owns `shard`. The shard's holdings become
  // usable after a read of the store that is no older than the claim.
  auto OnOwned(const std::string& shard) -> void;
  // Called after each read of the StoreView. Makes the holdings of a shard
  // usable if the read covers its claim.
  auto OnViewRead() -> void;
  // Retries unanswered plans, serves waiting demand and lowers holdings that
  // exceed a limit.
  auto Tick(Millis now) -> void;

  // Returns the sum of the team's holdings in the shards of `service` that
  // member `id` owns.
  auto HeldByMember(const std::string& team, const std::string& service,
                    const std::string& id) -> std::int64_t;

  // Returns the teams whose holdings sum to more than their limit.
  auto TeamsOverLimit() const -> std::vector<std::string>;

 private:
  struct DemandState {
    Millis next_request_ms_ = 0;
  };

  // Passes the usable amounts of all owned shards to the executor.
  auto UpdateAllUsable() -> void;
  auto UpdateUsable(const std::string& team) -> void;
  auto CommitPlan(const HoldingPlan& plan) -> void;
  auto OnCommitResult(const HoldingPlan& plan, const StoreResult& result)
      -> void;
  auto NotifyRecipients(const HoldingPlan& plan, std::int64_t mod_revision)
      -> void;
  auto OwnershipRevision(const std::string& shard) const -> std::int64_t;
  auto FindUnusedHoldings(const std::string& team) const
      -> std::vector<HoldingSource>;
  auto OldestDemandMs(const std::string& team) const -> Millis;
  auto ServeDemand(const LimitDemand& demand, Millis now) -> void;
  auto RequestFromOwners(const LimitDemand& demand, Millis now) -> void;
  auto OnHoldingRequest(const Json::Value& params) -> Json::Value;
  auto OnHoldingMoved(const Json::Value& params) -> Json::Value;
  auto LowerToLimits() -> void;

  Store* store_;
  StoreView* view_;
  ShardOwner* owner_;
  Executor* executor_;
  PeerLink* link_;
  Metrics* metrics_;
  Options options_;
  Configuration configuration_;
  HoldingTable holdings_;
  std::map<std::string, DemandState, std::less<>> demand_states_;
  // Sums for HeldByMember, computed when StoreView::shard_changes() was
  // `held_by_member_version_`. -1: they must be recomputed.
  std::map<std::string, std::int64_t, std::less<>> held_by_member_;
  std::int64_t held_by_member_version_ = -1;
  Millis next_lower_ms_ = 0;
  // Revision of the claim, by claimed shard whose holdings have not been read
  // since.
  std::map<std::string, std::int64_t, std::less<>> unread_claims_;
  // Plans whose answer was lost; Tick retries them.
  std::vector<HoldingPlan> unanswered_plans_;
  // Shards for which a request was granted; their owners are notified once the
  // store has the move.
  std::set<std::string> promised_shards_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_HOLDING_REBALANCER_H_
