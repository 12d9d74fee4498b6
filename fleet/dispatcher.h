// Schedules the tasks of the whole fleet; runs on the instance that owns it.
//
// One instance at a time owns the fleet (see election.h) and has a Dispatcher.
// The dispatcher reads the accepted jobs and their progress from the store,
// claims all workers with its fencing token and learns from them which runs are
// active. From then on it places tasks, renews leases and records how runs end.
//
// The store holds what was accepted and what has ended; the workers know what
// is running. All state here is rebuilt from these two sources, so a dispatcher
// can be destroyed at any moment.
//
//   dispatcher.cc            lifecycle, jobs, queries
//   dispatcher_records.cc    records of progress and of workers in the store
//   dispatcher_recovery.cc   state that a new owner reads from the store
//   dispatcher_unreached.cc  leases of workers that no owner reaches
//   dispatcher_unmatched.cc  reports on jobs that are not known yet
//   dispatcher_workers.cc    worker membership and health
//   dispatcher_holds.cc      worker sessions: Hold calls and leases
//   dispatcher_sessions.cc   worker sessions: ended and lost runs, stops
//   dispatcher_crashes.cc    crashes of workers and the tasks that they accuse
//   dispatcher_suspects.cc   starts of tasks that are suspected of crashes
//   dispatcher_queues.cc     services whose workers may run a queue's tasks
//   dispatcher_pass.cc       placement passes: whose turn it is
//   dispatcher_backlog.cc    how long new jobs would wait for their starts
//   dispatcher_placement.cc  placement of tasks on workers
//   dispatcher_exclusive.cc  workers that only large tasks may use
//   dispatcher_kept_room.cc  room that is kept for tasks that last and wait
//   dispatcher_starts.cc     start orders and their answers
//   dispatcher_advice.cc     calls to the advice service and their tickets
//   dispatcher_stalls.cc     reports of steps that wait for long

#ifndef LENTILSCALE_FLEET_DISPATCHER_H_
#define LENTILSCALE_FLEET_DISPATCHER_H_

#include <absl/status/statusor.h>
#include <json/json.h>
#include <uv.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "fleet/admitted_share.h"
#include "fleet/advice_balancer.h"
#include "fleet/advice_plan.h"
#include "fleet/answer_time.h"
#include "fleet/class_backlog.h"
#include "fleet/common_crash.h"
#include "fleet/crash_detector.h"
#include "fleet/fleet_config.h"
#include "fleet/fleet_metrics.h"
#include "fleet/fleet_worker.h"
#include "fleet/job.h"
#include "fleet/load_order.h"
#include "fleet/owner_rights.h"
#include "fleet/pass_budget.h"
#include "fleet/progress_recorder.h"
#include "fleet/queue_lengths.h"
#include "fleet/record_store.h"
#include "fleet/start_shares.h"
#include "fleet/start_window.h"
#include "fleet/unreached_lease.h"
#include "fleet/wait_reason.h"
#include "fleet/worker_gateway.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {

// The claim to the fleet under which a dispatcher works.
struct OwnerClaim {
  // Number of the claim; the fencing tokens of orders to workers rise with it.
  std::int64_t epoch_ = 0;
  std::int64_t owner_revision_ = 0;
  Millis claimed_ms_ = 0;
  // Until when earlier owners may go on, as far as known at the claim.
  RightsBound rights_bound_ = {};
  // The claimant and its address.
  std::string instance_ = {};
  std::string address_ = {};
  // A time before the claim was sent to the store (BootMs); 0 if none is known.
  Millis sent_ms_ = 0;
  // When this instance first saw the latest earlier owners (BootMs), by epoch.
  std::map<std::int64_t, Millis> seen_owners_ms_ = {};
};

struct DispatcherOptions {
  // Duration of the leases granted to workers: long enough for a take-over,
  // short enough that the tasks of a lost worker are soon placed again.
  Millis lease_ms_ = 5000;
  // Longest lease on a worker's own clock: the worker shortens any that would
  // last longer.
  Millis max_lease_ms_ = 10000;
  // Longest time that a worker takes to stop a run.
  Millis max_stop_ms_ = 1000;
  // Interval at which workers rewrite their entries in the store.
  Millis heartbeat_ms_ = 1500;
  // Time for which ended jobs are kept in the store.
  Millis status_retention_ms_ = 120000;
  // Key prefix of the workers' entries in the store.
  std::string worker_prefix_;
};

struct DispatcherHooks {
  // Returns true while this instance may act as the owner.
  std::function<bool()> has_rights_;
  // Gives up the ownership; the dispatcher is destroyed later.
  std::function<void(const std::string& reason)> step_down_;
  // Returns the current configuration, or nullptr if there is none.
  std::function<std::shared_ptr<const FleetConfig>()> config_;
  std::function<absl::StatusOr<WorkerEntry>(const std::string& key,
                                            const std::string& text)>
      parse_worker_;
  // Called when the workers record names the latest owner that was the only one
  // with rights; returns when its rights end if the store confirms them no
  // more. May be empty if there was no earlier owner.
  std::function<Millis(const OwnerIdentity& owner)> bound_unconfirmed_rights_ =
      {};
  // Called when the store names this owner as the only one with rights. May be
  // empty.
  std::function<void()> on_sole_rights_recorded_ = {};
};

class Dispatcher {
 public:
  Dispatcher(uv_loop_t* loop, RecordStore* store, WorkerGateway* gateway,
             AdviceBalancer* advice, FleetMetrics* metrics,
             const OwnerClaim& claim, const DispatcherOptions& options,
             DispatcherHooks hooks);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  auto operator=(const Dispatcher&) -> Dispatcher& = delete;

  // Adds a job that the store holds; a job that is known already is ignored.
  // `revision` is that of the job's record in the store, 0 if it is not known.
  auto AddJob(const JobRecord& record, std::int64_t revision) -> void;
  // Applies a cancellation that the store holds.
  auto CancelJob(const std::string& id) -> void;

  // Returns the job's state for clients, or nothing if the job is not known
  // (yet). A completed or failed job is shown as running until the store holds
  // its end.
  auto GetJobState(const std::string& id) const -> std::optional<JobState>;
  // Returns the number of the queue's jobs that have started no task, or
  // nothing while the jobs are still being read.
  auto CountQueuedJobs(const std::string& queue) const
      -> std::optional<std::int64_t>;
  // Returns, by queue, how long a new job is expected to wait for the starts of
  // what can be in time, because the owner sends no more for now. Queues
  // without such a wait are left out.
  auto ExpectedWaits() const -> std::map<std::string, Millis>;
  // Returns, by queue, the share of new jobs that can be started in time, if
  // that is less than all.
  auto AdmittedShares() const -> std::map<std::string, double>;

