// Jobs in the memory of the instance that schedules them.
//
// A Job joins the accepted record with what is known of its tasks. All changes
// go through its methods, which keep the sums right and say what follows; they
// read no clock and make no calls.
//
//   auto job = Job(record, progress);
//   auto& step = job.FindStep(0, 2);
//   if (job.MarkDone(task) == JobChange::kStepDone) { ... }

#ifndef LENTILSCALE_FLEET_JOB_H_
#define LENTILSCALE_FLEET_JOB_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_config.h"
#include "fleet/job_record.h"
#include "fleet/worker_gateway.h"

namespace lentilscale::fleet {

class Job;

// Where a task stands within its job.
struct TaskId {
  std::string job_;
  std::int64_t occurrence_ = 0;
  int step_ = 0;
  int index_ = 0;

  // Returns "JOB.OCCURRENCE.STEP.INDEX".
  auto ToString() const -> std::string;
  // Returns nothing if `text` does not have that form.
  static auto FromString(const std::string& text) -> std::optional<TaskId>;
};

// One task of one occurrence.
struct Task {
  enum class Phase { kWaiting, kPlaced, kDone };
  Phase phase_ = Phase::kWaiting;
  // The current run, while placed.
  std::int64_t run_ = 0;
  std::string worker_;
  std::string checkpoint_;
  // The worker on which the last run failed; it is avoided for the next.
  std::string failed_on_;
  // When the task became ready or its last run ended.
  Millis waiting_since_ms_ = 0;
};

// What is known of a ticket for one step and worker.
struct StepTicket {
  std::string text_;
  std::int64_t worker_incarnation_ = 0;
  Millis expires_ms_ = 0;
};

// One step of one occurrence.
struct StepRun {
  Job* job_ = nullptr;
  const Step* step_ = nullptr;
  std::int64_t occurrence_ = 0;
  int step_number_ = 0;
  std::vector<Task> tasks_;
  int done_count_ = 0;
  int waiting_count_ = 0;
  bool is_ready_ = false;
  // Workers that the advice service named or left out; this never changes for
  // a step.
  std::map<std::string, bool> advice_by_worker_;
  std::map<std::string, StepTicket> tickets_;
  bool is_advice_pending_ = false;
  Millis next_advice_call_ms_ = 0;
  // Calls for advice since the step was last placed whole.
  int advice_calls_ = 0;
  // The number of the step's runs on each worker.
  std::map<std::string, int> runs_per_worker_;

  // "JOB.OCCURRENCE.STEP".
  std::string name_;
  // The queue's priority when the step first waited, by which it is ordered.
  std::optional<int> priority_;

  auto IsDone() const -> bool {
    return done_count_ == static_cast<int>(tasks_.size());
  }
  auto TaskIdAt(int index) const -> TaskId;
};

// One job.
class Job {
 public:
  // `progress` is what the store holds of the job's ends, or a default one.
  // If `is_recovered` is true, the job was accepted before this instance took
  // over, and its tasks may be running somewhere.
  Job(JobRecord record, ProgressRecord progress, bool is_recovered);
  Job(const Job&) = delete;
  auto operator=(const Job&) -> Job& = delete;

  auto record() const -> const JobRecord& { return record_; }
  auto is_recovered() const -> bool { return is_recovered_; }
  auto state() const -> JobState { return progress_.state_; }
  auto IsEnded() const -> bool {
    return progress_.state_ >= JobState::kCompleted;
  }

  // Returns the time within which the job, or each of its occurrences, should
  // be done by the queue's policy; 0 if it has no end.
  auto ObjectiveMs(const Queue& queue) const -> Millis;
  // Returns true if other steps of the queue's priority should go first: the
  // step's occurrence can no longer be done within the objective, but is not so
  // late yet that it would be lost.
  auto IsYielding(const StepRun& step, const Queue& queue, Millis wall_ms) const
      -> bool;

  // Creates the occurrences that are due by `wall_ms`, and the only one of a
  // job without due times. Returns the steps that became ready.
  auto CreateDueOccurrences(Millis wall_ms, Millis now_ms)
      -> std::vector<StepRun*>;
  // Returns the due time of the next occurrence that does not exist yet, or 0.
  auto NextDueMs() const -> Millis;

  // Returns the step, or nullptr if it does not exist (any more).
  auto FindStep(std::int64_t occurrence, int step) -> StepRun*;
  auto FindTask(const TaskId& id) -> Task*;
  // Returns the step as it was handed in, also of an occurrence that does not
  // exist; nullptr if the job has no such step.
  auto FindStepDefinition(const TaskId& id) const -> const Step*;
  auto steps() -> std::vector<StepRun*>;

  auto MarkStarted() -> void;
  // Marks the task done (for a gang, all its tasks). Returns the steps that
  // became ready; state() becomes kCompleted with the last task.
  auto MarkDone(StepRun& step, int index, Millis now_ms)
      -> std::vector<StepRun*>;
  // Counts a failed run of a task or of its gang; a repeated report of the
  // same run counts once. state() becomes kFailed at `max_attempts`.
  auto MarkFailed(StepRun& step, int index, std::int64_t run, int max_attempts)
      -> void;
  auto Cancel() -> void;
  // Returns the task to the queue.
  auto MarkWaiting(StepRun& step, int index, Millis now_ms) -> void;
  auto MarkPlaced(StepRun& step, int index, std::int64_t run,
                  const std::string& worker) -> void;

  // Returns what the store has to hold, with the tasks' latest checkpoints.
  auto Progress() const -> ProgressRecord;

  // The version of the progress record that holds the job's end.
  std::uint64_t end_version_ = 0;
  // True once the store holds the job's end.
  bool is_end_recorded_ = false;
  // When the end was recorded, BootMs.
  Millis end_recorded_ms_ = 0;

 private:
  auto AddOccurrence(std::int64_t number, Millis now_ms)
      -> std::vector<StepRun*>;
  auto MarkReadySteps(std::int64_t occurrence, Millis now_ms)
      -> std::vector<StepRun*>;
  auto UpdateCompletion() -> void;

  // Returns the time from the step's start to the job's end if nothing waits,
  // by the estimates.
  auto RemainingMs(int step, const Queue& queue) const -> Millis;

  JobRecord record_;
  ProgressRecord progress_;
  // By step: estimates along the longest chain from it, and the chain's steps.
  struct CriticalPath {
    Millis work_ms_ = 0;
    int step_count_ = 0;
  };
  std::vector<CriticalPath> critical_paths_;
  bool is_recovered_;
  std::int64_t next_occurrence_ = 0;
  std::map<std::int64_t, std::vector<std::unique_ptr<StepRun>>> occurrences_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_JOB_H_
