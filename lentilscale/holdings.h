// Holdings: how a team's fleet-wide upper limit is divided among shards.
//
// The store keeps one record per team with what each shard holds. A shard's
// owner starts no more of the team's tasks than the shard holds, so that the
// limit stands as long as the holdings sum to no more than it. Holdings move
// with demand:
//
//   Holdings holdings;
//   holdings.OnRead("acme", record, mod_revision);
//   if (auto plan = holdings.PlanGive("acme", sources, "photo/b/1", 4)) {
//     ... compare-and-swap plan->record_ onto plan->base_revision_ ...
//     holdings.OnSettled(...);
//   }
//
// The rules, which the model check in testing/ walks through:
//   1. A holding is lowered only by the shard's owner, first in memory and
//      then in the store, in a transaction that also requires the owner's
//      epoch to be current.
//   2. A holding is raised in the store only so far that the sum stays within
//      the limit, and used only after the store's record says so.
//   3. A plan whose answer was lost is repeated unchanged until it is answered;
//      until then what it lowers stays lowered.
//   4. A lowered limit binds in memory at once, with or without the store: each
//      shard uses no more than its part of the new limit.

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

// The store's record for one team.
struct HoldingRecord {
  static auto FromJson(const Json::Value& object) -> HoldingRecord;
  auto ToJson() const -> Json::Value;

  auto Sum() const -> std::int64_t;
  auto AmountOf(const std::string& shard) const -> std::int64_t;

  std::map<std::string, std::int64_t, std::less<>> by_shard_;
  // The limit under which the record was written; the sum is within it.
  std::int64_t limit_ = 0;
};

// What a shard can give away.
struct HoldingSource {
  std::string shard_;
  std::int64_t amount_ = 0;
  // Revision of the shard's record under which the giver owns it. The plan's
  // transaction requires it, also when it is repeated: the giver may lose and
  // regain the shard in between, with more running on it than when it planned.
  std::int64_t shard_revision_ = 0;
};

// A change of one record that waits for the store.
struct HoldingPlan {
  std::string team_;
  // Modification revision of the record that the plan replaces; 0 if there is
  // none yet.
  std::int64_t base_revision_ = 0;
  HoldingRecord record_;
  // What the plan takes from which shard.
  std::vector<HoldingSource> lowered_;
  // True if the plan follows a lowered limit.
  bool is_limit_reduction_ = false;
};

// One instance's knowledge of all records and its open plans.
class HoldingTable {
 public:
  // The store's record of `team` as read at `mod_revision`. Older readings
  // are ignored.
  auto OnRead(const std::string& team, const HoldingRecord& record,
              std::int64_t mod_revision) -> void;

  // Sets the team's limit as the latest ticket has it.
  auto SetLimit(const std::string& team, std::int64_t limit) -> void;

  // What the shard may use now: the record less what open plans and a lowered
  // limit take.
  auto Usable(const std::string& team, const std::string& shard) const
      -> std::int64_t;

  // Plans the first record: the limit spread evenly over `shards`. Returns
  // nothing if there is a record or a plan is open.
  auto PlanCreate(const std::string& team,
                  const std::vector<std::string>& shards)
      -> std::optional<HoldingPlan>;

  // Plans to move up to `amount` from `sources`, which must be shards of this
  // instance with amounts that are not in use, to shard `to`.
  auto PlanMove(const std::string& team,
                const std::vector<HoldingSource>& sources,
                const std::string& to, std::int64_t amount)
      -> std::optional<HoldingPlan>;

  // Plans to raise `to` by up to `amount` from what the limit leaves over.
  auto PlanRaise(const std::string& team, const std::string& to,
                 std::int64_t amount) -> std::optional<HoldingPlan>;

  // Plans to lower this instance's `owned` shards to their part of a lowered
  // limit, in proportion to what they hold; the amounts of `owned` are not
  // used.
  auto PlanLower(const std::string& team,
                 const std::vector<HoldingSource>& owned)
      -> std::optional<HoldingPlan>;

  // The store answered a plan; `record` is the record after it, whether the
  // plan or another writer won.
  auto OnPlanResolved(const HoldingPlan& plan, const HoldingRecord& record,
                      std::int64_t mod_revision) -> void;

  // The plan was refused because an epoch is not current any more, and did
  // not take effect.
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

  // What the limit leaves of `amount` that a shard holds.
  auto CapToLimit(const std::string& team, const std::string& shard,
                  std::int64_t amount) const -> std::int64_t;
  auto LimitOf(const std::string& team) const -> std::int64_t;
  auto OpenPlan(HoldingPlan plan) -> std::optional<HoldingPlan>;

  std::map<std::string, StoredRecord, std::less<>> records_;
  std::map<std::string, std::int64_t, std::less<>> limits_;
  // Shards whose holding follows the present limit of the team already.
  std::map<std::string, std::set<std::string>, std::less<>> lowered_shards_;
  std::map<std::string, HoldingPlan, std::less<>> open_plans_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_HOLDINGS_H_
