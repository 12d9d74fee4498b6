// The loop never sleeps: its clock is set to the next timer, so that a minute
// of a fleet takes seconds and its course doesn't depend on the machine.

#include "testing/load_play_stand_in.h"

#include <uv.h>

#include <algorithm>
#include <cstdlib>

#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

constexpr std::int64_t kNsPerUs = 1000;
constexpr std::int64_t kNsPerMs = 1000000;

}  // namespace

auto PlayLoad(const LoadScenario& scenario, unsigned seed, std::int64_t* now_ns,
              const std::function<void(const LoadWorld&)>& measure) -> void {
  SetLogLevel(std::getenv("LENTIL_LOG") == nullptr ? LogLevel::kError
                                                   : LogLevel::kInfo);
  uv_loop_t loop;
  uv_loop_init(&loop);
  const auto advance = [&loop, now_ns] {
    uv_update_time(&loop);
    *now_ns += std::max(0, uv_backend_timeout(&loop)) * kNsPerMs;
    uv_run(&loop, UV_RUN_NOWAIT);
  };
  {
    LoadWorld world(&loop, seed, scenario,
                    [now_ns](std::int64_t us) { *now_ns += us * kNsPerUs; });
    while (!world.IsFinished()) {
      advance();
    }
    measure(world);
  }
  // Timers that are left do nothing, as their world is gone.
  while (uv_loop_alive(&loop) != 0) {
    advance();
  }
  uv_loop_close(&loop);
}

}  // namespace lentilscale::fleet