  // Returns, for each worker on which runs may be active, when the leases there
  // will have expired (BootMs) if this dispatcher grants no more. The caller
  // must have given up the rights.
  auto LeaseExpiries() const -> std::map<std::string, Millis>;
  // Adjusts the wait for workers that do not answer. `expiries` are what
  // LeaseExpiries returned to the owner just before this one, as BootMs of this
  // instance.
  auto ApplyLeaseExpiries(const std::map<std::string, Millis>& expiries)
      -> void;

  // Tells the dispatcher that the owner of `epoch` has no rights any more.
  auto OnResigned(std::int64_t epoch) -> void;
  // Tells the dispatcher that the rights of the owner of `epoch` end no later
  // than `end_ms` if the store confirms them no more.
  auto LimitUnconfirmedRights(std::int64_t epoch, Millis end_ms) -> void;
  // Returns the owner of which bound_unconfirmed_rights_ was called; its epoch
  // is 0 if there is none.
  auto last_sole_owner() const -> const OwnerIdentity& {
    return last_sole_owner_;
  }
  // Returns when the rights of all earlier owners will have ended (BootMs).
  auto PreviousRightsEndMs() const -> Millis { return rights_bound_.EndMs(); }

  auto token() const -> std::int64_t { return claim_.epoch_; }
  auto claimed_ms() const -> Millis { return claim_.claimed_ms_; }
  auto worker_count() const -> std::size_t { return workers_.size(); }
  auto running_count() const -> std::size_t;
  auto waiting_count() const -> std::size_t { return waiting_.size(); }

 private:
  // Sort key of a waiting step: priority, time of acceptance, job, occurrence,
  // step number.
  using WaitingKey = std::tuple<int, Millis, std::string, std::int64_t, int>;
  // A waiting step with the fields that decide its turn in a placement pass.
  struct WaitingStep {
    StepRun* step_;
    const Queue* queue_;
    StartClass* class_;
    // True if it goes before steps of all priorities: it lasts, and starts are
    // held back.
    bool is_urgent_;
    // True once the pass has visited it and did not hold it back.
    bool is_visited_ = false;
  };

  // dispatcher_recovery.cc
  // A worker in the previous owner's record that has not been claimed yet, or
  // has not listed all its ends.
  struct UnclaimedWorker {
    // Empty if it is not known: any task can be running there.
    std::string service_;
    // True if the worker was draining: only `tasks_` can be running there.
    bool is_draining_ = false;
    std::set<std::string> tasks_;
    // When all runs that the previous owner started there must have ended, and
    // whether that owner has said so itself.
    Millis lease_expiry_ms_ = 0;
    bool is_expiry_reported_ = false;
    // The life whose longest lease that time allows for; 0 if there is none.
    std::int64_t young_life_ = 0;
    // What the workers record says, or is about to say, about the worker's
    // leases for later owners.
    std::optional<UnreachedLease> unreached_ = {};
    // True once the worker has answered this owner, which may then grant it
    // leases.
    bool has_answered_ = false;
  };
  // The id of an UnclaimedWorker that stands for all workers that an unreadable
  // record may have named. No worker has it, so that entry ends only once the
  // leases have expired.
  static constexpr const char* kUnknownWorkers = "";
  // Results of the reads that a new owner sends to the store.
  struct RecoveryReads {
    ReadResult inbox_;
    ReadResult progress_;
    // The previous owner's record of its workers, and the workers' own entries.
    ReadResult previous_workers_;
    ReadResult worker_entries_;
    // Reads that have not completed yet.
    int pending_ = 4;
  };

  // The places that a step may claim: those with room for which it has tickets
  // or asks for them, or any.
  enum class Claim { kAsked, kAny };

  // What shows that a run is gone whose end was not reported.
  enum class RunLoss {
    // The worker's complete list lacks it.
    kUnlisted,
    // The worker's lease has expired.
    kLapsed,
    // The worker has drained and shut down.
    kDeparted,
    // The worker refused to start it.
    kRefused,
  };

  // A job that workers reported on and that is not known, or has an upcoming
  // occurrence that they reported on.
  struct UnmatchedJob {
    bool is_reading_ = false;
    // True if a worker has reported on the job since the read was sent.
    bool is_reported_again_ = false;
    Millis next_read_ms_ = 0;
  };

  // Returns the longest time for which a granted lease is valid.
  auto LeaseDurationMs() const -> Millis;
  // Returns when the leases of an unclaimed worker have expired if the previous
  // owner has said nothing about it.
  auto DefaultLeaseExpiryMs() const -> Millis;
  // Applies the last sole owner as the workers record names it; null if it
  // names none.
  auto RecoverSoleOwner(const Json::Value& owner) -> void;
  // Replaces rights_bound_ by a lower one.
  auto LowerRightsBound(const RightsBound& bound) -> void;
  // Once all earlier owners have lost their rights, tells later ones so in the
  // workers record, and reads the store's revision: jobs with a higher one are
  // unknown to those owners.
  auto OnPreviousRightsEnded(Millis now_ms) -> void;
  auto ReadRightsEndRevision() -> void;
  auto ReadRecoveryState() -> void;
  auto OnRecoveryReads(const std::shared_ptr<RecoveryReads>& result) -> void;
  // Adds the workers of the previous owner's record to unclaimed_workers_. What
  // cannot be read restricts nothing: a worker whose entry is unreadable may be
  // running any task, and if the record is, any worker may.
  auto AddUnclaimedWorkers(const std::string& record) -> void;
  auto ScheduleReadRetry() -> void;
  // Recovers a batch of the jobs that were read, from the record `first` of the
  // inbox on, and the others in later turns of the loop. After the last one the
  // workers are claimed.
  auto RecoverJobs(const std::shared_ptr<RecoveryReads>& reads,
                   std::size_t first) -> void;
  auto OnJobsRecovered() -> void;
  auto WatchInbox() -> void;
  auto ApplyInboxRecord(const Record& record, bool is_recovered) -> void;

