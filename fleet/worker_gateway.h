// Workers and the advice service as the fleet scheduler sees them.
//
// Platform adapters and test fakes implement these classes. Times on a
// worker's own clock are named worker_..._ms; all others are BootMs.

#ifndef LENTILSCALE_FLEET_WORKER_GATEWAY_H_
#define LENTILSCALE_FLEET_WORKER_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lentilscale/clock.h"
#include "lentilscale/resources.h"

namespace lentilscale::fleet {

// A worker as it registered itself.
struct WorkerEntry {
  std::string id_;
  // Start of this life of the worker, Unix milliseconds.
  std::int64_t incarnation_ = 0;
  std::string service_;
  std::string address_;
  std::string data_centre_;
  bool is_draining_ = false;
  Resources capacity_;
  std::vector<std::string> labels_;
};

// One run of one task.
struct RunRef {
  // "JOB.OCCURRENCE.STEP.INDEX".
  std::string task_;
  // Number of the task's start; later starts have higher numbers.
  std::int64_t run_ = 0;

  auto operator==(const RunRef&) const -> bool = default;
};

// What a worker says of a run that is going on.
struct RunningTask {
  RunRef run_;
  std::string checkpoint_;
  // How much of its work the run has done, in percent; of a lasting task, 100
  // while it serves.
  int progress_percent_ = 0;
  // Serving tasks: tail of the response times in ms. Others: processors in
  // use, thousandths.
  double load_ = 0;
};

// How a run ended.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken,
  kGangIncomplete
};

// Returns the name of `end` in logs.
auto RunEndName(RunEnd end) -> const char*;

// An end as the worker lists it until it is acknowledged.
struct EndedRun {
  // Position in this life's list of ends, from 1.
  std::int64_t number_ = 0;
  RunRef run_;
  RunEnd end_ = RunEnd::kFailed;
  std::string checkpoint_;
};

// How a call to a worker ended.
enum class WorkerStatus {
  kOk,
  // The worker has seen a higher fencing token.
  kFenced,
  // A run of this or a higher number was stopped or ended there.
  kStaleRun,
  // The lease time of the call had passed.
  kLeaseExpired,
  kNoCapacity,
  // The ticket is missing, wrong or no longer valid.
  kBadTicket,
  // Another worker answers at the address.
  kWrongWorker,
  // The worker is unhealthy or refuses; nothing was done.
  kRefused,
  kNotSent,
  // No answer: the order may be carried out, also later.
  kUnknown,
};

// Returns the name of `status` in logs.
auto WorkerStatusName(WorkerStatus status) -> const char*;

// The answer to an order.
struct OrderResult {
  WorkerStatus status_ = WorkerStatus::kNotSent;
  // The worker's clock when it answered; 0 if it did not say.
  Millis worker_clock_ms_ = 0;
};

// The answer to Hold.
struct HoldResult {
  WorkerStatus status_ = WorkerStatus::kNotSent;
  std::int64_t incarnation_ = 0;
  Millis worker_clock_ms_ = 0;
  Millis sent_ms_ = 0;
  std::vector<RunningTask> running_;
  std::vector<EndedRun> ended_;
};

// A start order.
struct StartOrder {
  RunRef run_;
  std::string spec_;
  std::string checkpoint_;
  std::string ticket_;
  // End of the lease of all that runs on the worker, on the worker's clock.
  Millis worker_lease_end_ms_ = 0;
  std::int64_t fencing_token_ = 0;
};

// A renewal of the lease of all that runs on a worker, and a look at it.
struct HoldOrder {
  std::int64_t fencing_token_ = 0;
  // Ends up to this number need not be listed again.
  std::int64_t acknowledged_end_ = 0;
  // 0 leaves the lease as it is.
  Millis worker_lease_end_ms_ = 0;
  // How long the worker waits for an end before it answers.
  Millis wait_ms_ = 0;
};

// Calls to workers. Callbacks run later, exactly once each.
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
  // Bounds the share of processor time that a run may use.
  virtual auto Pace(const WorkerEntry& worker, const RunRef& run, int percent,
                    std::int64_t fencing_token, OrderCallback callback)
      -> void = 0;
};

// A permission to run a step on one worker.
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
  // Asks which of `workers` may run `step` ("JOB.OCCURRENCE.STEP").
  // `expected_ms` is the time that the answer should take.
  virtual auto RequestAdvice(const std::string& step,
                             const std::vector<std::string>& workers,
                             Millis expected_ms, Callback callback) -> void = 0;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_WORKER_GATEWAY_H_
