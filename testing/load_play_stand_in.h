// Plays a load scenario (load_world_stand_in.h) on a clock that jumps to the
// next timer. The program must define clock_gettime such that all clocks show
// the time that the play keeps, in ns:
//
//   std::int64_t g_now_ns = 1000000 * kNsPerS;
//
//   PlayLoad(CraftsLoad(), 7, &g_now_ns,
//            [&](const LoadWorld& world) { ... world.ResultOf("lookup") ... });
//
// With LENTIL_LOG set in the environment, the product's log is written.

#ifndef LENTILSCALE_TESTING_LOAD_PLAY_STAND_IN_H_
#define LENTILSCALE_TESTING_LOAD_PLAY_STAND_IN_H_

#include <cstdint>
#include <functional>

#include "testing/load_world_stand_in.h"

namespace lentilscale::fleet {

// Plays the scenario to its end and calls `measure` then.
auto PlayLoad(const LoadScenario& scenario, unsigned seed, std::int64_t* now_ns,
              const std::function<void(const LoadWorld&)>& measure) -> void;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_TESTING_LOAD_PLAY_STAND_IN_H_
