// The loads that a simulated fleet can be put under (load_world_stand_in.h):
// its size, the kinds of jobs with their rates, and what happens to the owner.
//
//   auto load = SteadyLoad(FleetSize::kFull, 0.6);
//   load.losses_ = {{10000, 1500}};

#ifndef LENTILSCALE_TESTING_LOAD_SCENARIOS_STAND_IN_H_
#define LENTILSCALE_TESTING_LOAD_SCENARIOS_STAND_IN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet_config.h"
#include "lentilscale/clock.h"

namespace lentilscale::fleet {

// The distribution of an amount: log-normal with the given mean, up to a
// maximum.
struct Spread {
  double mean_ = 1;
  double sigma_ = 0;
  double max_ = 1;
};

// One kind of jobs.
struct LoadKind {
  std::string queue_;
  std::string service_ = "s";
  int priority_ = 0;
  double jobs_per_s_ = 1;
  Spread steps_;
  Spread tasks_per_step_;
  Spread cpu_milli_;
  Spread memory_mb_;
  Spread work_ms_;
  // Share of the steps whose tasks start together or not at all.
  double gang_share_ = 0;
  // Share of the runs that fail.
  double failure_share_ = 0;
  // True if the tasks last until the end of the world.
  bool is_lasting_ = false;
  bool is_advised_ = true;
  AdvicePolicy advice_;
  // Share of the workers that the advice service allows.
  double allowed_share_ = 1;
  double stretch_ = 2;
  Millis target_ms_ = 0;
};

// The end of the owner's process, in ms since the start of traffic, and the
// time until its successor has claimed the fleet.
struct OwnerLoss {
  Millis at_ms_ = 0;
  Millis take_over_ms_ = 0;
};

struct LoadScenario {
  // Workers of the service "s".
  int workers_ = 0;
  // Workers of further services, by name.
  std::map<std::string, int> more_workers_;
  // All workers are alike but for their speed.
  Resources capacity_;
  int instances_ = 1;
  Millis traffic_ms_ = 0;
  // Extra jobs between two times since the start of traffic, as a factor.
  double burst_factor_ = 1;
  Millis burst_begins_ms_ = 0;
  Millis burst_ends_ms_ = 0;
  // Processor time of the owner for a start order, for the answer to one, and
  // for the answer to a Hold.
  std::int64_t start_cost_us_ = 0;
  std::int64_t answer_cost_us_ = 0;
  std::int64_t hold_cost_us_ = 0;
  // The same for a call for advice.
  std::int64_t advice_cost_us_ = 0;
  // True if instances refuse jobs for load, as they do to clients. Refused jobs
  // don't come back.
  bool is_refusing_for_load_ = false;
  // In order of time.
  std::vector<OwnerLoss> losses_;
  std::vector<LoadKind> kinds_;

  // Returns the starts that the kinds offer in a second, on average.
  auto OfferedStartsPerS() const -> double;
};

// The load of the Crafts Authority's grown deployment: wide gangs with slow
// advice about few workers, wide steps, and lookups that are due at once.
auto CraftsLoad() -> LoadScenario;

// One class of priority 0 with more tasks than the owner can start, beside two
// classes of a lower priority whose workers it may not use.
auto SaturatedOwnerLoad() -> LoadScenario;

// The same with calls for advice for all classes, a further class on the
// workers of the first, and twice the jobs for some seconds.
auto DoubledBurstLoad() -> LoadScenario;

// The same classes with a burst that leaves several objectives' worth of starts
// waiting, and little room to work them off. Each instance makes one call for
// advice at a time.
auto LongBacklogLoad(int instances) -> LoadScenario;

enum class FleetSize { kFull, kSmallTwin };

// Short urgent work for more than all the room that there is, beside a few
// large tasks that last, are allowed on few workers, with slow advice, and fail
// now and then.
auto FullServiceLoad() -> LoadScenario;

// The classes of DoubledBurstLoad at a steady rate, with refusal for load, and
// an owner that can make `rate_factor` times the starts that are offered. A
// small twin has an eighth of the load, of the owner's rate and of the workers.
auto SteadyLoad(FleetSize size, double rate_factor) -> LoadScenario;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_TESTING_LOAD_SCENARIOS_STAND_IN_H_
