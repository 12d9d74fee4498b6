// What a worker reports in its answers to Hold calls: the runs in progress and
// the ends that were not acknowledged. Stops and paces what should not go on.
//
// An end is acknowledged only after it is durable in the store. A run or an end
// of a task that is not known (yet) is neither stopped nor acknowledged until
// the task is known or the store shows that its job does not exist. A run that
// is missing from a complete list, and whose end was not reported, is lost: the
// worker restarted, or the start order never arrived. An answer with as many
// ends as a worker lists at once is not complete, and proves neither that a run
// is lost nor which runs of the previous owner have ended.

#include <fmt/format.h>

#include <algorithm>
#include <limits>

#include "fleet/dispatcher.h"
#include "fleet/store_keys.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

constexpr Millis kStopRetryMs = 300;
// Limit on attempts if the configuration never had the job's queue: its tasks
// are retried without end.
constexpr int kUnlimitedAttempts = std::numeric_limits<int>::max();
// Ratios of the tail latency of serving tasks to its target. Filling tasks are
// slowed down from the first ratio on, before the target is reached, and sped
// up below the second. At the target they are paused.
constexpr double kThrottleRatio = 0.85;
constexpr double kUnthrottleRatio = 0.6;
constexpr int kCpuShareStepPercent = 25;
constexpr Millis kThrottlePeriodMs = 400;

}  // namespace

auto Dispatcher::HandleRunEnd(FleetWorker& worker, const EndedRun& end,
                              Millis now_ms) -> void {
  if (end.number_ <= worker.last_received_end_) {
    return;
  }
  worker.last_received_end_ = end.number_;
  metrics_->Increment(end.end_ == RunEnd::kDone     ? FleetCounter::kEndsDone
                      : end.end_ == RunEnd::kFailed ? FleetCounter::kEndsFailed
                                                    : FleetCounter::kEndsOther);
  if (auto* run = worker.Find(end.run_.task_, end.run_.run_); run != nullptr) {
    ResolveOverdueStart(worker, *run, "ended", now_ms);
  }
  RemoveRun(worker, end.run_.task_, end.run_.run_);
  LogEvent(Event::kFleetRunEnded, {{"task", end.run_.task_},
                                   {"run", std::to_string(end.run_.run_)},
                                   {"end", RunEndName(end.end_)},
                                   {"worker", worker.entry_.id_},
                                   {"number", std::to_string(end.number_)}});
  UnrecordedEnd unrecorded{end.number_, end.run_.task_, "", 0, std::nullopt};
  const auto id = TaskId::FromString(end.run_.task_);
  if (id.has_value() && IsUnmatched(*id)) {
    unrecorded.unmatched_ = end;
    AddUnmatchedJob(id->job_);
  } else {
    RecordRunEnd(worker, end, unrecorded, now_ms);
  }
  worker.unrecorded_ends_.push_back(unrecorded);
  AdvanceDurableEnds(worker);
}

auto Dispatcher::RecordRunEnd(FleetWorker& worker, const EndedRun& end,
                              UnrecordedEnd& unrecorded, Millis now_ms)
    -> void {
  const auto id = TaskId::FromString(end.run_.task_);
  auto* job = id.has_value() ? FindJob(id->job_) : nullptr;
  if (job == nullptr || job->FindTask(*id) == nullptr) {
    return;
  }
  if (const auto& task = *job->FindTask(*id);
      task.highest_run_ > end.run_.run_) {
    LogSupersededEnd(worker, end, task.highest_run_, now_ms);
  }
  if (job->IsEnded()) {
    // Until the job's end is durable, a new owner would start the task again.
    unrecorded.record_key_ = ProgressKey(id->job_);
    unrecorded.record_version_ = job->end_version_;
    return;
  }
  ApplyRunEnd(worker, *job, *job->FindStep(id->occurrence_, id->step_), *id,
              end, now_ms);
  unrecorded.record_key_ = ProgressKey(id->job_);
  unrecorded.record_version_ = MarkJobDirty(id->job_);
}

