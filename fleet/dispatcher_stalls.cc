// Reports steps that have waited for long although nothing of them runs, and
// what holds starts back.
//
// The reason is worked out only for reports, because placement stops at the
// first condition that is not met and keeps no record of it. A bound on the
// steps examined keeps the cost of a backlog constant.

#include <algorithm>

#include "fleet/dispatcher.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

constexpr Millis kStallCheckIntervalMs = 1000;
// Within this time a waiting step is usually placed, unless the fleet is full.
constexpr Millis kStallThresholdMs = 2500;
constexpr std::size_t kMaxExaminedSteps = 32;
constexpr std::size_t kMaxReportedSteps = 4;
constexpr Millis kHeldBackReportIntervalMs = 1000;

// Returns true for the reasons that a full fleet or a full team explains.
auto IsExpectedUnderLoad(WaitReason reason) -> bool {
  return reason == WaitReason::kNoCapacity ||
         reason == WaitReason::kTeamLimit || reason == WaitReason::kReserved;
}

// Returns when the step's longest waiting task became ready or was requeued, or
// nullopt if no task waits or another task of the step is placed. Of tasks that
// last each one has to run, whether others do or not.
auto StalledSinceMs(const StepRun& step) -> std::optional<Millis> {
  std::optional<Millis> since;
  for (const auto& task : step.tasks_) {
    if (task.phase_ == Task::Phase::kPlaced && !step.step_->is_long_running_) {
      return std::nullopt;
    }
    if (task.phase_ == Task::Phase::kWaiting) {
      since = std::min(since.value_or(task.waiting_since_ms_),
                       task.waiting_since_ms_);
    }
  }
  return since;
}

}  // namespace

auto Dispatcher::CountWorkers(const StepRun& step, const Queue& queue,
                              Millis now_ms) const -> WorkerCounts {
  WorkerCounts counts;
  const auto demand = CapacityDemand(*step.step_);
  for (const auto& [id, worker] : workers_) {
    if (worker.entry_.service_ != queue.service_ ||
        !worker.HasLabel(step.step_->required_label_)) {
      continue;
    }
    ++counts.in_service_;
    if (queue.advice_.has_value() &&
        !step.IsAllowedOn(id, worker.incarnation_).value_or(true)) {
      continue;
    }
    ++counts.allowed_;
    if (!worker.IsUsable(now_ms, step.step_->is_long_running_)) {
      continue;
    }
    ++counts.usable_;
    auto free = worker.entry_.capacity_;
    free -= worker.used_;
    if (!demand.FitsIn(free)) {
      continue;
    }
    ++counts.fitting_;
    if (!demand.FitsIn(FreeCapacity(worker, step, queue))) {
      continue;
    }
    ++counts.unreserved_;
    const auto runs = step.runs_per_worker_.find(id);
    if (step.step_->max_per_worker_ > 0 &&
        runs != step.runs_per_worker_.end() &&
        runs->second >= step.step_->max_per_worker_) {
      continue;
    }
    ++counts.within_limit_;
    counts.ticketed_ += HasValidTicket(worker, step, queue, now_ms) ? 1 : 0;
  }
  return counts;
}

auto Dispatcher::ExplainWait(const StepRun& step, const Queue* queue,
                             const WorkerCounts& counts) const -> WaitReason {
  if (queue == nullptr) {
    return WaitReason::kNoQueue;
  }
  if (!hooks_.has_rights_()) {
    return WaitReason::kNoRights;
  }
  const auto& record = step.job_->record();
  for (auto i = 0; i < static_cast<int>(step.tasks_.size()); ++i) {
    if (step.job_->may_be_running() &&
        !IsKnownNotRunning(queue->name_, step.TaskIdAt(i).ToString())) {
      return WaitReason::kMayBeRunning;
    }
  }
  if (!IsQueueServiceRecorded(*queue)) {
    return WaitReason::kServiceNotRecorded;
  }
  const auto tasks = static_cast<int>(step.tasks_.size());
  auto demand = step.step_->demand_;
  if (step.step_->is_gang_) {
    if (step.waiting_count_ < tasks) {
      return WaitReason::kGangEnding;
    }
    for (auto i = 1; i < tasks; ++i) {
      demand += step.step_->demand_;
    }
  }
  if (!IsWithinTeamLimit(record.team_, demand)) {
    return WaitReason::kTeamLimit;
  }
  return FindWaitReason(counts, step.open_advice_calls_ > 0);
}

