// Until when an owner of the fleet may act, and until when its successors must
// assume that it does.
//
// An owner acts while its rights last: it grants leases to workers, starts
// tasks and concludes from expired leases that runs have ended. These
// conclusions hold only if nobody else grants leases meanwhile, so the rights
// of successive owners must not overlap: a new owner waits until those of all
// earlier ones have ended. Both sides derive the end from the rules below, so
// the successor's bound holds whatever the earlier owner knows of the claim.
//
//   1. The rights last for the lease's time to live, less a margin, from the
//      sending of the last calls by which the store confirmed the lease and the
//      owner record (OwnerRights::Confirm). The store confirms nothing for an
//      owner that has been replaced, or whose lease has expired.
//   2. After that they last while every member has reported within
//      kReportValidityMs that its calls to the store fail. Members are the
//      instances that reported to the owner within kMembershipMs before the
//      last confirmation, or since. This holds only for an owner that has
//      recorded in the store that no earlier one has rights any more.
//   3. They end at the latest kMaxUnconfirmedMs after the last confirmation.
//
// Rule 2 lets work go on while the store is down for everybody. A claimant
// finds in the store the only earlier owner to which it can apply. A member
// that claims stops reporting to its predecessor, and so knows by its own last
// report of a failing store when the predecessor's rights end. A claimant that
// was not a member learns it from the other instances, which say in their
// reports when they last reported to an earlier owner.
//
// A report counts from a time stamp of the owner's clock that it echoes, so
// messages that were delayed, or waited while the owner was suspended, extend
// nothing.
//
// All times are BootMs of the instance that holds the object.

#ifndef LENTILSCALE_FLEET_OWNER_RIGHTS_H_
#define LENTILSCALE_FLEET_OWNER_RIGHTS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

// The owner considers its lease expired this long before the store does.
inline constexpr Millis kLeaseSafetyMarginMs = 150;
inline constexpr Millis kReportValidityMs = 1200;
inline constexpr Millis kMembershipMs = 5000;
inline constexpr Millis kMaxUnconfirmedMs = 10000;

// Returns the longest time by the local clock of a span that another instance
// has measured.
auto LongestMs(Millis span_ms) -> Millis;

// An owner as other instances name it.
struct OwnerIdentity {
  std::int64_t epoch_ = 0;
  std::string instance_ = {};
  // Address for requests from peers.
  std::string address_ = {};
};

// A report on the store that an instance sends to the owner.
struct StoreReport {
  // The epoch of the owner that the report is meant for.
  std::int64_t epoch_ = 0;
  // The latest time stamp that this owner sent; 0 if there is none.
  Millis echo_ms_ = 0;
  // Time since the store last answered the instance, and whether a call has
  // failed since.
  Millis store_age_ms_ = 0;
  bool is_store_failing_ = false;
  // The earlier owner about which the owner has asked, 0 if it has answered
  // none of the instance's reports; the time since the sending of the last
  // report to it of a failing store, and of the last report that it answered.
  std::int64_t former_epoch_ = 0;
  Millis former_failing_age_ms_ = 0;
  Millis former_answered_age_ms_ = 0;
};

// The owner's answer to a report.
struct ReportAnswer {
  std::int64_t epoch_ = 0;
  // A time of the owner's clock, which the next report echoes.
  Millis stamp_ms_ = 0;
  // Time since the store last answered the owner.
  Millis store_age_ms_ = 0;
  // The epoch of an earlier owner about which the next report should tell.
  std::int64_t former_epoch_ = 0;
  // When the report was sent, by the clock of the instance that sent it.
  Millis sent_ms_ = 0;
  // Instances from which to take the configuration (fleet/config_relays.h); an
  // older owner names none.
  std::vector<std::string> config_sources_ = {};
  // By queue: how long a new job is expected to wait for its starts. Queues
  // without a wait are left out, and an older owner names none.
  std::map<std::string, Millis> expected_waits_ = {};
  // By queue: the share of new jobs that is let in, if less than all.
  std::map<std::string, double> admitted_shares_ = {};
};

// The rights of one owner.
class OwnerRights {
 public:
  OwnerRights() = default;
  // The rights of an owner whose lease was granted by a call sent at `sent_ms`.
  OwnerRights(Millis ttl_ms, Millis sent_ms)
      : ttl_ms_(ttl_ms), confirmed_ms_(sent_ms) {}

