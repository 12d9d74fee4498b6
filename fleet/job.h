// In-memory state of a job on the instance that schedules the fleet.
//
// A Job combines the accepted JobRecord with the current state of its tasks.
// Tasks change their phase only through its methods, which keep the task counts
// consistent and return the steps that became ready. The methods read no clock
// and do no I/O.
//
//   Job job(record, progress, may_be_running);
//   for (auto* step : job.CreateDueOccurrences(WallMs(), BootMs())) { ... }
//   for (auto* step : job.MarkDone(*placed_step, index, BootMs())) { ... }

#ifndef LENTILSCALE_FLEET_JOB_H_
#define LENTILSCALE_FLEET_JOB_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/fleet_config.h"
#include "fleet/job_record.h"
#include "fleet/queue_lengths.h"
#include "fleet/worker_gateway.h"

namespace lentilscale::fleet {

// Limit on the unfinished occurrences of a job that are in memory, so that one
// job cannot exhaust it. Further ones are created as these end.
inline constexpr std::size_t kMaxOpenOccurrences = 1000;

// A task or gang is given up at this number of crashes of workers under it, or
// at the lower one of crashes of workers on which it ran alone.
inline constexpr std::size_t kMaxCrashes = 3;
inline constexpr std::size_t kMaxLoneCrashes = 2;

class Job;

// Identifies a task by its job, occurrence, step and index.
struct TaskId {
  std::string job_;
  std::int64_t occurrence_ = 0;
  int step_ = 0;
  int index_ = 0;

  // Returns "JOB.OCCURRENCE.STEP.INDEX".
  auto ToString() const -> std::string;
  // Parses the form that ToString returns; nullopt if `text` has another.
  static auto FromString(const std::string& text) -> std::optional<TaskId>;
};

// State of one task of one occurrence.
struct Task {
  enum class Phase { kWaiting, kPlaced, kDone };
  Phase phase_ = Phase::kWaiting;
  // Number of the current run while the task is placed, else of the previous
  // one.
  std::int64_t run_ = 0;
  // Highest number of any known run, also of one that another owner started.
  // The next run gets a higher number.
  std::int64_t highest_run_ = 0;
  // The worker of the current run, while the task is placed.
  std::string worker_;
  // Latest checkpoint; empty if there is none.
  std::string checkpoint_;
  // Worker on which the latest run failed; placement avoids it if another
  // worker is suitable.
  std::string failed_on_;
  // When the task became ready or was last requeued (BootMs).
  Millis waiting_since_ms_ = 0;
};

// A ticket of the advice service for one step on one worker.
struct StepTicket {
  std::string text_;
  // The worker's incarnation when the ticket arrived; the ticket is not used
  // after a restart of the worker.
  std::int64_t worker_incarnation_ = 0;
  // BootMs.
  Millis expires_ms_ = 0;
};

// The advice service's answer for one step on one worker. It never changes, but
// a worker that was not up when the service was asked is not named as allowed,
// so a refusal holds only for the worker's incarnation.
struct WorkerAdvice {
  bool is_allowed_ = false;
  std::int64_t worker_incarnation_ = 0;
};

// When a step is late and when it yields (wall clock). Both follow from its job
// and the queue's policy alone.
struct LatenessTimes {
  // The step is late after the first time; it then yields before the second.
  Millis late_after_ms_ = 0;
  Millis yields_until_ms_ = 0;

  auto IsLate(Millis wall_ms) const -> bool { return wall_ms > late_after_ms_; }
  auto IsYielding(Millis wall_ms) const -> bool {
    return IsLate(wall_ms) && wall_ms < yields_until_ms_;
  }
};

// What decides a waiting step's turn; see Dispatcher::UpdateTurn.
struct StepTurn {
  // Version of the queues' policies from which it was made; 0 if it was not.
  std::int64_t policies_version_ = 0;
  // nullptr if no configuration has had the queue.
  const Queue* policy_ = nullptr;
  LatenessTimes lateness_ = {};
};

// State of one step of one occurrence of a job.
struct StepRun {
  Job* job_ = nullptr;
  const Step* step_ = nullptr;
  std::int64_t occurrence_ = 0;
  int step_number_ = 0;
  std::vector<Task> tasks_;
  int done_count_ = 0;
  // Tasks in phase kWaiting, also those of a step that is not ready.
  int waiting_count_ = 0;
  // True once all steps that this one depends on are done.
  bool is_ready_ = false;
  // The latest run of a gang of which a member has ended otherwise than `done`,
  // so that no other member can; 0 if there is none.
  std::int64_t broken_run_ = 0;
  // By worker id: the advice service's answers about workers.
  std::map<std::string, WorkerAdvice> advice_by_worker_;
  // By worker id.
  std::map<std::string, StepTicket> tickets_;
  // Advice calls that have not returned.
  int open_advice_calls_ = 0;
  // No advice call before this time (BootMs), after one that failed.
  Millis next_advice_call_ms_ = 0;
  // Rounds of advice calls since all tasks of the step were last placed, and
  // when the last of them ended; see AdviceRank.
  int advice_rounds_ = 0;
  Millis last_advice_round_ms_ = 0;
  // True if the step has waited so long that it may use workers that are
  // exclusive to other steps. Each placement pass sets it anew.
  bool ignores_exclusivity_ = false;
  // True if the step was overdue in the last placement pass; see IsOverdue.
  bool is_overdue_ = false;
  // Places with room that are kept for the step and that it could use if it had
  // tickets, which no call on its way asks for. Each placement pass sets it
  // anew.
  int unticketed_places_ = 0;
  // Number of the step's runs on each worker, by worker id.
  std::map<std::string, int> runs_per_worker_;

