// A session with a worker is a chain of Hold calls: each renews the lease of
// all that runs there, waits for the next end and brings what is running. Only
// one is open per worker, so their answers never overtake each other.
//
// An end is acknowledged only after the store holds it. A run that a complete
// list no longer shows, and for which no end came, is gone: the worker began a
// new life, or the order never arrived.

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "fleet/dispatcher.h"
#include "fleet/store_keys.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// Longest wait for an end, the worker's own bound.
constexpr Millis kHoldWaitMs = 2000;
// A look that is lost hides the ends on its worker until its time-out, so it
// waits little longer than until the next end is due, by the estimates.
constexpr Millis kMinHoldWaitMs = 500;
constexpr Millis kHoldWaitMarginMs = 200;
// Wait on workers where filling tasks may disturb serving ones.
constexpr Millis kPacedHoldWaitMs = 500;
// Time between looks while ends wait to be recorded.
constexpr Millis kUnrecordedHoldMs = 150;
constexpr Millis kHoldRetryMs = 150;
constexpr Millis kMaxHoldRetryMs = 1000;
constexpr Millis kStopRetryMs = 300;
// The bound for a job whose queue was never seen: its tasks are not given up.
constexpr int kUnknownAttempts = std::numeric_limits<int>::max();
// Filling tasks are slowed before the tail reaches its target.
constexpr double kPaceDownAt = 0.85;
constexpr double kPaceUpAt = 0.6;
constexpr int kPaceStep = 25;
constexpr Millis kPacePeriodMs = 400;

}  // namespace

auto Dispatcher::PumpHold(FleetWorker& worker, Millis now_ms) -> void {
  if (worker.is_holding_ || now_ms < worker.next_hold_ms_ ||
      !hooks_.has_rights_()) {
    return;
  }
  HoldOrder order;
  order.fencing_token_ = claim_.epoch_;
  const auto is_first = !worker.is_claimed_ || worker.silent_calls_ > 0;
  // After a silence a new life of the worker may answer, whose ends are
  // numbered anew: numbers of the old one would make it forget ends that nobody
  // has seen.
  order.last_seen_ = is_first ? 0 : worker.recorded_;
  // A silent worker gets no longer lease: each that it might have got would
  // put off the time at which its runs must have lapsed.
  if (worker.clock_read_ms_ != 0 && worker.silent_calls_ == 0) {
    order.worker_deadline_ms_ = worker.GrantLease(now_ms, options_.lease_ms_);
  }
  if (!is_first && worker.unrecorded_.empty()) {
    order.wait_ms_ =
        worker.filling_ > 0 && worker.serving_ > 0
            ? kPacedHoldWaitMs
            : std::clamp(worker.NextEndInMs(now_ms) + kHoldWaitMarginMs,
                         kMinHoldWaitMs, kHoldWaitMs);
  }
  worker.is_holding_ = true;
  gateway_->Hold(worker.entry_, order,
                 [this, id = worker.entry_.id_,
                  alive = is_alive_](const HoldResult& result) {
                   if (*alive) {
                     OnHold(id, result);
                   }
                 });
}

