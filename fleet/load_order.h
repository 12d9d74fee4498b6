// The workers of a service in order of their load, for one placement pass.
//
// A task that needs no accelerator goes to the least loaded worker on which it
// may run. That worker is nearly always among the first in this order, so that
// a search need not look at all workers:
//
//   LoadOrder order(usable_workers);
//   for (const auto& entry : order.entries()) {
//     if (best != nullptr && IsWorse(entry, best_score)) break;
//     ...
//   }
//   best->used_ += demand;
//   order.Update(*best);
//
// An entry's load is never above that of Dispatcher::ScoreWorker, which also
// counts reservations; a search may stop at the first entry whose load alone
// rules it out. Whoever changes a worker's `used_` during the pass calls
// Update.

#ifndef LENTILSCALE_FLEET_LOAD_ORDER_H_
#define LENTILSCALE_FLEET_LOAD_ORDER_H_

#include <cstddef>
#include <vector>

#include "fleet/fleet_worker.h"

namespace lentilscale::fleet {

// Returns the larger of the fractions of processor time and memory in use; 0
// for a resource that the worker does not have.
auto LoadOf(const Resources& used, const Resources& capacity) -> double;

class LoadOrder {
 public:
  struct Entry {
    double load_;
    // Position among the workers that the order was made from: of two workers
    // with the same score, the one with the lower index is chosen.
    std::size_t index_;
    FleetWorker* worker_;
  };

  LoadOrder() = default;
  explicit LoadOrder(const std::vector<FleetWorker*>& workers);

  // Returns the workers by rising load, and by rising index among equal loads.
  auto entries() const -> const std::vector<Entry>& { return entries_; }
  // Moves the worker to its place after its `used_` has changed; a worker that
  // is not in the order is ignored.
  auto Update(const FleetWorker& worker) -> void;

 private:
  std::vector<Entry> entries_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_LOAD_ORDER_H_