  // dispatcher_unreached.cc
  // Applies what earlier owners said in the worker's entry about its leases.
  auto RecoverUnreachedLease(const std::string& id, const Json::Value& entry,
                             UnclaimedWorker& worker) -> void;
  // Says in the workers record when the leases of the workers end that this
  // owner has not reached.
  auto RecordUnreachedWorkers(Millis now_ms) -> void;
  // Says so anew once this owner knows that time better.
  auto UpdateUnreachedLease(UnclaimedWorker& worker) -> void;
  // Returns true if the life began so shortly before the claim that an earlier
  // owner may have granted it a lease by the former life's clock, which lasts
  // for as long as the platform allows.
  auto MayHoldLongestLease(std::int64_t incarnation) const -> bool;
  // Extends the bound of a worker whose entry names such a life. The bound
  // stays when the entry has gone.
  auto AllowForYoungLife(const WorkerEntry& entry) -> void;
  // Returns how much longer than the default bound such a life may hold a
  // lease.
  auto YoungLeaseExtensionMs() const -> Millis;
  // Notes that an unclaimed worker has answered this owner.
  auto OnUnclaimedWorkerAnswered(FleetWorker& worker,
                                 UnclaimedWorker& unclaimed) -> void;
  // Grants the worker no lease until the workers record is durable without what
  // it says about the worker's leases.
  auto WithholdLease(FleetWorker& worker) -> void;

  // dispatcher_unmatched.cc
  // Returns true if this owner does not know the task but may learn of it: its
  // job may be in the store, or its occurrence is not due yet by the local
  // clock.
  auto IsUnmatched(const TaskId& id) -> bool;
  auto AddUnmatchedJob(const std::string& id) -> void;
  // Reads unmatched jobs from the store.
  auto CheckUnmatchedJobs(Millis now_ms) -> void;
  auto ReadUnmatchedJob(const std::string& id, UnmatchedJob& job) -> void;
  // Handles the runs and ends that were reported before their task was known.
  // If `is_absent` is true, the store does not have the job, and they are
  // stopped and acknowledged.
  auto MatchReports(const std::string& job_id, bool is_absent) -> void;

  // dispatcher.cc
  auto InsertJob(const JobRecord& record, std::int64_t revision,
                 bool is_recovered) -> void;
  // Returns true if an earlier owner may have started, or may start, tasks of a
  // job whose record has `revision` on a worker that has not answered since.
  auto MayBeRunning(std::int64_t revision) const -> bool;
  auto Tick() -> void;
  auto CreateDueOccurrences() -> void;
  // Has the job's next occurrence created once it is due, if there is one.
  auto AddDueTime(const Job& job) -> void;
  auto OnJobEnded(Job& job) -> void;
  auto MarkJobDirty(const std::string& job_id) -> std::uint64_t;
  auto FindJob(const std::string& id) -> Job*;
  // Returns the queue as configured now or, if it was removed, as last
  // configured; nullptr if this dispatcher has never seen it.
  auto FindQueuePolicy(const std::string& queue) -> const Queue*;
  // Updates known_queues_ if the configuration has changed.
  auto UpdateKnownQueues() -> void;
  // Updates the step's turn if known_queues_ has changed since it was made.
  auto UpdateTurn(StepRun& step) -> void;
  // Returns the step's sort key, which stays the same even if the priority of
  // its queue is changed.
  auto WaitingKeyOf(StepRun& step) -> WaitingKey;
  auto EnqueueStep(StepRun& step) -> void;
  auto RequeueTask(StepRun& step, int index) -> void;

  // dispatcher_records.cc
  auto SerializeRecord(const std::string& key) -> std::string;
  auto OnRecordsDurable(const std::vector<std::string>& keys) -> void;
  // Notes that the store holds the job's end.
  auto OnEndRecorded(Job& job, Millis now_ms) -> void;
  // Moves the worker's acknowledged position past the ends that the store
  // holds. Returns true if no end is left to be recorded.
  auto AdvanceDurableEnds(FleetWorker& worker) -> bool;
  // Deletes one batch of ended jobs whose retention time has passed. Returns
  // true if the batch was full, so that more jobs may be left.
  auto PurgeEndedJobs(Millis now_ms) -> bool;

