// A linear table indexed by the enumeration: there are few codes, look-ups by
// name happen only when an answer of a peer is parsed, and one table keeps
// name, status and the "not run" claim from drifting apart.

#include "lentilscale/error.h"

#include <array>

namespace lentilscale {
namespace {

constexpr auto kErrorTable = std::to_array<ErrorInfo>({
    {ErrorCode::kBadRequest, "bad_request", 400, true, false},
    {ErrorCode::kTooLarge, "too_large", 413, true, false},
    {ErrorCode::kNoKey, "no_key", 401, true, false},
    {ErrorCode::kBadKey, "bad_key", 401, true, false},
    {ErrorCode::kForbidden, "forbidden", 403, true, false},
    {ErrorCode::kUnknownService, "unknown_service", 404, true, false},
    {ErrorCode::kUnknownJob, "unknown_job", 404, true, false},
    {ErrorCode::kUnknownTicket, "unknown_ticket", 404, true, false},
    {ErrorCode::kNotFound, "not_found", 404, true, false},
    {ErrorCode::kDeadlinePassed, "deadline_passed", 408, true, false},
    {ErrorCode::kQueueFull, "queue_full", 429, true, true},
    {ErrorCode::kNoRoom, "no_room", 503, true, true},
    {ErrorCode::kNotOwner, "not_owner", 503, true, true},
    {ErrorCode::kStaleEpoch, "stale_epoch", 409, true, true},
    {ErrorCode::kNoAuthority, "no_authority", 503, true, true},
    {ErrorCode::kNoConfiguration, "no_configuration", 503, true, true},
    {ErrorCode::kStoreUnavailable, "store_unavailable", 503, true, true},
    {ErrorCode::kTicketConflict, "ticket_conflict", 409, true, false},
    {ErrorCode::kInProgress, "in_progress", 409, false, true},
    {ErrorCode::kOutcomeUnknown, "outcome_unknown", 504, false, false},
    {ErrorCode::kShuttingDown, "shutting_down", 503, true, true},
    {ErrorCode::kNeverRunnable, "never_runnable", 422, true, false},
    {ErrorCode::kDuplicateId, "duplicate_id", 409, true, false},
    {ErrorCode::kPeerUnavailable, "peer_unavailable", 503, true, true},
    {ErrorCode::kInternal, "internal", 500, false, false},
});

}  // namespace

auto GetErrorInfo(ErrorCode code) -> const ErrorInfo& {
  return kErrorTable.at(static_cast<std::size_t>(code));
}

auto ErrorCodeFromName(std::string_view name) -> ErrorCode {
  for (const auto& info : kErrorTable) {
    if (info.name_ == name) {
      return info.code_;
    }
  }
  return ErrorCode::kInternal;
}

}  // namespace lentilscale