auto Dispatcher::ApplyRunEnd(FleetWorker& worker, Job& job, StepRun& step,
                             const TaskId& id, const EndedRun& end,
                             Millis now_ms) -> void {
  auto& task = *job.FindTask(id);
  const auto* policy = FindQueuePolicy(job.record().queue_);
  const auto is_current =
      task.phase_ == Task::Phase::kPlaced && task.run_ == end.run_.run_;
  task.highest_run_ = std::max(task.highest_run_, end.run_.run_);
  job.ClearOrderedRun(step, id.index_, end.run_.run_);
  if (task.phase_ == Task::Phase::kDone) {
    return;
  }
  UpdateQuarantine(worker, id.job_, end.end_, now_ms);
  if (end.end_ == RunEnd::kDone && !step.step_->is_long_running_) {
    if (!is_current) {
      MarkOtherRunsStopping(step, id, end.run_.run_);
    }
    for (auto* ready : job.MarkDone(step, id.index_, now_ms)) {
      EnqueueStep(*ready);
    }
    if (step.waiting_count_ == 0) {
      waiting_.erase(WaitingKeyOf(step));
    }
    if (job.IsEnded()) {
      OnJobEnded(job);
    }
    return;
  }
  if (end.end_ != RunEnd::kDone) {
    step.broken_run_ = std::max(step.broken_run_, end.run_.run_);
  }
  if (!end.checkpoint_.empty()) {
    task.checkpoint_ = end.checkpoint_;
    if (step.step_->is_gang_) {
      for (auto& member : step.tasks_) {
        member.checkpoint_ = end.checkpoint_;
      }
    }
  }
  if (end.end_ == RunEnd::kFailed && !step.step_->is_long_running_) {
    task.failed_on_ = worker.entry_.id_;
    job.MarkFailed(
        step, id.index_, end.run_.run_,
        policy == nullptr ? kUnlimitedAttempts : policy->max_attempts_);
    if (job.IsEnded()) {
      OnJobEnded(job);
      return;
    }
  }
  if (is_current) {
    RequeueTask(step, id.index_);
  }
}

auto Dispatcher::WorkersWithRunsOf(const StepRun& step)
    -> std::vector<FleetWorker*> {
  std::vector<FleetWorker*> found;
  // Unmatched runs are not among those of their step.
  if (unmatched_jobs_.contains(step.job_->record().id_)) {
    for (auto& [id, worker] : workers_) {
      found.push_back(&worker);
    }
    return found;
  }
  for (const auto& [id, runs] : step.runs_per_worker_) {
    if (const auto it = workers_.find(id); it != workers_.end()) {
      found.push_back(&it->second);
    }
  }
  return found;
}

// A task may have another run in progress if the run that ended had been
// considered lost.
auto Dispatcher::MarkOtherRunsStopping(const StepRun& step, const TaskId& id,
                                       std::int64_t run) -> void {
  for (auto* worker : WorkersWithRunsOf(step)) {
    for (auto& [key, other] : worker->runs_) {
      if (other.task_.job_ == id.job_ && other.task_.step_ == id.step_ &&
          other.task_.occurrence_ == id.occurrence_ && other.run_ != run &&
          (other.task_.index_ == id.index_ || step.step_->is_gang_)) {
        MarkStopping(other);
      }
    }
  }
}

auto Dispatcher::RemoveRun(FleetWorker& worker, const std::string& task,
                           std::int64_t run) -> void {
  const auto* placed = worker.Find(task, run);
  if (placed == nullptr) {
    return;
  }
  if (placed->phase_ == PlacedRun::Phase::kStopping) {
    const auto stopping = stopping_runs_.find(task);
    if (--stopping->second == 0) {
      stopping_runs_.erase(stopping);
    }
  }
  team_usage_[placed->team_] -= placed->team_demand_;
  // An unmatched run is not among those of its step.
  if (auto* job = FindJob(placed->task_.job_);
      job != nullptr && placed->phase_ != PlacedRun::Phase::kUnmatched) {
    if (auto* step =
            job->FindStep(placed->task_.occurrence_, placed->task_.step_);
        step != nullptr) {
      --step->runs_per_worker_[worker.entry_.id_];
    }
  }
  worker.Remove(task, run);
}

