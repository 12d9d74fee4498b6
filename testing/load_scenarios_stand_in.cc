// Sizes and rates are those of deployments, reduced where a smaller fleet shows
// the same.

#include "testing/load_scenarios_stand_in.h"

#include <cmath>

namespace lentilscale::fleet {
namespace {

constexpr Millis kTicketMs = 2000;
// Longer than any world.
constexpr Millis kLastingMs = 1000000;
constexpr double kUsPerS = 1000000;
// Size of a fleet beside its small twin.
constexpr int kTwinDivisor = 8;
constexpr int kManyInstances = 32;

}  // namespace

auto CraftsLoad() -> LoadScenario {
  LoadScenario load;
  load.workers_ = 350;
  load.capacity_ = {0, 16000, 32768, 0};
  load.instances_ = 34;
  load.traffic_ms_ = 30000;
  LoadKind analysis;
  analysis.queue_ = "analysis";
  analysis.priority_ = 1;
  analysis.jobs_per_s_ = 4.29;
  analysis.steps_ = {1.2, 0.4, 3};
  analysis.tasks_per_step_ = {20, 0.8, 120};
  analysis.cpu_milli_ = {4500, 0.4, 7600};
  analysis.memory_mb_ = {8100, 0.5, 16000};
  analysis.work_ms_ = {5000, 0.5, 12000};
  analysis.gang_share_ = 1;
  analysis.failure_share_ = 0.05;
  analysis.advice_ = {440, 6.2, kTicketMs};
  analysis.allowed_share_ = 0.3;
  analysis.stretch_ = 2.2;
  analysis.target_ms_ = 1200;
  LoadKind bundle;
  bundle.queue_ = "bundle";
  bundle.priority_ = 2;
  bundle.jobs_per_s_ = 11.2;
  bundle.steps_ = {1.5, 0.4, 3.8};
  bundle.tasks_per_step_ = {25, 0.8, 150};
  bundle.cpu_milli_ = {1700, 0.45, 5200};
  bundle.memory_mb_ = {2500, 0.6, 7500};
  bundle.work_ms_ = {2200, 0.5, 5400};
  bundle.failure_share_ = 0.02;
  bundle.advice_ = {80, 1.1, kTicketMs};
  bundle.allowed_share_ = 0.45;
  bundle.stretch_ = 4;
  bundle.target_ms_ = 3000;
  LoadKind lookup;
  lookup.queue_ = "lookup";
  lookup.priority_ = 0;
  lookup.jobs_per_s_ = 80.4;
  lookup.tasks_per_step_ = {3.2, 0.8, 19};
  lookup.cpu_milli_ = {2500, 0.45, 7400};
  lookup.memory_mb_ = {3600, 0.6, 11000};
  lookup.work_ms_ = {1000, 0.5, 2500};
  lookup.gang_share_ = 0.3;
  lookup.failure_share_ = 0.05;
  lookup.advice_ = {11, 0.16, kTicketMs};
  lookup.allowed_share_ = 0.7;
  lookup.stretch_ = 1.5;
  lookup.target_ms_ = 400;
  load.kinds_ = {analysis, bundle, lookup};
  return load;
}

auto SaturatedOwnerLoad() -> LoadScenario {
  LoadScenario load;
  load.workers_ = 100;
  load.more_workers_ = {{"t", 40}};
  load.capacity_ = {0, 16000, 32768, 0};
  load.instances_ = 8;
  load.traffic_ms_ = 10000;
  // 1,818 starts with their ends fill one second.
  load.start_cost_us_ = 350;
  load.hold_cost_us_ = 200;
  LoadKind urgent;
  urgent.queue_ = "urgent";
  urgent.jobs_per_s_ = 300;
  urgent.tasks_per_step_ = {8, 0, 8};
  urgent.cpu_milli_ = {1000, 0, 1000};
  urgent.memory_mb_ = {100, 0, 100};
  urgent.work_ms_ = {300, 0, 300};
  urgent.is_advised_ = false;
  urgent.target_ms_ = 300;
  LoadKind batch = urgent;
  batch.queue_ = "batch";
  batch.service_ = "t";
  batch.priority_ = 2;
  batch.jobs_per_s_ = 20;
  batch.tasks_per_step_ = {4, 0, 4};
  batch.work_ms_ = {400, 0, 400};
  batch.is_advised_ = true;
  batch.advice_ = {40, 0.5, kTicketMs};
  batch.allowed_share_ = 0.6;
  batch.target_ms_ = 3000;
  LoadKind lasting = batch;
  lasting.queue_ = "lasting";
  lasting.priority_ = 1;
  lasting.jobs_per_s_ = 1;
  lasting.tasks_per_step_ = {2, 0, 2};
  lasting.work_ms_ = {kLastingMs, 0, kLastingMs};
  lasting.is_lasting_ = true;
  load.kinds_ = {urgent, batch, lasting};
  return load;
}

auto DoubledBurstLoad() -> LoadScenario {
  auto load = SaturatedOwnerLoad();
  load.burst_factor_ = 2;
  load.burst_begins_ms_ = 4000;
  load.burst_ends_ms_ = 6000;
  auto& urgent = load.kinds_.at(0);
  urgent.jobs_per_s_ = 150;
  urgent.is_advised_ = true;
  urgent.advice_ = {16, 0.2, kTicketMs};
  urgent.allowed_share_ = 0.7;
  auto report = load.kinds_.at(1);
  report.queue_ = "report";
  report.service_ = "s";
  report.jobs_per_s_ = 5;
  report.tasks_per_step_ = {40, 0, 40};
  report.advice_ = {140, 2, kTicketMs};
  load.kinds_.push_back(report);
  return load;
}

auto LongBacklogLoad(int instances) -> LoadScenario {
  auto load = DoubledBurstLoad();
  load.instances_ = instances;
  load.traffic_ms_ = 20000;
  load.burst_factor_ = 4;
  load.burst_begins_ms_ = 3000;
  return load;
}

auto FullServiceLoad() -> LoadScenario {
  LoadScenario load;
  load.workers_ = 40;
  load.capacity_ = {0, 16000, 65536, 0};
  load.instances_ = 8;
  load.traffic_ms_ = 30000;
  LoadKind urgent;
  urgent.queue_ = "urgent";
  urgent.jobs_per_s_ = 60;
  urgent.tasks_per_step_ = {9.5, 0.8, 57};
  urgent.cpu_milli_ = {2700, 0.45, 8000};
  urgent.memory_mb_ = {7600, 0.6, 23000};
  urgent.work_ms_ = {560, 0.5, 1400};
  urgent.advice_ = {13, 0.18, kTicketMs};
  urgent.allowed_share_ = 0.7;
  urgent.stretch_ = 1.5;
  urgent.target_ms_ = 300;
  LoadKind lasting;
  lasting.queue_ = "lasting";
  lasting.priority_ = 1;
  lasting.jobs_per_s_ = 0.2;
  lasting.tasks_per_step_ = {3, 0, 3};
  lasting.cpu_milli_ = {4500, 0.4, 7600};
  lasting.memory_mb_ = {13000, 0.5, 25000};
  // All runs fail, at half of this.
  lasting.work_ms_ = {10000, 0, 10000};
  lasting.failure_share_ = 1;
  lasting.is_lasting_ = true;
  lasting.advice_ = {560, 8, kTicketMs};
  lasting.allowed_share_ = 0.3;
  load.kinds_ = {urgent, lasting};
  return load;
}

auto LoadScenario::OfferedStartsPerS() const -> double {
  auto starts_per_s = 0.0;
  for (const auto& kind : kinds_) {
    starts_per_s +=
        kind.jobs_per_s_ * kind.steps_.mean_ * kind.tasks_per_step_.mean_;
  }
  return starts_per_s;
}

auto SteadyLoad(FleetSize size, double rate_factor) -> LoadScenario {
  auto load = DoubledBurstLoad();
  load.burst_factor_ = 1;
  load.burst_ends_ms_ = load.burst_begins_ms_;
  load.is_refusing_for_load_ = true;
  load.instances_ = kManyInstances;
  if (size == FleetSize::kSmallTwin) {
    load.instances_ = kManyInstances / 4;
    load.workers_ = (load.workers_ + kTwinDivisor - 1) / kTwinDivisor;
    for (auto& [service, count] : load.more_workers_) {
      count = (count + kTwinDivisor - 1) / kTwinDivisor;
    }
    for (auto& kind : load.kinds_) {
      kind.jobs_per_s_ /= kTwinDivisor;
    }
  }
  // What a Hold answer costs is charged to the answers to starts: it reports as
  // many ends as have come, so that the rate would depend on the load.
  const auto scale =
      kUsPerS / (rate_factor * load.OfferedStartsPerS() *
                 static_cast<double>(load.start_cost_us_ + load.hold_cost_us_));
  load.answer_cost_us_ =
      std::llround(scale * static_cast<double>(load.hold_cost_us_));
  load.start_cost_us_ =
      std::llround(scale * static_cast<double>(load.start_cost_us_));
  load.hold_cost_us_ = 0;
  return load;
}

}  // namespace lentilscale::fleet
