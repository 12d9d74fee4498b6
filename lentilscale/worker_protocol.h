// Messages between the owner of a shard and its workers.
//
// The owner opens a session on each worker with its epoch. A worker serves the
// highest epoch that it has seen and refuses lower ones, which fences off a
// former owner that resumes after a pause. One message opens and renews the
// session:
//
//   POST /v1/session  SessionRequest -> SessionAnswer
//   POST /v1/start    StartRequest   -> started, or a refusal
//   POST /v1/call     StartRequest   -> the call's answer when it has ended
//
// The worker holds the answer to a renewal until a task ends or the request's
// maximum wait has passed. The owner thus learns of ends at once, and an idle
// worker costs one message per renewal interval. Another request that arrives
// meanwhile, to stop or cancel something, releases the held answer.
//
// Four rules let the owner prove what happened to a task
// (docs/design/workers.md):
//   - A renewal extends the session to the echoed time plus the session's TTL.
//     The echoed time is the worker's own clock in the last answer that the
//     owner received, so delaying the renewal, for example by a pause of the
//     owner, does not extend the session.
//     An opening echoes nothing, so it leaves the end of what runs as it is.
//   - The worker remembers a task's key until the owner acknowledges its end.
//     A second start with a remembered key starts nothing.
//   - Cancelling a key that the worker does not know records it as ended
//     without a start, so that a start that arrives later is refused.
//     Acknowledged keys are forgotten; by then the start has become invalid by
//     the worker's clock.
//   - A request names the incarnation of the worker that it is meant for. After
//     a restart it neither opens nor renews a session, and starts,
//     acknowledges, stops or cancels nothing; a session request is answered at
//     once with the present incarnation.

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

// A worker's entry in the platform's list.
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
  // Number of concurrent connections that the worker accepts.
  std::int64_t max_connections_ = 64;
  bool is_leaving_ = false;
};

// How a task or call ended at the worker.
enum class EndStatus {
  kOk,
  kFailed,
  kOutOfMemory,
  // Stopped by the owner; its progress is kept.
  kStopped,
  // Cancelled before it was started; it never ran.
  kNeverStarted,
  // Stopped by the worker because the session expired.
  kLapsed,
};

// Returns the wire name of `status`.
auto EndStatusName(EndStatus status) -> std::string_view;
// Returns the status with the wire name `name`, or kFailed if there is none.
auto EndStatusFromName(std::string_view name) -> EndStatus;

// Opens or renews a session.
struct SessionRequest {
  static auto FromJson(const Json::Value& object) -> SessionRequest;
  auto ToJson() const -> Json::Value;

  std::string owner_;
  std::int64_t epoch_ = 0;
  Millis session_ttl_ms_ = 0;
  // The worker's clock in the last answer from it; 0 opens the session.
  Millis echoed_clock_ms_ = 0;
  // The incarnation that the request is meant for; 0 if the owner knows none.
  std::int64_t incarnation_ = 0;
  // Longest time for which the worker may hold its answer while nothing has
  // changed.
  Millis max_wait_ms_ = 0;
  // Keys whose ends the owner has processed.
  std::vector<std::string> acknowledged_keys_;
  // Keys of work to checkpoint and stop.
  std::vector<std::string> stop_keys_;
  // Keys to record as never started, unless they are running or have ended.
  std::vector<std::string> cancel_keys_;
};

// A task or call that the worker runs.
struct RunningTask {
  std::string key_;
  Resources used_;
  // Set only in the answer that opens a session.
  Json::Value tag_;
};

// A task or call whose end the owner has not acknowledged.
struct EndedTask {
  std::string key_;
  EndStatus status_ = EndStatus::kOk;
  // Work that the checkpoint preserves, in milliseconds of run time.
  Millis progress_ms_ = 0;
  Resources used_;
  // The answer of a call; null for a task.
  Json::Value call_answer_;
  // Set only in the answer that opens a session.
  Json::Value tag_;
};

// The worker's answer to a session request.
struct SessionAnswer {
  static auto FromJson(const Json::Value& object) -> SessionAnswer;
  auto ToJson() const -> Json::Value;

  Millis clock_ms_ = 0;
  // Increases with each answer, so that an answer that arrives out of order is
  // recognized.
  std::int64_t sequence_ = 0;
  // Changes with each restart of the worker. A restarted worker knows nothing
  // of what ran before, so its "never started" proves nothing about that.
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
  // The incarnation of the worker that is to start the work; 0 if any may.
  std::int64_t incarnation_ = 0;
  // Time by the worker's clock from which the request is refused; 0 if never.
  Millis valid_until_ms_ = 0;
  // Resources that the worker reserves, and the limit that it enforces.
  Resources need_;
  // Stored by the worker and returned in the answer that opens a session.
  Json::Value tag_;
  // Description of the work; passed through without being interpreted.
  Json::Value payload_;
  // Work that the checkpoint of an earlier attempt preserves.
  Millis progress_ms_ = 0;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_WORKER_PROTOCOL_H_
