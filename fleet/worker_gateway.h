// Interfaces through which the fleet scheduler calls workers and the advice
// service.
//
// Platform adapters and test fakes implement them. Times on a worker's own
// clock are named worker_..._ms; unless stated otherwise, all others are on the
// scheduler's clock (BootMs).

#ifndef LENTILSCALE_FLEET_WORKER_GATEWAY_H_
#define LENTILSCALE_FLEET_WORKER_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/answer_time.h"
#include "lentilscale/clock.h"
#include "lentilscale/resources.h"

namespace lentilscale::fleet {

// A worker's own registration in the store.
struct WorkerEntry {
  std::string id_;
  // Incarnation of the worker: its start time in Unix milliseconds. It changes
  // when the worker restarts.
  std::int64_t incarnation_ = 0;
  std::string service_;
  std::string address_;
  std::string data_centre_;
  bool is_draining_ = false;
  Resources capacity_;
  std::vector<std::string> labels_;
};

// Identifies one run of a task.
struct RunRef {
  // "JOB.OCCURRENCE.STEP.INDEX".
  std::string task_;
  // Run number; later starts of the task have higher numbers.
  std::int64_t run_ = 0;

  auto operator==(const RunRef&) const -> bool = default;
};

// A worker's report on a run in progress.
struct RunningTask {
  RunRef run_;
  std::string checkpoint_;
  // Completed share of the run's work; for a long-running task, 100 while it
  // serves.
  int progress_percent_ = 0;
  // For serving tasks, the tail latency in ms; for others, the processors in
  // use, in thousandths.
  double load_ = 0;
};

// How a run ended.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  // The worker's lease expired.
  kLapsed,
  kBroken,
  // The other members of the run's gang did not start in time.
  kGangIncomplete
};

// Returns the name of `end` in logs.
auto RunEndName(RunEnd end) -> const char*;

// The end of a run. The worker lists it until the scheduler acknowledges it.
struct EndedRun {
  // Sequence number within the worker's incarnation, from 1.
  std::int64_t number_ = 0;
  RunRef run_;
  RunEnd end_ = RunEnd::kFailed;
  std::string checkpoint_;
};

// The outcome of a call to a worker.
enum class WorkerStatus {
  kOk,
  // The worker has seen a higher fencing token.
  kFenced,
  // A run of the task with this or a higher number was stopped or has ended on
  // the worker.
  kStaleRun,
  // The lease in the call had expired when it arrived.
  kLeaseExpired,
  kNoCapacity,
  // The ticket is missing, wrong or no longer valid.
  kBadTicket,
  // Another worker answers at the address.
  kWrongWorker,
  // The worker is unhealthy or rejected the order, which has no effect.
  kRefused,
  kNotSent,
  // No usable answer: the order may have been carried out, or may still be.
  kUnknown,
};

// Returns the name of `status` in logs.
auto WorkerStatusName(WorkerStatus status) -> const char*;

// The answer to an order.
struct OrderResult {
  WorkerStatus status_ = WorkerStatus::kNotSent;
  // The worker's clock when it answered; 0 if the answer does not contain it.
  Millis worker_clock_ms_ = 0;
  // When the call was sent.
  Millis sent_ms_ = 0;
  // True if the call had been reported as unanswered before.
  bool is_late_ = false;
};

// Most ends that a worker lists in one answer; the others follow once these are
// acknowledged.
inline constexpr std::size_t kMaxListedEnds = 500;

// The answer to a Hold call.
struct HoldResult {
  WorkerStatus status_ = WorkerStatus::kNotSent;
  std::int64_t incarnation_ = 0;
  Millis worker_clock_ms_ = 0;
  // When the call was sent.
  Millis sent_ms_ = 0;
  // All runs in progress on the worker.
  std::vector<RunningTask> running_;
  // The ends that have not been acknowledged, the first kMaxListedEnds of them.
  std::vector<EndedRun> ended_;
  // The connection that the call was sent over; 0 if it is not known.
  std::int64_t connection_ = 0;
  // True if the call had been reported as unanswered before. Newer calls may
  // have been answered meanwhile, so the lists may be out of date.
  bool is_late_ = false;

