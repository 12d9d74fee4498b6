// Decides which instances pass the configuration on within their region.
//
// A configuration is large, and links between regions are slow. The owner names
// a relay for each region other than its own: the relay reads the store, and
// the other instances of the region take the configuration from it. A second
// instance, the spare, is asked if the relay fails. So a version crosses the
// link to a region once, and once more if the relay fails, however many
// instances the region has.
//
//   ConfigRelays relays("a");
//   const auto sources = relays.ApplyReport({"10.1.0.5:1", "b", 0.5, 20}, now);
//
// The choice concerns traffic alone: an instance judges by itself how old the
// configuration is that a relay gives it.

#ifndef LENTILSCALE_FLEET_CONFIG_RELAYS_H_
#define LENTILSCALE_FLEET_CONFIG_RELAYS_H_

#include <map>
#include <string>
#include <vector>

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

// What an instance reports about itself.
struct RelayCandidate {
  // Address for peers, "IP:PORT".
  std::string address_;
  // Empty if unknown.
  std::string region_;
  // Processor time available to the instance, in cores; 0 if unknown.
  double processor_cores_ = 0;
  // Duration of its latest read from the store; 0 if unknown.
  Millis store_round_trip_ms_ = 0;
  // Time since the store last answered it.
  Millis store_age_ms_ = 0;
};

class ConfigRelays {
 public:
  // The owner is in `own_region`, which is usually the store's.
  explicit ConfigRelays(std::string own_region)
      : own_region_(std::move(own_region)) {}

  // Sets the duration of the owner's latest read from the store.
  auto SetOwnRoundTrip(Millis round_trip_ms) -> void {
    own_round_trip_ms_ = round_trip_ms;
  }

  // Applies a report received at `now_ms` (BootMs). Returns the addresses that
  // the instance asks for the configuration, in this order; the store comes
  // after them.
  auto ApplyReport(const RelayCandidate& candidate, Millis now_ms)
      -> std::vector<std::string>;

 private:
  struct Member {
    RelayCandidate candidate_;
    Millis reported_ms_ = 0;
  };
  struct Region {
    // By address.
    std::map<std::string, Member> members_;
    // When the first of the members reported.
    Millis known_since_ms_ = 0;
    // Addresses; empty if none is chosen.
    std::string relay_;
    std::string spare_;
  };

  // Replaces relay and spare if they are not suited any more. While members are
  // still being learned of, it chooses anew.
  static auto UpdateChoice(Region& region, Millis now_ms) -> void;
  // Returns true if a member has the address and the store answers it.
  static auto IsSuited(const Region& region, const std::string& address)
      -> bool;
  // Returns the most suitable member other than `except`, or "".
  static auto FindBest(const Region& region, const std::string& except)
      -> std::string;
  // Returns the shortest round trip that a member reports; 0 if none does.
  static auto BestRoundTrip(const Region& region) -> Millis;
  // Returns true if the region's instances read the store themselves.
  auto IsNearStore(const std::string& name) const -> bool;

  std::string own_region_;
  Millis own_round_trip_ms_ = 0;
  // By name.
  std::map<std::string, Region> regions_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_CONFIG_RELAYS_H_
