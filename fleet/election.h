// Leader election: one instance at a time, the owner, schedules the fleet.
//
// The owner record in the store is bound to a lease and carries an epoch, which
// increases with every claim. The epoch is the fencing token of all orders, so
// workers refuse orders of a previous owner however late they arrive.
//
// Until when an owner has rights, and what a successor knows of that, is
// decided in owner_rights.h.

#ifndef LENTILSCALE_FLEET_ELECTION_H_
#define LENTILSCALE_FLEET_ELECTION_H_

#include <uv.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "fleet/dispatcher.h"
#include "fleet/lease_renewal.h"
#include "fleet/owner_rights.h"
#include "fleet/record_store.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {

// The owner record as read from the store.
struct Owner {
  std::string instance_;
  // Address for requests from peers.
  std::string address_;
  std::int64_t epoch_ = 0;
  std::int64_t revision_ = 0;
  // The lease that the record is bound to.
  std::int64_t lease_ = 0;
};

class Election {
 public:
  struct Options {
    std::string instance_;
    std::string address_;
    Millis ttl_ms_ = 1500;
    // CPU share of this instance in cores; 0 if unknown.
    double processor_cores_ = 0;
  };
  struct Hooks {
    std::function<void(const OwnerClaim&)> on_elected_;
    std::function<void(const std::string& reason)> on_deposed_;
    // Called when the owner record has changed or was removed; see owner().
    std::function<void()> on_owner_changed_;
  };

  Election(uv_loop_t* loop, RecordStore* store, Options options, Hooks hooks);
  ~Election() { *is_alive_ = false; }
  Election(const Election&) = delete;
  auto operator=(const Election&) -> Election& = delete;

  // Returns the owner as last read; address_ is empty if there is none.
  auto owner() const -> const Owner& { return owner_; }
  // Returns the last owner that this instance knew of before its latest claim;
  // its epoch is 0 if there was none.
  auto previous_owner() const -> const Owner& { return previous_owner_; }
  auto IsOwner() const -> bool { return claim_.epoch_ != 0; }
  // Returns true while this instance may give orders.
  auto HasRights() -> bool;

  // Prevents further claims by this instance. If it is the owner, it remains so
  // until another instance claims or StepDown is called.
  auto DisableClaiming() -> void { is_claiming_disabled_ = true; }
  // Gives up the rights at once and revokes the lease, so that another instance
  // can claim. `reason` is logged.
  auto StepDown(const std::string& reason) -> void;
  // Gives up the rights of all claims before `epoch`, also of one whose outcome
  // is not known yet.
  auto ResignBefore(std::int64_t epoch) -> void;
  // Claims from the owner whose record has `owner_revision`, which requests
  // this when it is about to stop. Ignored if the owner has changed meanwhile.
  auto ClaimFrom(std::int64_t owner_revision) -> void;
  // Schedules a claim: refused connections mean that the owner's process has
  // ended.
  auto OnOwnerConnectionRefused() -> void;
  // Applies a report that the instance `peer` sent to this one as the owner.
  auto ApplyReport(const std::string& peer, const StoreReport& report) -> void;
  // Returns the report to send to owner(), which counts as sent now.
  auto MakeReport() -> StoreReport;
  // Records the owner's answer to a report of this instance, and calls the
  // store if that does not answer the owner.
  auto OnReportAnswered(const ReportAnswer& answer) -> void;
  // Records that the store names this owner as the only one with rights.
  auto AllowUnconfirmedRights() -> void { rights_.AllowUnconfirmed(); }
  auto predecessor_rights() const -> const PredecessorRights& {
    return predecessor_rights_;
  }
  // Returns true if the store has answered a peer since `since_ms` (BootMs).
  auto HasStoreAnsweredPeers(Millis since_ms) const -> bool;
  // Returns the delay before this instance claims. Instances that are better
  // suited as owner have shorter delays.
  auto ClaimDelayMs() const -> Millis;
  // Returns the time since the store last answered this instance.
  auto StoreAgeMs() const -> Millis;
  // Returns the duration of the latest read of the owner record.
  auto store_round_trip_ms() const -> Millis { return round_trip_ms_; }

 private:
  // Reads the owner record, retrying until the store answers, in time or late,
  // then starts the watch.
  auto ReadOwner() -> void;
  auto ScheduleReadOwner() -> void;
  // Reads the owner record once after a delay; leaves the watch as it is.
  auto ScheduleOwnerRead() -> void;
  auto WatchOwner() -> void;
  // Applies the owner record as read; returns false if the store has not
  // answered.
  auto ApplyOwnerRead(const ReadResult& result) -> bool;
  // Applies the owner record as of the store's `revision`, unless a later state
  // is known: answers may overtake each other. 0 means an unknown revision.
  auto ApplyOwnerRecord(const Record& record, std::int64_t revision) -> void;
  auto ScheduleClaim(Millis delay_ms) -> void;
  auto Claim() -> void;
  // Ends a claim that was not sent. If there is no owner, another one follows
  // after `retry_ms`.
  auto AbandonClaim(Millis retry_ms) -> void;
  auto CommitClaim(const LeaseResult& granted, std::int64_t epoch,
                   std::int64_t epoch_revision) -> void;
  // If it is time, renews the lease and reads the owner record, while earlier
  // calls may be pending. Only both together confirm the rights: the lease
  // outlives the record if another instance replaces that.
  auto RenewLease() -> void;
  // Records how a call ended. One without an answer counts as failed until its
  // late answer arrives: other instances act on silence at once.
  auto UpdateStoreAnswered(StoreStatus status, Millis sent_ms) -> void;

  uv_loop_t* loop_;
  RecordStore* store_;
  Options options_;
  Hooks hooks_;
  Owner owner_;
  // The store's revision that owner_ reflects.
  std::int64_t owner_known_revision_ = 0;
  // The last two owners that this instance read of, the latest at the back.
  std::array<Owner, 2> last_owners_;
  Owner previous_owner_;
  std::int64_t watch_revision_ = 0;
  bool is_watching_ = false;
  // True while a read that has not timed out is to start the watch.
  bool is_reading_owner_ = false;
  // Claims before this epoch give no rights.
  std::int64_t resigned_before_epoch_ = 0;
  OwnerClaim claim_;
  std::int64_t lease_ = 0;
  OwnerRights rights_;
  LeaseRenewal renewal_;
  PredecessorRights predecessor_rights_;
  // The latest time stamp of the owner that answers this instance's reports,
  // and that owner's epoch.
  Millis owner_stamp_ms_ = 0;
  std::int64_t owner_stamp_epoch_ = 0;
  // The epoch of the earlier owner about which the owner has asked; 0 if none.
  std::int64_t asked_epoch_ = 0;
  // Time that the latest answer to a renewal took; for log lines only.
  Millis renewal_took_ms_ = 0;
  // Revision of the owner record that the pending claim replaces.
  std::int64_t expected_owner_revision_ = 0;
  bool is_claiming_ = false;
  bool is_claiming_disabled_ = false;
  bool had_rights_ = false;
  bool was_unconfirmed_ = false;
  // When the latest call that the store answered was sent.
  Millis store_answered_ms_ = 0;
  // True if the last call that ended was not answered.
  bool is_store_failing_ = false;
  bool is_probing_ = false;
  // Duration of the latest read of the owner record.
  Millis round_trip_ms_ = 0;
  Millis started_ms_ = BootMs();
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  std::unique_ptr<RepeatingTimer> renew_timer_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_ELECTION_H_
