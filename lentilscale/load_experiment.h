// Experiments that lentilload runs, read from an INI file.
//
//   [run]
//   seconds = 20
//   seed = 1
//   [team kitchens]
//   key = kitchen-secret          ; the team's key, as callers show it
//   service = tablets
//   calls_per_s = 200
//   run_ms = 40                   ; mean of an exponential distribution
//   cpu_milli = 500
//   memory_mb = 128
//   idempotent_percent = 50
//   urgent_percent = 0
//   deadline_ms = 5000
//   repeat_percent = 5            ; non-idempotent calls sent twice
//   jobs_per_s = 0.5
//   job_kind = batch
//   job_tasks = 20
//   job_run_ms = 500
//   [fault 1]
//   at_s = 5
//   kind = store_down             ; store_lossy, workers, signal, proxy
//   ms = 3000
//   ...                           ; see docs/OPERATIONS.md
//
// Reading is strict, as for settings.

#ifndef LENTILSCALE_LOAD_EXPERIMENT_H_
#define LENTILSCALE_LOAD_EXPERIMENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lentilscale/clock.h"

namespace lentilscale {

// The load of one team.
struct TeamLoadPlan {
  std::string name_;
  std::string key_;
  std::string service_;
  double calls_per_s_ = 0;
  double run_ms_ = 20;
  std::int64_t cpu_milli_ = 500;
  std::int64_t memory_mb_ = 128;
  // Real use as a part of what is declared, in per cent.
  std::int64_t real_percent_ = 100;
  std::int64_t idempotent_percent_ = 50;
  std::int64_t urgent_percent_ = 0;
  std::int64_t repeat_percent_ = 0;
  Millis deadline_ms_ = 5000;
  double jobs_per_s_ = 0;
  std::string job_kind_ = "batch";
  std::int64_t job_tasks_ = 10;
  double job_run_ms_ = 500;
  std::int64_t job_slots_ = 1;
  std::int64_t job_cpu_milli_ = 500;
  std::int64_t job_memory_mb_ = 256;
  std::int64_t job_accelerators_ = 0;
  std::int64_t job_urgent_percent_ = 0;
  // Part of the run after which the team stops sending, in seconds; 0 is never.
  double until_s_ = 0;
  double from_s_ = 0;
  std::int64_t share_ = 1;
};

// A fault at a time.
struct FaultPlan {
  std::string name_;
  double at_s_ = 0;
  std::string kind_;
  // Everything else that the section says.
  std::map<std::string, std::string> values_;
};

// An experiment.
struct LoadExperiment {
  static auto FromFile(const std::string& path)
      -> absl::StatusOr<LoadExperiment>;
  static auto FromText(const std::string& text, const std::string& name)
      -> absl::StatusOr<LoadExperiment>;

  double seconds_ = 10;
  // Part at the beginning that is not counted.
  double warm_up_s_ = 1;
  std::uint64_t seed_ = 1;
  std::vector<TeamLoadPlan> teams_;
  std::vector<FaultPlan> faults_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_LOAD_EXPERIMENT_H_
