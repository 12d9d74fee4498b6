// Workers that only large tasks may use.
//
// Large tasks would wait forever behind smaller ones that fill each gap, so
// workers are made exclusive to their step. Of the allowed workers, those that
// will have room first are chosen. Only the step itself and more urgent steps
// may use them; each pass decides anew until the tasks are placed.
//
// A worker on which the step cannot run, or that will not have room, is never
// chosen, and a gang gets no worker unless all its members will have room:
// nothing would end the exclusivity, and the worker would stay empty.

#include <algorithm>
#include <vector>

#include "fleet/dispatcher.h"

namespace lentilscale::fleet {
namespace {

// Workers are made exclusive to tasks that take at least this share of one.
constexpr double kLargeTaskShare = 0.5;
// At most one worker in this many of a service is exclusive to large tasks, but
// always at least one may be.
constexpr std::size_t kExclusiveWorkerDivisor = 3;
// Exclusivity must not keep a step waiting that has to run: a task that lasts,
// whose users notice each second, or any task while less than this share of the
// service is in use. After this time it ends for such a step, which leaves time
// for an advice call within the 3 s that the users allow.
constexpr double kMaxIdleServiceShare = 0.6;
constexpr Millis kMaxExclusiveWaitMs = 1000;

// Returns how many of a service's `workers` may be exclusive to large tasks.
auto MaxExclusiveWorkers(std::size_t workers) -> std::size_t {
  return std::max<std::size_t>(1, workers / kExclusiveWorkerDivisor);
}

}  // namespace

auto Dispatcher::MayIgnoreExclusivity(const StepRun& step, const Queue& queue,
                                      Millis now_ms) -> bool {
  const auto& service = services_[queue.service_];
  if (!step.step_->is_long_running_ &&
      service.used_.DominantShare(service.capacity_) >= kMaxIdleServiceShare) {
    return false;
  }
  return step.HasWaitedFor(kMaxExclusiveWaitMs, now_ms);
}

auto Dispatcher::IsInfeasible(const StepRun& step, const Queue& queue) -> bool {
  const auto& service = services_[queue.service_];
  const auto demand = CapacityDemand(*step.step_);
  if (service.usable_workers_.empty()) {
    return true;
  }
  return !demand.FitsIn(service.max_free_) &&
         (service.exclusive_workers_ >=
              MaxExclusiveWorkers(service.worker_count_) ||
          demand.DominantShare(service.min_capacity_) < kLargeTaskShare);
}

auto Dispatcher::FindAllowedWorkers(const StepRun& step, const Queue& queue,
                                    Millis now_ms)
    -> std::vector<FleetWorker*> {
  std::vector<FleetWorker*> allowed;
  for (const auto& [id, advice] : step.advice_by_worker_) {
    const auto it = workers_.find(id);
    if (advice.is_allowed_ && it != workers_.end() &&
        it->second.entry_.service_ == queue.service_ &&
        it->second.IsUsable(now_ms, true)) {
      allowed.push_back(&it->second);
    }
  }
  return allowed;
}

auto Dispatcher::MakeWorkersExclusive(StepRun& step, const Queue& queue,
                                      int tasks, Millis now_ms) -> void {
  if (queue.advice_.has_value() && step.advice_by_worker_.empty()) {
    return;
  }
  struct Candidate {
    FleetWorker* worker_;
    Millis available_in_ms_;
  };
  const auto demand = CapacityDemand(*step.step_);
  std::vector<Candidate> candidates;
  auto& service = services_[queue.service_];
  const auto max_exclusive = MaxExclusiveWorkers(service.worker_count_);
  if (service.exclusive_workers_ >= max_exclusive ||
      demand.DominantShare(service.min_capacity_) < kLargeTaskShare) {
    return;
  }
  // Tasks that the workers will have room for; counted up to `tasks`.
  auto future_tasks = 0;
  const auto allowed = queue.advice_.has_value()
                           ? FindAllowedWorkers(step, queue, now_ms)
                           : service.usable_workers_;
  for (auto* worker : allowed) {
    if (!worker->exclusive_for_.empty() || worker->IsKeptForSuspect() ||
        !worker->IsUsable(now_ms, step.step_->is_long_running_) ||
        !worker->HasLabel(step.step_->required_label_)) {
      continue;
    }
    const auto fitting =
        std::min(TasksWithinWorkerLimit(*worker, step, tasks),
                 CountFitting(demand, worker->CapacityOnceEnded(), tasks));
    future_tasks = std::min(tasks, future_tasks + fitting);
    if (fitting > 0 &&
        demand.DominantShare(worker->entry_.capacity_) >= kLargeTaskShare) {
      candidates.push_back({worker, worker->TimeUntilFitsMs(demand, now_ms)});
    }
  }
  if (step.step_->is_gang_ && future_tasks < tasks) {
    return;
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.available_in_ms_ < b.available_in_ms_;
            });
  for (const auto& candidate : candidates) {
    if (tasks <= 0 || service.exclusive_workers_ >= max_exclusive) {
      break;
    }
    candidate.worker_->exclusive_for_ = step.name_;
    candidate.worker_->exclusive_priority_ = queue.priority_;
    ++service.exclusive_workers_;
    --tasks;
  }
}

}  // namespace lentilscale::fleet
