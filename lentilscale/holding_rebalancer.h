// Moves holdings of upper limits to where the demand is.
//
//   HoldingRebalancer rebalancer(...);
//   rebalancer.OnRecord(team, record, mod_revision);   // from the store's view
//   rebalancer.Tick(now);                              // asks, gives, lowers
//
// An instance whose shards have room but no holding for a team that waits asks
// the owners of other holdings; an owner gives what it does not use. The rules
// that keep the sum within the limit are in holdings.h; this class does the
// I/O and decides who asks whom for how much.

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

// The desk of one instance.
class HoldingRebalancer {
 public:
  struct Options {
    // Period in which one team is asked for again.
    Millis request_period_ms_ = 50;
    // A giver that has work of its own waiting gives only to a taker whose
    // work has waited longer by this much, so that a holding does not go back
    // and forth.
    Millis hysteresis_ms_ = 100;
    bool is_rebalancing_ = true;
    std::string self_id_;
  };

  HoldingRebalancer(Store* store, StoreView* view, ShardOwner* owner,
                    Executor* executor, PeerLink* link, Metrics* metrics,
                    const Options& options);

  auto SetConfiguration(const Configuration& configuration) -> void;
  auto OnRecord(const std::string& team, const HoldingRecord& record,
                std::int64_t mod_revision) -> void;
  // A shard is now owned here. Its holdings become usable with the first
  // reading of the store that is no older than the claim.
  auto OnOwned(const std::string& shard) -> void;
  // The store's view has been read.
  auto OnViewRead() -> void;
  auto Tick(Millis now) -> void;

  // Returns what the member `id` holds of the team in shards of a service.
  auto HeldByMember(const std::string& team, const std::string& service,
                    const std::string& id) -> std::int64_t;

  // Returns teams whose holdings still exceed their limit.
  auto TeamsOverLimit() const -> std::vector<std::string>;

 private:
  struct DemandState {
    Millis next_request_ms_ = 0;
  };

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
  std::map<std::string, std::int64_t, std::less<>> held_by_member_;
  std::int64_t held_by_member_version_ = -1;
  Millis next_lower_ms_ = 0;
  // Revision of the claim of shards whose holdings were not read since.
  std::map<std::string, std::int64_t, std::less<>> unread_claims_;
  // Plans whose answer was lost, to be repeated.
  std::vector<HoldingPlan> unanswered_plans_;
  // Shards of other owners that were promised something.
  std::set<std::string> promised_shards_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_HOLDING_REBALANCER_H_
