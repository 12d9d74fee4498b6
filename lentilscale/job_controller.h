// JobController schedules the jobs whose home shard this instance owns.
//
//   controller.OnOwned(shard, epoch);         // loads the shard's jobs
//   controller.HandleRequest(request, done);  // submit, show, list, cancel
//   controller.Tick(now);                     // offers, stops, records
//
// It decides which executor gets which task, assigns attempt numbers and
// records how tasks end. After a take-over it loads the jobs from the store and
// asks every executor which of their tasks it has queued or running. Until
// executors have answered for every shard, it starts no task that might already
// be running.
//
// Attempt numbers are epoch * 2^20 + counter, so that no two owners of a home
// shard use the same number.

#ifndef LENTILSCALE_JOB_CONTROLLER_H_
#define LENTILSCALE_JOB_CONTROLLER_H_

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

// The job controller of one instance.
class JobController {
 public:
  using Done = std::function<void(int status, const Json::Value& body)>;

  struct Options {
    std::string self_id_;
    std::string region_;
    // How long ended jobs can be queried.
    Millis retention_ms_ = 3600000;
    // How long an all-at-once job holds capacity that does not suffice to
    // start.
    Millis max_partial_hold_ms_ = 2000;
    Millis clock_skew_ms_ = 500;
    std::uint64_t seed_ = 1;
  };

  JobController(uv_loop_t* loop, Store* store, StoreView* view,
                Members* members, ShardOwner* owner, PeerLink* link,
                Metrics* metrics, std::function<Millis()> rights_until,
                const Options& options);

  auto SetConfiguration(const Configuration& configuration) -> void;
  auto SetWorkers(const std::vector<WorkerInfo>& workers) -> void;
  // This instance now owns `shard` at `epoch`; loads its jobs.
  auto OnOwned(const std::string& shard, std::int64_t epoch) -> void;
  // This instance no longer owns `shard`; removes its jobs from memory.
  auto OnLost(const std::string& shard) -> void;
  // Pauses the jobs of a shard that is about to be handed over, or resumes
  // them. While they are paused, new jobs and task events are refused and no
  // task is offered.
  auto SetFrozen(const std::string& shard, bool is_frozen) -> void;

  // Handles a job request that any instance may have forwarded. Its "op" is
  // submit, show, list or cancel.
  auto HandleRequest(const Json::Value& request, Done done) -> void;

  // Performs the work that is due; called periodically.
  auto Tick(Millis now) -> void;
  auto size() const -> std::size_t { return jobs_.size(); }

 private:
  // A home shard that this instance owns.
  struct HomeState {
    std::int64_t epoch_ = 0;
    // Attempt numbers assigned in this epoch.
    std::int64_t attempt_count_ = 0;
    bool is_loaded_ = false;
    bool is_loading_ = false;
    bool is_frozen_ = false;
  };

  // kPartlyHeld: every executor has answered, and the job still lacks capacity.
  enum class HoldPhase { kNone, kRequesting, kPartlyHeld };
  // The capacity that an all-at-once job holds at executors.
  struct GangState {
    HoldPhase phase_ = HoldPhase::kNone;
    std::string hold_id_;
    std::vector<std::string> executors_;
    std::size_t next_executor_ = 0;
    // Number of tasks for which each executor that has answered holds capacity,
    // in the order of `executors_`.
    std::vector<std::int64_t> held_tasks_;
    Millis hold_started_ms_ = 0;
    Millis not_before_ms_ = 0;
    std::int64_t hold_rounds_ = 0;
  };

  struct Entry {
    Job job_;
    // Revision of the job's record; 0 until the store has it.
    std::int64_t mod_revision_ = 0;
    bool is_writing_ = false;
    // Loaded from the store and not reconciled yet. No task is offered.
    bool is_recovering_ = false;
    // A task may have been lost. The job continues while a reconciliation finds
    // out.
    bool needs_reconciliation_ = false;
    // The job's change_count() when the current reconciliation started.
    std::int64_t reconcile_since_ = 0;
    GangState gang_;
    // Requests that are answered when the record has been written.
    std::vector<Done> pending_replies_;
  };

  // One query of all executors for their tasks.
  struct Reconciliation {
    bool is_running_ = false;
    std::int64_t round_ = 0;
    std::int64_t shard_changes_ = 0;
    std::size_t pending_answers_ = 0;
    bool has_failed_ = false;
    std::set<std::string> open_shards_;
    std::map<std::string, std::vector<Job::Report>, std::less<>> reports_;
    Millis next_start_ms_ = 0;
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

  auto WriteRecord(const std::string& id) -> void;
  auto OnRecordWritten(const std::string& id, const std::string& written,
                       const StoreResult& result) -> void;
  auto ExpireEndedJobs(Millis now_wall) -> void;

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
  auto NextAttemptNumber(const std::string& home) -> std::int64_t;
  auto ExecutorsFor(const JobSpec& spec) -> std::vector<std::string>;
  auto OfferCapacityOf(const std::string& member, const JobSpec& spec)
      -> std::int64_t;
  auto CountOutstandingOffers() -> void;
  auto JobsByAge() const -> std::vector<std::string>;

  auto AdvanceGang(Entry& entry, Millis now) -> void;
  auto RequestNextHold(const std::string& id) -> void;
  auto OnHoldAnswered(const std::string& id, const std::string& hold,
                      const PeerAnswer& answer) -> void;
  auto OfferGang(Entry& entry) -> void;
  auto ReleaseHolds(Entry& entry, Millis now) -> void;

  auto ReconcileIfNeeded(Millis now) -> void;
  auto StartReconciliation(Millis now) -> void;
  auto OnTasksReported(std::int64_t round, const std::string& member,
                       const PeerAnswer& answer) -> void;
  auto FinishReconciliation() -> void;
  auto UpdateDeployments() -> void;

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
  // Largest amount of each resource on any worker, and slots of all workers,
  // by service.
  std::map<std::string, Resources, std::less<>> max_worker_capacity_;
  std::map<std::string, std::int64_t, std::less<>> total_slots_;
  std::map<std::string, HomeState, std::less<>> homes_;
  std::map<std::string, Entry, std::less<>> jobs_;
  // Tasks offered and not yet started, by OutstandingOffersKey().
  std::map<std::string, std::int64_t, std::less<>> outstanding_offers_;
  Reconciliation reconciliation_;
  std::int64_t seen_shard_changes_ = 0;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_JOB_CONTROLLER_H_
