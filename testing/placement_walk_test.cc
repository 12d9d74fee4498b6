// A walk of placement: small fleets, one after the other, each with a seed of
// its own, on a clock that jumps to the next timer. A minute of a fleet takes a
// fraction of a second, and a seed replays exactly.
//
//   placement_walk_test -- 1 60                 seeds 1 to 60
//   LENTIL_LOG=1 placement_walk_test -- 17 17   with the product's log

#define BOOST_TEST_MODULE placement_walk
#include <time.h>
#include <uv.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "lentilscale/log.h"
#include "testing/placement_walk_stand_in.h"

namespace {

constexpr std::int64_t kNsPerMs = 1000000;
constexpr std::int64_t kNsPerS = 1000 * kNsPerMs;
// Simulated time since 1970, in ns, for all clocks.
std::int64_t g_now_ns = 1000000 * kNsPerS;

}  // namespace

// Takes the place of the C library's clock in this program and in libuv.
extern "C" auto clock_gettime(clockid_t /*clock*/, timespec* now) noexcept
    -> int {
  now->tv_sec = g_now_ns / kNsPerS;
  now->tv_nsec = g_now_ns % kNsPerS;
  return 0;
}

namespace lentilscale::fleet {
namespace {

struct WalkResult {
  std::vector<std::string> violations_;
  int starts_ = 0;
};

// Runs the world of each seed to its end.
auto Walk(unsigned first_seed, unsigned last_seed, PlacementGap gap)
    -> WalkResult {
  SetLogLevel(std::getenv("LENTIL_LOG") == nullptr ? LogLevel::kError
                                                   : LogLevel::kInfo);
  WalkResult result;
  for (auto seed = first_seed; seed <= last_seed; ++seed) {
    uv_loop_t loop;
    uv_loop_init(&loop);
    {
      PlacementWorld world(&loop, seed, gap);
      while (!world.IsFinished()) {
        uv_update_time(&loop);
        g_now_ns += std::max(0, uv_backend_timeout(&loop)) * kNsPerMs;
        uv_run(&loop, UV_RUN_NOWAIT);
      }
      result.violations_.insert(result.violations_.end(),
                                world.violations().begin(),
                                world.violations().end());
      result.starts_ += world.starts();
    }
    // Timers that are left do nothing, as their world is gone.
    while (uv_loop_alive(&loop) != 0) {
      uv_update_time(&loop);
      g_now_ns += std::max(0, uv_backend_timeout(&loop)) * kNsPerMs;
      uv_run(&loop, UV_RUN_NOWAIT);
    }
    uv_loop_close(&loop);
  }
  return result;
}

// Returns a number from the command line after "--", or `otherwise`.
auto Argument(int number, unsigned otherwise) -> unsigned {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > number
             ? static_cast<unsigned>(std::stoul(suite.argv[number]))
             : otherwise;
}

}  // namespace

// Guards against LOST (a task that waits for seconds beside room for it), and
// against LIMIT and TWICE.
BOOST_AUTO_TEST_CASE(no_task_waits_beside_room_or_exceeds_it) {
  const auto result =
      Walk(Argument(1, 1), Argument(2, 40), PlacementGap::kNothing);
  for (const auto& violation : result.violations_) {
    BOOST_ERROR(violation);
  }
  BOOST_TEST(result.starts_ > 100);
}

// Guards against LOST by exclusive workers: seed 289 fails if
// exclusivity isn't ended for steps that wait; 79 and 130 fail if it also goes
// to gangs that cannot run.
BOOST_AUTO_TEST_CASE(no_task_waits_for_ever_behind_exclusive_workers) {
  for (const auto seed : {79U, 130U, 289U}) {
    for (const auto& violation :
         Walk(seed, seed, PlacementGap::kNothing).violations_) {
      BOOST_ERROR(violation);
    }
  }
}

// Guards against a judge that sees nothing.
BOOST_AUTO_TEST_CASE(answers_that_are_withheld_are_noticed) {
  BOOST_TEST(!Walk(1, 2, PlacementGap::kAdviceAnswers).violations_.empty());
  BOOST_TEST(!Walk(1, 2, PlacementGap::kHoldAnswers).violations_.empty());
}

}  // namespace lentilscale::fleet
