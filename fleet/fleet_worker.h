// The dispatcher's state for one worker: its capacity, its runs and its lease.
//
// The worker's clock is known only from its answers and may run up to 2 % slow.
// LatestLeaseExpiryMs is the time by which every run that was granted a lease
// there must have ended, even if the worker never answers again. For a run
// whose start was not answered, LatestRunEndMs is.
//
// A worker may restart under its id; its clock then starts anew, so a lease by
// the clock of the former life would last for as long as that life. The new
// life shortens it to the platform's longest lease only. An order by a former
// clock may therefore have granted the longest lease at the time when it was
// carried out. The two bounds cover each order that was carried out before its
// answer arrived or its call timed out:
//
//   - A reading of the clock, or the incarnation in a Hold answer, shows the
//     restart: the bound is extended then, and again whenever an order by the
//     former clock ends.
//   - The worker does not answer at all: no new life can have any runs but
//     those whose starts were not answered, and LatestRunEndMs assumes a new
//     life for these.
//
// A new life that has answered to its own token carries out no order by a
// former clock any more; see dispatcher_lives.cc. Not covered:
//
//   - an order by a former clock that a new life which has not been reached yet
//     carries out after the call timed out;
//   - a life that is shorter than the time that a call takes: the reading of
//     the next life may be no lower, and a lease lasts longer than assumed by
//     up to that time;
//   - orders of a previous owner by a former clock, for its successor.

#ifndef LENTILSCALE_FLEET_FLEET_WORKER_H_
#define LENTILSCALE_FLEET_FLEET_WORKER_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/answer_time.h"
#include "fleet/hold_calls.h"
#include "fleet/job.h"
#include "fleet/job_record.h"
#include "fleet/lease_bound.h"
#include "fleet/worker_gateway.h"

namespace lentilscale::fleet {

// Stands for "never" in times until an event; longer than any finite run.
inline constexpr Millis kNeverMs = 1000000000000;

// A run that uses capacity on a worker.
struct PlacedRun {
  enum class Phase {
    // The start order has not been answered yet.
    kStarting,
    kRunning,
    // The worker lists the run, but its task is not known (yet); see
    // Dispatcher::IsUnmatched.
    kUnmatched,
    // The stop order is repeated until the worker accepts it or answers that
    // the run is stale.
    kStopping,
  };
  Phase phase_ = Phase::kStarting;
  TaskId task_;
  std::int64_t run_ = 0;
  // False if the run was listed before its job was known.
  bool is_demand_known_ = true;
  // Amounts counted against the worker's capacity and against the team's limit.
  Resources demand_;
  Resources team_demand_;
  std::string team_;
  // Target for the tail latency of a serving task; 0 for other tasks.
  Millis tail_target_ms_ = 0;
  // True for a filling task, which uses processor time that other tasks leave
  // idle.
  bool fills_ = false;
  bool is_long_running_ = false;
  // A list of runs requested after this time contains the run if it is still
  // running, so a list without it proves that it is not. 0 until the latest
  // start or stop order has been answered.
  Millis order_effective_ms_ = 0;
  // True until the start order has been answered in time or the worker lists
  // the run.
  bool is_start_unanswered_ = false;
  // True if the start timed out and the worker was in touch at no time after it
  // was sent: it may have been cut off before, so that nothing arrived.
  bool is_start_silent_ = false;
  // Since when the start is overdue: it was not answered in time, and nothing
  // has shown yet whether it was carried out. 0 if it is not overdue.
  Millis overdue_since_ms_ = 0;
  // The worker's incarnation and the life of its clock when the start order was
  // sent.
  std::int64_t order_incarnation_ = 0;
  int order_clock_life_ = 0;
  // The fencing token of the start order, or of the Hold call that showed a run
  // which another owner had started.
  std::int64_t order_token_ = 0;
  // True once an answer of a new life has shown that the run, which the former
  // one had, is over.
  bool is_over_ = false;
  Millis next_stop_ms_ = 0;
  // True while a stop order awaits its answer.
  bool is_stop_sent_ = false;
  Millis started_ms_ = 0;
  // When the last list that has the run arrived in time; 0 if there was none.
  Millis last_listed_ms_ = 0;
  // Estimated run time; 0 if unknown.
  Millis estimate_ms_ = 0;
  // Limit on the run's processor time that was last sent to the worker.
  int cpu_share_percent_ = 100;
  Millis next_throttle_ms_ = 0;
  // True if a worker has crashed under an earlier run of the task, and if this
  // run was started on an empty worker, which is kept for it.
  bool is_suspect_ = false;
  bool is_alone_ = false;

