// Time as the rest of the library sees it.
//
// Decisions never read a clock; they take the time as an argument. Only the
// event loop's tasks call these functions. MonotonicMs is for intervals,
// deadlines and leases; WallMs is for times that processes compare with each
// other, and those comparisons allow for skew.

#ifndef LENTILSCALE_CLOCK_H_
#define LENTILSCALE_CLOCK_H_

#include <time.h>

#include <cstdint>

namespace lentilscale {

// A time or a span in milliseconds.
using Millis = std::int64_t;

// Returns the milliseconds since an arbitrary start; runs on during a pause
// of the process.
inline auto MonotonicMs() -> Millis {
  timespec now;
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<Millis>(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

// Returns the milliseconds since the machine's start, with the time during
// which it was suspended. The age of a right or of a configuration is judged by
// this clock, because the world went on during a suspension.
inline auto BootMs() -> Millis {
  timespec now;
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<Millis>(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

// Returns the milliseconds since 1970-01-01 UTC.
inline auto WallMs() -> Millis {
  timespec now;
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<Millis>(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

}  // namespace lentilscale

#endif  // LENTILSCALE_CLOCK_H_
