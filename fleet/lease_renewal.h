// When an owner renews its lease, and what the answers confirm together.
//
//   LeaseRenewal renewal(1500, granted_ms);
//   if (renewal.IsDue(BootMs())) {
//     renewal.OnSent(BootMs());
//     // Renew the lease and read the owner record, and for each answer:
//   }
//   renewal.OnLeaseRenewed(sent_ms);
//   renewal.OnRecordInPlace(sent_ms);
//   rights.Confirm(renewal.confirmed_ms());
//
// A renewal waits for no earlier one, and an answer counts from the sending of
// its own call however late it arrives. So rights outlast an answer time that,
// with the usual pause between two renewals, is shorter than they are. As many
// renewals are pending as are sent within the time that the store's client
// awaits an answer.
//
// All times are BootMs.

#ifndef LENTILSCALE_FLEET_LEASE_RENEWAL_H_
#define LENTILSCALE_FLEET_LEASE_RENEWAL_H_

#include <algorithm>

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

class LeaseRenewal {
 public:
  LeaseRenewal() = default;
  // For a lease that lasts for `ttl_ms` from a call sent at `granted_ms`.
  LeaseRenewal(Millis ttl_ms, Millis granted_ms);

  // Returns the period at which IsDue is to be asked.
  static auto CheckPeriodMs(Millis ttl_ms) -> Millis;

  // Returns true if a renewal is to be sent now.
  auto IsDue(Millis now_ms) const -> bool;
  // Returns when the latest renewal was sent.
  auto sent_ms() const -> Millis { return sent_ms_; }
  // Records that a renewal was sent.
  auto OnSent(Millis now_ms) -> void { sent_ms_ = now_ms; }
  // Records that a call sent at `sent_ms` has renewed the lease.
  auto OnLeaseRenewed(Millis sent_ms) -> void {
    lease_renewed_ms_ = std::max(lease_renewed_ms_, sent_ms);
  }
  // Records that a read sent at `sent_ms` showed the owner record in place.
  auto OnRecordInPlace(Millis sent_ms) -> void {
    record_seen_ms_ = std::max(record_seen_ms_, sent_ms);
  }
  // Returns the sending time from which on the store has confirmed both the
  // lease and the owner record.
  auto confirmed_ms() const -> Millis {
    return std::min(lease_renewed_ms_, record_seen_ms_);
  }

 private:
  Millis ttl_ms_ = 0;
  Millis sent_ms_ = 0;
  Millis lease_renewed_ms_ = 0;
  Millis record_seen_ms_ = 0;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_LEASE_RENEWAL_H_
