// What successive owners of the fleet tell each other about a worker that none
// of them reaches.
//
// A new owner does not know which leases its predecessor has granted, so it
// waits for as long as one may last from the end of the predecessor's rights
// on. If owners follow each other faster than that, each would wait anew. An
// owner that has not reached a worker therefore says in the workers record when
// the leases there end, counted from its own claim, and that it has granted
// none itself. Later owners leave that as it is:
//
//   - The entry with an UnreachedLease is in the record: no owner since the
//     claim of `epoch_` has granted the worker a lease.
//   - An owner that reaches the worker grants no lease before the record
//     without the entry's UnreachedLease is durable.
//
// A young life may hold the longest lease (Dispatcher::MayHoldLongestLease).
// The bound says for which one it allows, so that a later owner neither
// shortens it once the entry has gone nor adds to it again.
//
// Clocks of instances are not compared: each instance knows by its own clock
// when it first saw an owner, which was after that owner had sent its claim.

#ifndef LENTILSCALE_FLEET_UNREACHED_LEASE_H_
#define LENTILSCALE_FLEET_UNREACHED_LEASE_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <optional>

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

struct UnreachedLease {
  // The first owner that has not reached the worker.
  std::int64_t epoch_ = 0;
  // Longest time from the sending of that owner's claim until the leases that
  // earlier owners granted have expired, by that owner's clock.
  Millis left_ms_ = 0;
  // The life whose longest lease that time allows for; 0 if there is none.
  std::int64_t young_life_ = 0;
};

auto EncodeUnreachedLease(const UnreachedLease& lease) -> Json::Value;
// Throws Error(kBadRequest) if `body` is none.
auto DecodeUnreachedLease(const Json::Value& body) -> UnreachedLease;

// Returns when the leases have expired by the clock of an instance that first
// saw the owners of some epochs at the times `seen_ms`; nullopt if it has not
// seen the owner of `lease.epoch_`, nor a later one.
auto UnreachedLeaseEndMs(const UnreachedLease& lease,
                         const std::map<std::int64_t, Millis>& seen_ms)
    -> std::optional<Millis>;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_UNREACHED_LEASE_H_
