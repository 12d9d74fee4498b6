// What the store holds, as this instance last read it.
//
// One read per period brings everything that changed since the last one, in a
// single transaction:
//
//   StoreView view(loop, &store, options, hooks);
//   view.PollSoon();              // after an own write
//   auto* record = view.FindShard("photo/home-a/0");
//
// A read asks for the members, and for shards, holdings and the configuration
// written since the latest revision read.

#ifndef LENTILSCALE_STORE_VIEW_H_
#define LENTILSCALE_STORE_VIEW_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lentilscale/configuration.h"
#include "lentilscale/holdings.h"
#include "lentilscale/members.h"
#include "lentilscale/store.h"

namespace lentilscale {

// The store's record of a shard's owner.
struct ShardRecord {
  static auto FromJson(const std::string& shard, const Json::Value& object)
      -> ShardRecord;
  auto ToJson() const -> Json::Value;

  std::string shard_;
  std::string owner_;
  std::string address_;
  std::int64_t epoch_ = 0;
  // Wall-clock time before whose requests the owner does not run; see
  // request_table.h.
  Millis horizon_ms_ = 0;
  std::int64_t mod_revision_ = 0;
};

// Keys in the store, below the prefix of the settings.
auto MemberKey(const std::string& id) -> std::string;
auto ShardKey(const std::string& shard) -> std::string;
auto HoldingKey(const std::string& team) -> std::string;
auto JobKey(const std::string& job) -> std::string;
auto TicketLogKey(std::int64_t number) -> std::string;
// Everything that every instance reads is under one prefix, so that one range
// brings all that changed.
constexpr auto kTicketHeadKey = "state/head";
constexpr auto kTicketLogPrefix = "tickets/log/";
constexpr auto kJobPrefix = "jobs/";

// The view.
class StoreView {
 public:
  struct Hooks {
    // A read that was sent at `sent` has been applied.
    std::function<void(Millis sent)> on_read_;
    // A read failed.
    std::function<void()> on_failure_;
    std::function<void(const std::vector<MemberRecord>&)> on_members_;
    std::function<void(const Configuration&)> on_configuration_;
    std::function<void(const std::string& team, const HoldingRecord& record,
                       std::int64_t mod_revision)>
        on_holding_;
  };

  StoreView(uv_loop_t* loop, Store* store, Hooks hooks)
      : loop_(loop), store_(store), hooks_(std::move(hooks)) {}

  // Reads unless a read is under way.
  auto Poll() -> void;
  // Reads on the loop's next turn, or after the read that is under way.
  auto PollSoon() -> void;

  auto FindShard(const std::string& shard) const -> const ShardRecord*;
  auto shards() const
      -> const std::map<std::string, ShardRecord, std::less<>>& {
    return shards_;
  }
  // Returns the shards of a service, sorted.
  auto ShardsOf(const std::string& service) const
      -> const std::vector<std::string>&;

  // Takes a record that the store confirmed in answer to an own write, or that
  // a peer passed on.
  auto OnShard(const ShardRecord& record) -> void;

  // Grows whenever a shard's record changed.
  auto shard_changes() const -> std::int64_t { return shard_changes_; }
  auto revision() const -> std::int64_t { return revision_; }

 private:
  auto Apply(const StoreResult& result) -> void;
  auto ApplyEntry(const StoreEntry& entry, std::vector<MemberRecord>& members)
      -> void;

  uv_loop_t* loop_;
  Store* store_;
  Hooks hooks_;
  std::map<std::string, ShardRecord, std::less<>> shards_;
  std::map<std::string, std::vector<std::string>, std::less<>> by_service_;
  std::int64_t revision_ = 0;
  std::int64_t shard_changes_ = 0;
  bool is_reading_ = false;
  bool is_again_ = false;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_STORE_VIEW_H_
