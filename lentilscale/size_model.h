// What tasks really take, learned from usage reports.
//
// Declared sizes are far from the truth. The model keeps, per team and class
// of work, the largest recent use, and gives the reservation for the next
// task of that class:
//
//   model.OnUsage("acme", "nightly", used);
//   auto reserve = model.Reservation("acme", "nightly", declared);
//
// Workers hold a task to its reservation (processors are throttled, memory
// above it ends the task), so that a wrong reservation costs that task time
// and never overfills the worker.

#ifndef LENTILSCALE_SIZE_MODEL_H_
#define LENTILSCALE_SIZE_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

#include "lentilscale/resources.h"

namespace lentilscale {

// Sizes learned by team and class.
class SizeModel {
 public:
  // Takes a report of what a task used at its peak.
  auto OnUsage(const std::string& team, const std::string& work_class,
               const Resources& used) -> void;

  // A task ran out of memory under reservation `reserved`.
  auto OnOutOfMemory(const std::string& team, const std::string& work_class,
                     const Resources& reserved) -> void;

  // Returns what to reserve for a task that declares `declared`. Slots and
  // accelerators are never changed, since they are granted whole.
  auto Reservation(const std::string& team, const std::string& work_class,
                   const Resources& declared) const -> Resources;

 private:
  struct PeakUsage {
    double cpu_milli_ = 0;
    double memory_mb_ = 0;
    std::int64_t report_count_ = 0;
    // Least memory after a task ran out of it.
    double min_memory_mb_ = 0;
  };

  std::map<std::string, PeakUsage, std::less<>> classes_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_SIZE_MODEL_H_
