// The counts are nested, so that the reason is found without looking at the
// workers again.

#include "fleet/wait_reason.h"

#include <array>
#include <cstddef>

namespace lentilscale::fleet {
namespace {

// By the order of WaitReason.
constexpr auto kReasonNames = std::to_array<std::string_view>(
    {"no_queue", "no_rights", "may_be_running", "service_not_recorded",
     "gang_ending", "team_limit", "not_allowed", "no_usable_worker",
     "no_capacity", "reserved", "worker_limit", "advice_pending", "no_ticket",
     "placeable"});

}  // namespace

auto WaitReasonName(WaitReason reason) -> std::string_view {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

auto FindWaitReason(const WorkerCounts& counts, bool is_advice_pending)
    -> WaitReason {
  if (counts.allowed_ == 0) {
    return WaitReason::kNotAllowed;
  }
  if (counts.usable_ == 0) {
    return WaitReason::kNoUsableWorker;
  }
  if (counts.fitting_ == 0) {
    return WaitReason::kNoCapacity;
  }
  if (counts.unreserved_ == 0) {
    return WaitReason::kReserved;
  }
  if (counts.within_limit_ == 0) {
    return WaitReason::kWorkerLimit;
  }
  if (counts.ticketed_ == 0) {
    return is_advice_pending ? WaitReason::kAdvicePending
                             : WaitReason::kNoTicket;
  }
  return WaitReason::kPlaceable;
}

}  // namespace lentilscale::fleet
