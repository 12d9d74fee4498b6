// Moves holdings of upper limits to where the demand is.
//
//   HoldingDesk desk(...);
//   desk.OnRecord(team, record, mod_revision);   // from the store's view
//   desk.Tick(now);                              // asks, gives, lowers
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
class HoldingDesk {
 public:
  struct Options {
    // Period in which one team is asked for again.
    Millis ask_period_ms_ = 50;
    // A giver that has work of its own waiting gives only to a taker whose
    // work has waited longer by this much, so that a holding does not go back
    // and forth.
    Millis hysteresis_ms_ = 100;
    bool is_rebalancing_ = true;
    std::string self_id_;
  };

  HoldingDesk(Store* store, StoreView* view, ShardOwner* owner,
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
  auto HeldBy(const std::string& team, const std::string& service,
              const std::string& id) -> std::int64_t;

  // Returns teams whose holdings still exceed their limit.
  auto TeamsOverLimit() const -> std::vector<std::string>;

 private:
  struct Asking {
    Millis next_ms_ = 0;
  };

  auto PushAll() -> void;
  auto PushUsable(const std::string& team) -> void;
  auto Commit(const HoldingPlan& plan) -> void;
  auto OnCommitted(const HoldingPlan& plan, const StoreResult& result) -> void;
  auto TellTaker(const HoldingPlan& plan, std::int64_t mod_revision) -> void;
  auto OwnRevision(const std::string& shard) const -> std::int64_t;
  auto FreeSources(const std::string& team) const -> std::vector<HoldingSource>;
  auto OldestWaiting(const std::string& team) const -> Millis;
  auto ServeDemand(const LimitDemand& demand, Millis now) -> void;
  auto AskOwners(const LimitDemand& demand, Millis now) -> void;
  auto OnAsk(const Json::Value& params) -> Json::Value;
  auto OnMoved(const Json::Value& params) -> Json::Value;
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
  std::map<std::string, Asking, std::less<>> asking_;
  std::map<std::string, std::int64_t, std::less<>> held_by_;
  std::int64_t held_by_changes_ = -1;
  Millis next_lower_ms_ = 0;
  // Revision of the claim of shards whose holdings were not read since.
  std::map<std::string, std::int64_t, std::less<>> unread_;
  // Plans whose answer was lost, to be repeated.
  std::vector<HoldingPlan> unanswered_;
  // Shards of other owners that were promised something.
  std::set<std::string> told_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_HOLDING_REBALANCER_H_
