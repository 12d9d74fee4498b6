// The errors that lentilscale reports to callers, peers and operators.
//
// Every refusal carries one ErrorCode. The table beside the enumeration gives
// its name on the wire, its HTTP status and whether the refusal proves that
// the request was not executed. Code inside the library throws Error; the
// HTTP layer turns it into a typed refusal:
//
//   throw Error(ErrorCode::kUnknownService, "no service named 'photo'");
//
// Factories return absl::StatusOr instead, so that a caller who builds an
// object sees the failure in the type.

#ifndef LENTILSCALE_ERROR_H_
#define LENTILSCALE_ERROR_H_

#include <stdexcept>
#include <string>
#include <string_view>

namespace lentilscale {

// The reasons for which a request can be refused or fail.
enum class ErrorCode {
  kBadRequest,
  kTooLarge,
  kNoKey,
  kBadKey,
  kForbidden,
  kUnknownService,
  kUnknownJob,
  kUnknownTicket,
  kNotFound,
  kDeadlinePassed,
  kQueueFull,
  kNoRoom,
  kNotOwner,
  kStaleEpoch,
  kNoAuthority,
  kNoConfiguration,
  kStoreUnavailable,
  kTicketConflict,
  kInProgress,
  kOutcomeUnknown,
  kShuttingDown,
  kNeverRunnable,
  kDuplicateId,
  kPeerUnavailable,
  kInternal,
};

// What the table of errors says of one code.
struct ErrorInfo {
  ErrorCode code_;
  // The code's name in answers and logs.
  std::string_view name_;
  int http_status_;
  // True if this refusal proves that nothing was executed.
  bool not_run_;
  // True if the same request may succeed later without change.
  bool can_retry_;
};

// Returns the table's entry for `code`.
auto GetErrorInfo(ErrorCode code) -> const ErrorInfo&;

// Returns the code named `name`, or kInternal if there is none.
auto ErrorCodeFromName(std::string_view name) -> ErrorCode;

// An error with a code from the table and a message for a person.
class Error : public std::runtime_error {
 public:
  Error(ErrorCode code, const std::string& message)
      : std::runtime_error(message), code_(code) {}

  auto code() const -> ErrorCode { return code_; }
  auto info() const -> const ErrorInfo& { return GetErrorInfo(code_); }

 private:
  ErrorCode code_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_ERROR_H_
