// The scheduler of the whole fleet: runs on the instance that owns it.
//
// One instance at a time holds the rights (see election.h) and has a
// Dispatcher. It reads the accepted jobs and their progress from the store,
// claims all workers with its fencing token, learns from them what is running,
// and from then on places tasks, renews leases, takes in ends and records them.
//
// The truth is in two places: what was accepted and what has ended is in the
// store, what is running is at the workers. All state here is rebuilt from the
// two, so that a dispatcher can be dropped at any moment.
//
//   dispatcher.cc            life, jobs, questions of clients
//   dispatcher_recovery.cc   what a new owner reads from the store
//   dispatcher_workers.cc    which workers there are and may be used
//   dispatcher_sessions.cc   sessions with workers: leases, ends, stops
//   dispatcher_placement.cc  which task goes where
//   dispatcher_advice.cc     tickets of the advice service

#ifndef LENTILSCALE_FLEET_DISPATCHER_H_
#define LENTILSCALE_FLEET_DISPATCHER_H_

#include <absl/status/statusor.h>
#include <uv.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fleet/advice_balancer.h"
#include "fleet/fleet_config.h"
#include "fleet/fleet_metrics.h"
#include "fleet/fleet_worker.h"
#include "fleet/job.h"
#include "fleet/progress_recorder.h"
#include "fleet/record_store.h"
#include "fleet/worker_gateway.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {

// The rights under which a dispatcher works.
struct OwnerClaim {
  // Number of the claim; the fencing token of all orders.
  std::int64_t epoch_ = 0;
  std::int64_t owner_revision_ = 0;
  Millis claimed_ms_ = 0;
};

struct DispatcherOptions {
  // Length of the leases granted to workers: long enough for a take-over,
  // short enough that a lost worker's tasks come back soon.
  Millis lease_ms_ = 5000;
  // Time that a stop takes at most.
  Millis max_stop_ms_ = 1000;
  // How often workers write their entries.
  Millis heartbeat_ms_ = 1500;
  // Time for which ended jobs are kept.
  Millis ended_job_retention_ms_ = 120000;
  // Prefix of the workers' entries in the store.
  std::string worker_prefix_;
};

struct DispatcherHooks {
  // Returns true while the rights hold.
  std::function<bool()> has_rights_;
  // Gives the rights up; the dispatcher is destroyed later.
  std::function<void(const std::string& reason)> step_down_;
  // Returns the configuration in force, or nullptr.
  std::function<std::shared_ptr<const FleetConfig>()> config_;
  std::function<absl::StatusOr<WorkerEntry>(const std::string& key,
                                            const std::string& text)>
      parse_worker_;
};

class Dispatcher {
 public:
  Dispatcher(uv_loop_t* loop, RecordStore* store, WorkerGateway* workers,
             AdviceBalancer* advice, FleetMetrics* metrics,
             const OwnerClaim& claim, const DispatcherOptions& options,
             DispatcherHooks hooks);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  auto operator=(const Dispatcher&) -> Dispatcher& = delete;

  // Takes in a job that the store holds; a repeat is ignored.
  auto AddJob(const JobRecord& record) -> void;
  // Takes in a cancellation that the store holds.
  auto CancelJob(const std::string& id) -> void;

  // Returns the state to show for a job, or nothing if this dispatcher does
  // not know the job (yet).
  auto GetJobState(const std::string& id) const -> std::optional<JobState>;
  // Returns the number of the queue's jobs of which no task has started, or
  // nothing while the jobs are still being read.
  auto CountQueuedJobs(const std::string& queue) const
      -> std::optional<std::int64_t>;

  auto token() const -> std::int64_t { return claim_.epoch_; }
  auto worker_count() const -> std::size_t { return workers_.size(); }
  auto running_count() const -> std::size_t;
  auto waiting_count() const -> std::size_t { return waiting_.size(); }

 private:
  // Order of the waiting steps: priority, acceptance, identity.
  using WaitingKey = std::tuple<int, Millis, std::string, std::int64_t, int>;

  // dispatcher_recovery.cc
  // A worker of the previous owner, as its record names it.
  struct UnclaimedWorker {
    std::string service_;
    // True if the worker was leaving: it got no more tasks than these.
    bool is_draining_ = false;
    std::set<std::string> tasks_;
  };
  // What a new owner reads from the store.
  struct RecoveryReads {
    ReadResult inbox_;
    ReadResult progress_;
    // The record of the previous owner's workers, and the workers' entries.
    ReadResult previous_workers_;
    ReadResult worker_entries_;
    int pending_ = 4;
  };

