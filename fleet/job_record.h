// Stored records of a job and their JSON encoding.
//
// A JobRecord holds the job as submitted and is written once, when the job is
// accepted. A ProgressRecord is rewritten as tasks end. Only the functions here
// encode and decode them.

#ifndef LENTILSCALE_FLEET_JOB_RECORD_H_
#define LENTILSCALE_FLEET_JOB_RECORD_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lentilscale/clock.h"
#include "lentilscale/resources.h"

namespace lentilscale::fleet {

// Limits on a job, so that one request cannot exhaust an instance's memory.
inline constexpr std::size_t kMaxSpecBytes = 4000;
inline constexpr int kMaxSteps = 64;
inline constexpr int kMaxTasksPerStep = 4096;

// A step of a job: a number of identical tasks.
struct Step {
  int count_ = 0;
  // Resources that each task takes on its worker. If uses_idle_cpu_ is true,
  // the processors do not count against the worker's capacity.
  Resources demand_;
  // The client's rough estimate of a task's run time; 0 if unknown.
  Millis estimate_ms_ = 0;
  // Numbers of the earlier steps that must be done before this one is ready.
  std::vector<int> after_;
  bool is_checkpointing_ = false;
  // Gang scheduling: the tasks run only all at once and end together.
  bool is_gang_ = false;
  // The tasks run slower when spread over more than one rack.
  bool prefers_same_rack_ = false;
  // A label that the worker must have; empty for any.
  std::string required_label_;
  // The rack that holds the tasks' data, preferred by placement; empty for
  // any.
  std::string preferred_rack_;
  // Limit on the number of tasks of the step on one worker; 0 for none.
  int max_per_worker_ = 0;
  bool is_speculative_ = false;
  // The tasks run until the job is cancelled.
  bool is_long_running_ = false;
  // The image that the tasks run; tasks of one image behave alike.
  std::string image_;
  // Target for the tail latency of a serving task; 0 for none.
  Millis tail_latency_target_ms_ = 0;
  // The tasks use processor time that other tasks leave idle.
  bool uses_idle_cpu_ = false;
  // Number of tasks that the scheduler may make unavailable at a time.
  int max_unavailable_ = 0;
};

// A job as accepted.
struct JobRecord {
  std::string id_;
  std::string queue_;
  // Empty if the job came through a public queue without a key.
  std::string team_;
  std::string spec_;
  std::vector<Step> steps_;
  // Number of occurrences; 0 for a single one without a due time.
  std::int64_t repeat_count_ = 0;
  // Due time of the first occurrence (Unix time), and the interval between
  // successive ones.
  Millis first_due_ms_ = 0;
  Millis interval_ms_ = 0;
  // Wall-clock time of acceptance, which orders jobs of one priority.
  Millis accepted_ms_ = 0;
};

// State of a job as shown to clients. kCompleted and later values are final.
enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// Returns the name of `state` in records and logs.
auto JobStateName(JobState state) -> const char*;

// One life of a worker: from a start of its process to the end.
struct WorkerLife {
  std::string worker_;
  std::int64_t incarnation_ = 0;
  std::string address_;
};

// A crash that is counted, and may be taken back once it is known which other
// workers ended with this one.
struct UndecidedCrash {
  // The life that ended.
  WorkerLife life_;
  // The worker that came after it, and when it began by its time of day.
  std::string next_worker_;
  std::int64_t next_born_ = 0;
  std::string service_;
  std::string data_centre_;
};

// The crashes of workers under one task or gang.
struct CrashRecord {
  // Numbers of the runs under which a worker crashed, and of those that were
  // alone on it.
  std::set<std::int64_t> runs_;
  std::set<std::int64_t> lone_runs_;
  // By run, those of runs_ that are not decided. A new owner decides them.
  std::map<std::int64_t, UndecidedCrash> undecided_;
  // The run that was ordered last, and its workers by index of the gang's
  // member; 0 and empty once it has ended. Stored before the order is sent, so
  // that a new owner can tell whether the run has crashed a worker.
  std::int64_t ordered_run_ = 0;
  std::vector<WorkerLife> ordered_on_;
};

// Stored progress of a job.
struct ProgressRecord {
  JobState state_ = JobState::kQueued;
  // Finished tasks by occurrence: a string for each step with a letter for each
  // task, 'D' if it is done and '.' if not.
  std::map<std::int64_t, std::vector<std::string>> done_;
  // Numbers of the failed runs, by task ("OCCURRENCE.STEP.INDEX") or gang
  // ("OCCURRENCE.STEP"), of occurrences that are not done.
  std::map<std::string, std::set<std::int64_t>> failures_;
  // By task or gang, as failures_.
  std::map<std::string, CrashRecord> crashes_;
  // Latest checkpoints of unfinished tasks, by "OCCURRENCE.STEP.INDEX".
  std::map<std::string, std::string> checkpoints_;
  // Occurrences below this number are done and not listed in done_.
  std::int64_t occurrences_done_ = 0;
};

// Returns why `job` is invalid, as a message for the client; empty if valid.
auto ValidateJob(const JobRecord& job) -> std::string;

auto EncodeJob(const JobRecord& job) -> std::string;
auto DecodeJob(const std::string& text) -> absl::StatusOr<JobRecord>;
auto EncodeProgress(const ProgressRecord& progress) -> std::string;
auto DecodeProgress(const std::string& text) -> absl::StatusOr<ProgressRecord>;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_JOB_RECORD_H_
