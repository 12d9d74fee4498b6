// Tells which runs a worker took with it when it crashed.
//
// A run that is lost with its worker says nothing about it: the worker may have
// been cut off. It has crashed if its life has ended without draining, and that
// is known only once another life answers at its address, under its id or under
// another. This can be long after the runs were taken for lapsed, so they are
// remembered until then, for a limited time.
//
//   detector.AddLostRun({"w", 17, "10.0.0.1:80"}, {task, run, true}, BootMs());
//   for (const auto& crash : detector.OnAnswer({"w", 18, "10.0.0.1:80"})) { ...
//   }

#ifndef LENTILSCALE_FLEET_CRASH_DETECTOR_H_
#define LENTILSCALE_FLEET_CRASH_DETECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet/job.h"
#include "fleet/job_record.h"
#include "lentilscale/clock.h"

namespace lentilscale::fleet {

// A run that a worker may have had when its life ended.
struct LostRun {
  TaskId task_;
  std::int64_t run_ = 0;
  // False if the start was not answered, so that it need not have arrived.
  bool has_started_ = false;
  // True if it had lasted too long to have crashed the worker by its start.
  bool has_lasted_ = false;
  // True if the worker may have been cut off before the start arrived.
  bool is_silent_ = false;
};

// A life of a worker that ended in a crash.
struct Crash {
  WorkerLife life_;
  std::vector<LostRun> runs_;
};

class CrashDetector {
 public:
  // Remembers a run that is lost with its worker, or will be if the life has
  // ended. Ignored if it is decided how the life has ended.
  auto AddLostRun(const WorkerLife& life, const LostRun& run, Millis now_ms)
      -> void;
  // Decides that the life ends by draining.
  auto OnDraining(const WorkerLife& life, Millis now_ms) -> void;
  // Returns the lives that have ended in a crash as this one answers, each
  // once, and forgets the runs that were lost before in this life.
  auto OnAnswer(const WorkerLife& life) -> std::vector<Crash>;
  auto Expire(Millis now_ms) -> void;

 private:
  // A worker's id and incarnation.
  using LifeKey = std::pair<std::string, std::int64_t>;
  struct LifeState {
    std::string address_;
    std::vector<LostRun> runs_;
    // True if the crash was returned, or the life ends by draining.
    bool is_decided_ = false;
    Millis expires_ms_ = 0;
  };

  auto FindOrAdd(const WorkerLife& life, Millis now_ms) -> LifeState&;

  std::map<LifeKey, LifeState> lives_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_CRASH_DETECTOR_H_