  // dispatcher_workers.cc, dispatcher_holds.cc and dispatcher_sessions.cc
  auto ReadWorkers() -> void;
  auto OnWorkersRead(const ReadResult& result) -> void;
  // Returns the entry in the record. One that has not changed since the last
  // read is not parsed again.
  auto ParseWorkerRecord(const Record& record) const
      -> absl::StatusOr<WorkerEntry>;
  // Adds the worker, or updates it from its entry in the store.
  auto HandleWorkerEntry(const WorkerEntry& entry, std::int64_t revision,
                         Millis now_ms) -> void;
  auto IsHoldDue(const FleetWorker& worker, Millis now_ms) const -> bool;
  // Sends the next Hold call if it is due and none is pending; once the current
  // batch is full, with a later one.
  auto RequestHold(FleetWorker& worker, Millis now_ms) -> void;
  // Ends the batch and sends the next one.
  auto SendQueuedHolds() -> void;
  // Sends the next Hold call at once if it is due and none is pending.
  auto SendHoldIfDue(FleetWorker& worker, Millis now_ms) -> void;
  // Ends the pause between the Hold calls that grant no lease.
  auto RenewAllLeases(Millis now_ms) -> void;
  // Stores a reading of the worker's clock from the answer to a call that was
  // sent at `sent_ms`, and logs a restart that it proves.
  auto UpdateWorkerClock(FleetWorker& worker, Millis worker_clock_ms,
                         Millis sent_ms) -> void;
  // Adds the time that the answer to an order took that was sent at `sent_ms`.
  auto AddAnswerTime(FleetWorker& worker, Millis sent_ms, Millis now_ms)
      -> void;
  // Returns the time after which a call to the worker is given up.
  auto AnswerTimeoutMsOf(const FleetWorker& worker) const -> Millis;
  // Returns that time for a start order, which must not be sent once the
  // worker's entry is too old.
  auto StartTimeoutMs(const FleetWorker& worker, Millis now_ms) const -> Millis;
  // A Hold call that was sent.
  struct SentHold {
    // Its number in the worker's HoldCalls.
    int call_ = 0;
    std::int64_t token_ = 0;
    Millis wait_ms_ = 0;
    Millis answer_timeout_ms_ = 0;
    Millis sent_ms_ = 0;
    // As for OnStartResult, if the call granted a lease.
    std::optional<int> clock_life_;
  };
  auto OnHoldAnswer(const std::string& id, const SentHold& hold,
                    const HoldResult& result) -> void;
  // Handles an unanswered or refused call, other than by a higher token.
  auto OnHoldFailure(FleetWorker& worker, const SentHold& hold,
                     WorkerStatus status, Millis now_ms) -> void;
  // Handles the result of a call after which a later one was sent without
  // waiting for it.
  auto OnSupersededHoldAnswer(FleetWorker& worker, const SentHold& hold,
                              const HoldResult& result, Millis now_ms) -> void;
  // Handles an answer to a Hold call that had been given up: its ends, and that
  // the worker answers.
  auto OnLateHoldAnswer(FleetWorker& worker, const SentHold& hold,
                        const HoldResult& result, Millis now_ms) -> void;
  // Handles an end in a Hold answer; one that was received before is ignored.
  auto HandleRunEnd(FleetWorker& worker, const EndedRun& end, Millis now_ms)
      -> void;
  // Applies the end and names the record that must hold it, if its job is known
  // and has not ended.
  auto RecordRunEnd(FleetWorker& worker, const EndedRun& end,
                    UnrecordedEnd& unrecorded, Millis now_ms) -> void;
  // Updates the task and its job after the end of a run.
  auto ApplyRunEnd(FleetWorker& worker, Job& job, StepRun& step,
                   const TaskId& id, const EndedRun& end, Millis now_ms)
      -> void;
  // Returns the workers that may have runs of the step. Each end of a run that
  // an earlier owner started looks for others: a walk of all workers for each
  // makes the time of a take-over grow with the square of the fleet.
  auto WorkersWithRunsOf(const StepRun& step) -> std::vector<FleetWorker*>;
  // Marks all other runs of the task, or of its gang, as stopping.
  auto MarkOtherRunsStopping(const StepRun& step, const TaskId& id,
                             std::int64_t run) -> void;
  // Handles a run in a Hold answer. A run that is not known yet is adopted for
  // its waiting task, or stopped; if its task is unmatched, that waits.
  auto HandleRunningTask(FleetWorker& worker, const RunningTask& running,
                         Millis now_ms) -> void;
  // Removes the runs that are missing from the worker's complete lists.
  auto RemoveUnlistedRuns(FleetWorker& worker, const HoldResult& result)
      -> void;
  // Updates the worker's quarantine after the end of a run.
  auto UpdateQuarantine(FleetWorker& worker, const std::string& job, RunEnd end,
                        Millis now_ms) -> void;
  auto RemoveRun(FleetWorker& worker, const std::string& task, std::int64_t run)
      -> void;
  // Handles a run that is known not to be running and whose end was not
  // reported.
  auto OnRunLost(FleetWorker& worker, const PlacedRun& run,
                 RunLoss loss = RunLoss::kRefused) -> void;
  // Returns for how long after its last sign of life the last answer of a
  // worker that has shut down may be on its way.
  static auto LastAnswerGraceMs(const FleetWorker& worker) -> Millis;
  // Returns true if the worker has shut down, and no answer of it that may list
  // ends is on its way.
  static auto HasLeft(const FleetWorker& worker, Millis now_ms) -> bool;
  // Calls OnRunLost for all runs of a worker that has shut down.
  auto OnAllRunsLost(FleetWorker& worker) -> void;
  // Returns until when the end of the run is waited for: that of the lease, or
  // one lease more if the store lists the worker.
  auto LatestEvidenceMs(const FleetWorker& worker, const PlacedRun& run,
                        Millis now_ms) -> Millis;
  // Returns true if no end of the run can count as `done`: it lasts, or it
  // belongs to a gang that is broken.
  auto CannotBeDone(const PlacedRun& run) -> bool;
  // Calls OnRunLost for the runs of a worker that does not answer, if their
  // lease must have expired and no end of them is waited for.
  auto RemoveLapsedRuns(FleetWorker& worker, Millis now_ms) -> void;
  auto OnRunsLost(FleetWorker& worker, const std::vector<PlacedRun>& lost,
                  RunLoss loss) -> void;
  static auto RunLossName(RunLoss loss) -> std::string;
  // Logs an end of a run that had been taken for gone.
  auto LogSupersededEnd(const FleetWorker& worker, const EndedRun& end,
                        std::int64_t current_run, Millis now_ms) const -> void;
  // Marks the run as stopping, so that CheckWorkers sends stop orders for it.
  auto MarkStopping(PlacedRun& run) -> void;
  auto SendStop(FleetWorker& worker, PlacedRun& run, Millis now_ms) -> void;
  auto SendDueStops(FleetWorker& worker, Millis now_ms) -> void;
  auto MarkGangStopping(StepRun& step, std::int64_t run) -> void;
  // Adjusts the processor shares of filling tasks to the tail latency of the
  // serving tasks on the same worker.
  auto ThrottleFillingTasks(FleetWorker& worker, const HoldResult& result,
                            Millis now_ms) -> void;
  // Removes lost runs and departed workers, and sends due stop orders and Hold
  // calls.
  auto CheckWorkers(Millis now_ms) -> void;
  // Returns when the rights of earlier owners will have ended and the leases of
  // all unclaimed workers will have expired; 0 if there is nothing to wait for.
  auto TakeOverEndMs() const -> Millis;
  // Returns true if no earlier owner can start the task of the queue any more,
  // and it cannot be running on a worker that has not answered since this
  // instance took over.
  auto IsKnownNotRunning(const std::string& queue,
                         const std::string& task) const -> bool;
  // Has the workers record written anew without the worker, on which nothing
  // can be running.
  auto DropFromWorkersRecord(const std::string& id) -> void;
  // Ends the wait for unclaimed workers whose leases have expired.
  auto ForgetExpiredUnclaimedWorkers(Millis now_ms) -> void;

  // dispatcher_lives.cc
  // Returns a token that no order has had.
  auto NextToken() -> std::int64_t;
  // Gives the worker a new token, unless it has one that no life of it has
  // answered to.
  auto ChangeToken(FleetWorker& worker) -> void;
  // Returns true if the call was answered by another life than that to which
  // orders with its token may have been sent.
  static auto IsOfUnknownLife(const FleetWorker& worker, const SentHold& hold,
                              const HoldResult& result) -> bool;
  // Notes that a new life has answered. Its lists are not used: it may still
  // carry out orders to the former one. It is called again with a new token.
  auto OnWorkerReborn(FleetWorker& worker, const HoldResult& result,
                      Millis now_ms) -> void;
  // Calls OnRunLost for the runs that are known to be over since a new life has
  // answered, if the worker is silent since.
  auto RemoveOverRuns(FleetWorker& worker) -> void;
  // Calls a new life that the worker's entry shows, with a new token.
  auto OnNewLifeListed(FleetWorker& worker, Millis now_ms) -> void;
  // Handles the rejection of an order with `token`: by the token of another
  // owner, unless this one has given the worker a higher one since.
  auto OnFenced(const FleetWorker& worker, std::int64_t token) -> void;
  // Assigns the worker's state to the life that has answered a Hold call with
  // the worker's new token, or at all for the first time.
  auto BeginWorkerLife(FleetWorker& worker, const HoldResult& result,
                       Millis now_ms) -> void;

