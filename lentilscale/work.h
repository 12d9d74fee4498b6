// The unit of work that an instance queues, places and starts on a worker.
//
// A Work is either a call, whose answer is returned to a waiting caller, or a
// task of a job, whose events are sent to the owner of the job's home shard.

#ifndef LENTILSCALE_WORK_H_
#define LENTILSCALE_WORK_H_

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "lentilscale/clock.h"
#include "lentilscale/error.h"
#include "lentilscale/scheduler.h"
#include "lentilscale/worker_protocol.h"

namespace lentilscale {

// How a call ended.
struct CallOutcome {
  enum class Kind { kAnswered, kNotRun, kUnknown };
  Kind kind_ = Kind::kUnknown;
  // Why the call was not answered; unused for kAnswered.
  ErrorCode code_ = ErrorCode::kOutcomeUnknown;
  std::string reason_;
  // The worker's answer.
  Json::Value answer_;
  std::string worker_;
  // Time from entering the queue to the start on a worker.
  Millis wait_ms_ = 0;
};

// Returns the outcome of a call whose last attempt ended with `last`. If an
// earlier attempt may have run, kNotRun becomes kUnknown.
auto FinalOutcome(const CallOutcome& last, bool may_have_run) -> CallOutcome;

// A call that an instance executes.
struct CallWork {
  bool is_idempotent_ = false;
  std::function<void(const CallOutcome&)> on_outcome_;
};

// Identifies one attempt at one task of a job.
struct TaskRef {
  static auto FromJson(const Json::Value& object) -> TaskRef;
  auto ToJson() const -> Json::Value;

  std::string job_;
  std::int64_t index_ = 0;
  std::int64_t attempt_ = 0;
  // The shard whose owner keeps the job, and that owner's epoch.
  std::string home_;
  std::int64_t home_epoch_ = 0;

  // Returns the key under which workers know this attempt.
  auto Key() const -> std::string;
};

// A task that an instance executes.
struct TaskWork {
  TaskRef ref_;
  // The hold whose reserved capacity the task uses, or empty.
  std::string hold_id_;
};

// A call or task with its placement requirements.
struct Work {
  std::string service_;
  WorkItem item_;
  // The class for which resource sizes are estimated.
  std::string work_class_;
  // Passed to the worker without interpretation.
  Json::Value payload_;
  // Work that a checkpoint of an earlier attempt keeps.
  Millis progress_ms_ = 0;
  std::variant<CallWork, TaskWork> kind_;
};

// Prefix of the scheduler keys under which holds of all-at-once jobs reserve
// capacity.
constexpr std::string_view kHoldKeyPrefix = "hold:";

// Returns the tag that a worker stores with a task, from which the shard's next
// owner restores the work with WorkFromTag.
auto TagFromWork(const Work& work) -> Json::Value;
auto WorkFromTag(const std::string& key, const Json::Value& tag) -> Work;

// kLost: the task's worker was lost, or no longer lists the task. kDropped: the
// task was removed without having been started.
enum class TaskEventKind { kStarted, kEnded, kLost, kDropped };

// Returns the kind's name on the wire.
auto TaskEventKindName(TaskEventKind kind) -> std::string_view;

// A change of a task's state, reported to the owner of its job's home shard.
struct TaskEvent {
  static auto FromJson(const Json::Value& object) -> TaskEvent;
  auto ToJson() const -> Json::Value;

  TaskRef ref_;
  TaskEventKind kind_ = TaskEventKind::kStarted;
  // Valid for kEnded.
  EndStatus status_ = EndStatus::kOk;
  Millis progress_ms_ = 0;
  // The id of the member that reports the event.
  std::string executor_;
  std::string worker_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_WORK_H_