auto Dispatcher::ReportHeldBackStarts(Millis now_ms) -> void {
  auto& stats = held_back_starts_;
  stats.starts_ += start_shares_.sent();
  ++stats.passes_;
  stats.passes_ms_ += last_pass_ms_;
  const auto is_at_bound = start_shares_.sent() >= pass_budget_.starts();
  if (!is_start_held_back_ && !is_at_bound) {
    return;
  }
  ++(is_at_bound ? stats.passes_at_bound_ : stats.passes_at_window_);
  if (now_ms < stats.next_report_ms_) {
    return;
  }
  LogEvent(
      Event::kFleetStartsHeldBack,
      {{"window", std::to_string(start_window_.limit())},
       {"awaited", std::to_string(start_window_.awaited())},
       {"starts", std::to_string(stats.starts_)},
       {"answer_ms",
        std::to_string(stats.answers_ms_ / std::max(1, stats.answers_))},
       {"passes_at_window", std::to_string(stats.passes_at_window_)},
       {"passes_at_bound", std::to_string(stats.passes_at_bound_)},
       {"passes", std::to_string(stats.passes_)},
       {"passes_ms", std::to_string(static_cast<Millis>(stats.passes_ms_))},
       {"waiting_steps", std::to_string(waiting_.size())}});
  stats = {now_ms + kHeldBackReportIntervalMs};
}

auto Dispatcher::ReportStalledSteps(Millis now_ms) -> void {
  if (now_ms < next_stall_check_ms_) {
    return;
  }
  next_stall_check_ms_ = now_ms + kStallCheckIntervalMs;
  struct StalledStep {
    const StepRun* step_;
    Millis waited_ms_;
    WorkerCounts counts_;
    WaitReason reason_;
  };
  std::vector<StalledStep> stalled;
  const auto is_expected = [](const StalledStep& stall) {
    return !stall.step_->step_->is_long_running_ &&
           IsExpectedUnderLoad(stall.reason_);
  };
  // Steps that last come first: no load explains that they wait, and a backlog
  // of more urgent ones would use up the bound.
  std::vector<const StepRun*> steps;
  steps.reserve(waiting_.size());
  for (const auto& [key, step] : waiting_) {
    steps.push_back(step);
  }
  std::stable_partition(steps.begin(), steps.end(), [](const auto* step) {
    return step->step_->is_long_running_;
  });
  for (const auto* step : steps) {
    const auto since = StalledSinceMs(*step);
    if (!since.has_value() || now_ms - *since < kStallThresholdMs) {
      continue;
    }
    const auto* queue = FindQueuePolicy(step->job_->record().queue_);
    const auto counts =
        queue == nullptr ? WorkerCounts{} : CountWorkers(*step, *queue, now_ms);
    stalled.push_back(
        {step, now_ms - *since, counts, ExplainWait(*step, queue, counts)});
    if (stalled.size() == kMaxExaminedSteps) {
      break;
    }
  }
  std::stable_sort(stalled.begin(), stalled.end(),
                   [&](const StalledStep& a, const StalledStep& b) {
                     return is_expected(a) < is_expected(b);
                   });
  stalled.resize(std::min(stalled.size(), kMaxReportedSteps));
  for (const auto& [step, waited_ms, counts, reason] : stalled) {
    metrics_->Increment(FleetCounter::kStallsReported);
    LogEvent(Event::kFleetStepStalled,
             {{"step", step->name_},
              {"queue", step->job_->record().queue_},
              {"team", step->job_->record().team_},
              {"waited_ms", std::to_string(waited_ms)},
              {"tasks", std::to_string(step->waiting_count_)},
              {"reason", std::string(WaitReasonName(reason))},
              {"workers", std::to_string(counts.in_service_)},
              {"allowed", std::to_string(counts.allowed_)},
              {"usable", std::to_string(counts.usable_)},
              {"fitting", std::to_string(counts.fitting_)},
              {"unreserved", std::to_string(counts.unreserved_)},
              {"ticketed", std::to_string(counts.ticketed_)}});
  }
}

}  // namespace lentilscale::fleet
