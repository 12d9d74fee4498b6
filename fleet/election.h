// Leader election: one instance at a time, the owner, schedules the fleet.
//
// The owner record in the store is bound to a lease and carries an epoch, which
// increases with every claim. The epoch is the fencing token of all orders, so
// workers refuse orders of a previous owner however late they arrive.
//
// An owner has rights while its last lease renewal is recent. The age is
// measured with BootMs, which also counts time during a suspension.
//
// If the store answers no instance, none can claim. The owner then keeps its
// rights past the lease as long as the peers that report to it cannot reach the
// store either.

#ifndef LENTILSCALE_FLEET_ELECTION_H_
#define LENTILSCALE_FLEET_ELECTION_H_

#include <uv.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fleet/dispatcher.h"
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
  // Records the time since the store last answered `peer`, as reported by it.
  auto UpdatePeerStoreAge(const std::string& peer, Millis age_ms) -> void;
  // Returns true if the store has answered a peer since `since_ms` (BootMs).
  auto HasStoreAnsweredPeers(Millis since_ms) const -> bool;
  // Returns the delay before this instance claims. Instances that are better
  // suited as owner have shorter delays.
  auto ClaimDelayMs() const -> Millis;
  // Returns the time since the store last answered this instance.
  auto StoreAgeMs() const -> Millis;

 private:
  struct PeerReport {
    Millis received_ms_ = 0;
    // When the store last answered the peer.
    Millis store_answered_ms_ = 0;
  };

  // Reads the owner record, retrying until the store answers, then starts the
  // watch.
  auto ReadOwner() -> void;
  // Reads the owner record once after a delay; leaves the watch as it is.
  auto ScheduleOwnerRead() -> void;
  auto WatchOwner() -> void;
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
  auto RenewLease() -> void;
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
  // Claims before this epoch give no rights.
  std::int64_t resigned_before_epoch_ = 0;
  OwnerClaim claim_;
  std::int64_t lease_ = 0;
  // When the latest grant or renewal of the lease that succeeded was sent.
  Millis lease_confirmed_ms_ = 0;
  bool is_renewing_ = false;
  // Revision of the owner record that the pending claim replaces.
  std::int64_t expected_owner_revision_ = 0;
  bool is_claiming_ = false;
  bool is_claiming_disabled_ = false;
  bool had_rights_ = false;
  // When the latest call that the store answered was sent.
  Millis store_answered_ms_ = 0;
  // Duration of the latest read of the owner record.
  Millis round_trip_ms_ = 0;
  Millis started_ms_ = BootMs();
  std::map<std::string, PeerReport> peer_reports_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  std::unique_ptr<RepeatingTimer> renew_timer_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_ELECTION_H_
