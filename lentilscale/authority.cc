// All times are those at which a question was sent, never when its answer
// came: an instance that is paused in between must not believe that the answer
// is newer than the question. Leases in the store run from the receipt of the
// call, which is later, so that the instance's own view always ends first.

#include "lentilscale/authority.h"

#include <algorithm>

namespace lentilscale {

auto Authority::OnRegistered(Millis sent) -> void {
  registered_ms_ = sent;
  renewed_ms_ = sent;
}

auto Authority::OnRenewed(Millis sent) -> void {
  renewed_ms_ = std::max(renewed_ms_, sent);
}

auto Authority::OnConfigurationRead(Millis sent, std::int64_t ticket) -> void {
  read_ms_ = std::max(read_ms_, sent);
  configuration_ms_ = std::max(configuration_ms_, sent);
  ticket_ = std::max(ticket_, ticket);
}

auto Authority::OnPeer(const PeerStatement& statement) -> void {
  auto& known = statements_[statement.id_];
  if (statement.sent_ms_ >= known.sent_ms_) {
    known = statement;
  }
  // A peer whose latest ticket is no later than ours vouches for our
  // configuration at the age of its own.
  if (statement.ticket_ <= ticket_) {
    configuration_ms_ =
        std::max(configuration_ms_,
                 statement.sent_ms_ - statement.configuration_age_ms_);
  }
}

auto Authority::SetPeers(const std::set<std::string>& ids) -> void {
  peers_ = ids;
  std::erase_if(statements_,
                [&ids](const auto& item) { return !ids.contains(item.first); });
}

auto Authority::UnanimousAt() const -> Millis {
  // Without one contact there is nothing to go on with; and an instance that
  // reaches the store asks the store.
  if (has_store_ || configuration_ms_ == 0) {
    return 0;
  }
  Millis earliest = INT64_MAX;
  for (const auto& id : peers_) {
    const auto it = statements_.find(id);
    if (it == statements_.end() || it->second.has_store_) {
      return 0;
    }
    earliest = std::min(earliest, it->second.sent_ms_);
  }
  // An instance without peers cannot tell an outage from its own isolation.
  return earliest == INT64_MAX ? 0 : earliest;
}

auto Authority::RightsUntil() const -> Millis {
  if (renewed_ms_ == 0 || read_ms_ < registered_ms_) {
    return 0;
  }
  // Rights also rest on knowing who owns which shard.
  const auto by_store = std::min(renewed_ms_, read_ms_);
  const auto confirmed = std::max(by_store, UnanimousAt());
  return confirmed + options_.lease_ms_ - options_.drift_ms_;
}

auto Authority::ConfigurationConfirmedAt() const -> Millis {
  return std::max(configuration_ms_, UnanimousAt());
}

}  // namespace lentilscale
