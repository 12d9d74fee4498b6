// Tells crashes that a fault of a data centre explains from those that a task
// may have caused.
//
// Workers that end together begin their next lives together as well, and when a
// life began is known however late the worker answers:
//
//   if (IsCommonCrash({"east", 1'700'000'000'600}, others)) {
//     // Half of the others in the data centre began at that time, too.
//   }

#ifndef LENTILSCALE_FLEET_COMMON_CRASH_H_
#define LENTILSCALE_FLEET_COMMON_CRASH_H_

#include <cstdint>
#include <string>
#include <vector>

namespace lentilscale::fleet {

// The beginning of a worker's life.
struct WorkerBirth {
  std::string data_centre_;
  // By the worker's time of day.
  std::int64_t born_unix_ms_ = 0;
  // True if the life before took with it a run that may have ended it: one of
  // the job in question, or of a task that was suspected of a crash before.
  bool had_suspect_ = false;
};

// Returns true if the end of the life before `birth` is no evidence against the
// job: it had a cause in common with the ends of other workers of its data
// centre. `others` are the latest births of the service's other workers.
auto IsCommonCrash(const WorkerBirth& birth,
                   const std::vector<WorkerBirth>& others) -> bool;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_COMMON_CRASH_H_
