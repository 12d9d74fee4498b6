// Why a step whose turn has come is not placed.
//
// A step passes a chain of conditions, and the workers of its service are
// narrowed down by each. The first condition that none of them meets is the
// reason:
//
//   WorkerCounts counts;
//   for (...) { ++counts.in_service_; if (worker.IsUsable(now)) ... }
//   const auto reason = FindWaitReason(counts);

#ifndef LENTILSCALE_FLEET_WAIT_REASON_H_
#define LENTILSCALE_FLEET_WAIT_REASON_H_

#include <string_view>

namespace lentilscale::fleet {

enum class WaitReason {
  // No configuration ever had the job's queue.
  kNoQueue,
  // The owner's rights are not confirmed, so it starts nothing.
  kNoRights,
  // A previous owner may have started the tasks on a worker that has not
  // answered since the take-over.
  kMayBeRunning,
  // The stored workers record does not name the queue's service yet.
  kServiceNotRecorded,
  // Members of the gang's previous run have not ended.
  kGangEnding,
  // The team's upper limit.
  kTeamLimit,
  // The advice service refuses all workers.
  kNotAllowed,
  kNoUsableWorker,
  kNoCapacity,
  // All capacity is reserved for other steps.
  kReserved,
  // The step's limit of tasks per worker.
  kWorkerLimit,
  kAdvicePending,
  // Advice is due but has not been requested, or the ticket has expired.
  kNoTicket,
  // A worker meets all conditions; the next placement pass can use it.
  kPlaceable,
};

auto WaitReasonName(WaitReason reason) -> std::string_view;

// Numbers of workers of one service. Each counts those that also meet the
// conditions before it.
struct WorkerCounts {
  int in_service_ = 0;
  // Not refused by the advice service.
  int allowed_ = 0;
  int usable_ = 0;
  // With enough unused capacity for one task.
  int fitting_ = 0;
  // With enough capacity that is not reserved for other steps either.
  int unreserved_ = 0;
  // Below the step's limit of tasks per worker.
  int within_limit_ = 0;
  // With a valid ticket, if the queue needs one.
  int ticketed_ = 0;
};

// Returns the first condition that no worker meets. `is_advice_pending` tells a
// step that waits for an answer from one that has not asked.
auto FindWaitReason(const WorkerCounts& counts, bool is_advice_pending)
    -> WaitReason;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_WAIT_REASON_H_
