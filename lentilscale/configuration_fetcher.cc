// The peers are asked in turn, in the order of their addresses: one that
// reports but does not answer costs one time-out, not all of them. A peer
// leaves the turn once it has been asked, and joins it again with its next
// report, so that one that has gone is not asked for ever.

#include "lentilscale/configuration_fetcher.h"

#include <utility>

namespace lentilscale {

auto ConfigurationFetcher::OnPeerHas(const std::string& address,
                                     std::int64_t number) -> void {
  holders_[address] = number;
  AskNext();
}

auto ConfigurationFetcher::AskNext() -> void {
  if (is_asking_ || holders_.empty()) {
    return;
  }
  auto next = holders_.upper_bound(last_asked_);
  if (next == holders_.end()) {
    next = holders_.begin();
  }
  last_asked_ = next->first;
  holders_.erase(next);
  is_asking_ = true;
  ask_(last_asked_, [this, alive = is_alive_](std::int64_t own_number) {
    if (*alive) {
      OnDone(own_number);
    }
  });
}

auto ConfigurationFetcher::OnDone(std::int64_t own_number) -> void {
  is_asking_ = false;
  std::erase_if(holders_, [own_number](const auto& holder) {
    return holder.second <= own_number;
  });
  AskNext();
}

}  // namespace lentilscale
