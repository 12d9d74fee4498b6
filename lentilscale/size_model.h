// Estimates the resources that tasks need from reports of their usage.
//
// Declared sizes are far from actual use. For each team and class of work, the
// model keeps the largest recent use and derives the reservation for the next
// task of that class:
//
//   model.OnUsage("acme", "nightly", used);
//   auto reservation = model.Reservation("acme", "nightly", declared);
//
// Workers enforce the reservation: they throttle the task's processor use and
// end a task that exceeds its memory. A wrong reservation therefore costs that
// task time, but never overloads the worker.

#ifndef LENTILSCALE_SIZE_MODEL_H_
#define LENTILSCALE_SIZE_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

#include "lentilscale/resources.h"

namespace lentilscale {

// Learns reservations by team and class of work.
class SizeModel {
 public:
  // Records a task's peak use.
  auto OnUsage(const std::string& team, const std::string& work_class,
               const Resources& used) -> void;

  // Raises the minimum memory of the class after a task ran out of memory under
  // reservation `reserved`.
  auto OnOutOfMemory(const std::string& team, const std::string& work_class,
                     const Resources& reserved) -> void;

  // Returns the reservation for a task that declares `declared`. Slots and
  // accelerators stay as declared, since they are allocated whole.
  auto Reservation(const std::string& team, const std::string& work_class,
                   const Resources& declared) const -> Resources;

 private:
  struct PeakUsage {
    double cpu_milli_ = 0;
    double memory_mb_ = 0;
    std::int64_t report_count_ = 0;
    // Lower bound of the memory reservation; 0 until a task runs out of memory.
    double min_memory_mb_ = 0;
  };

  std::map<std::string, PeakUsage, std::less<>> classes_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_SIZE_MODEL_H_
