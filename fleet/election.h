// Who schedules the fleet: one instance at a time, under a lease in the store.
//
// The owner's record is written under a lease, with a claim number (epoch) that
// only grows. The epoch is the fencing token of all orders, so that workers
// refuse a previous owner however late its orders arrive. Rights hold while the
// lease was renewed lately, judged by the clock that runs on during suspension.
//
// While the store answers nobody, no other instance can claim; the owner then
// goes on, as long as the instances that report to it lack the store as well.

#ifndef LENTILSCALE_FLEET_ELECTION_H_
#define LENTILSCALE_FLEET_ELECTION_H_

#include <uv.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fleet/dispatcher.h"
#include "fleet/record_store.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {

// The owner's record as others see it.
struct Owner {
  std::string instance_;
  // Where its peers reach it.
  std::string address_;
  std::int64_t epoch_ = 0;
  std::int64_t revision_ = 0;
  // The lease under which the record is kept.
  std::int64_t lease_ = 0;
};

class Election {
 public:
  struct Options {
    std::string instance_;
    std::string address_;
    Millis ttl_ms_ = 1500;
    // Share of a processor that this instance has, in cores; 0 if unknown.
    double processor_cores_ = 0;
  };
  struct Hooks {
    std::function<void(const OwnerClaim&)> on_elected_;
    std::function<void(const std::string& reason)> on_deposed_;
    // The owner's address changed; empty if there is no owner.
    std::function<void()> on_owner_changed_;
  };

  Election(uv_loop_t* loop, RecordStore* store, Options options, Hooks hooks);
  ~Election() { *is_alive_ = false; }
  Election(const Election&) = delete;
  auto operator=(const Election&) -> Election& = delete;

  // Returns the owner as last read; its address is empty if there is none.
  auto owner() const -> const Owner& { return owner_; }
  auto IsOwner() const -> bool { return rights_.epoch_ != 0; }
  // Returns true while this instance may give orders.
  auto HasRights() -> bool;

  // Keeps this instance from claiming again; it stays the owner until another
  // has claimed or StepDown is called.
  auto PrepareToStop() -> void { is_retired_ = true; }
  // Gives up the rights at once, so that another instance can claim.
  auto StepDown(const std::string& reason) -> void;
  // Claims from the owner that has `owner_revision`, which asks for it because
  // it is about to stop.
  auto ClaimFrom(std::int64_t owner_revision) -> void;
  // Notes that connections to the owner are refused: its process is gone.
  auto NoteOwnerRefuses() -> void;
  // Notes what a peer says of its own access to the store: the age of its
  // last answer.
  auto NotePeerStoreAge(const std::string& peer, Millis age_ms) -> void;
  // Returns true if the store has answered a peer since `since_ms`.
  auto HasStoreAnsweredPeers(Millis since_ms) const -> bool;
  // Returns the delay with which this instance claims: the shorter, the better
  // it is suited.
  auto ClaimDelayMs() const -> Millis;
  // Returns the time since the store last answered this instance.
  auto StoreAgeMs() const -> Millis;

 private:
  struct PeerReport {
    Millis received_ms_ = 0;
    Millis store_seen_ms_ = 0;
  };

  auto ReadOwner() -> void;
  auto ReadOwnerSoon() -> void;
  auto WatchOwner() -> void;
  auto TakeOwner(const Record& record) -> void;
  auto ConsiderClaim(Millis delay_ms) -> void;
  auto Claim() -> void;
  auto CommitClaim(const LeaseResult& granted, std::int64_t epoch,
                   std::int64_t epoch_revision) -> void;
  auto Keep() -> void;
  auto NoteAnswer(StoreStatus status, Millis sent_ms) -> void;

  uv_loop_t* loop_;
  RecordStore* store_;
  Options options_;
  Hooks hooks_;
  Owner owner_;
  std::int64_t watch_revision_ = 0;
  OwnerClaim rights_;
  std::int64_t lease_ = 0;
  Millis confirmed_ms_ = 0;
  bool is_keeping_ = false;
  std::int64_t claimed_from_revision_ = 0;
  bool is_claiming_ = false;
  bool is_retired_ = false;
  bool had_rights_ = false;
  Millis store_seen_ms_ = 0;
  // Time that the latest read of the owner took.
  Millis round_trip_ms_ = 0;
  Millis started_ms_ = BootMs();
  std::map<std::string, PeerReport> peers_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  std::unique_ptr<RepeatingTimer> keep_timer_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_ELECTION_H_
