// Jobs: what was asked for, what the store records, and what the keeper knows
// of each task.
//
// A Job is changed only by the methods below, which do no I/O; the keeper
// (job_controller.h) carries out what they decide. Times are wall-clock
// milliseconds, since some of them are recorded:
//
//   auto job = Job::Create(spec, home, now);
//   for (auto index : job.PendingTasks(16)) job.MarkOffered(index, ...);
//   auto effect = job.OnEvent(event, now);
//   if (job.IsDirty()) ... write job.ToRecord() ...

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

// Kinds of jobs.
enum class JobKind {
  // Tasks start as room appears.
  kBatch,
  // All tasks start together or none does.
  kAllAtOnce,
  // Tasks run on and are replaced when they end.
  kService,
};

auto JobKindName(JobKind kind) -> std::string_view;

// What was asked for.
struct JobSpec {
  // Reads and checks a specification; throws Error(kBadRequest).
  static auto FromJson(const Json::Value& object) -> JobSpec;
  static auto FromDeployment(const Deployment& deployment) -> JobSpec;
  auto ToJson() const -> Json::Value;

  // Chosen by the caller; a repeat of a submission has the same id.
  std::string id_;
  std::string team_;
  std::string service_;
  JobKind kind_ = JobKind::kBatch;
  std::int64_t count_ = 1;
  Resources need_;
  std::string work_class_;
  Json::Value payload_;
  // Failures after which a task is given up.
  std::int64_t max_failures_ = 3;
  bool is_urgent_ = false;
  // Of services: tasks of another version are replaced.
  std::string version_;
  std::int64_t max_unavailable_ = 1;
};

// The state of one task.
enum class TaskState {
  kPending,
  // Sent to an executor, not known to run yet.
  kOffered,
  kRunning,
  kDone,
  kFailed,
  kCancelled,
};

auto TaskStateName(TaskState state) -> std::string_view;

// The state of a job.
enum class JobState { kActive, kEnded, kCancelled };

auto JobStateName(JobState state) -> std::string_view;

// One task as its keeper knows it.
struct JobTask {
  TaskState state_ = TaskState::kPending;
  std::int64_t attempt_ = 0;
  std::int64_t failures_ = 0;
  Millis progress_ms_ = 0;
  std::string executor_;
  std::string worker_;
  std::string version_;
  // Value of the job's change counter when the state last changed.
  std::int64_t change_number_ = 0;
  Millis not_before_ms_ = 0;
  bool is_stopping_ = false;
};

// Counts of tasks by state.
struct JobCounts {
  std::int64_t pending_ = 0;
  std::int64_t offered_ = 0;
  std::int64_t running_ = 0;
  std::int64_t done_ = 0;
  std::int64_t failed_ = 0;
  std::int64_t cancelled_ = 0;
};

// A job.
class Job {
 public:
  // A new job, to be recorded in the store.
  static auto Create(const JobSpec& spec, const std::string& home, Millis now)
      -> Job;
  // A job from the store's record, whose running tasks are not known yet.
  static auto FromRecord(const Json::Value& record) -> Job;
  // What the store keeps: the specification, the home, and which tasks have
  // ended how.
  auto ToRecord() const -> Json::Value;

  // Returns up to `max` tasks to offer at `now`.
  auto PendingTasks(std::size_t max, Millis now) const
      -> std::vector<std::int64_t>;

  // Gives the task a new attempt for an offer.
  auto MarkOffered(std::int64_t index, std::int64_t attempt,
                   const std::string& executor) -> void;
  // The offer was proved not to have been taken.
  auto OnOfferRefused(std::int64_t index, std::int64_t attempt) -> void;
  // An executor told of a task. Returns true if the event needs no further
  // telling once the job is recorded (at once, if it is not dirty).
  auto OnEvent(const TaskEvent& event, Millis now) -> bool;

  // Brings the tasks into line with all executors' reports, which were asked
  // for when change_count() was `since`. Tasks that nobody knows are pending
  // again; what changed later is left alone.
  struct Report {
    TaskEvent event_;
    bool is_started_ = false;
  };
  auto Reconcile(const std::vector<Report>& reports, std::int64_t since,
                 Millis now) -> void;
  // Grows with every change of a task's state.
  auto change_count() const -> std::int64_t { return change_count_; }

  // Cancels what has not ended.
  auto Cancel(Millis now) -> void;
  // Takes the new state of a service from the configuration.
  auto Update(const JobSpec& spec) -> void;
  // Returns running tasks of a service that should be stopped now: surplus
  // ones and, as far as availability allows, ones of another version.
  auto TasksToStop() const -> std::vector<std::int64_t>;

  auto Counts() const -> JobCounts;
  auto AllTasksEnded() const -> bool;
  auto Lane() const -> lentilscale::Lane;
  auto MakeTaskRef(std::int64_t index, std::int64_t epoch) const -> TaskRef;
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
