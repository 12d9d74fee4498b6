#include "lentilscale/resources.h"

#include "lentilscale/json.h"

namespace lentilscale {
namespace {

// Keeps sums over many tasks far from overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000;

}  // namespace

auto Resources::ToJson() const -> Json::Value {
  Json::Value out;
  out["slots"] = Json::Int64(slots_);
  out["cpu_milli"] = Json::Int64(cpu_milli_);
  out["memory_mb"] = Json::Int64(memory_mb_);
  out["accelerators"] = Json::Int64(accelerators_);
  return out;
}

auto Resources::FromJson(const Json::Value& object, std::int64_t default_slots)
    -> Resources {
  Resources out;
  out.slots_ = GetInt(object, "slots", default_slots, 0, kMaxAmount);
  out.cpu_milli_ = GetInt(object, "cpu_milli", 0, 0, kMaxAmount);
  out.memory_mb_ = GetInt(object, "memory_mb", 0, 0, kMaxAmount);
  out.accelerators_ = GetInt(object, "accelerators", 0, 0, kMaxAmount);
  return out;
}

}  // namespace lentilscale
