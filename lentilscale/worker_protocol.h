// Messages between a shard's owner and its workers.
//
// The owner opens a session on each worker with its epoch. The worker serves
// the highest epoch it has seen and refuses lower ones, so that a paused old
// owner can do no harm. One message opens and renews the session:
//
//   POST /v1/session  SessionRequest -> SessionAnswer
//   POST /v1/start    StartRequest   -> started, or a refusal
//   POST /v1/call     StartRequest   -> the call's answer when it has ended
//
// The worker holds the answer to a renewal until a task ends or the request's
// waiting time has passed, so that ends are known at once and an idle worker
// costs one message per period. A request that comes meanwhile, to stop or
// cancel something, releases the held one.
//
// Three rules make outcomes provable (docs/design/workers.md):
//   - A renewal extends the session to the echoed time plus its term, where
//     the echo is the worker's own clock from its last answer that the owner
//     saw. A renewal that was delayed by a pause extends nothing.
//   - A task's key is known to the worker until the owner acknowledges its
//     end; a second start with a known key starts nothing.
//   - Cancelling a key that the worker does not know makes it known as ended
//     without a start, so that a start that arrives later is refused.

#ifndef LENTILSCALE_WORKER_PROTOCOL_H_
#define LENTILSCALE_WORKER_PROTOCOL_H_

#include <json/json.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lentilscale/clock.h"
#include "lentilscale/resources.h"

namespace lentilscale {

// A worker as the platform lists it.
struct WorkerInfo {
  static auto FromJson(const Json::Value& object) -> WorkerInfo;
  auto ToJson() const -> Json::Value;

  std::string id_;
  // Address as "IP:port".
  std::string address_;
  std::string service_;
  std::string data_centre_;
  std::string region_;
  std::string rack_;
  Resources capacity_;
  std::int64_t max_connections_ = 64;
  bool is_leaving_ = false;
};

// How a task or call ended at the worker.
enum class EndStatus {
  kOk,
  kFailed,
  kOutOfMemory,
  // Stopped by the owner, with its progress kept.
  kStopped,
  // Cancelled before it was started: it never ran.
  kNeverStarted,
  // The session lapsed and the worker stopped it.
  kLapsed,
};

// Returns the status's name on the wire.
auto EndStatusName(EndStatus status) -> std::string_view;
// Returns the status named `name`, or kFailed.
auto EndStatusFromName(std::string_view name) -> EndStatus;

// Opens or renews a session.
struct SessionRequest {
  static auto FromJson(const Json::Value& object) -> SessionRequest;
  auto ToJson() const -> Json::Value;

  std::string owner_;
  std::int64_t epoch_ = 0;
  Millis session_ttl_ms_ = 0;
  // The worker's clock from its last answer; 0 opens the session.
  Millis echoed_clock_ms_ = 0;
  // Longest time for which the worker may hold its answer while it has nothing
  // new to tell.
  Millis max_wait_ms_ = 0;
  // Keys whose ends the owner has taken.
  std::vector<std::string> acknowledged_keys_;
  // Keys to checkpoint and stop.
  std::vector<std::string> stop_keys_;
  // Keys to make known as never started, unless they are running.
  std::vector<std::string> cancel_keys_;
};

// A task that the worker runs.
struct RunningTask {
  std::string key_;
  Resources used_;
  // Only in the answer that opens a session.
  Json::Value tag_;
};

// A task that has ended and was not acknowledged.
struct EndedTask {
  std::string key_;
  EndStatus status_ = EndStatus::kOk;
  // Milliseconds of work that a checkpoint keeps.
  Millis progress_ms_ = 0;
  Resources used_;
  // A call's answer.
  Json::Value call_answer_;
  // Only in the answer that opens a session.
  Json::Value tag_;
};

// The worker's answer to a session request.
struct SessionAnswer {
  static auto FromJson(const Json::Value& object) -> SessionAnswer;
  auto ToJson() const -> Json::Value;

  Millis clock_ms_ = 0;
  // Grows with each answer, so that one that was overtaken is recognized.
  std::int64_t sequence_ = 0;
  // Differs after each restart of the worker. A worker that restarted knows
  // nothing of what ran before, so "never started" proves nothing about it.
  std::int64_t incarnation_ = 0;
  std::vector<RunningTask> running_;
  std::vector<EndedTask> ended_;
};

// Starts a task or a call.
struct StartRequest {
  static auto FromJson(const Json::Value& object) -> StartRequest;
  auto ToJson() const -> Json::Value;

  std::string key_;
  std::int64_t epoch_ = 0;
  // What the worker reserves and holds the task to.
  Resources need_;
  // Kept by the worker and returned when a session is opened.
  Json::Value tag_;
  // What to run; passed through unread.
  Json::Value payload_;
  // Work that an earlier attempt's checkpoint kept.
  Millis progress_ms_ = 0;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_WORKER_PROTOCOL_H_