auto Dispatcher::HandleRunningTask(FleetWorker& worker,
                                   const RunningTask& running, Millis now_ms)
    -> void {
  const auto& ref = running.run_;
  const auto id = TaskId::FromString(ref.task_);
  if (!id.has_value()) {
    // Not a task name of this scheduler, so a stop order cannot name it either.
    return;
  }
  auto* job = FindJob(id->job_);
  auto* task = job == nullptr ? nullptr : job->FindTask(*id);
  auto* step =
      job == nullptr ? nullptr : job->FindStep(id->occurrence_, id->step_);
  if (auto* known = worker.Find(ref.task_, ref.run_); known != nullptr) {
    if (known->is_start_unanswered_) {
      OnStartListed(worker, *known, now_ms);
    }
    known->last_listed_ms_ = now_ms;
    known->order_token_ = worker.life_token_;
    if (task != nullptr && !running.checkpoint_.empty() &&
        task->run_ == ref.run_) {
      task->checkpoint_ = running.checkpoint_;
    }
    return;
  }
  if (job != nullptr) {
    AddQueueService(job->record().queue_, worker.entry_.service_);
  }
  PlacedRun run;
  run.phase_ = PlacedRun::Phase::kRunning;
  run.task_ = *id;
  run.run_ = ref.run_;
  run.order_effective_ms_ = now_ms;
  run.order_token_ = worker.life_token_;
  run.started_ms_ = now_ms;
  run.last_listed_ms_ = now_ms;
  // A job recovered after its end, and an occurrence recovered as done, have no
  // tasks, but their runs may still use capacity.
  const auto* definition =
      job == nullptr ? nullptr : job->FindStepDefinition(*id);
  run.is_demand_known_ = definition != nullptr;
  if (definition != nullptr) {
    run.demand_ = CapacityDemand(*definition);
    run.team_demand_ = definition->demand_;
    run.team_ = job->record().team_;
    run.fills_ = definition->uses_idle_cpu_;
    run.tail_target_ms_ = definition->tail_latency_target_ms_;
    run.is_long_running_ = definition->is_long_running_;
    run.estimate_ms_ = definition->estimate_ms_;
    team_usage_[run.team_] += run.team_demand_;
  }
  if (IsUnmatched(*id)) {
    run.phase_ = PlacedRun::Phase::kUnmatched;
    worker.Add(run);
    AddUnmatchedJob(id->job_);
    return;
  }
  if (task == nullptr) {
    MarkStopping(run);
    worker.Add(run);
    return;
  }
  ++step->runs_per_worker_[worker.entry_.id_];
  const auto is_adopted = !job->IsEnded() &&
                          task->phase_ == Task::Phase::kWaiting &&
                          ref.run_ >= task->highest_run_;
  task->highest_run_ = std::max(task->highest_run_, ref.run_);
  if (is_adopted) {
    job->MarkPlaced(*step, id->index_, ref.run_, worker.entry_.id_);
    if (!running.checkpoint_.empty()) {
      task->checkpoint_ = running.checkpoint_;
    }
    if (step->waiting_count_ == 0) {
      waiting_.erase(WaitingKeyOf(*step));
    }
    if (job->state() == JobState::kQueued) {
      job->MarkStarted();
    }
  } else {
    MarkStopping(run);
  }
  LogEvent(Event::kFleetRunFound, {{"task", ref.task_},
                                   {"run", std::to_string(ref.run_)},
                                   {"worker", worker.entry_.id_},
                                   {"adopted", is_adopted ? "true" : "false"}});
  worker.Add(run);
}

