// The resources that a worker provides and a task needs.
//
//   Resources free = worker.capacity_;
//   if (task.need_.FitsIn(free)) free -= task.need_;

#ifndef LENTILSCALE_RESOURCES_H_
#define LENTILSCALE_RESOURCES_H_

#include <json/json.h>

#include <algorithm>
#include <cstdint>

namespace lentilscale {

// Amounts of the four kinds of resources. One task takes one slot.
struct Resources {
  std::int64_t slots_ = 0;
  // Thousandths of a processor.
  std::int64_t cpu_milli_ = 0;
  std::int64_t memory_mb_ = 0;
  std::int64_t accelerators_ = 0;

  auto operator==(const Resources&) const -> bool = default;

  auto operator+=(const Resources& other) -> Resources& {
    slots_ += other.slots_;
    cpu_milli_ += other.cpu_milli_;
    memory_mb_ += other.memory_mb_;
    accelerators_ += other.accelerators_;
    return *this;
  }

  auto operator-=(const Resources& other) -> Resources& {
    slots_ -= other.slots_;
    cpu_milli_ -= other.cpu_milli_;
    memory_mb_ -= other.memory_mb_;
    accelerators_ -= other.accelerators_;
    return *this;
  }

  // Returns true if `available` has at least this amount of every resource.
  auto FitsIn(const Resources& available) const -> bool {
    return slots_ <= available.slots_ && cpu_milli_ <= available.cpu_milli_ &&
           memory_mb_ <= available.memory_mb_ &&
           accelerators_ <= available.accelerators_;
  }

  // Returns the dominant share: the largest fraction of `total` that this takes
  // of any one resource (Ghodsi et al., "Dominant Resource Fairness", NSDI
  // 2011).
  auto DominantShare(const Resources& total) const -> double {
    const auto share = [](std::int64_t part, std::int64_t whole) {
      return whole <= 0
                 ? 0.0
                 : static_cast<double>(part) / static_cast<double>(whole);
    };
    return std::max({share(slots_, total.slots_),
                     share(cpu_milli_, total.cpu_milli_),
                     share(memory_mb_, total.memory_mb_),
                     share(accelerators_, total.accelerators_)});
  }

  auto ToJson() const -> Json::Value;

  // Parses the members that ToJson writes. An absent "slots" means
  // `default_slots`; other absent members mean 0.
  static auto FromJson(const Json::Value& object, std::int64_t default_slots)
      -> Resources;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_RESOURCES_H_
