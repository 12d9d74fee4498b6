// The order must lead to the same worker as a look at all of them.

#define BOOST_TEST_MODULE load_order
#include "fleet/load_order.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <limits>
#include <random>

namespace lentilscale::fleet {
namespace {

constexpr int kWorkers = 40;
constexpr int kSteps = 2000;

class Fleet {
 public:
  Fleet() : workers_(kWorkers) {
    for (auto& worker : workers_) {
      worker.entry_.capacity_ = {0, 16000, 65536, 0};
      all_.push_back(&worker);
    }
  }

  auto all() const -> const std::vector<FleetWorker*>& { return all_; }
  auto worker(std::size_t index) -> FleetWorker& { return workers_[index]; }

  // The first of the least loaded workers with room, by a look at all.
  auto LeastLoaded(const Resources& demand) -> FleetWorker* {
    FleetWorker* best = nullptr;
    auto best_load = std::numeric_limits<double>::infinity();
    for (auto* worker : all_) {
      const auto load = LoadOf(worker->used_, worker->entry_.capacity_);
      if (Fits(demand, *worker) && load < best_load) {
        best = worker;
        best_load = load;
      }
    }
    return best;
  }

  static auto Fits(const Resources& demand, const FleetWorker& worker) -> bool {
    auto free = worker.entry_.capacity_;
    free -= worker.used_;
    return demand.FitsIn(free);
  }

 private:
  std::deque<FleetWorker> workers_;
  std::vector<FleetWorker*> all_;
};

auto FirstFitting(const LoadOrder& order, const Resources& demand)
    -> FleetWorker* {
  for (const auto& entry : order.entries()) {
    if (Fleet::Fits(demand, *entry.worker_)) {
      return entry.worker_;
    }
  }
  return nullptr;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_stale_order_does_not_send_all_tasks_to_one_worker) {
  Fleet fleet;
  LoadOrder order(fleet.all());
  std::mt19937 random(7);
  for (auto step = 0; step < kSteps; ++step) {
    const Resources demand{0, 100 + static_cast<std::int64_t>(random() % 4000),
                           static_cast<std::int64_t>(random() % 9000), 0};
    auto* chosen = FirstFitting(order, demand);
    BOOST_REQUIRE_EQUAL(chosen, fleet.LeastLoaded(demand));
    if (chosen != nullptr) {
      chosen->used_ += demand;
      order.Update(*chosen);
    }
    auto& ended = fleet.worker(random() % kWorkers);
    if (step % 3 == 0) {
      ended.used_ = {};
      order.Update(ended);
    }
  }
}

BOOST_AUTO_TEST_CASE(equal_loads_keep_the_order_of_the_workers) {
  Fleet fleet;
  LoadOrder order(fleet.all());
  fleet.worker(0).used_.cpu_milli_ = 1000;
  order.Update(fleet.worker(0));
  BOOST_TEST(order.entries().front().worker_ == &fleet.worker(1));
  BOOST_TEST(order.entries().back().worker_ == &fleet.worker(0));
  fleet.worker(0).used_.cpu_milli_ = 0;
  order.Update(fleet.worker(0));
  BOOST_TEST(order.entries().front().worker_ == &fleet.worker(0));
}

BOOST_AUTO_TEST_CASE(a_worker_without_a_resource_is_not_taken_for_a_full_one) {
  BOOST_TEST(LoadOf({0, 500, 0, 0}, {0, 1000, 0, 0}) == 0.5);
  BOOST_TEST(LoadOf({0, 500, 90, 0}, {0, 1000, 100, 0}) == 0.9);
}

BOOST_AUTO_TEST_CASE(a_worker_that_is_not_usable_is_ignored) {
  Fleet fleet;
  LoadOrder order({&fleet.worker(1), &fleet.worker(2)});
  fleet.worker(0).used_.cpu_milli_ = 1000;
  order.Update(fleet.worker(0));
  BOOST_TEST(order.entries().size() == 2U);
  BOOST_TEST(order.entries().front().worker_ == &fleet.worker(1));
}

}  // namespace lentilscale::fleet
