// A choice stays while the chosen instance reports: each change of a relay lets
// its followers ask the store for a moment, and a version that is written then
// crosses the link more often. The first reports to a new owner are the
// exception: it chooses by the same order as the one before, and should come to
// the same choice.
//
// The owner's region is taken for the store's, since instances near the store
// claim ownership first. If another region is clearly nearer, the owner was
// elected far from the store, and its own region needs a relay too.

#include "fleet/config_relays.h"

#include <algorithm>

namespace lentilscale::fleet {
namespace {

// Three reports that are due; an instance that misses them is taken for gone.
constexpr Millis kMaxReportAgeMs = 900;
// The store's answers to watches of the owner's record are up to 2 s apart, and
// each counts from when its watch was sent.
constexpr Millis kMaxStoreAgeMs = 5000;
// With fewer instances a relay saves no copy.
constexpr std::size_t kMinRegionMembers = 3;
// Differences of round trips below this are taken for noise.
constexpr Millis kFarRoundTripMs = 6;

}  // namespace

auto ConfigRelays::IsSuited(const Region& region, const std::string& address)
    -> bool {
  const auto it = region.members_.find(address);
  return it != region.members_.end() &&
         it->second.candidate_.store_age_ms_ < kMaxStoreAgeMs;
}

auto ConfigRelays::FindBest(const Region& region, const std::string& except)
    -> std::string {
  const Member* best = nullptr;
  for (const auto& [address, member] : region.members_) {
    if (address != except && IsSuited(region, address) &&
        (best == nullptr || member.candidate_.processor_cores_ >
                                best->candidate_.processor_cores_)) {
      best = &member;
    }
  }
  return best == nullptr ? "" : best->candidate_.address_;
}

auto ConfigRelays::UpdateChoice(Region& region, Millis now_ms) -> void {
  if (now_ms - region.known_since_ms_ <= kMaxReportAgeMs) {
    region.relay_ = FindBest(region, "");
    region.spare_ = FindBest(region, region.relay_);
    return;
  }
  if (!IsSuited(region, region.relay_)) {
    // The spare has the configuration already.
    region.relay_ =
        IsSuited(region, region.spare_) ? region.spare_ : FindBest(region, "");
    region.spare_.clear();
  }
  if (!IsSuited(region, region.spare_)) {
    region.spare_ = FindBest(region, region.relay_);
  }
}

auto ConfigRelays::BestRoundTrip(const Region& region) -> Millis {
  Millis best = 0;
  for (const auto& [address, member] : region.members_) {
    const auto round_trip_ms = member.candidate_.store_round_trip_ms_;
    if (round_trip_ms != 0 && (best == 0 || round_trip_ms < best)) {
      best = round_trip_ms;
    }
  }
  return best;
}

auto ConfigRelays::IsNearStore(const std::string& name) const -> bool {
  if (name != own_region_) {
    return false;
  }
  return std::none_of(regions_.begin(), regions_.end(),
                      [this, &name](const auto& entry) {
                        const auto other_ms = BestRoundTrip(entry.second);
                        return entry.first != name && other_ms != 0 &&
                               other_ms + kFarRoundTripMs < own_round_trip_ms_;
                      });
}

auto ConfigRelays::ApplyReport(const RelayCandidate& candidate, Millis now_ms)
    -> std::vector<std::string> {
  if (candidate.region_.empty() || own_region_.empty()) {
    return {};
  }
  for (auto& [name, other] : regions_) {
    std::erase_if(other.members_, [now_ms](const auto& entry) {
      return now_ms - entry.second.reported_ms_ > kMaxReportAgeMs;
    });
  }
  auto& region = regions_[candidate.region_];
  if (region.members_.empty()) {
    region.known_since_ms_ = now_ms;
  }
  region.members_[candidate.address_] = {candidate, now_ms};
  UpdateChoice(region, now_ms);
  if (region.members_.size() < kMinRegionMembers || region.relay_.empty() ||
      IsNearStore(candidate.region_) || candidate.address_ == region.relay_) {
    return {};
  }
  if (candidate.address_ == region.spare_ || region.spare_.empty()) {
    return {region.relay_};
  }
  return {region.relay_, region.spare_};
}

}  // namespace lentilscale::fleet