  auto ReadRecoveryState() -> void;
  auto OnRecoveryReads(const RecoveryReads& reads) -> void;
  auto ScheduleReadRetry() -> void;
  auto RecoverJobs() -> void;
  auto WatchInbox() -> void;
  auto ApplyInboxRecord(const Record& record, bool is_recovered) -> void;

  // dispatcher.cc
  auto InsertJob(const JobRecord& record, bool is_recovered) -> void;
  auto Tick() -> void;
  auto CreateDueOccurrences() -> void;
  auto OnJobEnded(Job& job) -> void;
  auto MarkJobDirty(const std::string& job_id) -> std::uint64_t;
  auto SerializeRecord(const std::string& key) -> std::string;
  auto OnRecordsDurable(const std::vector<std::string>& keys) -> void;
  // Moves the acknowledged ends on; returns true if all are recorded.
  auto AdvanceDurableEnds(FleetWorker& worker) -> bool;
  // Removes ended jobs that nobody asks for any more; returns true if there may
  // be further ones.
  auto PurgeEndedJobs(Millis now_ms) -> bool;
  auto FindJob(const std::string& id) -> Job*;
  // Returns the queue's policy as configured now or, if the queue was removed,
  // as it was last seen; nullptr if it never was.
  auto FindQueuePolicy(const std::string& queue) -> const Queue*;
  // The key stays the same for the step's life, whatever is configured.
  auto WaitingKeyOf(StepRun& step) -> WaitingKey;
  auto EnqueueStep(StepRun& step) -> void;
  auto RequeueTask(StepRun& step, int index) -> void;

  // dispatcher_sessions.cc
  auto ReadWorkers() -> void;
  auto OnWorkersRead(const ReadResult& result) -> void;
  auto TakeEntry(const WorkerEntry& entry, std::int64_t revision, Millis now_ms)
      -> void;
  auto PumpHold(FleetWorker& worker, Millis now_ms) -> void;
  auto OnHold(const std::string& id, const HoldResult& result) -> void;
  auto TakeEnd(FleetWorker& worker, const EndedRun& end, Millis now_ms) -> void;
  auto ApplyEnd(FleetWorker& worker, Job& job, StepRun& step, const TaskId& id,
                const EndedRun& end, Millis now_ms) -> void;
  auto StopOtherRuns(const StepRun& step, const TaskId& id, std::int64_t run)
      -> void;
  auto TakeRunning(FleetWorker& worker, const RunningTask& running,
                   Millis now_ms) -> void;
  auto Reconcile(FleetWorker& worker, const HoldResult& result) -> void;
  auto NoteResult(FleetWorker& worker, const std::string& job, RunEnd end,
                  Millis now_ms) -> void;
  auto RemoveRun(FleetWorker& worker, const std::string& task, std::int64_t run)
      -> void;
  // Handles a run that is known to be gone without an end.
  auto OnRunGone(FleetWorker& worker, const PlacedRun& run) -> void;
  auto OnLapsed(FleetWorker& worker) -> void;
  auto StopRun(PlacedRun& run) -> void;
  auto SendStop(FleetWorker& worker, PlacedRun& run, Millis now_ms) -> void;
  auto StopGang(StepRun& step, std::int64_t run) -> void;
  auto PaceFilling(FleetWorker& worker, const HoldResult& result, Millis now_ms)
      -> void;
  auto CheckWorkers(Millis now_ms) -> void;
  // Returns true if a task of a recovered job cannot be running on a worker
  // that has not answered yet.
  auto IsSettled(const std::string& service, const std::string& task) const
      -> bool;