auto Dispatcher::OnHold(const std::string& id, const HoldResult& result)
    -> void {
  const auto it = workers_.find(id);
  if (it == workers_.end()) {
    return;
  }
  auto& worker = it->second;
  const auto now = BootMs();
  worker.is_holding_ = false;
  if (result.status_ == WorkerStatus::kFenced) {
    hooks_.step_down_(fmt::format("worker {} has seen a higher token", id));
    return;
  }
  if (result.status_ != WorkerStatus::kOk) {
    ++worker.silent_calls_;
    worker.next_hold_ms_ =
        now + std::min(kMaxHoldRetryMs, kHoldRetryMs * worker.silent_calls_);
    if (worker.silent_calls_ == 2) {
      metrics_->Add(FleetCounter::kWorkersSilent);
      LogEvent(
          Event::kFleetWorkerSilent,
          {{"worker", id},
           {"status", WorkerStatusName(result.status_)},
           {"runs", std::to_string(worker.runs_.size())},
           {"lapse_in_ms", std::to_string(worker.latest_lapse_ms_ - now)}});
    }
    return;
  }
  if (result.born_ms_ != worker.born_ms_) {
    if (worker.born_ms_ != 0) {
      LogEvent(Event::kFleetWorkerReborn,
               {{"worker", id}, {"born", std::to_string(result.born_ms_)}});
    }
    worker.born_ms_ = result.born_ms_;
    worker.seen_ = 0;
    worker.recorded_ = 0;
    worker.unrecorded_.clear();
  }
  worker.ReadClock(result.worker_clock_ms_, now);
  worker.silent_calls_ = 0;
  if (worker.is_left_out_) {
    worker.is_left_out_ = false;
    worker.listed_version_ = recorder_.MarkDirty(kWorkersKey);
  }
  const auto is_first = !worker.is_claimed_;
  for (const auto& end : result.ended_) {
    TakeEnd(worker, end, now);
  }
  for (const auto& running : result.running_) {
    TakeRunning(worker, running, now);
  }
  Reconcile(worker, result);
  if (is_first) {
    worker.is_claimed_ = true;
    if (unclaimed_workers_.erase(id) > 0 && unclaimed_workers_.empty()) {
      LogEvent(Event::kFleetTakenOver,
               {{"epoch", std::to_string(claim_.epoch_)},
                {"age_ms", std::to_string(now - claim_.claimed_ms_)}});
    }
  }
  PaceFilling(worker, result, now);
  // Ends are listed again until they are acknowledged, so that the next look
  // waits for the record.
  worker.next_hold_ms_ =
      worker.unrecorded_.empty() ? now : now + kUnrecordedHoldMs;
  PumpHold(worker, now);
  RequestPlacementPass();
}

auto Dispatcher::TakeEnd(FleetWorker& worker, const EndedRun& end,
                         Millis now_ms) -> void {
  if (end.number_ <= worker.seen_) {
    return;
  }
  worker.seen_ = end.number_;
  metrics_->Add(end.end_ == RunEnd::kDone     ? FleetCounter::kEndsDone
                : end.end_ == RunEnd::kFailed ? FleetCounter::kEndsFailed
                                              : FleetCounter::kEndsOther);
  RemoveRun(worker, end.run_.task_, end.run_.run_);
  const auto id = TaskId::FromString(end.run_.task_);
  auto* job = id.has_value() ? FindJob(id->job_) : nullptr;
  auto* step =
      job == nullptr ? nullptr : job->FindStep(id->occurrence_, id->step_);
  LogEvent(Event::kFleetRunEnded, {{"task", end.run_.task_},
                                   {"run", std::to_string(end.run_.run_)},
                                   {"end", RunEndName(end.end_)},
                                   {"worker", worker.entry_.id_},
                                   {"number", std::to_string(end.number_)}});
  UnrecordedEnd unrecorded{end.number_, "", 0};
  if (job != nullptr && !job->IsEnded() && step != nullptr &&
      job->FindTask(*id) != nullptr) {
    ApplyEnd(worker, *job, *step, *id, end, now_ms);
    unrecorded.key_ = ProgressKey(id->job_);
    unrecorded.version_ = MarkJobDirty(id->job_);
  }
  worker.unrecorded_.push_back(unrecorded);
  AdvanceDurableEnds(worker);
}

auto Dispatcher::ApplyEnd(FleetWorker& worker, Job& job, StepRun& step,
                          const TaskId& id, const EndedRun& end, Millis now_ms)
    -> void {
  auto& task = *job.FindTask(id);
  const auto* policy = FindQueuePolicy(job.record().queue_);
  const auto is_current =
      task.phase_ == Task::Phase::kPlaced && task.run_ == end.run_.run_;
  task.run_ = std::max(task.run_, end.run_.run_);
  if (task.phase_ == Task::Phase::kDone) {
    return;
  }
  NoteResult(worker, id.job_, end.end_, now_ms);
  if (end.end_ == RunEnd::kDone && !step.step_->is_long_running_) {
    if (!is_current) {
      StopOtherRuns(step, id, end.run_.run_);
    }
    for (auto* ready : job.MarkDone(step, id.index_, now_ms)) {
      EnqueueStep(*ready);
    }
    if (step.waiting_ == 0) {
      waiting_.erase(WaitingKeyOf(step));
    }
    if (job.IsEnded()) {
      OnJobEnded(job);
    }
    return;
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
        policy == nullptr ? kUnknownAttempts : policy->max_attempts_);
    if (job.IsEnded()) {
      OnJobEnded(job);
      return;
    }
  }
  if (is_current) {
    RequeueTask(step, id.index_);
  }
}