  // dispatcher_crashes.cc
  // Remembers the runs for the case that the worker turns out to have crashed.
  auto AddCrashSuspects(const FleetWorker& worker,
                        const std::vector<PlacedRun>& lost) -> void;
  // Does so for the runs that an earlier owner has ordered for suspects, and
  // takes up the crashes that it had not decided.
  auto AddRecoveredSuspects(Job& job) -> void;
  auto AddUndecidedCrash(Job& job, const TaskId& task, std::int64_t run,
                         const UndecidedCrash& crash) -> void;
  // Returns the workers whose entries name the address. All workers enter a new
  // life at a take-over, so that this is asked for each of them.
  auto WorkersAt(const std::string& address) -> std::vector<FleetWorker*>;
  // Returns the crashes that the worker's answer proves.
  auto DetectCrashes(FleetWorker& worker, std::int64_t former_incarnation,
                     const HoldResult& result) -> std::vector<Crash>;
  // A run that is not held to have crashed its worker.
  struct ExcusedSuspect {
    TaskId task_;
    std::int64_t run_ = 0;
    Millis excused_ms_ = 0;
  };
  // A crash that is counted, but is not held against a task for good yet.
  struct OpenCrash {
    // With the runs that are suspected still.
    Crash crash_;
    // The life that answered after it.
    std::string worker_;
    std::string service_;
    WorkerBirth birth_;
    Millis decided_ms_ = 0;
  };
  // Returns true if the task was suspected of a crash under another run.
  auto IsKnownSuspect(const LostRun& run) -> bool;
  // Counts the crash, which the worker's answer has proved, for each task that
  // may have caused it.
  auto CountCrash(const Crash& crash, FleetWorker& worker) -> void;
  // Returns the service's workers by address. Of several entries with one
  // address only the latest is of a worker that is there still.
  auto LatestWorkers(const std::string& service) const
      -> std::map<std::string, const FleetWorker*>;
  // Takes the crash back for those tasks whose jobs have nothing to do with it.
  auto ExcuseCommonCrash(OpenCrash& open) -> void;
  // Gives up the tasks that have reached their limit with this crash.
  auto GiveUpCrashingTasks(const Crash& crash) -> void;
  auto DecideOpenCrashes(Millis now_ms) -> void;
  // Notes on the worker that came after the crash which jobs it accuses: the
  // worker may not have been known when the crash was taken up.
  auto MarkCrashedJobs(const OpenCrash& open) -> void;
  // Forgets the excused suspects that have ended, have run for some time since,
  // or were last suspected long ago.
  auto ForgetExcusedSuspects(Millis now_ms) -> void;
  // Returns the name of the task or, if it is a gang's, of its step.
  auto SuspectName(const TaskId& id) -> std::string;

  // dispatcher_suspects.cc
  // A start of a suspect task or gang that is being recorded, and the workers
  // that are kept for it.
  struct SuspectStart {
    // The task, or the first member of the gang.
    TaskId task_;
    std::int64_t run_ = 0;
    std::vector<WorkerLife> workers_;
    // First version of the progress record that has it.
    std::uint64_t record_version_ = 0;
    Millis assigned_ms_ = 0;
  };
  auto IsSuspect(const StepRun& step, int index) const -> bool;
  // Returns true if the suspect must not be placed like other tasks (yet).
  auto NeedsIsolation(const StepRun& step, int index, Millis now_ms) const
      -> bool;
  // Marks the worker's runs of suspects that an earlier owner has started.
  auto MarkAdoptedSuspects(FleetWorker& worker) -> void;
  // Ends the suspicion of runs that have lasted long enough.
  auto CheckSuspects(Millis now_ms) -> void;
  auto ReleaseSuspectStart(const std::string& name) -> void;
  // Releases the starts of tasks that have ended or run again, and those that
  // something has kept back for long.
  auto ReleaseUnneededSuspectStarts(Millis now_ms) -> void;
  auto IsSuspectStartPossible(const SuspectStart& start, const StepRun& step,
                              const Queue& queue, Millis now_ms) const -> bool;
  // Returns the best worker on which no other suspect runs; one in `chosen` has
  // another member of the same gang.
  auto FindSuspectWorker(const StepRun& step, const Queue& queue,
                         const Task& task, const std::set<std::string>& chosen,
                         Millis now_ms) -> FleetWorker*;
  // Chooses workers for `count` tasks from `first` on and records the start.
  auto AssignSuspect(const WaitingStep& waiting, int first, int count,
                     Millis now_ms) -> void;
  // Places a suspect task, or a whole gang. Returns true if it was started.
  auto PlaceSuspect(const WaitingStep& waiting, int first, int count,
                    Millis now_ms) -> bool;

  // dispatcher_queues.cc
  // Reads the pairs of queue and service from the previous owner's record.
  auto ReadQueueServices(const ReadResult& workers_record) -> void;
  // Adds the pair to the workers record, unless it is there.
  auto AddQueueService(const std::string& queue, const std::string& service)
      -> void;
  // Returns true if tasks of the queue may be started on workers of its service
  // as far as the workers record goes.
  auto IsQueueServiceRecorded(const Queue& queue) const -> bool;
  // Returns true if an earlier owner may have started tasks of the queue on a
  // worker of the service. An empty service stands for an unknown one.
  auto MayHaveBeenStartedOn(const std::string& queue,
                            const std::string& service) const -> bool;
  // Begins to record the pairs once all that earlier owners started is known.
  auto CheckQueueServicesKnown() -> void;

  // dispatcher_pass.cc
  auto RequestPlacementPass() -> void;
  auto RunPlacementPass() -> void;
  // Returns the class of the step as of the last pass.
  auto ClassOf(StepRun& step, const Queue& queue) -> StartClass&;
  // Returns the steps in the order in which a pass visits them.
  auto OrderWaitingSteps(Millis now_ms) -> std::vector<WaitingStep>;
  // Visits the steps that have not been visited, of each class up to the first
  // one that is held back, and no more than its looks allow.
  auto VisitSteps(std::vector<WaitingStep>& steps, Millis now_ms) -> void;
  // Starts what it can of the step, or requests advice for it.
  auto VisitStep(WaitingStep& waiting, Millis now_ms) -> void;
  auto MayStart(const WaitingStep& waiting) const -> bool;
  // Returns true if a gang of `count` tasks may start. If its class has credit
  // it may exceed the start window, which might never be empty enough otherwise
  // while other classes fill it.
  auto MayStartGang(const WaitingStep& waiting, int count) const -> bool;
  // Closes the step's class for this pass.
  auto HoldBack(WaitingStep& waiting, Millis now_ms) -> void;
  // Fills services_ for this pass.
  auto SummarizeServices(Millis now_ms) -> void;
  // Fills worker_groups_.
  auto GroupWorkers() -> void;