auto Dispatcher::RemoveUnlistedRuns(FleetWorker& worker,
                                    const HoldResult& result) -> void {
  std::set<std::pair<std::string, std::int64_t>> listed;
  for (const auto& running : result.running_) {
    listed.insert({running.run_.task_, running.run_.run_});
  }
  std::vector<PlacedRun> lost;
  for (const auto& [key, run] : worker.runs_) {
    const auto is_order_over = run.order_token_ < worker.life_token_ ||
                               (run.order_effective_ms_ != 0 &&
                                run.order_effective_ms_ < result.sent_ms_);
    if (is_order_over && !listed.contains(key)) {
      lost.push_back(run);
    }
  }
  for (const auto& run : lost) {
    OnRunLost(worker, run, RunLoss::kUnlisted);
  }
}

auto Dispatcher::RunLossName(RunLoss loss) -> std::string {
  switch (loss) {
    case RunLoss::kUnlisted:
      return "unlisted";
    case RunLoss::kLapsed:
      return "lapsed";
    case RunLoss::kDeparted:
      return "departed";
    case RunLoss::kRefused:
      return "refused";
  }
  return "";
}

auto Dispatcher::LogSupersededEnd(const FleetWorker& worker,
                                  const EndedRun& end, std::int64_t current_run,
                                  Millis now_ms) const -> void {
  const auto lapsed = lapsed_ms_.find(worker.entry_.id_);
  LogEvent(
      Event::kFleetEndSuperseded,
      {{"task", end.run_.task_},
       {"run", std::to_string(end.run_.run_)},
       {"end", RunEndName(end.end_)},
       {"current_run", std::to_string(current_run)},
       {"worker", worker.entry_.id_},
       {"lapsed_ago_ms", lapsed == lapsed_ms_.end()
                             ? ""
                             : std::to_string(now_ms - lapsed->second)},
       {"lapse_in_ms", std::to_string(worker.LatestLeaseExpiryMs() - now_ms)}});
}

auto Dispatcher::OnRunLost(FleetWorker& worker, const PlacedRun& run,
                           RunLoss loss) -> void {
  LogEvent(Event::kFleetRunGone,
           {{"task", run.task_.ToString()},
            {"run", std::to_string(run.run_)},
            {"worker", worker.entry_.id_},
            {"reason", RunLossName(loss)},
            {"lapse_in_ms",
             std::to_string(worker.LatestLeaseExpiryMs() - BootMs())}});
  metrics_->Increment(FleetCounter::kRunsGone);
  if (auto* placed = worker.Find(run.task_.ToString(), run.run_);
      placed != nullptr) {
    ResolveOverdueStart(worker, *placed, RunLossName(loss), BootMs());
  }
  RemoveRun(worker, run.task_.ToString(), run.run_);
  auto* job = FindJob(run.task_.job_);
  auto* task = job == nullptr ? nullptr : job->FindTask(run.task_);
  if (task == nullptr || job->IsEnded() ||
      task->phase_ != Task::Phase::kPlaced || task->run_ != run.run_) {
    return;
  }
  auto* step = job->FindStep(run.task_.occurrence_, run.task_.step_);
  if (step->step_->is_gang_) {
    MarkGangStopping(*step, run.run_);
  }
  RequeueTask(*step, run.task_.index_);
}

auto Dispatcher::MarkStopping(PlacedRun& run) -> void {
  if (run.phase_ == PlacedRun::Phase::kStopping) {
    return;
  }
  run.phase_ = PlacedRun::Phase::kStopping;
  run.order_effective_ms_ = 0;
  run.next_stop_ms_ = 0;
  ++stopping_runs_[run.task_.ToString()];
}

