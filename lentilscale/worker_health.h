// Quarantines workers that fail every task they start.
//
//   WorkerHealth health(options);
//   health.OnTaskEnd("w1", "acme/nightly", /*is_ok=*/false, now);
//   if (health.IsQuarantined("w1", now)) ...
//
// A failure counts against the worker only if the work does not explain it.
// Once a group of work has failed on several workers without a success, the
// group is faulty and its further failures count against no worker. Each
// further quarantine of a worker lasts twice as long, up to a maximum, until a
// task succeeds there.

#ifndef LENTILSCALE_WORKER_HEALTH_H_
#define LENTILSCALE_WORKER_HEALTH_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "lentilscale/clock.h"

namespace lentilscale {

// Tracks failures by worker and by group of work.
class WorkerHealth {
 public:
  struct Options {
    // Consecutive failures after which a worker is quarantined.
    std::int64_t quarantine_failures_ = 5;
    Millis min_quarantine_ms_ = 5000;
    Millis max_quarantine_ms_ = 300000;
    // Workers on which a group fails, without a success, before it is faulty.
    std::size_t faulty_group_workers_ = 3;
  };

  explicit WorkerHealth(const Options& options) : options_(options) {}

  // Records the end of a task of `group` on `worker`. Returns true if this
  // quarantines the worker.
  auto OnTaskEnd(const std::string& worker, const std::string& group,
                 bool is_ok, Millis now) -> bool;

  auto IsQuarantined(const std::string& worker, Millis now) const -> bool;
  // Returns true if the group, not the workers, causes its failures.
  auto IsGroupFaulty(const std::string& group) const -> bool;

 private:
  struct WorkerState {
    std::int64_t consecutive_failures_ = 0;
    Millis quarantine_ms_ = 0;
    Millis quarantined_until_ms_ = 0;
  };

  struct GroupState {
    std::set<std::string> failed_workers_;
    bool has_succeeded_ = false;
  };

  Options options_;
  std::map<std::string, WorkerState, std::less<>> workers_;
  std::map<std::string, GroupState, std::less<>> groups_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_WORKER_HEALTH_H_