  // Returns the estimated time until the run ends; kNeverMs for a long-running
  // task.
  auto TimeUntilEndMs(Millis now_ms) const -> Millis;
  // Returns for how long the run is known to have run: from the answer to its
  // start to the last list that has it.
  auto ProvedAgeMs() const -> Millis;
};

// Priority of steps that are overdue where room is concerned: reservations for
// steps of any queue don't bind them.
inline constexpr int kOverduePriority = std::numeric_limits<int>::min();

// Capacity reserved for a step while its tickets are being requested.
struct Reservation {
  Resources amount_;
  int priority_ = 0;
  // True if it is not known whether the step may run on the worker. Other steps
  // avoid the room then, if they have a choice.
  bool is_tentative_ = false;
};

// Room that is kept for tasks of a step that is overdue.
struct KeptRoom {
  std::string step_;
  Resources amount_;
};

// An end that was received from a worker and is not durable in the store yet.
struct UnrecordedEnd {
  // 0 if a former life of the worker reported it.
  std::int64_t number_ = 0;
  std::string task_;
  // Key of the record that must hold the end, and the record's first version
  // that does. The key is empty if the end need not be stored.
  std::string record_key_;
  std::uint64_t record_version_ = 0;
  // The end itself while its task is not known (yet).
  std::optional<EndedRun> unmatched_;
};

struct FleetWorker {
  WorkerEntry entry_;
  // False if the store no longer holds the worker's entry.
  bool is_listed_ = true;
  Millis unlisted_since_ms_ = 0;
  // True if earlier entries had another service, whose tasks may be running
  // here: the worker need not have written all of these entries itself.
  bool has_changed_service_ = false;
  // The entry's revision in the store, and a time after which it was written; 0
  // if no such time is known.
  std::int64_t entry_revision_ = 0;
  Millis entry_written_after_ms_ = 0;
  // No task is started here after this time, since the worker's capacity may
  // have shrunk since the entry was read.
  Millis entry_valid_until_ms_ = kNeverMs;
  // True if the worker has deleted its entry, as it does when it shuts down,
  // and has answered no call that was sent since.
  bool has_deleted_entry_ = false;
  // True once the stored workers record names this worker as it is now. A new
  // owner of the fleet waits for the workers in that record, so no task starts
  // on a worker before it is there.
  bool is_in_workers_record_ = false;
  // The record's first version that names the worker as it is now.
  std::uint64_t workers_record_version_ = 0;
  // True while the worker is omitted from the record: it does not answer and
  // nothing can be running there, so a new owner need not wait for it.
  bool is_omitted_from_record_ = false;
  // True while the stored workers record may say that no owner since an earlier
  // claim has granted the worker a lease: this one grants none meanwhile.
  bool is_lease_withheld_ = false;
  // True once the worker has answered a Hold with this dispatcher's token.
  bool is_claimed_ = false;
  // The worker's incarnation that the runs belong to; see WorkerEntry.
  std::int64_t incarnation_ = 0;
  // Jobs whose runs are suspected of the crash before this incarnation, and
  // whether a task among them had been suspected of another crash before.
  std::set<std::string> crashed_jobs_;
  bool had_known_suspect_ = false;
  // The token of orders to the worker, and the one under which `incarnation_`
  // has answered. They differ from the time at which a restart was noticed
  // until the new life has answered a Hold call with the new token, and with it
  // rejects whatever was sent to the former one.
  std::int64_t fencing_token_ = 0;
  std::int64_t life_token_ = 0;
  // The latest connections over which `incarnation_` has answered.
  std::set<std::int64_t> life_connections_;
  // When the call was sent whose answer showed the new life; 0 if the life is
  // not new.
  Millis reborn_call_ms_ = 0;

  // The last reading of the worker's clock, and when it arrived. The clock may
  // have advanced since the worker read it.
  Millis worker_clock_ms_ = 0;
  Millis clock_updated_ms_ = 0;
  // Number of restarts that were noticed: identifies the life whose clock the
  // reading is of.
  int clock_life_ = 0;
  // When a reading proved a restart; 0 once the answer to a Hold call that was
  // sent later has named the worker's incarnation.
  Millis restart_proved_ms_ = 0;
  Millis latest_lease_expiry_ms_ = 0;
  // The time by which runs whose starts were not answered must have ended, even
  // if a new life of the worker has started them.
  Millis unanswered_expiry_ms_ = 0;

  // Numbers of the last end that was received, and of the last that is durable
  // in the store. Those of former lives, which come first in the queue, delay
  // acknowledgements to this one.
  std::int64_t last_received_end_ = 0;
  std::int64_t last_recorded_end_ = 0;
  std::deque<UnrecordedEnd> unrecorded_ends_;

