// All refusals are built here, so that "not_run" always comes from the table of
// errors.

#include "lentilscale/refusal.h"

namespace lentilscale {
namespace {

constexpr std::int64_t kRetryAfterMs = 200;

}  // namespace

auto MakeRefusal(ErrorCode code, const std::string& reason) -> Json::Value {
  const auto& info = GetErrorInfo(code);
  Json::Value body;
  body["code"] = std::string(info.name_);
  body["not_run"] = info.not_run_;
  body["reason"] = reason;
  if (info.can_retry_) {
    body["retry_after_ms"] = Json::Int64(kRetryAfterMs);
  }
  return body;
}

}  // namespace lentilscale