  // Records that calls sent at `sent_ms` or later have renewed the lease and
  // shown the owner record in place.
  auto Confirm(Millis sent_ms) -> void;
  // Applies a report of the instance `peer` that arrived at `now_ms`.
  auto ApplyReport(const std::string& peer, const StoreReport& report,
                   Millis now_ms) -> void;
  // Records that the store names this owner as the only one with rights.
  auto AllowUnconfirmed() -> void {
    may_be_unconfirmed_ = true;
    end_ms_.reset();
  }
  // Returns when the rights end unless they are prolonged; a time that has
  // passed if they have ended.
  auto EndMs() const -> Millis;
  auto confirmed_ms() const -> Millis { return confirmed_ms_; }
  // Returns true if the rights last by rule 2 only.
  auto IsUnconfirmed(Millis now_ms) const -> bool {
    return now_ms >= ConfirmedEndMs();
  }
  auto CountMembers() const -> int;
  // Returns true if the store has answered an instance since `since_ms`.
  auto HasStoreAnsweredPeers(Millis since_ms) const -> bool;

 private:
  struct Report {
    Millis received_ms_ = 0;
    // 0 unless the report says that the store fails.
    Millis echo_ms_ = 0;
    // Latest time at which the store can have answered the instance before it
    // sent the report.
    Millis store_answered_ms_ = 0;
  };

  auto ComputeEndMs() const -> Millis;
  auto ConfirmedEndMs() const -> Millis;
  auto IsMember(const Report& report) const -> bool;

  Millis ttl_ms_ = 0;
  Millis confirmed_ms_ = 0;
  bool may_be_unconfirmed_ = false;
  // The latest report of each instance, by peer address.
  std::map<std::string, Report> reports_;
  // EndMs, which is asked for with each order; empty after a change.
  mutable std::optional<Millis> end_ms_;
};

// Until when the rights of earlier owners may last, as known to a claimant.
struct RightsBound {
  // The rights of the direct predecessor, and of all owners before it, by
  // rule 1.
  Millis predecessor_end_ms_ = 0;
  Millis older_end_ms_ = 0;
  // The rights of any of them by rules 2 and 3.
  Millis unconfirmed_end_ms_ = 0;

  auto EndMs() const -> Millis {
    return std::max({predecessor_end_ms_, older_end_ms_, unconfirmed_end_ms_});
  }
};

// Follows the owners that an instance sees and its reports to them.
class PredecessorRights {
 public:
  explicit PredecessorRights(Millis ttl_ms) : ttl_ms_(ttl_ms) {}

  // Records that the store shows the owner of `epoch`; one of an earlier epoch
  // than before is ignored. `is_own` is true if the owner was this process or
  // an earlier one of the instance, which has no rights once another owner is
  // seen; `has_lease_ended` if there was no owner record in between, so that
  // the lease of the owner before had ended.
  auto OnOwnerSeen(std::int64_t epoch, bool is_own, bool has_lease_ended,
                   Millis now_ms) -> void;
  // Records that a report of a failing store was sent to the owner of `epoch`.
  auto OnFailureReported(std::int64_t epoch, Millis now_ms) -> void;
  // Records that the owner of `epoch` has answered a report sent at `sent_ms`.
  auto OnReportAnswered(std::int64_t epoch, Millis sent_ms) -> void;
  // Fills in what a report says about the earlier owner of `epoch`.
  auto AddFormerOwner(std::int64_t epoch, StoreReport& report,
                      Millis now_ms) const -> void;

  // Returns the bound for an instance whose claim of `epoch` was answered at
  // `now_ms`, without what the store says about earlier owners;
  // `has_lease_ended` as for OnOwnerSeen.
  auto BoundAtClaim(std::int64_t epoch, bool has_lease_ended,
                    Millis now_ms) const -> RightsBound;
  // Returns when this instance first saw the latest owners, by epoch.
  auto SeenOwnersMs() const -> std::map<std::int64_t, Millis>;
  // Returns when the rights by rules 2 and 3 of the owner of `epoch` end, whose
  // last successor claimed by `replaced_ms`.
  auto UnconfirmedEndMs(std::int64_t epoch, Millis replaced_ms) const -> Millis;
  // Returns the same according to the report of another instance, received at
  // `now_ms`; nullopt if the report does not tell.
  static auto UnconfirmedEndByReport(std::int64_t epoch, Millis replaced_ms,
                                     const StoreReport& report, Millis now_ms)
      -> std::optional<Millis>;

 private:
  // An owner and this instance's reports to it.
  struct SeenOwner {
    bool is_own_ = false;
    // When the rights by rule 1 of all owners before this one end.
    Millis older_end_ms_ = 0;
    Millis last_failing_ms_ = 0;
    // 0 if the owner has answered no report.
    Millis last_answered_ms_ = 0;
    Millis seen_ms_ = 0;
  };

  // Returns when the rights by rule 1 of all owners before `epoch` end, if they
  // have been replaced by `now_ms`.
  auto ConfirmedEndBefore(std::int64_t epoch, bool has_lease_ended,
                          Millis now_ms) const -> RightsBound;

  Millis ttl_ms_;
  // By epoch; only the latest are kept.
  std::map<std::int64_t, SeenOwner> owners_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_OWNER_RIGHTS_H_
