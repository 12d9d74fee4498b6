// Builds the body of a refusal for callers, operators and peers.
//
//   reply->Send(status, DumpJson(MakeRefusal(ErrorCode::kNoRoom, "full")));

#ifndef LENTILSCALE_REFUSAL_H_
#define LENTILSCALE_REFUSAL_H_

#include <json/json.h>

#include <string>

#include "lentilscale/error.h"

namespace lentilscale {

// Returns {"code", "not_run", "reason"}, and "retry_after_ms" if the same
// request may succeed later.
auto MakeRefusal(ErrorCode code, const std::string& reason) -> Json::Value;

}  // namespace lentilscale

#endif  // LENTILSCALE_REFUSAL_H_
