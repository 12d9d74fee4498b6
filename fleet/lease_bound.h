// The bound on a worker's lease that all who wait for a lease to expire derive
// their wait from: the owner that granted it, and a successor that knows only
// until when the previous owner may have granted leases.
//
// A lease ends at a time on the worker's clock, which the owner estimates low
// (FleetWorker::GrantLease). When it is granted, the worker's clock therefore
// has at most the lease's duration left, however old the owner's last reading
// of that clock is, and the bound depends on nothing but the time of the grant.
// A reading of a former life's clock breaks that; see FleetWorker::UpdateClock.

#ifndef LENTILSCALE_FLEET_LEASE_BOUND_H_
#define LENTILSCALE_FLEET_LEASE_BOUND_H_

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

// Slowest rate of a worker's clock relative to the local one, as guaranteed by
// the platform.
inline constexpr double kMinWorkerClockRate = 0.98;

// Covers the rounding of times to milliseconds and the time that a worker takes
// to end its runs once their lease has expired.
inline constexpr Millis kLeaseEndMarginMs = 50;

// Returns the time by which a lease of `lease_ms` on a worker's clock, granted
// at `granted_ms` or before, must have expired.
inline auto LatestLeaseEndMs(Millis granted_ms, Millis lease_ms) -> Millis {
  return granted_ms +
         static_cast<Millis>(static_cast<double>(lease_ms) /
                             kMinWorkerClockRate) +
         kLeaseEndMarginMs;
}

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_LEASE_BOUND_H_
