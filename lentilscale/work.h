// Work as it travels from a caller or a job to a worker.
//
// A Work is either a call, whose answer goes back to a waiting caller, or a
// task of a job, whose events go to the job's keeper.

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
  // The reason, unless answered.
  ErrorCode code_ = ErrorCode::kOutcomeUnknown;
  std::string reason_;
  // The worker's answer.
  Json::Value answer_;
  std::string worker_;
  // Time from enqueueing to the start on a worker.
  Millis wait_ms_ = 0;
};

// Returns the outcome of a call whose last attempt ended as `last`. If an
// earlier attempt may have run, "not run" is no longer true of the call.
auto FinalOutcome(const CallOutcome& last, bool may_have_run) -> CallOutcome;

// A call that an instance executes.
struct CallWork {
  bool is_idempotent_ = false;
  std::function<void(const CallOutcome&)> on_outcome_;
};

// Names one attempt at one task of a job.
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
  // Hold from which the task takes its room, or empty.
  std::string hold_id_;
};

// Work with what placement needs to know.
struct Work {
  std::string service_;
  WorkItem item_;
  // Class by which sizes are learned.
  std::string work_class_;
  // Passed to the worker unread.
  Json::Value payload_;
  Millis progress_ms_ = 0;
  std::variant<CallWork, TaskWork> kind_;
};

// Prefix of the keys under which holds of all-at-once jobs take room.
constexpr std::string_view kHoldKeyPrefix = "hold:";

// Returns what a worker keeps beside a task so that the shard's next owner can
// take the task over; WorkFromTag reads it back.
auto TagFromWork(const Work& work) -> Json::Value;
auto WorkFromTag(const std::string& key, const Json::Value& tag) -> Work;

// What happened to a task.
enum class TaskEventKind { kStarted, kEnded, kLost, kDropped };

// Returns the kind's name on the wire.
auto TaskEventKindName(TaskEventKind kind) -> std::string_view;

// An event of a task, for its job's keeper.
struct TaskEvent {
  static auto FromJson(const Json::Value& object) -> TaskEvent;
  auto ToJson() const -> Json::Value;

  TaskRef ref_;
  TaskEventKind kind_ = TaskEventKind::kStarted;
  // For kEnded.
  EndStatus status_ = EndStatus::kOk;
  Millis progress_ms_ = 0;
  // The member that reports.
  std::string executor_;
  std::string worker_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_WORK_H_