  // Returns true if no end is missing: a run that is not listed, or a task of
  // which no run is, then has none there.
  auto IsComplete() const -> bool { return ended_.size() < kMaxListedEnds; }
};

// Starts a run.
struct StartOrder {
  RunRef run_;
  std::string spec_;
  std::string checkpoint_;
  std::string ticket_;
  // Expiry of the lease that covers all runs on the worker, on the worker's
  // clock.
  Millis worker_lease_end_ms_ = 0;
  std::int64_t fencing_token_ = 0;
  // Time after which the call is given up.
  Millis answer_timeout_ms_ = kMinAnswerTimeoutMs;
  // Time for which an answer is still reported after the call was given up.
  Millis late_answer_ms_ = 0;
};

// Time for which the answer to a stop is still reported after the call was
// given up. The stop is repeated meanwhile, and each takes a connection.
inline constexpr Millis kLateStopAnswerMs = 2000;

// Renews the lease that covers all runs on a worker, and requests its runs and
// ends.
struct HoldOrder {
  std::int64_t fencing_token_ = 0;
  // Acknowledges the ends up to this number; the worker may discard them. As
  // each life of the worker counts its ends anew, the call acknowledges none if
  // it is sent over another connection than `life_connections_`.
  std::int64_t acknowledged_end_ = 0;
  // Connections over which the life that listed these ends has answered.
  std::set<std::int64_t> life_connections_;
  // Expiry of the renewed lease, on the worker's clock; 0 leaves the lease
  // unchanged.
  Millis worker_lease_end_ms_ = 0;
  // Longest time that the worker waits for an end before it answers.
  Millis wait_ms_ = 0;
  // Time beyond that after which the call is given up.
  Millis answer_timeout_ms_ = kMinAnswerTimeoutMs;
  // Time for which an answer is still reported after the call was given up.
  Millis late_answer_ms_ = 0;
};

// Calls to workers. Each callback runs once, after the call returns. That of a
// Start or Hold call runs once more if the answer arrives within
// `late_answer_ms_` after the call was given up, that of a Stop call within
// kLateStopAnswerMs. That of a Hold call also does so, with kUnknown, once no
// answer will be reported.
class WorkerGateway {
 public:
  using OrderCallback = std::function<void(const OrderResult&)>;
  using HoldCallback = std::function<void(const HoldResult&)>;

  virtual ~WorkerGateway() = default;
  virtual auto Start(const WorkerEntry& worker, const StartOrder& order,
                     OrderCallback callback) -> void = 0;
  virtual auto Stop(const WorkerEntry& worker, const RunRef& run,
                    std::int64_t fencing_token, OrderCallback callback)
      -> void = 0;
  virtual auto Hold(const WorkerEntry& worker, const HoldOrder& order,
                    HoldCallback callback) -> void = 0;
  // Limits the share of processor time that a run may use.
  virtual auto Pace(const WorkerEntry& worker, const RunRef& run, int percent,
                    std::int64_t fencing_token, OrderCallback callback)
      -> void = 0;
};

// Permission to run a step on one worker.
struct Ticket {
  std::string worker_id_;
  std::string text_;
};

// The answer of the advice service.
struct AdviceResult {
  bool is_answered_ = false;
  std::vector<Ticket> tickets_;
  Millis valid_ms_ = 0;
};

// Calls to the advice service.
class AdviceGateway {
 public:
  using Callback = std::function<void(const AdviceResult&)>;

  virtual ~AdviceGateway() = default;
  // Requests tickets for `step` ("JOB.OCCURRENCE.STEP") on those of `workers`
  // that may run it. `expected_ms` is the time that the answer is expected to
  // take.
  virtual auto RequestAdvice(const std::string& step,
                             const std::vector<std::string>& workers,
                             Millis expected_ms, Callback callback) -> void = 0;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_WORKER_GATEWAY_H_