  bool is_hold_pending_ = false;
  // The last Hold call; it may have been sent before the end of another one.
  int last_hold_call_ = 0;
  // True while a Hold call waits for the next batch of them.
  bool is_hold_queued_ = false;
  Millis next_hold_ms_ = 0;
  // Hold calls that failed since the last one that was answered in time. While
  // there are any, the worker may have restarted.
  int hold_failures_ = 0;
  // When the first of them failed.
  Millis failing_since_ms_ = 0;
  // How long a Hold call waits for a connection and an answer, if that is
  // longer than answers take: it grows while no connection can be made in time.
  // 0 once a call has been answered.
  Millis connect_timeout_ms_ = 0;
  // Whether the worker answers at all, also late.
  HoldCalls hold_calls_;
  // When a call was last answered, or ended with its connection before its time
  // was over: nothing lay between this instance and the worker's machine.
  Millis last_contact_ms_ = 0;
  AnswerTime answer_time_ = AnswerTime::ForWorker();
  // No task is started here before this time.
  Millis no_starts_until_ms_ = 0;
  // Jobs of which a run failed here since the last successful run.
  std::set<std::string> failed_jobs_;
  Millis last_failure_ms_ = 0;
  Millis quarantined_until_ms_ = 0;
  // Length of the last quarantine; 0 after a successful run.
  Millis quarantine_ms_ = 0;

  // Keyed by task name and run number.
  std::map<std::pair<std::string, std::int64_t>, PlacedRun> runs_;
  Resources used_;
  // For the time of the steps' advice calls; keyed by step name.
  std::map<std::string, Reservation> reservations_;
  // Name of the step for whose large tasks the worker is being freed; empty if
  // there is none. Until they are placed, only that step and more urgent ones
  // may use the worker. Each placement pass sets it anew.
  std::string exclusive_for_;
  int exclusive_priority_ = 0;
  // What is kept for steps that are overdue, the first claim first; no step
  // without an earlier claim may use it, whatever its priority. It may be more
  // than what is free: then what runs leave is kept, too. Each placement pass
  // sets it anew.
  std::vector<KeptRoom> kept_room_;
  // Numbers of runs of filling and of serving tasks.
  int filling_runs_ = 0;
  int serving_runs_ = 0;
  // Runs that take an unknown amount of the capacity.
  int unknown_demand_runs_ = 0;
  int suspect_runs_ = 0;
  int lone_runs_ = 0;
  // Runs whose starts are overdue. No further starts are sent meanwhile.
  int overdue_starts_ = 0;
  // The suspect task or gang that is about to be started here; empty if there
  // is none.
  std::string reserved_for_suspect_;

  // Returns the expiry of a lease of at most `lease_ms` from now, on the
  // worker's clock, and extends LatestLeaseExpiryMs to cover it.
  auto GrantLease(Millis now_ms, Millis lease_ms) -> Millis;
  // Stores a reading of the worker's clock from the answer to a call that was
  // sent at `sent_ms`. 0 means that there is none. It is ignored if the call
  // was sent before the last reading arrived, since either may be the older
  // one. Returns true if the reading is lower than the clock of the last one
  // can be, which proves a restart; no task is then started on the worker until
  // a Hold call has been answered.
  auto UpdateClock(Millis worker_clock_ms, Millis sent_ms, Millis now_ms,
                   Millis max_lease_ms) -> bool;
  // Begins a new life of the clock with a reading from a Hold answer that names
  // a new incarnation.
  auto RestartClock(Millis worker_clock_ms, Millis now_ms, Millis max_lease_ms)
      -> void;
  // Notes that the current incarnation has answered over `connection`.
  auto AddLifeConnection(std::int64_t connection) -> void;
  // Extends the bounds at the end of an order that granted a lease by the clock
  // of `clock_life`: it may have been carried out by a later life until now.
  auto OnLeaseOrderEnded(int clock_life, WorkerStatus status, Millis now_ms,
                         Millis max_lease_ms) -> void;
  auto LatestLeaseExpiryMs() const -> Millis { return latest_lease_expiry_ms_; }
  // Returns the time by which the run must have ended, even if the worker never
  // answers again.
  auto LatestRunEndMs(const PlacedRun& run) const -> Millis;
  // Marks the runs as over that the life before the one which gave this answer
  // is known to have had, and that the answer shows to be gone.
  auto MarkRunsOver(const HoldResult& result) -> void;
  // Returns true if an end was received whose task is not known yet.
  auto HasUnmatchedEnd() const -> bool;