  // dispatcher_backlog.cc
  // Returns the backlog of the queue's steps that can be in time, or are late.
  auto BacklogOf(const Queue& queue, Lateness lateness) -> ClassBacklog&;
  // Counts a new job that was let in by its queue's share.
  auto CountAdmitted(const Job& job) -> void;
  // Updates the share of new jobs of the queue's class that is let in.
  auto UpdateAdmittedShare(const Queue& queue, Millis now_ms) -> void;
  // Returns true if the last count still says something.
  auto IsBacklogKnown() const -> bool;
  // Returns how many tasks of each class wait for their starts alone.
  // There must be a configuration.
  auto CountTasksAhead(const std::vector<WaitingStep>& steps)
      -> std::map<const StartClass*, std::int64_t>;
  // Logs which share of the queue's new jobs is let in, and why.
  auto ReportAdmission(const Queue& queue) -> void;
  // Updates the shares and waits of new jobs at the end of a placement pass,
  // now and then.
  auto MeasureBacklog(const std::vector<WaitingStep>& steps, Millis now_ms)
      -> void;

  // dispatcher_placement.cc
  // Returns true if a run of the task is being stopped, or an earlier owner's
  // may be in progress.
  auto MayRunAlready(const StepRun& step, int index, const Queue& queue) const
      -> bool;
  // Starts as many waiting tasks of the step as it can; returns true if none is
  // left.
  auto PlaceStep(WaitingStep& waiting, Millis now_ms) -> bool;
  // Starts all tasks of a gang or none; returns true if they were started.
  auto PlaceGang(WaitingStep& waiting, Millis now_ms) -> bool;
  // Returns true if the worker may run the step, whether it has room or not.
  auto MayRunOn(const FleetWorker& worker, const StepRun& step,
                const Queue& queue, Millis now_ms) const -> bool;
  // Returns the capacity of the worker that is free for the step.
  auto FreeCapacity(const FleetWorker& worker, const StepRun& step,
                    const Queue& queue) const -> Resources;
  auto IsEligible(const FleetWorker& worker, const StepRun& step,
                  const Queue& queue, Millis now_ms) const -> bool;
  auto HasValidTicket(const FleetWorker& worker, const StepRun& step,
                      const Queue& queue, Millis now_ms) const -> bool;
  auto ScoreWorker(const FleetWorker& worker, const StepRun& step) const
      -> double;
  // Returns the workers for which the step has valid tickets; none if its queue
  // needs no advice.
  auto FindTicketedWorkers(const StepRun& step, const Queue& queue,
                           Millis now_ms) -> std::vector<FleetWorker*>;
  // Returns the best worker for a task of the step: of those with tickets if
  // the queue needs advice. nullptr if there is none.
  auto FindBestWorker(const StepRun& step, const Queue& queue,
                      const std::vector<FleetWorker*>& ticketed,
                      const std::string& avoided_worker, Millis now_ms)
      -> FleetWorker*;
  // Returns the share of the workers that have told this owner what they run;
  // less than 1 until the take-over is over.
  auto KnownWorkerShare() const -> double;
  // Returns true if the team may start tasks of that demand. Until all workers
  // have told what they run, what the others run for it is taken to be in
  // proportion.
  auto IsWithinTeamLimit(const std::string& team, const Resources& demand) const
      -> bool;

  // dispatcher_exclusive.cc
  // Returns true if the step has waited too long to heed that workers are
  // exclusive to other steps.
  auto MayIgnoreExclusivity(const StepRun& step, const Queue& queue,
                            Millis now_ms) -> bool;
  // Returns true if the pass can neither place a task of the step nor make a
  // worker exclusive to it. This cheap check skips most steps when the fleet is
  // full; it may return false for a step that cannot be placed.
  auto IsInfeasible(const StepRun& step, const Queue& queue) -> bool;
  // Returns the usable workers that advice has allowed for the step.
  auto FindAllowedWorkers(const StepRun& step, const Queue& queue,
                          Millis now_ms) -> std::vector<FleetWorker*>;
  // Makes workers exclusive to so many tasks of the step, for this pass, if the
  // tasks are large.
  auto MakeWorkersExclusive(StepRun& step, const Queue& queue, int tasks,
                            Millis now_ms) -> void;

  // dispatcher_kept_room.cc
  // Keeps room for the tasks of steps that are overdue, for this pass.
  auto KeepRoomForOverdue(const std::vector<WaitingStep>& steps, Millis now_ms)
      -> void;
  // Returns how many of the step's tasks could be started if there were room
  // and tickets; all or none of a gang.
  auto CountTasksToKeepRoomFor(const StepRun& step, const Queue& queue) -> int;
  // Keeps places for so many of its tasks and returns how many of them have
  // room.
  auto KeepRoom(StepRun& step, const Queue& queue, Claim claim, int tasks,
                Millis now_ms) -> int;

