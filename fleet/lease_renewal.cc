// The two calls of a renewal need not be paired: a record that is in place at
// one time was in place before, and a lease that was renewed later than the
// record was read outlives the rights that count from the read.
//
// Each renewal is two calls, so a store that answers soon gets few. Where
// answers take a large part of the lease, the pause between two renewals
// decides whether the rights last, and is shortened. A store that has confirmed
// nothing for the whole lease is called at the usual pause again: it answers
// nothing, and the rights have ended.

#include "fleet/lease_renewal.h"

namespace lentilscale::fleet {
namespace {

// Renewals per time to live of the lease, and checks per renewal.
constexpr Millis kRenewalsPerTtl = 6;
constexpr Millis kChecksPerRenewal = 2;
// Renewals are sent at each check once the last confirmation is older than this
// part of the time to live.
constexpr Millis kLateConfirmationsPerTtl = 3;

}  // namespace

LeaseRenewal::LeaseRenewal(Millis ttl_ms, Millis granted_ms)
    : ttl_ms_(ttl_ms),
      sent_ms_(granted_ms),
      lease_renewed_ms_(granted_ms),
      record_seen_ms_(granted_ms) {}

auto LeaseRenewal::CheckPeriodMs(Millis ttl_ms) -> Millis {
  return ttl_ms / kRenewalsPerTtl / kChecksPerRenewal;
}

auto LeaseRenewal::IsDue(Millis now_ms) const -> bool {
  const auto check_ms = CheckPeriodMs(ttl_ms_);
  const auto confirmed_age_ms = now_ms - confirmed_ms();
  const auto is_late = confirmed_age_ms >= ttl_ms_ / kLateConfirmationsPerTtl &&
                       confirmed_age_ms < ttl_ms_;
  const auto pause_ms = is_late ? check_ms : check_ms * kChecksPerRenewal;
  // A check may run a little early by the clock.
  return now_ms - sent_ms_ + check_ms / 2 >= pause_ms;
}

}  // namespace lentilscale::fleet
