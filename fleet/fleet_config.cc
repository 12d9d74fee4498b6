// Linear searches are fast enough: a deployment has at most a few hundred
// queues, and each request searches them once.

#include "fleet/fleet_config.h"

#include <openssl/crypto.h>

namespace lentilscale::fleet {

auto FleetConfig::FindQueue(std::string_view host, std::string_view path) const
    -> const Queue* {
  const Queue* best = nullptr;
  for (const auto& queue : queues_) {
    if (queue.host_ == host && path.starts_with(queue.prefix_) &&
        (best == nullptr || queue.prefix_.size() > best->prefix_.size())) {
      best = &queue;
    }
  }
  return best;
}

auto FleetConfig::FindQueueByName(std::string_view name) const -> const Queue* {
  for (const auto& queue : queues_) {
    if (queue.name_ == name) {
      return &queue;
    }
  }
  return nullptr;
}

auto FleetConfig::FindTeamByKey(std::string_view key) const -> const Team* {
  const Team* found = nullptr;
  for (const auto& team : teams_) {
    for (const auto& candidate : team.keys_) {
      if (candidate.size() == key.size() && !key.empty() &&
          CRYPTO_memcmp(candidate.data(), key.data(), key.size()) == 0) {
        found = &team;
      }
    }
  }
  return found;
}

auto FleetConfig::FindTeam(std::string_view name) const -> const Team* {
  for (const auto& team : teams_) {
    if (team.name_ == name) {
      return &team;
    }
  }
  return nullptr;
}

}  // namespace lentilscale::fleet