  // dispatcher_advice.cc
  auto AddPendingAdvice(const WaitingStep& waiting, int task_count,
                        Millis now_ms) -> void;
  // Notes the steps in time that follow a step that is held back, whose turn
  // comes while calls would be answered.
  auto AddAdviceAhead(const std::vector<WaitingStep>& steps, Millis now_ms)
      -> void;
  // Returns true if the step has asked a short time ago, the workers for which
  // it has tickets will have room for its tasks before these lapse, and no
  // other worker that is known to be allowed has room now.
  auto HasTicketsAhead(const StepRun& step, const Queue& queue, int task_count,
                       Millis now_ms) -> bool;
  // Makes these calls once those of all other steps have been made.
  auto RequestAdviceAhead(Millis now_ms) -> void;
  // Returns true if the step could use tickets and has none that is valid.
  auto LacksTickets(const StepRun& step, const Queue& queue,
                    Millis now_ms) const -> bool;
  // Requests tickets for tasks that may be placed once the take-over is over.
  auto AddAdviceForTakeOver(const WaitingStep& waiting, int task_count,
                            Millis now_ms) -> void;
  // Returns how many such calls can be made at once.
  auto CountFreeAdviceSlots(bool is_urgent, Millis now_ms) -> std::size_t;
  auto RequestPendingAdvice(Millis now_ms) -> void;
  // A step that needs tickets in the current pass, and for how many tasks.
  struct PendingAdvice {
    StepRun* step_;
    const Queue* queue_;
    StartClass* class_;
    int task_count_;
    // Lower ranks are served first.
    double rank_;
  };
  // Returns true if the step has made calls.
  auto RequestAdvice(const PendingAdvice& pending, Millis now_ms) -> bool;
  // Returns the workers without a ticket, and adds up in `need` what fits on
  // the others.
  auto FindAdviceCandidates(const StepRun& step, const Queue& queue,
                            AdviceNeed& need, Millis now_ms)
      -> std::vector<AdviceCandidate>;
  // Reserves, for the time of the calls, what fits on the workers named in
  // them; tentatively where it is not known that the step is allowed.
  auto ReserveRoom(const StepRun& step, const Queue& queue,
                   const std::vector<AdviceCandidate>& candidates,
                   const std::vector<std::vector<std::string>>& calls) -> void;
  // `task_count` is how many tasks of the step wait for the answer.
  auto SendAdviceCall(const PendingAdvice& pending,
                      const std::vector<std::string>& workers, bool is_urgent,
                      int task_count, Millis now_ms) -> void;
  auto OnAdvice(const std::string& job, std::int64_t occurrence, int step,
                const std::map<std::string, std::int64_t>& asked,
                const AdviceResult& result) -> void;
  auto NextRunNumber(const Task& task) const -> std::int64_t;

  // dispatcher_starts.cc
  auto StartTask(StepRun& step, int index, FleetWorker& worker,
                 std::int64_t run, Millis now_ms) -> void;
  // `clock_life` is the life of the worker's clock by which the order's lease
  // was granted.
  auto OnStartResult(const std::string& worker_id, const TaskId& id,
                     std::int64_t run, int clock_life,
                     const OrderResult& result) -> void;
  // Frees the start's place in the window; placement goes on if it had stopped.
  auto OnStartAnswered(Millis sent_ms, const OrderResult& result) -> void;
  auto OnStartRefused(FleetWorker& worker, PlacedRun& run, WorkerStatus status,
                      Millis now_ms) -> void;
  // Handles a start that was not answered in time.
  auto OnStartOverdue(FleetWorker& worker, PlacedRun& run, Millis now_ms)
      -> void;
  // Notes that the run is in progress.
  auto ConfirmStart(PlacedRun& run, Millis now_ms) -> void;
  // Handles a run that a Hold answer lists before its start was answered.
  auto OnStartListed(FleetWorker& worker, PlacedRun& run, Millis now_ms)
      -> void;
  // Decides overdue starts by the runs that a late Hold answer lists. The ends
  // in the answer must have been handled.
  auto OnLateRunList(FleetWorker& worker, const HoldResult& result,
                     Millis now_ms) -> void;
  // Stops the runs whose starts are overdue and that are missing from a list
  // requested since. The listed runs and ends must have been handled.
  auto StopUnlistedStarts(FleetWorker& worker, const HoldResult& result,
                          Millis now_ms) -> void;
  // Logs the `evidence` that decides the start if it is overdue, and frees the
  // worker for other starts.
  auto ResolveOverdueStart(FleetWorker& worker, PlacedRun& run,
                           const std::string& evidence, Millis now_ms) -> void;
  auto LogStartFailed(const FleetWorker& worker, const PlacedRun& run,
                      WorkerStatus status) -> void;

  // dispatcher_stalls.cc
  // Counts the workers that meet the conditions of placement for one task of
  // the step.
  auto CountWorkers(const StepRun& step, const Queue& queue,
                    Millis now_ms) const -> WorkerCounts;
  // Returns what keeps the step from being placed; `queue` is nullptr if no
  // configuration has had it.
  auto ExplainWait(const StepRun& step, const Queue* queue,
                   const WorkerCounts& counts) const -> WaitReason;
  // Notes that the pass held starts back, and logs what did so lately.
  auto ReportHeldBackStarts(Millis now_ms) -> void;
  // Logs the steps that have waited for long while nothing of them runs.
  auto ReportStalledSteps(Millis now_ms) -> void;

  uv_loop_t* loop_;
  RecordStore* store_;
  WorkerGateway* gateway_;
  AdviceBalancer* advice_;
  FleetMetrics* metrics_;
  OwnerClaim claim_;
  // Tokens given out under the claim.
  std::int64_t tokens_ = 0;
  DispatcherOptions options_;
  DispatcherHooks hooks_;

  // Progress records as read from the store, until the jobs are recovered.
  std::map<std::string, Record> recovered_progress_;
  std::int64_t inbox_revision_ = 0;
  bool is_state_read_ = false;
  bool is_worker_list_read_ = false;
  bool is_reading_workers_ = false;
  // When the last read of the workers' entries was sent; 0 if it failed.
  Millis last_worker_read_ms_ = 0;
  // When the last list of the workers that has arrived was requested.
  Millis listed_ms_ = 0;
  Millis next_worker_read_ms_ = 0;

