// A span since the claim, rather than a time of day, is recorded: times of day
// jump, and spans differ between instances by the rates of their clocks only.

#include "fleet/unreached_lease.h"

#include "fleet/owner_rights.h"
#include "lentilscale/json.h"

namespace lentilscale::fleet {
namespace {

// Bound on what a record may name; far above any lease.
constexpr Millis kMaxLeftMs = 3600000;

}  // namespace

auto EncodeUnreachedLease(const UnreachedLease& lease) -> Json::Value {
  Json::Value body(Json::objectValue);
  body["epoch"] = Json::Int64{lease.epoch_};
  body["left_ms"] = Json::Int64{lease.left_ms_};
  if (lease.young_life_ != 0) {
    body["young_life"] = Json::Int64{lease.young_life_};
  }
  return body;
}

auto DecodeUnreachedLease(const Json::Value& body) -> UnreachedLease {
  return {RequireInt(body, "epoch", 1, INT64_MAX),
          RequireInt(body, "left_ms", 0, kMaxLeftMs),
          body.isMember("young_life")
              ? RequireInt(body, "young_life", 1, INT64_MAX)
              : 0};
}

auto UnreachedLeaseEndMs(const UnreachedLease& lease,
                         const std::map<std::int64_t, Millis>& seen_ms)
    -> std::optional<Millis> {
  // A later owner was seen later, which only prolongs the wait.
  const auto seen = seen_ms.lower_bound(lease.epoch_);
  if (seen == seen_ms.end()) {
    return std::nullopt;
  }
  return seen->second + LongestMs(lease.left_ms_);
}

}  // namespace lentilscale::fleet