// Another run of a task may be going on if the one that ended was thought lost.
auto Dispatcher::StopOtherRuns(const StepRun& step, const TaskId& id,
                               std::int64_t run) -> void {
  for (auto& [worker_id, worker] : workers_) {
    for (auto& [key, other] : worker.runs_) {
      if (other.task_.job_ == id.job_ && other.task_.step_ == id.step_ &&
          other.task_.occurrence_ == id.occurrence_ && other.run_ != run &&
          (other.task_.index_ == id.index_ || step.step_->is_gang_)) {
        StopRun(other);
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
  team_usage_[placed->team_] -= placed->team_demand_;
  if (auto* job = FindJob(placed->task_.job_); job != nullptr) {
    if (auto* step =
            job->FindStep(placed->task_.occurrence_, placed->task_.step_);
        step != nullptr) {
      --step->per_worker_[worker.entry_.id_];
    }
  }
  worker.Remove(task, run);
}

auto Dispatcher::TakeRunning(FleetWorker& worker, const RunningTask& running,
                             Millis now_ms) -> void {
  const auto& ref = running.run_;
  const auto id = TaskId::FromString(ref.task_);
  if (!id.has_value()) {
    // Not a task of ours; it cannot be named in a stop either.
    return;
  }
  auto* job = FindJob(id->job_);
  auto* task = job == nullptr ? nullptr : job->FindTask(*id);
  auto* step =
      job == nullptr ? nullptr : job->FindStep(id->occurrence_, id->step_);
  if (auto* known = worker.Find(ref.task_, ref.run_); known != nullptr) {
    if (task != nullptr && !running.checkpoint_.empty() &&
        task->run_ == ref.run_) {
      task->checkpoint_ = running.checkpoint_;
    }
    return;
  }
  PlacedRun run;
  run.phase_ = PlacedRun::Phase::kRunning;
  run.task_ = *id;
  run.run_ = ref.run_;
  run.settled_ms_ = now_ms;
  run.started_ms_ = now_ms;
  // A job that has ended has no tasks here, but its runs still take room.
  const auto* shape = job == nullptr ? nullptr : job->ShapeOf(*id);
  if (shape != nullptr) {
    run.demand_ = CapacityDemand(*shape);
    run.team_demand_ = shape->demand_;
    run.team_ = job->record().team_;
    run.fills_ = shape->fills_;
    run.tail_target_ms_ = shape->tail_target_ms_;
    run.is_long_running_ = shape->is_long_running_;
    run.estimate_ms_ = shape->estimate_ms_;
    team_usage_[run.team_] += run.team_demand_;
  }
  if (task == nullptr) {
    StopRun(run);
    worker.Add(run);
    return;
  }
  ++step->per_worker_[worker.entry_.id_];
  const auto is_adopted = !job->IsEnded() &&
                          task->phase_ == Task::Phase::kWaiting &&
                          ref.run_ >= task->run_;
  if (is_adopted) {
    job->MarkPlaced(*step, id->index_, ref.run_, worker.entry_.id_);
    if (!running.checkpoint_.empty()) {
      task->checkpoint_ = running.checkpoint_;
    }
    if (step->waiting_ == 0) {
      waiting_.erase(WaitingKeyOf(*step));
    }
    if (job->state() == JobState::kQueued) {
      job->MarkStarted();
    }
  } else {
    StopRun(run);
  }
  LogEvent(Event::kFleetRunFound, {{"task", ref.task_},
                                   {"run", std::to_string(ref.run_)},
                                   {"worker", worker.entry_.id_},
                                   {"adopted", is_adopted ? "true" : "false"}});
  worker.Add(run);
}

auto Dispatcher::Reconcile(FleetWorker& worker, const HoldResult& result)
    -> void {
  std::set<std::pair<std::string, std::int64_t>> listed;
  for (const auto& running : result.running_) {
    listed.insert({running.run_.task_, running.run_.run_});
  }
  std::vector<PlacedRun> gone;
  for (const auto& [key, run] : worker.runs_) {
    if (run.settled_ms_ != 0 && run.settled_ms_ < result.sent_ms_ &&
        !listed.contains(key)) {
      gone.push_back(run);
    }
  }
  for (const auto& run : gone) {
    OnRunGone(worker, run);
  }
}

auto Dispatcher::OnRunGone(FleetWorker& worker, const PlacedRun& run) -> void {
  LogEvent(Event::kFleetRunGone, {{"task", run.task_.ToString()},
                                  {"run", std::to_string(run.run_)},
                                  {"worker", worker.entry_.id_}});
  metrics_->Add(FleetCounter::kRunsGone);
  RemoveRun(worker, run.task_.ToString(), run.run_);
  auto* job = FindJob(run.task_.job_);
  auto* task = job == nullptr ? nullptr : job->FindTask(run.task_);
  if (task == nullptr || job->IsEnded() ||
      task->phase_ != Task::Phase::kPlaced || task->run_ != run.run_) {
    return;
  }
  auto* step = job->FindStep(run.task_.occurrence_, run.task_.step_);
  if (step->step_->is_gang_) {
    StopGang(*step, run.run_);
  }
  RequeueTask(*step, run.task_.index_);
}

auto Dispatcher::StopRun(PlacedRun& run) -> void {
  if (run.phase_ == PlacedRun::Phase::kStopping) {
    return;
  }
  run.phase_ = PlacedRun::Phase::kStopping;
  run.settled_ms_ = 0;
  run.next_stop_ms_ = 0;
}

auto Dispatcher::StopGang(StepRun& step, std::int64_t run) -> void {
  for (auto& [id, worker] : workers_) {
    for (auto& [key, placed] : worker.runs_) {
      if (placed.run_ == run && placed.task_.job_ == step.job_->record().id_ &&
          placed.task_.step_ == step.number_ &&
          placed.task_.occurrence_ == step.occurrence_) {
        StopRun(placed);
      }
    }
  }
}

auto Dispatcher::SendStop(FleetWorker& worker, PlacedRun& run, Millis now_ms)
    -> void {
  run.is_stop_sent_ = true;
  run.next_stop_ms_ = now_ms + kStopRetryMs;
  const RunRef ref{run.task_.ToString(), run.run_};
  LogEvent(Event::kFleetRunStopping, {{"task", ref.task_},
                                      {"run", std::to_string(ref.run_)},
                                      {"worker", worker.entry_.id_}});
  gateway_->Stop(worker.entry_, ref, claim_.epoch_,
                 [this, id = worker.entry_.id_, ref,
                  alive = is_alive_](const OrderResult& result) {
                   if (!*alive) {
                     return;
                   }
                   const auto it = workers_.find(id);
                   auto* placed = it == workers_.end()
                                      ? nullptr
                                      : it->second.Find(ref.task_, ref.run_);
                   if (placed == nullptr) {
                     return;
                   }
                   placed->is_stop_sent_ = false;
                   if (result.status_ == WorkerStatus::kFenced) {
                     hooks_.step_down_(
                         fmt::format("worker {} has seen a higher token", id));
                     return;
                   }
                   if (result.status_ == WorkerStatus::kOk ||
                       result.status_ == WorkerStatus::kOldRun) {
                     // The worker will not begin this run any more; a list that
                     // is asked for after the stop's longest time shows whether
                     // it is gone.
                     placed->settled_ms_ = BootMs() + options_.max_stop_ms_;
                   }
                 });
}

auto Dispatcher::PaceFilling(FleetWorker& worker, const HoldResult& result,
                             Millis now_ms) -> void {
  if (worker.filling_ == 0 || worker.serving_ == 0) {
    return;
  }
  auto worst = 0.0;
  for (const auto& running : result.running_) {
    const auto* run = worker.Find(running.run_.task_, running.run_.run_);
    if (run != nullptr && run->tail_target_ms_ > 0) {
      worst = std::max(
          worst, running.load_ / static_cast<double>(run->tail_target_ms_));
    }
  }
  for (auto& [key, run] : worker.runs_) {
    if (!run.fills_ || now_ms < run.next_pace_ms_ ||
        run.phase_ != PlacedRun::Phase::kRunning) {
      continue;
    }
    auto percent = run.pace_percent_;
    if (worst >= 1.0) {
      percent = 0;
    } else if (worst >= kPaceDownAt) {
      percent = std::max(0, percent - 2 * kPaceStep);
    } else if (worst < kPaceUpAt) {
      percent = std::min(100, percent + kPaceStep);
    }
    if (percent == run.pace_percent_) {
      continue;
    }
    run.pace_percent_ = percent;
    run.next_pace_ms_ = now_ms + kPacePeriodMs;
    gateway_->Pace(worker.entry_, {run.task_.ToString(), run.run_}, percent,
                   claim_.epoch_, [](const OrderResult& /*result*/) {
                     // The next look decides again, whatever the outcome.
                   });
  }
}

}  // namespace lentilscale::fleet