  // "JOB.OCCURRENCE.STEP".
  std::string name_;
  StepTurn turn_;
  // True if the step was late in the last placement pass; see Job::IsLate.
  bool is_late_ = false;
  // Round of its class in which it was last looked at and could not start, see
  // dispatcher_pass.cc; 0 if it has to be looked at.
  std::int64_t look_round_ = 0;
  // The queue's priority when the step was first ordered among the waiting
  // ones. Later configuration changes do not reorder the step.
  std::optional<int> priority_;

  auto IsDone() const -> bool {
    return done_count_ == static_cast<int>(tasks_.size());
  }
  auto TaskIdAt(int index) const -> TaskId;
  // Returns whether the advice service allows the step on the worker; nullopt
  // if that is not known.
  auto IsAllowedOn(const std::string& worker, std::int64_t incarnation) const
      -> std::optional<bool>;
  // Returns true if a task of the step has waited for `wait_ms`.
  auto HasWaitedFor(Millis wait_ms, Millis now_ms) const -> bool;
  // Returns since when the longest waiting task has waited; the end of time if
  // none waits.
  auto WaitingSinceMs() const -> Millis;
  // Returns true if a long-running task of the step has waited so long that it
  // goes before other work, whatever its priority.
  auto IsOverdue(Millis now_ms) const -> bool;
};

// An accepted job with the state of its occurrences, steps and tasks.
class Job {
 public:
  // `progress` is the stored record, or a default one if the store has none.
  // `may_be_running` is true if a previous owner may have started tasks of the
  // job.
  Job(JobRecord record, ProgressRecord progress, bool may_be_running);
  Job(const Job&) = delete;
  auto operator=(const Job&) -> Job& = delete;

  auto record() const -> const JobRecord& { return record_; }
  auto may_be_running() const -> bool { return may_be_running_; }
  auto state() const -> JobState { return progress_.state_; }
  auto IsEnded() const -> bool {
    return progress_.state_ >= JobState::kCompleted;
  }

  // Returns the target duration of the job, or of each of its occurrences,
  // under the queue's policy; 0 if the job has a long-running step.
  auto ObjectiveMs(const Queue& queue) const -> Millis;
  // Returns how much of the objective is left beside the job's own work;
  // nullopt if it has no objective.
  auto SlackMs(const Queue& queue) const -> std::optional<Millis>;
  // Returns the times on which IsLate and IsYielding depend.
  auto LatenessTimesOf(const StepRun& step, const Queue& queue) const
      -> LatenessTimes;
  // Returns true if the step's occurrence can no longer meet the objective.
  auto IsLate(const StepRun& step, const Queue& queue, Millis wall_ms) const
      -> bool;
  // Returns true if other steps of the same priority should be placed first as
  // long as there is too little room, not too few starts: the step is late, but
  // not yet so late that it is about to count as lost.
  auto IsYielding(const StepRun& step, const Queue& queue, Millis wall_ms) const
      -> bool;

  // Counts the job among those of its queue until it is started, ended or
  // destroyed.
  auto EnterQueue(QueueLengths& lengths) -> void;

  // Creates the occurrences that the stored record lists and those that are due
  // by `wall_ms`, up to kMaxOpenOccurrences. A job without due times has a
  // single occurrence, which is due at once. Returns the steps that became
  // ready.
  auto CreateDueOccurrences(Millis wall_ms, Millis now_ms)
      -> std::vector<StepRun*>;
  // Returns the due time (wall clock) of the next occurrence to create, or 0 if
  // there is none.
  auto NextDueMs() const -> Millis;

  // Returns true if CreateDueOccurrences will create the occurrence later.
  auto IsUpcoming(std::int64_t occurrence) const -> bool;

  // Returns the step, or nullptr if the job has no such step or this object has
  // not created the occurrence.
  auto FindStep(std::int64_t occurrence, int step) -> StepRun*;
  auto FindTask(const TaskId& id) -> Task*;
  // Returns the step as submitted, also for an occurrence that was not created;
  // nullptr if the job has no such step.
  auto FindStepDefinition(const TaskId& id) const -> const Step*;
  auto steps() -> std::vector<StepRun*>;

