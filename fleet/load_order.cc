// A sorted vector is made once a pass and then changed in place: a start moves
// one worker by a few positions, and the scan for the worker ends early, since
// the worker was just found near the front.

#include "fleet/load_order.h"

#include <algorithm>
#include <tuple>

namespace lentilscale::fleet {
namespace {

auto Fraction(std::int64_t used, std::int64_t whole) -> double {
  return whole <= 0 ? 0.0
                    : static_cast<double>(used) / static_cast<double>(whole);
}

auto IsBefore(const LoadOrder::Entry& a, const LoadOrder::Entry& b) -> bool {
  return std::tie(a.load_, a.index_) < std::tie(b.load_, b.index_);
}

}  // namespace

auto LoadOf(const Resources& used, const Resources& capacity) -> double {
  return std::max(Fraction(used.cpu_milli_, capacity.cpu_milli_),
                  Fraction(used.memory_mb_, capacity.memory_mb_));
}

LoadOrder::LoadOrder(const std::vector<FleetWorker*>& workers) {
  entries_.reserve(workers.size());
  for (auto* worker : workers) {
    entries_.push_back({LoadOf(worker->used_, worker->entry_.capacity_),
                        entries_.size(), worker});
  }
  std::sort(entries_.begin(), entries_.end(), IsBefore);
}

auto LoadOrder::Update(const FleetWorker& worker) -> void {
  const auto it = std::find_if(
      entries_.begin(), entries_.end(),
      [&](const Entry& entry) { return entry.worker_ == &worker; });
  if (it == entries_.end()) {
    return;
  }
  it->load_ = LoadOf(worker.used_, worker.entry_.capacity_);
  const auto after = std::lower_bound(it + 1, entries_.end(), *it, IsBefore);
  if (after != it + 1) {
    std::rotate(it, it + 1, after);
    return;
  }
  const auto before = std::upper_bound(entries_.begin(), it, *it, IsBefore);
  std::rotate(before, it, it + 1);
}

}  // namespace lentilscale::fleet
