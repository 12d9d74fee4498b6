// Tests of the dispatcher's state for one worker.

#define BOOST_TEST_MODULE fleet_worker
#include "fleet/fleet_worker.h"

#include <boost/test/unit_test.hpp>

namespace lentilscale::fleet {
namespace {

constexpr Millis kNowMs = 100000;

// Returns a worker that has joined and answers.
auto MakeUsableWorker() -> FleetWorker {
  FleetWorker worker;
  worker.entry_.id_ = "w-1";
  worker.entry_.incarnation_ = 7;
  worker.entry_.capacity_ = {0, 4000, 4000, 0};
  worker.incarnation_ = 7;
  worker.is_in_workers_record_ = true;
  worker.is_claimed_ = true;
  worker.UpdateClock(500, kNowMs);
  return worker;
}

}  // namespace

// Guards against LIMIT and ROUTE: a start on the new life of a worker by the
// capacity and the labels of its former one.
BOOST_AUTO_TEST_CASE(a_new_life_is_not_used_by_the_entry_of_the_former_one) {
  auto worker = MakeUsableWorker();
  BOOST_TEST(worker.IsUsable(kNowMs));
  worker.incarnation_ = 8;
  BOOST_TEST(!worker.IsUsable(kNowMs));
  worker.entry_.incarnation_ = 8;
  BOOST_TEST(worker.IsUsable(kNowMs));
}

}  // namespace lentilscale::fleet