  // dispatcher_placement.cc
  auto RequestPlacementPass() -> void;
  auto RunPlacementPass() -> void;
  // A waiting step in the order of a pass.
  struct WaitingStep {
    StepRun* step_;
    const Queue* queue_;
    int priority_;
    bool is_yielding_;
  };
  auto OrderWaitingSteps() -> std::vector<WaitingStep>;
  auto SummarizeServices(Millis now_ms) -> void;
  // Returns true if no worker has room for a task of the step, nor any kept for
  // it: what a pass can say of most steps when the fleet is full.
  auto IsInfeasible(const StepRun& step, const Queue& queue) -> bool;
  // Places what can be placed of a step; returns true if all is placed.
  auto PlaceStep(StepRun& step, const Queue& queue, Millis now_ms) -> bool;
  auto PlaceGang(StepRun& step, const Queue& queue, Millis now_ms) -> bool;
  auto IsEligible(const FleetWorker& worker, const StepRun& step,
                  const Queue& queue, Millis now_ms) const -> bool;
  auto HasValidTicket(const FleetWorker& worker, const StepRun& step,
                      const Queue& queue, Millis now_ms) const -> bool;
  auto ScoreWorker(const FleetWorker& worker, const StepRun& step) const
      -> double;
  auto FindBestWorker(const StepRun& step, const Queue& queue,
                      const std::string& avoided_worker, Millis now_ms)
      -> FleetWorker*;
  auto IsWithinTeamLimit(const std::string& team, const Resources& demand) const
      -> bool;
  auto ReserveWorkers(StepRun& step, const Queue& queue, int tasks,
                      Millis now_ms) -> void;
  auto AddPendingAdvice(StepRun& step, const Queue& queue, int task_count)
      -> void;
  auto RequestPendingAdvice(Millis now_ms) -> void;
  auto AddAllServiceWorkers(const StepRun& step, const Queue& queue,
                            std::vector<std::string>& asked) const -> void;
  auto RequestAdvice(StepRun& step, const Queue& queue, int task_count,
                     Millis now_ms) -> void;
  auto OnAdvice(const std::string& job, std::int64_t occurrence, int step,
                const std::vector<std::string>& asked,
                const AdviceResult& result) -> void;
  auto StartTask(StepRun& step, int index, FleetWorker& worker,
                 std::int64_t run, Millis now_ms) -> void;
  auto OnStartResult(const std::string& worker_id, const TaskId& id,
                     std::int64_t run, const OrderResult& result) -> void;
  auto NextRunNumber(const Task& task) const -> std::int64_t;

  uv_loop_t* loop_;
  RecordStore* store_;
  WorkerGateway* gateway_;
  AdviceBalancer* advice_;
  FleetMetrics* metrics_;
  OwnerClaim claim_;
  DispatcherOptions options_;
  DispatcherHooks hooks_;

  // Results of the reads at the start.
  std::vector<Record> recovered_inbox_;
  std::map<std::string, Record> recovered_progress_;
  std::int64_t inbox_revision_ = 0;
  bool is_state_read_ = false;
  bool is_worker_list_read_ = false;
  bool is_reading_workers_ = false;
  Millis next_worker_read_ms_ = 0;

  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<WaitingKey, StepRun*> waiting_;
  // A step that needs tickets in the present pass, and for how many tasks.
  struct PendingAdvice {
    StepRun* step_;
    const Queue* queue_;
    int task_count_;
    // Smaller goes first.
    int rank_;
  };
  std::vector<PendingAdvice> pending_advice_;
  // The workers of one service as the present pass of placement finds them.
  struct ServiceSummary {
    std::vector<FleetWorker*> usable_workers_;
    // The most that a usable worker has free, and the least that a worker has
    // as capacity, of each resource by itself.
    Resources max_free_;
    Resources min_capacity_;
    std::size_t worker_count_ = 0;
    std::size_t reserved_workers_ = 0;
  };
  std::map<std::string, ServiceSummary> services_;
  // Time that the last pass took.
  double last_pass_ms_ = 0;
  // The configuration that known_queues_ was last brought up to.
  std::shared_ptr<const FleetConfig> last_config_;
  std::map<std::string, Queue> known_queues_;
  std::map<std::string, Resources> team_usage_;
  // Cancellations of jobs that are not known yet.
  std::set<std::string> unmatched_cancels_;
  std::map<std::string, FleetWorker> workers_;
  // Workers of the previous owner that have not been claimed yet, by id.
  std::map<std::string, UnclaimedWorker> unclaimed_workers_;
  // Observed share of workers that the advice service allows, by queue.
  std::map<std::string, double> allowed_share_;

  ProgressRecorder recorder_;
  bool is_pass_requested_ = false;
  Millis next_purge_ms_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  std::unique_ptr<RepeatingTimer> tick_timer_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_DISPATCHER_H_