  // Changes the state from kQueued to kRunning.
  auto MarkStarted() -> void;
  // Marks the task done, or all tasks of a gang. Returns the steps that became
  // ready; the last task of the last occurrence completes the job.
  auto MarkDone(StepRun& step, int index, Millis now_ms)
      -> std::vector<StepRun*>;
  // Counts a failed run of a task or of its gang; a repeated report of the
  // same run counts once. The job fails at `max_attempts` failed runs, unless
  // the step is long-running.
  auto MarkFailed(StepRun& step, int index, std::int64_t run, int max_attempts)
      -> void;
  // Counts a crash of a worker under a run of a task or of its gang; `is_alone`
  // if nothing else ran there. The job fails at the limits above, unless the
  // step is long-running. Returns false if the run was counted before.
  auto MarkCrashed(StepRun& step, int index, std::int64_t run, bool is_alone)
      -> bool;
  // Does so, but does not end the job yet: see FailIfCrashing.
  auto CountCrash(StepRun& step, int index, std::int64_t run, bool is_alone)
      -> bool;
  // Returns true if the crashes of the task or its gang are at their limits; a
  // task that lasts has none.
  auto IsAtCrashLimit(const StepRun& step, int index) const -> bool;
  // Lets the job fail if they are; returns true if it has failed by that.
  auto FailIfCrashing(const StepRun& step, int index) -> bool;
  // Notes that a crash which is counted may be taken back, and drops the note.
  // Returns false if there was none to drop.
  auto SetUndecided(const StepRun& step, int index, std::int64_t run,
                    UndecidedCrash crash) -> void;
  auto ClearUndecided(const StepRun& step, int index, std::int64_t run) -> bool;
  // Takes back that a crash was counted. Returns false if it was not.
  auto ExcuseCrash(const StepRun& step, int index, std::int64_t run) -> bool;
  // Returns the crashes under the task or its gang; nullptr if there are none.
  auto FindCrashes(const StepRun& step, int index) const -> const CrashRecord*;
  // Notes the next run of a task or gang under which a worker has crashed.
  auto SetOrderedRun(const StepRun& step, int index, std::int64_t run,
                     std::vector<WorkerLife> workers) -> void;
  // Drops the note once the run has ended.
  auto ClearOrderedRun(const StepRun& step, int index, std::int64_t run)
      -> void;
  auto ForgetCrashes(const StepRun& step, int index) -> void;
  auto crashes() const -> const std::map<std::string, CrashRecord>& {
    return progress_.crashes_;
  }
  auto Cancel() -> void;
  // Makes a placed task wait for placement again.
  auto MarkWaiting(StepRun& step, int index, Millis now_ms) -> void;
  auto MarkPlaced(StepRun& step, int index, std::int64_t run,
                  const std::string& worker) -> void;

  // Returns the record to store, with the latest checkpoints of unfinished
  // tasks. The record of an ended job lists no tasks, runs or checkpoints.
  auto Progress() const -> ProgressRecord;

  // Version of the progress record that holds the job's end.
  std::uint64_t end_version_ = 0;
  // First version of the progress record that has the latest crash; 0 if there
  // was none.
  std::uint64_t crash_version_ = 0;
  // True once the store holds the job's end.
  bool is_end_recorded_ = false;
  // When the end was stored, or was read from the store (BootMs).
  Millis end_recorded_ms_ = 0;

 private:
  // Returns the due time (wall clock) of an occurrence of a repeated job.
  auto DueMs(std::int64_t occurrence) const -> Millis;
  auto AddOccurrence(std::int64_t number, Millis now_ms)
      -> std::vector<StepRun*>;
  auto MarkReadySteps(std::int64_t occurrence, Millis now_ms)
      -> std::vector<StepRun*>;
  // Removes the occurrence from the open ones if all its steps are done.
  auto CloseIfDone(std::int64_t occurrence) -> void;
  auto UpdateCompletion() -> void;
  auto SetState(JobState state) -> void;
  // Returns the name under which failures and crashes of the task are counted:
  // "OCCURRENCE.STEP.INDEX", or "OCCURRENCE.STEP" if the step is a gang.
  static auto CounterName(const StepRun& step, int index) -> std::string;

  // Returns the estimated time from the step's start to the job's end if no
  // task waits for placement, with one advice call for each step.
  auto RemainingMs(int step, const Queue& queue) const -> Millis;
  // Returns the same from the job's start.
  auto WorkMs(const Queue& queue) const -> Millis;

  JobRecord record_;
  ProgressRecord progress_;
  QueueLengths::Place queue_place_;
  // The critical path from a step to the job's end: the sum of the estimates
  // and the number of steps.
  struct CriticalPath {
    Millis work_ms_ = 0;
    int step_count_ = 0;
  };
  // By step number.
  std::vector<CriticalPath> critical_paths_;
  bool may_be_running_;
  std::int64_t next_occurrence_ = 0;
  // Numbers of the occurrences that were created and are not done.
  std::set<std::int64_t> open_occurrences_;
  // Steps by occurrence number and step number.
  std::map<std::int64_t, std::vector<std::unique_ptr<StepRun>>> occurrences_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_JOB_H_
