// Divides a team's fleet-wide task limit among shards.
//
// A holding is the part of a team's limit that one shard may use. The store
// keeps one record per team with the holdings of all shards. A shard's owner
// runs no more of the team's tasks than the shard's holding, so the limit is
// kept as long as the holdings sum to no more than the limit. Holdings are
// moved to the shards with demand:
//
//   HoldingTable holdings;
//   holdings.OnRead("acme", record, mod_revision);
//   if (auto plan = holdings.PlanMove("acme", sources, "photo/b/1", 4)) {
//     ... compare-and-swap plan->record_ onto plan->base_revision_ ...
//     holdings.OnPlanResolved(...);
//   }
//
// The invariants, which testing/protocol_test.cc checks over random
// interleavings:
//   1. Only a shard's owner lowers its holding: first in memory, then in the
//      store, in a transaction that also requires that the owner still owns
//      the shard.
//   2. A holding is raised in the store only as far as the sum stays within
//      the limit, and is used only once the store's record contains it.
//   3. A plan whose answer was lost is retried unchanged until it is answered.
//      Until then the holdings that it lowers stay lowered in memory.
//   4. A lowered limit takes effect in memory at once, even while the store is
//      unavailable: each shard uses no more than its part of the new limit.

#ifndef LENTILSCALE_HOLDINGS_H_
#define LENTILSCALE_HOLDINGS_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilscale {

// The store's record of one team: the limit and each shard's holding.
struct HoldingRecord {
  static auto FromJson(const Json::Value& object) -> HoldingRecord;
  auto ToJson() const -> Json::Value;

  auto Sum() const -> std::int64_t;
  auto AmountOf(const std::string& shard) const -> std::int64_t;

  std::map<std::string, std::int64_t, std::less<>> by_shard_;
  // The limit when the record was written. The holdings sum to no more than
  // it.
  std::int64_t limit_ = 0;
};

// The part of a shard's holding that can be moved to another shard.
struct HoldingSource {
  std::string shard_;
  std::int64_t amount_ = 0;
  // Revision of the shard's record when the plan was made. The plan's
  // transaction requires this revision, also when it is retried: this instance
  // may lose and regain the shard in between and then run more tasks on it
  // than when the plan was made.
  std::int64_t shard_revision_ = 0;
};

// A change of one team's record, to be written by compare-and-swap.
struct HoldingPlan {
  std::string team_;
  // Modification revision of the record that the plan replaces, or 0 if the
  // record does not exist yet.
  std::int64_t base_revision_ = 0;
  HoldingRecord record_;
  // The shards whose holdings the plan lowers, and by how much.
  std::vector<HoldingSource> lowered_;
  // True if the plan was made by PlanLower.
  bool is_limit_reduction_ = false;
};

// The holding records of all teams as one instance last read them, and the
// instance's open plans. A team has at most one open plan.
class HoldingTable {
 public:
  // Updates the record of `team`, which was last written at `mod_revision`.
  // Records no newer than the known one are ignored.
  auto OnRead(const std::string& team, const HoldingRecord& record,
              std::int64_t mod_revision) -> void;

  // Sets the team's limit from the latest applied ticket.
  auto SetLimit(const std::string& team, std::int64_t limit) -> void;

  // Returns how many of the team's tasks the shard may run now: its holding in
  // the record, less the reductions of an open plan and of a lowered limit.
  auto Usable(const std::string& team, const std::string& shard) const
      -> std::int64_t;

  // Plans the team's first record, with the limit divided evenly over `shards`.
  // Returns nothing if the record exists or a plan is open.
  auto PlanCreate(const std::string& team,
                  const std::vector<std::string>& shards)
      -> std::optional<HoldingPlan>;

  // Plans to move up to `amount` from `sources` to shard `to`. This instance
  // must own the shards of `sources`, and their amounts must not be in use.
  auto PlanMove(const std::string& team,
                const std::vector<HoldingSource>& sources,
                const std::string& to, std::int64_t amount)
      -> std::optional<HoldingPlan>;

  // Plans to raise the holding of `to` by up to `amount`, from the part of the
  // limit that no shard holds.
  auto PlanRaise(const std::string& team, const std::string& to,
                 std::int64_t amount) -> std::optional<HoldingPlan>;

  // Plans to lower the holdings of `owned`, the shards of this instance, to
  // their part of a lowered limit, in proportion to their holdings. The amounts
  // in `owned` are ignored.
  auto PlanLower(const std::string& team,
                 const std::vector<HoldingSource>& owned)
      -> std::optional<HoldingPlan>;

  // Closes a plan that the store answered. `record` is the record after the
  // transaction, written by the plan or by another writer.
  auto OnPlanResolved(const HoldingPlan& plan, const HoldingRecord& record,
                      std::int64_t mod_revision) -> void;

  // Closes a plan that the store rejected because the epoch of a lowered shard
  // is no longer current. The plan did not take effect.
  auto OnPlanRejected(const HoldingPlan& plan) -> void;

  auto HasOpenPlan(const std::string& team) const -> bool {
    return open_plans_.contains(team);
  }
  auto FindRecord(const std::string& team) const -> const HoldingRecord*;
  auto RevisionOf(const std::string& team) const -> std::int64_t;

 private:
  struct StoredRecord {
    HoldingRecord record_;
    std::int64_t mod_revision_ = 0;
  };

  // Returns the part of the holding `amount` that a shard may use under the
  // current limit.
  auto CapToLimit(const std::string& team, const std::string& shard,
                  std::int64_t amount) const -> std::int64_t;
  auto LimitOf(const std::string& team) const -> std::int64_t;
  auto OpenPlan(HoldingPlan plan) -> std::optional<HoldingPlan>;

  std::map<std::string, StoredRecord, std::less<>> records_;
  std::map<std::string, std::int64_t, std::less<>> limits_;
  // By team, the shards that this instance already lowered to the current
  // limit.
  std::map<std::string, std::set<std::string>, std::less<>> lowered_shards_;
  std::map<std::string, HoldingPlan, std::less<>> open_plans_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_HOLDINGS_H_
