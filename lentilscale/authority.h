// Whether an instance may still rely on what it knows.
//
// An instance holds rights (shards, holdings, requests) and a configuration.
// Both may change in the store while the instance is cut off or paused. This
// class answers, from confirmations with their sending times, until when the
// rights hold and how old the configuration may be:
//
//   authority.OnRenewed(sent);            // the store renewed the member lease
//   authority.OnConfigurationRead(sent);  // the store was read
//   authority.OnPeer({...});              // a peer answered a heartbeat
//   if (authority.RightsUntil() > now) ...
//
// While the store is down for everybody nothing can change, so that an
// instance whose peers all answer that they lack the store too goes on. One
// silent peer is enough to end that: it may have the store.

#ifndef LENTILSCALE_AUTHORITY_H_
#define LENTILSCALE_AUTHORITY_H_

#include <map>
#include <set>
#include <string>

#include "lentilscale/clock.h"

namespace lentilscale {

// What a peer said in answer to a heartbeat.
struct PeerStatement {
  std::string id_;
  // When the heartbeat was sent.
  Millis sent_ms_ = 0;
  bool has_store_ = false;
  std::int64_t ticket_ = 0;
  // Age of the peer's configuration when it answered.
  Millis configuration_age_ms_ = 0;
};

// The authority of one instance.
class Authority {
 public:
  struct Options {
    // Lease of the member record.
    Millis lease_ms_ = 2000;
    // Allowance for clocks that run at different speeds.
    Millis drift_ms_ = 100;
  };

  explicit Authority(const Options& options) : options_(options) {}

  // The member record was written under a new lease by a call sent at `sent`.
  // Shards may have been lost before, so rights wait for a reading after it.
  auto OnRegistered(Millis sent) -> void;

  // The store renewed the member lease by a call sent at `sent`.
  auto OnRenewed(Millis sent) -> void;

  // The store was read by a call sent at `sent`; `ticket` is now the latest.
  auto OnConfigurationRead(Millis sent, std::int64_t ticket) -> void;

  // A peer answered a heartbeat.
  auto OnPeer(const PeerStatement& statement) -> void;

  // Sets the peers that the store listed last, without the instance itself.
  // A peer stays until the store's list says otherwise.
  auto SetPeers(const std::set<std::string>& ids) -> void;

  // Tells whether the instance itself reaches the store, at `now`.
  auto SetStoreReachable(bool is_reachable) -> void {
    has_store_ = is_reachable;
  }

  // Returns the time up to which rights may be used; compare with now.
  auto RightsUntil() const -> Millis;

  // Returns the time at which the configuration was known to be the latest.
  auto ConfigurationConfirmedAt() const -> Millis;

 private:
  // Returns the time at which all peers were known to lack the store, or 0.
  auto UnanimousAt() const -> Millis;

  Options options_;
  bool has_store_ = false;
  Millis registered_ms_ = 0;
  Millis renewed_ms_ = 0;
  // When shards and configuration were last read from the store.
  Millis read_ms_ = 0;
  // When the configuration was last confirmed, by the store or a peer.
  Millis configuration_ms_ = 0;
  std::int64_t ticket_ = 0;
  std::set<std::string> peers_;
  std::map<std::string, PeerStatement, std::less<>> statements_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_AUTHORITY_H_
