// Job: the specification of a job and the state of each of its tasks.
//
// Job is a state machine that does no I/O. JobController (job_controller.h)
// sends its tasks to executors, stops them and writes its record to the store.
// Times are wall-clock milliseconds, since some of them are recorded:
//
//   auto job = Job::Create(spec, home, now);
//   for (auto index : job.PendingTasks(16, now)) job.MarkOffered(index, ...);
//   job.OnEvent(event, now);
//   if (job.is_dirty()) ... write job.ToRecord() ...

#ifndef LENTILSCALE_JOB_H_
#define LENTILSCALE_JOB_H_

#include <json/json.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lentilscale/configuration.h"
#include "lentilscale/work.h"

namespace lentilscale {

// How the tasks of a job are started and ended.
enum class JobKind {
  // Each task starts as soon as there is capacity for it.
  kBatch,
  // Gang-scheduled: either all tasks start or none does.
  kAllAtOnce,
  // Tasks run indefinitely and are replaced when they end.
  kService,
};

auto JobKindName(JobKind kind) -> std::string_view;

// The specification of a job, as submitted.
struct JobSpec {
  // Parses and validates a specification; throws Error(kBadRequest).
  static auto FromJson(const Json::Value& object) -> JobSpec;
  static auto FromDeployment(const Deployment& deployment) -> JobSpec;
  auto ToJson() const -> Json::Value;

  // Chosen by the caller. A repeated submission has the same id.
  std::string id_;
  std::string team_;
  std::string service_;
  JobKind kind_ = JobKind::kBatch;
  std::int64_t count_ = 1;
  // Resources of each task.
  Resources need_;
  std::string work_class_;
  Json::Value payload_;
  // Number of failures after which a task is not retried.
  std::int64_t max_failures_ = 3;
  bool is_urgent_ = false;
  // For services: running tasks of another version are replaced.
  std::string version_;
  std::int64_t max_unavailable_ = 1;
};

enum class TaskState {
  kPending,
  // Sent to an executor, not yet reported as started.
  kOffered,
  kRunning,
  kDone,
  kFailed,
  kCancelled,
};

auto TaskStateName(TaskState state) -> std::string_view;

enum class JobState { kActive, kEnded, kCancelled };

auto JobStateName(JobState state) -> std::string_view;

// A task of a job, as the owner of the job's home shard knows it.
struct JobTask {
  TaskState state_ = TaskState::kPending;
  std::int64_t attempt_ = 0;
  std::int64_t failures_ = 0;
  Millis progress_ms_ = 0;
  std::string executor_;
  std::string worker_;
  std::string version_;
  // Job::change_count() right after the last change of the state.
  std::int64_t change_number_ = 0;
  Millis not_before_ms_ = 0;
  bool is_stopping_ = false;
};

// Number of tasks in each state.
struct JobCounts {
  std::int64_t pending_ = 0;
  std::int64_t offered_ = 0;
  std::int64_t running_ = 0;
  std::int64_t done_ = 0;
  std::int64_t failed_ = 0;
  std::int64_t cancelled_ = 0;
};

// A job and its tasks.
class Job {
 public:
  // Returns a new job, which is not in the store yet.
  static auto Create(const JobSpec& spec, const std::string& home, Millis now)
      -> Job;
  // Restores a job from its record in the store. Tasks that have not ended are
  // pending until Reconcile() tells which of them run.
  static auto FromRecord(const Json::Value& record) -> Job;
  // Returns the record for the store: the specification, the home shard, the
  // job's state and how each ended task ended.
  auto ToRecord() const -> Json::Value;

  // Returns up to `max` pending tasks that may be offered at `now`.
  auto PendingTasks(std::size_t max, Millis now) const
      -> std::vector<std::int64_t>;

  // Marks a task as offered to `executor` under a new attempt number.
  auto MarkOffered(std::int64_t index, std::int64_t attempt,
                   const std::string& executor) -> void;
  // Returns the task to pending; its offer is known not to have been accepted.
  auto OnOfferRefused(std::int64_t index, std::int64_t attempt) -> void;
  // Applies an event that an executor reported. Returns true if the event need
  // not be sent again once the job's record is written (or at once, if the job
  // is not dirty).
  auto OnEvent(const TaskEvent& event, Millis now) -> bool;

  // A task that an executor has queued or running.
  struct Report {
    TaskEvent event_;
    bool is_started_ = false;
  };
  // Updates the tasks from the reports of all executors, which were requested
  // when change_count() was `since`. A task that no executor reports becomes
  // pending again. Tasks that changed after `since` are left as they are.
  auto Reconcile(const std::vector<Report>& reports, std::int64_t since,
                 Millis now) -> void;
  // Increases with every change of a task's state.
  auto change_count() const -> std::int64_t { return change_count_; }

  // Cancels the pending tasks and marks the others for stopping.
  auto Cancel(Millis now) -> void;
  // Applies a changed specification of a service from the configuration.
  auto Update(const JobSpec& spec) -> void;
  // Returns the tasks to stop now: those already marked for stopping and, of a
  // service, those beyond its count and, as far as `max_unavailable` allows,
  // those of another version.
  auto TasksToStop() const -> std::vector<std::int64_t>;

  auto Counts() const -> JobCounts;
  // True if every task is done, failed or cancelled.
  auto AllTasksEnded() const -> bool;
  auto Lane() const -> lentilscale::Lane;
  auto MakeTaskRef(std::int64_t index, std::int64_t epoch) const -> TaskRef;
  // Cancels the job for `reason`; its pending tasks become failed, the others
  // are marked for stopping.
  auto FailAll(const std::string& reason, Millis now) -> void;

  auto spec() const -> const JobSpec& { return spec_; }
  auto home() const -> const std::string& { return home_; }
  auto state() const -> JobState { return state_; }
  auto tasks() const -> const std::vector<JobTask>& { return tasks_; }
  auto task(std::int64_t index) -> JobTask& {
    return tasks_.at(static_cast<std::size_t>(index));
  }
  auto reason() const -> const std::string& { return reason_; }
  auto created_ms() const -> Millis { return created_ms_; }
  auto ended_ms() const -> Millis { return ended_ms_; }
  auto is_dirty() const -> bool { return is_dirty_; }
  auto ClearDirty() -> void { is_dirty_ = false; }
  auto MarkDirty() -> void { is_dirty_ = true; }

 private:
  auto SetState(JobTask& task, TaskState state) -> void;
  auto OnTaskEnded(JobTask& task, const TaskEvent& event, Millis now) -> void;
  auto RestartAll(Millis now) -> void;
  auto UpdateState(Millis now) -> void;

  JobSpec spec_;
  std::string home_;
  JobState state_ = JobState::kActive;
  std::vector<JobTask> tasks_;
  std::string reason_;
  Millis created_ms_ = 0;
  Millis ended_ms_ = 0;
  std::int64_t restarts_ = 0;
  std::int64_t change_count_ = 0;
  bool is_dirty_ = false;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_JOB_H_