  auto Add(const PlacedRun& run) -> PlacedRun&;
  auto Remove(const std::string& task, std::int64_t run) -> void;
  auto Find(const std::string& task, std::int64_t run) -> PlacedRun*;
  // Marks one of the worker's runs as suspect.
  auto MarkSuspect(PlacedRun& run, bool is_alone) -> void;
  auto ClearSuspect(PlacedRun& run) -> void;
  // Marks the start of one of the worker's runs as overdue.
  auto MarkStartOverdue(PlacedRun& run, Millis now_ms) -> void;
  auto ClearStartOverdue(PlacedRun& run) -> void;
  // Returns true if no other runs may be started beside a suspect.
  auto IsKeptForSuspect() const -> bool {
    return lone_runs_ > 0 || !reserved_for_suspect_.empty();
  }

  // Counts a failed run of `job`; returns true if that quarantines the worker.
  // Each quarantine lasts twice as long as the one before. During a quarantine
  // a job extends it only once, as all tasks of a job that is at fault itself
  // fail together.
  auto CountFailure(const std::string& job, Millis now_ms) -> bool;
  auto ForgetFailures() -> void;
  // Returns false if the entry is that of another incarnation than the one that
  // answers. Each incarnation may have another capacity and other labels.
  auto IsEntryCurrent() const -> bool;
  // Returns true if new runs may be started on the worker. A quarantine ends
  // early for long-running tasks: these have no limit on failed runs, and must
  // be running wherever there is room.
  auto IsUsable(Millis now_ms, bool is_long_running = false) const -> bool;
  // Returns when no quarantine keeps such tasks away any more.
  auto QuarantineEndMs(bool is_long_running) const -> Millis;
  // Returns the capacity that is free for the step with the given priority.
  // Capacity reserved for other steps of equal or higher urgency does not count
  // as free, unless the reservation is tentative. If the worker is exclusive to
  // another step that is not less urgent, the result is negative, so that no
  // task fits, unless `ignores_exclusivity` is true. Room that is kept for
  // other steps which are overdue is not free, but for a step that has claimed
  // room here before them.
  auto FreeCapacityFor(const std::string& step_name, int priority,
                       bool ignores_exclusivity = false) const -> Resources;
  // Returns what runs use and what is kept for other steps than the one named,
  // whatever their urgency: urgent steps may take room that is kept, but better
  // go elsewhere.
  auto UsedOrKept(const std::string& step_name) const -> Resources;
  // Returns true if room is kept for the step.
  auto KeepsRoomFor(const std::string& step_name) const -> bool;
  // Returns the capacity that is free once all runs have ended that end by
  // themselves or are being stopped.
  auto CapacityOnceEnded() const -> Resources;
  // Returns the capacity that is free once all runs have ended that end within
  // the time: those that are being stopped, and those that are expected to. Of
  // a run without an estimate, or with one that it has exceeded by as much
  // again, no end is expected.
  auto CapacityWithin(Millis time_ms, Millis now_ms) const -> Resources;
  // Returns the time until `demand` fits, by the estimates of the current runs;
  // kNeverMs if no such time is known.
  auto TimeUntilFitsMs(const Resources& demand, Millis now_ms) const -> Millis;
  // Returns the estimated time until the next run ends; kNeverMs if no run is
  // expected to end.
  auto TimeUntilNextEndMs(Millis now_ms) const -> Millis;
  // Returns the time since the worker last answered a Hold call, in time or
  // late, for logs; "never" if it has not.
  auto LastAnswerAge(Millis now_ms) const -> std::string;
  // Returns the life that the runs belong to.
  auto Life() const -> WorkerLife;
  auto HasLabel(const std::string& label) const -> bool;
  // Returns the rack, the worker's second label; empty if it has none.
  auto Rack() const -> std::string;

 private:
  // Returns the lowest time that the worker's clock can show, if it has not
  // restarted since the last reading.
  auto MinWorkerClockMs(Millis now_ms) const -> Millis;
  auto BeginClockLife(Millis worker_clock_ms, Millis now_ms,
                      Millis max_lease_ms) -> void;
};

// Returns the amounts that a task of `step` counts against a worker's capacity.
auto CapacityDemand(const Step& step) -> Resources;

// Returns how many times `demand` fits into `free`, at most `limit`.
auto CountFitting(const Resources& demand, Resources free, int limit) -> int;

// Returns how many more tasks of the step may run on the worker under the
// step's limit per worker; at most `tasks`.
auto TasksWithinWorkerLimit(const FleetWorker& worker, const StepRun& step,
                            int tasks) -> int;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_FLEET_WORKER_H_