auto Dispatcher::MarkGangStopping(StepRun& step, std::int64_t run) -> void {
  for (auto* worker : WorkersWithRunsOf(step)) {
    for (auto& [key, placed] : worker->runs_) {
      if (placed.run_ == run && placed.task_.job_ == step.job_->record().id_ &&
          placed.task_.step_ == step.step_number_ &&
          placed.task_.occurrence_ == step.occurrence_) {
        MarkStopping(placed);
      }
    }
  }
}

auto Dispatcher::SendStop(FleetWorker& worker, PlacedRun& run, Millis now_ms)
    -> void {
  run.is_stop_sent_ = true;
  // Where answers take long, a stop that is repeated at once only takes another
  // connection from the calls whose answers are on their way.
  const auto answer_ms = AnswerTimeoutMsOf(worker);
  run.next_stop_ms_ =
      now_ms + (answer_ms > kMinAnswerTimeoutMs ? 2 * answer_ms : kStopRetryMs);
  const RunRef ref{run.task_.ToString(), run.run_};
  LogEvent(Event::kFleetRunStopping, {{"task", ref.task_},
                                      {"run", std::to_string(ref.run_)},
                                      {"worker", worker.entry_.id_}});
  gateway_->Stop(
      worker.entry_, ref, worker.fencing_token_,
      [this, id = worker.entry_.id_, ref, incarnation = worker.incarnation_,
       token = worker.fencing_token_,
       alive = is_alive_](const OrderResult& result) {
        if (!*alive) {
          return;
        }
        const auto it = workers_.find(id);
        auto* placed = it == workers_.end()
                           ? nullptr
                           : it->second.Find(ref.task_, ref.run_);
        if (placed == nullptr ||
            (result.is_late_ && incarnation != it->second.incarnation_)) {
          return;
        }
        if (!result.is_late_) {
          placed->is_stop_sent_ = false;
        }
        if (result.status_ == WorkerStatus::kFenced) {
          OnFenced(it->second, token);
          return;
        }
        if (result.status_ == WorkerStatus::kOk ||
            result.status_ == WorkerStatus::kStaleRun) {
          // The worker will not start this run any more. A list
          // requested after the longest time that a stop takes shows
          // whether the run has ended.
          placed->order_effective_ms_ = BootMs() + options_.max_stop_ms_;
        }
      });
}

auto Dispatcher::ThrottleFillingTasks(FleetWorker& worker,
                                      const HoldResult& result, Millis now_ms)
    -> void {
  if (worker.filling_runs_ == 0 || worker.serving_runs_ == 0) {
    return;
  }
  auto worst_ratio = 0.0;
  for (const auto& running : result.running_) {
    const auto* run = worker.Find(running.run_.task_, running.run_.run_);
    if (run != nullptr && run->tail_target_ms_ > 0) {
      worst_ratio =
          std::max(worst_ratio,
                   running.load_ / static_cast<double>(run->tail_target_ms_));
    }
  }
  for (auto& [key, run] : worker.runs_) {
    if (!run.fills_ || now_ms < run.next_throttle_ms_ ||
        run.phase_ != PlacedRun::Phase::kRunning) {
      continue;
    }
    auto percent = run.cpu_share_percent_;
    if (worst_ratio >= 1.0) {
      percent = 0;
    } else if (worst_ratio >= kThrottleRatio) {
      percent = std::max(0, percent - 2 * kCpuShareStepPercent);
    } else if (worst_ratio < kUnthrottleRatio) {
      percent = std::min(100, percent + kCpuShareStepPercent);
    }
    if (percent == run.cpu_share_percent_) {
      continue;
    }
    run.cpu_share_percent_ = percent;
    run.next_throttle_ms_ = now_ms + kThrottlePeriodMs;
    gateway_->Pace(worker.entry_, {run.task_.ToString(), run.run_}, percent,
                   worker.fencing_token_, [](const OrderResult& /*result*/) {
                     // Ignored: the next Hold answer decides again.
                   });
  }
}

}  // namespace lentilscale::fleet
