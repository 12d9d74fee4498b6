// Keeps the jobs whose home shard this instance owns.
//
//   keeper.OnOwned(shard, epoch);           // loads and reconciles its jobs
//   keeper.Submit(spec, done);              // answers when the store has it
//   keeper.Tick(now);                       // offers, stops, records
//
// The keeper decides which attempt of which task goes to which executor, and
// records ends. A new keeper reads the jobs from the store and asks every
// executor what it has of them; until every shard has been heard, nothing that
// might be running is started again.
//
// Attempt numbers are epoch * 2^20 + counter, so no two keepers use the same.

#ifndef LENTILSCALE_JOB_KEEPER_H_
#define LENTILSCALE_JOB_KEEPER_H_

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lentilscale/error.h"
#include "lentilscale/job.h"
#include "lentilscale/members.h"
#include "lentilscale/peer_link.h"
#include "lentilscale/shard_owner.h"
#include "lentilscale/store_view.h"
#include "lentilscale/task_service.h"

namespace lentilscale {

// The keeper of one instance.
class JobKeeper {
 public:
  using Done = std::function<void(int status, const Json::Value& body)>;

  struct Options {
    std::string self_id_;
    std::string region_;
    // Time for which ended jobs are kept for queries.
    Millis retention_ms_ = 3600000;
    // Time for which an all-at-once job holds room while it lacks some.
    Millis hold_ms_ = 2000;
    Millis clock_skew_ms_ = 500;
    std::uint64_t seed_ = 1;
  };

  JobKeeper(uv_loop_t* loop, Store* store, StoreView* view, Members* members,
            ShardOwner* owner, PeerLink* link, Metrics* metrics,
            std::function<Millis()> rights_until, const Options& options);

  auto SetConfiguration(const Configuration& configuration) -> void;
  auto SetWorkers(const std::vector<WorkerInfo>& workers) -> void;
  auto OnOwned(const std::string& shard, std::int64_t epoch) -> void;
  auto OnLost(const std::string& shard) -> void;
  auto SetFrozen(const std::string& shard, bool is_frozen) -> void;

  // Requests about jobs, from any instance: op is submit, show, list or cancel.
  auto Handle(const Json::Value& request, Done done) -> void;

  auto Tick(Millis now) -> void;
  auto size() const -> std::size_t { return jobs_.size(); }

 private:
  struct Home {
    std::int64_t epoch_ = 0;
    std::int64_t attempts_ = 0;
    bool is_loaded_ = false;
    bool is_loading_ = false;
    bool is_frozen_ = false;
  };

  enum class HoldPhase { kNone, kAsking, kHeld };
  struct Gang {
    HoldPhase phase_ = HoldPhase::kNone;
    std::string hold_;
    std::vector<std::string> members_;
    std::size_t next_ = 0;
    std::vector<std::int64_t> held_;
    Millis started_ms_ = 0;
    Millis not_before_ms_ = 0;
    std::int64_t rounds_ = 0;
  };

  struct Entry {
    Job job_;
    std::int64_t mod_revision_ = 0;
    bool is_writing_ = false;
    // Loaded from the store and not reconciled yet.
    bool needs_sweep_ = false;
    // Something may have been lost; a sweep will tell, and meanwhile the job
    // goes on.
    bool wants_sweep_ = false;
    // The job's change counter when the sweep under way began.
    std::int64_t sweep_since_ = 0;
    Gang gang_;
    std::vector<Done> waiting_;
  };

  struct Sweep {
    bool is_running_ = false;
    std::int64_t round_ = 0;
    std::int64_t shard_changes_ = 0;
    std::size_t unanswered_ = 0;
    bool has_failed_ = false;
    std::set<std::string> open_;
    std::map<std::string, std::vector<Job::Report>, std::less<>> reports_;
    Millis next_ms_ = 0;
  };

  auto HasRights() const -> bool;
  auto IsActiveHome(const std::string& shard) const -> bool;
  auto Load(const std::string& shard) -> void;
  auto OnLoaded(const std::string& shard, std::int64_t epoch,
                const StoreResult& result) -> void;
  auto MakeClaim(const std::string& home) const -> HomeOwnerClaim;

  auto Submit(const Json::Value& request, Done done) -> void;
  auto Show(const std::string& id, Done done) -> void;
  auto List(const Json::Value& request, Done done) -> void;
  auto CancelJob(const std::string& id, const std::string& team, Done done)
      -> void;
  auto CheckRunnable(const JobSpec& spec) const -> void;
  auto Describe(const Entry& entry) const -> Json::Value;

  auto Write(const std::string& id) -> void;
  auto OnWritten(const std::string& id, const std::string& written,
                 const StoreResult& result) -> void;
  auto Expire(Millis now_wall) -> void;

  auto OnTaskEvents(const Json::Value& params) -> Json::Value;
  auto OfferPending(Entry& entry, Millis now) -> void;
  auto Offer(Entry& entry, const std::string& member,
             const std::vector<std::int64_t>& indexes, const std::string& hold)
      -> void;
  auto OnOfferAnswered(const std::string& id, const std::string& member,
                       const std::vector<std::int64_t>& indexes,
                       const std::vector<std::int64_t>& attempts,
                       const PeerAnswer& answer) -> void;
  auto StopTasks(Entry& entry) -> void;
  auto NextAttempt(const std::string& home) -> std::int64_t;
  auto ExecutorsFor(const JobSpec& spec) -> std::vector<std::string>;
  auto AllowanceOf(const std::string& member, const JobSpec& spec)
      -> std::int64_t;
  auto CountOutstanding() -> void;
  auto JobsByAge() const -> std::vector<std::string>;

  auto TickGang(Entry& entry, Millis now) -> void;
  auto AskNextHold(const std::string& id) -> void;
  auto OnHoldAnswered(const std::string& id, const std::string& hold,
                      const PeerAnswer& answer) -> void;
  auto StartGang(Entry& entry) -> void;
  auto ReleaseGang(Entry& entry, Millis now) -> void;

  auto TickSweep(Millis now) -> void;
  auto StartSweep(Millis now) -> void;
  auto OnSwept(std::int64_t round, const std::string& member,
               const PeerAnswer& answer) -> void;
  auto FinishSweep() -> void;
  auto TickDeployments() -> void;

  uv_loop_t* loop_;
  Store* store_;
  StoreView* view_;
  Members* members_;
  ShardOwner* owner_;
  PeerLink* link_;
  Metrics* metrics_;
  std::function<Millis()> rights_until_;
  Options options_;
  std::mt19937_64 random_;
  Configuration configuration_;
  std::map<std::string, Resources, std::less<>> largest_;
  std::map<std::string, std::int64_t, std::less<>> slots_;
  std::map<std::string, Home, std::less<>> homes_;
  std::map<std::string, Entry, std::less<>> jobs_;
  // Tasks offered and not started, by executor, service and team.
  std::map<std::string, std::int64_t, std::less<>> outstanding_;
  Sweep sweep_;
  std::int64_t swept_changes_ = 0;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_JOB_KEEPER_H_
