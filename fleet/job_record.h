// Jobs as clients hand them in, and what the store keeps of them.
//
// A JobRecord is written once, when the job is accepted. A ProgressRecord is
// written as tasks end. Both are JSON in the store; the codecs here are the
// only ones.

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

// Bounds on a job, so that one request cannot fill an instance's memory.
inline constexpr std::size_t kMaxSpecBytes = 4000;
inline constexpr int kMaxSteps = 64;
inline constexpr int kMaxTasksPerStep = 4096;

// One step: a number of like tasks.
struct Step {
  int count_ = 0;
  // What each task takes of a worker. If uses_idle_cpu_ is true,
  // its processors are not counted against the worker's capacity.
  Resources demand_;
  // The client's rough estimate of a task's run time; 0 if unknown.
  Millis estimate_ms_ = 0;
  // Numbers of earlier steps whose tasks must all be done first.
  std::vector<int> after_;
  bool is_checkpointing_ = false;
  // The tasks work only all together and end together.
  bool is_gang_ = false;
  // The tasks are slower when they run on more than one rack.
  bool prefers_same_rack_ = false;
  // A label that the worker must have; empty for any.
  std::string required_label_;
  // The rack where the data is; empty for any.
  std::string preferred_rack_;
  // Most tasks of the step on one worker; 0 for any number.
  int max_per_worker_ = 0;
  bool is_speculative_ = false;
  // The tasks run until the job is cancelled.
  bool is_long_running_ = false;
  // What the tasks run; tasks of one image behave alike.
  std::string image_;
  // Bound on the tail of response times of a serving task; 0 for none.
  Millis tail_latency_target_ms_ = 0;
  // The tasks take the processors that other tasks leave unused.
  bool uses_idle_cpu_ = false;
  // Tasks that the scheduler may make unavailable at a time.
  int max_unavailable_ = 0;
};

// A job as it was accepted.
struct JobRecord {
  std::string id_;
  std::string queue_;
  // Empty if the job came through a public queue without a key.
  std::string team_;
  std::string spec_;
  std::vector<Step> steps_;
  // How often the steps run; 0 for once, without a due time.
  std::int64_t repeat_count_ = 0;
  // Due time of the first occurrence since 1970, and the time between two.
  Millis first_due_ms_ = 0;
  Millis interval_ms_ = 0;
  // Wall-clock time of acceptance, for the order within a priority.
  Millis accepted_ms_ = 0;
};

// The states of a job that clients see.
enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// Returns the name of `state` in records and logs.
auto JobStateName(JobState state) -> const char*;

// What has ended of a job, as the store keeps it.
struct ProgressRecord {
  JobState state_ = JobState::kQueued;
  // Tasks done: by occurrence, step and index, 'D' for done and '.' for not.
  std::map<std::int64_t, std::vector<std::string>> done_;
  // Numbers of the failed runs, by task ("K.STEP.INDEX") or gang ("K.STEP").
  std::map<std::string, std::set<std::int64_t>> failures_;
  // Latest checkpoint of tasks that are not running, by task name.
  std::map<std::string, std::string> checkpoints_;
  // Occurrences below this number are done and not listed.
  std::int64_t occurrences_done_ = 0;
};

// Returns a problem with `job` as a message for the client, or an empty text.
auto ValidateJob(const JobRecord& job) -> std::string;

auto EncodeJob(const JobRecord& job) -> std::string;
auto DecodeJob(const std::string& text) -> absl::StatusOr<JobRecord>;
auto EncodeProgress(const ProgressRecord& progress) -> std::string;
auto DecodeProgress(const std::string& text) -> absl::StatusOr<ProgressRecord>;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_JOB_RECORD_H_
