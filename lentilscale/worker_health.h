// Finds workers that fail everything they start.
//
//   WorkerHealth health(options);
//   health.OnTaskEnd("w1", "acme/nightly", /*is_ok=*/false, now);
//   if (health.IsQuarantined("w1", now)) ...
//
// A failure speaks against the worker only if it is not explained by the work:
// a group of work that fails on several workers is poisonous and counts
// against none of them. A quarantined worker is tried again after a while,
// with a doubled wait each time.

#ifndef LENTILSCALE_WORKER_HEALTH_H_
#define LENTILSCALE_WORKER_HEALTH_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "lentilscale/clock.h"

namespace lentilscale {

// Failures by worker and by group of work.
class WorkerHealth {
 public:
  struct Options {
    // Failures without a success between them.
    std::int64_t quarantine_failures_ = 5;
    Millis min_quarantine_ms_ = 5000;
    Millis max_quarantine_ms_ = 300000;
    // Workers on which a group must fail without success to be poisonous.
    std::size_t faulty_group_workers_ = 3;
  };

  explicit WorkerHealth(const Options& options) : options_(options) {}

  // Takes the end of a task of `group` on `worker`. Returns true if the worker
  // has just been quarantined.
  auto OnTaskEnd(const std::string& worker, const std::string& group,
                 bool is_ok, Millis now) -> bool;

  auto IsQuarantined(const std::string& worker, Millis now) const -> bool;
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