  QueueLengths queue_lengths_;
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  // When the next occurrence of each repeated job is due (wall clock). Jobs
  // that have ended since are skipped.
  std::set<std::pair<Millis, std::string>> due_times_;
  // Jobs whose ends the store holds, in the order of end_recorded_ms_. Some may
  // have been purged.
  std::deque<std::pair<Millis, std::string>> recorded_ends_;
  std::map<WaitingKey, StepRun*> waiting_;
  std::vector<PendingAdvice> pending_advice_;
  // Steps of the current pass that ask before their turn, in the order of
  // turns.
  std::vector<const WaitingStep*> advice_ahead_;
  // Counted at most once between two calls of a pass: each count looks at all
  // instances.
  struct FreeAdviceSlots {
    std::optional<std::size_t> urgent_;
    std::optional<std::size_t> long_;
  };
  FreeAdviceSlots free_advice_slots_;
  AdviceTurns advice_turns_;
  // The workers of one service at the start of the current placement pass.
  struct ServiceSummary {
    // Usable at least for long-running tasks.
    std::vector<FleetWorker*> usable_workers_;
    // The same workers by load; empty until a search in this pass needs it.
    LoadOrder by_load_;
    // For each resource separately: the largest free amount on a usable worker,
    // and the smallest nonzero capacity of any worker.
    Resources max_free_;
    Resources min_capacity_;
    std::size_t worker_count_ = 0;
    // Sums over all workers.
    Resources capacity_;
    Resources used_;
    // Workers that the current pass has made exclusive to large tasks.
    std::size_t exclusive_workers_ = 0;
    // Workers that run a suspect or are kept for one.
    std::size_t suspect_workers_ = 0;
  };
  std::map<std::string, ServiceSummary> services_;
  // What the entries of a service's workers say; it changes seldom.
  struct WorkerGroup {
    // In the order of their ids.
    std::vector<FleetWorker*> workers_;
    // See ServiceSummary.
    Resources capacity_;
    Resources min_capacity_;
  };
  // By service.
  std::map<std::string, WorkerGroup> worker_groups_;
  // False if a worker has come, gone or changed its service or capacity.
  bool are_groups_current_ = false;
  StartWindow start_window_;
  PassBudget pass_budget_;
  // Time that the starts of the current pass have taken.
  std::int64_t starts_ns_ = 0;
  StartShares start_shares_;
  std::map<const StartClass*, ClassBacklog> class_backlogs_;
  // What is let in of the new jobs of a class, and what that is computed from.
  struct ClassAdmission {
    AdmittedShare share_ = {};
    // Mean slack of the latest jobs; 0 if there were none.
    double slack_ms_ = 0;
    // When the share was updated last; queues of one class share it.
    Millis updated_ms_ = 0;
  };
  std::map<const StartClass*, ClassAdmission> class_admissions_;
  // By queue, as counted last.
  std::map<std::string, Millis> expected_waits_;
  std::map<std::string, double> admitted_shares_;
  Millis backlog_counted_ms_ = 0;
  Millis next_admission_report_ms_ = 0;
  // True if the last placement pass held back steps that could have started.
  bool is_start_held_back_ = false;
  // What held starts back since the last report of it.
  struct HeldBackStarts {
    Millis next_report_ms_ = 0;
    int starts_ = 0;
    int passes_at_window_ = 0;
    int passes_at_bound_ = 0;
    // All passes, and the time that they took.
    int passes_ = 0;
    double passes_ms_ = 0;
    // Answers to starts, and the time that they took in all.
    int answers_ = 0;
    Millis answers_ms_ = 0;
  };
  HeldBackStarts held_back_starts_;
  // Duration of the last placement pass, and of what it did before it visited
  // the steps.
  double last_pass_ms_ = 0;
  double last_preparation_ms_ = 0;
  // The configuration from which known_queues_ was last updated.
  std::shared_ptr<const FleetConfig> last_config_;
  std::map<std::string, Queue> known_queues_;
  // Grows with each change of known_queues_.
  std::int64_t policies_version_ = 1;
  // The services on whose workers tasks may have been started, by queue. The
  // value is the workers record's first version that names the pair; 0 if the
  // previous owner's record does.
  std::map<std::string, std::map<std::string, std::uint64_t>> queue_services_;
  // The pairs in the previous owner's record, or nullopt if it names none, so
  // that there may be any.
  std::optional<std::map<std::string, std::set<std::string>>>
      previous_queue_services_;
  // False while there may be runs of pairs that are not in queue_services_. The
  // record names no pairs then.
  bool are_queue_services_known_ = false;
  // By task name, the number of its runs that are being stopped.
  std::map<std::string, int> stopping_runs_;
  // Resources taken by placed runs, by team.
  std::map<std::string, Resources> team_usage_;
  // Ids of cancelled jobs that are not known yet.
  std::set<std::string> unmatched_cancels_;
  std::map<std::string, UnmatchedJob> unmatched_jobs_;
  std::map<std::string, FleetWorker> workers_;
  // Their ids by address, made anew from workers_ when an entry may have
  // changed.
  std::map<std::string, std::vector<std::string>> ids_by_address_;
  bool are_addresses_current_ = false;
  // For each worker the record that must hold the first of its ends that is not
  // durable: the record's key and the worker's id. An entry may outlast the
  // end.
  std::set<std::pair<std::string, std::string>> awaited_records_;
  // Hold calls of the current batch, and the workers that wait for the next.
  int holds_in_batch_ = 0;
  std::deque<std::string> queued_holds_;
  // When each worker's runs were last taken for lapsed, for log lines only;
  // entries are dropped after kLapseMemoryMs.
  std::map<std::string, Millis> lapsed_ms_;
  // How long the answers of all workers take.
  AnswerTime fleet_answer_time_ = AnswerTime::ForFleet();
  CrashDetector crash_detector_;
  std::vector<OpenCrash> open_crashes_;
  // Names of the tasks and gangs that will be given up unless an open crash is
  // excused. They are not started meanwhile.
  std::set<std::string> undecided_suspects_;
  // Tasks and gangs, by name, with the last crash that they were excused of.
  std::map<std::string, ExcusedSuspect> excused_suspects_;
  // Number of lives that workers have begun, and how many of them the open
  // crashes have been compared with.
  std::uint64_t births_ = 0;
  std::uint64_t compared_births_ = 0;
  // By name of the task or gang.
  std::map<std::string, SuspectStart> suspect_starts_;
  // Workers of the previous owner that have not been claimed yet, by id.
  std::map<std::string, UnclaimedWorker> unclaimed_workers_;
  // Workers on which nothing can be running and that the stored workers record
  // may still name. The value is the record's first version without them.
  std::map<std::string, std::uint64_t> dropped_workers_;
  // Until when earlier owners may go on.
  RightsBound rights_bound_;
  // True once that time has passed.
  bool has_sole_rights_ = false;
  // The record's first version that says so, and whether it is durable.
  std::uint64_t sole_rights_version_ = 0;
  bool is_sole_owner_recorded_ = false;
  OwnerIdentity last_sole_owner_;
  // True if there may be one that the record does not name readably.
  bool is_sole_owner_unknown_ = false;
  // Earlier owners that have no rights any more.
  std::set<std::int64_t> resigned_epochs_;
  // A revision of the store at or after that time, once it has been read.
  std::optional<std::int64_t> rights_end_revision_;
  bool is_reading_rights_end_ = false;
  // Lease expiries from the previous owner that arrived before its record of
  // workers was read.
  std::map<std::string, Millis> early_lease_expiries_;
  // Smoothed share of the named workers that the advice service allows, by
  // queue.
  std::map<std::string, double> allowed_share_;

  ProgressRecorder recorder_;
  bool is_pass_requested_ = false;
  // Passes in which no starts were held back.
  std::int64_t pass_number_ = 0;
  Millis next_purge_ms_ = 0;
  Millis next_stall_check_ms_ = 0;
  Millis next_unreached_check_ms_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  std::unique_ptr<RepeatingTimer> tick_timer_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_DISPATCHER_H_
