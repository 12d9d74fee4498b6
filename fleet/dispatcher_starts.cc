// A start that is not answered in time need not have failed: over a loaded link
// the order arrives, the run begins and only the answer is late. To stop such a
// run would end sound work, and the next start would fare no better. The start
// is therefore overdue until evidence decides it:
//
//   - the answer, which is still awaited;
//   - a list of the worker's runs that has the run, or its end;
//   - a list requested after the start was overdue that lacks the run: the
//     order is probably lost, but may still be carried out, and is ruled out
//     by a stop;
//   - the end of the worker's lease.
//
// Meanwhile the run counts as one that is there, and its worker gets no other
// starts: these would be overdue, too, and each takes a connection until it is
// answered.

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/dispatcher.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// A worker that refused a start gets no further starts for this long.
constexpr Millis kStartBackoffMs = 400;

}  // namespace

auto Dispatcher::StartTask(StepRun& step, int index, FleetWorker& worker,
                           std::int64_t run, Millis now_ms) -> void {
  const auto begun_ns = uv_hrtime();
  const auto id = step.TaskIdAt(index);
  const auto& task = step.tasks_[static_cast<std::size_t>(index)];
  const auto& job = *step.job_;
  PlacedRun placed;
  placed.task_ = id;
  placed.run_ = run;
  placed.demand_ = CapacityDemand(*step.step_);
  placed.team_demand_ = step.step_->demand_;
  placed.team_ = job.record().team_;
  placed.tail_target_ms_ = step.step_->tail_latency_target_ms_;
  placed.fills_ = step.step_->uses_idle_cpu_;
  placed.is_long_running_ = step.step_->is_long_running_;
  placed.estimate_ms_ = step.step_->estimate_ms_;
  placed.started_ms_ = now_ms;
  placed.is_start_unanswered_ = true;
  placed.order_clock_life_ = worker.clock_life_;
  placed.order_incarnation_ = worker.incarnation_;
  placed.order_token_ = worker.fencing_token_;
  worker.Add(placed);
  services_[worker.entry_.service_].by_load_.Update(worker);
  team_usage_[placed.team_] += placed.team_demand_;
  ++step.runs_per_worker_[worker.entry_.id_];

  StartOrder order;
  order.run_ = {id.ToString(), run};
  order.spec_ = job.record().spec_;
  order.checkpoint_ = task.checkpoint_;
  if (const auto ticket = step.tickets_.find(worker.entry_.id_);
      ticket != step.tickets_.end()) {
    order.ticket_ = ticket->second.text_;
  }
  order.fencing_token_ = worker.fencing_token_;
  order.worker_lease_end_ms_ = worker.GrantLease(now_ms, options_.lease_ms_);
  order.answer_timeout_ms_ = StartTimeoutMs(worker, now_ms);
  order.late_answer_ms_ = options_.lease_ms_;
  const auto waited = now_ms - task.waiting_since_ms_;
  metrics_->Increment(FleetCounter::kStarts);
  metrics_->Record(FleetLatency::kStartWait, job.record().queue_,
                   static_cast<double>(waited));
  step.job_->MarkPlaced(step, index, run, worker.entry_.id_);
  start_window_.OnSent();
  LogEvent(Event::kFleetRunStarting,
           {{"task", order.run_.task_},
            {"run", std::to_string(run)},
            {"worker", worker.entry_.id_},
            {"waited_ms", std::to_string(waited)},
            {"token", std::to_string(order.fencing_token_)}});
  gateway_->Start(
      worker.entry_, order,
      [this, worker_id = worker.entry_.id_, service = worker.entry_.service_,
       id, run, now_ms, clock_life = worker.clock_life_,
       alive = is_alive_](const OrderResult& result) {
        if (!*alive) {
          return;
        }
        if (!result.is_late_) {
          metrics_->Record(FleetLatency::kStartOrder, service,
                           static_cast<double>(BootMs() - now_ms));
          OnStartAnswered(now_ms, result);
        }
        OnStartResult(worker_id, id, run, clock_life, result);
      });
  starts_ns_ += static_cast<std::int64_t>(uv_hrtime() - begun_ns);
}

auto Dispatcher::OnStartAnswered(Millis sent_ms, const OrderResult& result)
    -> void {
  const auto now = BootMs();
  start_window_.OnAnswer(sent_ms, now,
                         result.status_ != WorkerStatus::kUnknown);
  ++held_back_starts_.answers_;
  held_back_starts_.answers_ms_ += now - sent_ms;
  if (is_start_held_back_) {
    RequestPlacementPass();
  }
}

auto Dispatcher::OnStartResult(const std::string& worker_id, const TaskId& id,
                               std::int64_t run, int clock_life,
                               const OrderResult& result) -> void {
  const auto it = workers_.find(worker_id);
  if (it == workers_.end()) {
    return;
  }
  auto& worker = it->second;
  const auto now = BootMs();
  if (result.status_ != WorkerStatus::kNotSent &&
      result.status_ != WorkerStatus::kUnknown) {
    worker.last_contact_ms_ = now;
  }
  if (result.status_ == WorkerStatus::kOk) {
    AddAnswerTime(worker, result.sent_ms_, now);
  }
  // The reading in a late answer is older than what is known of the clock. The
  // order may have been carried out at any time until now.
  if (!result.is_late_ && result.status_ != WorkerStatus::kWrongWorker) {
    UpdateWorkerClock(worker, result.worker_clock_ms_, result.sent_ms_);
  }
  worker.OnLeaseOrderEnded(
      clock_life, result.is_late_ ? WorkerStatus::kUnknown : result.status_,
      now, options_.max_lease_ms_);
  auto* placed = worker.Find(id.ToString(), run);
  if (placed == nullptr) {
    // The run has ended already.
    return;
  }
  if (result.status_ == WorkerStatus::kUnknown) {
    if (!result.is_late_) {
      OnStartOverdue(worker, *placed, now);
    }
    return;
  }
  if (result.is_late_ && (placed->order_incarnation_ != worker.incarnation_ ||
                          clock_life != worker.clock_life_)) {
    // An answer of a former life says nothing about the present one.
    return;
  }
  if (!result.is_late_) {
    placed->is_start_unanswered_ = false;
  }
  if (result.status_ == WorkerStatus::kOk) {
    ResolveOverdueStart(worker, *placed, "answered", now);
    ConfirmStart(*placed, now);
    return;
  }
  OnStartRefused(worker, *placed, result.status_, now);
}

auto Dispatcher::OnStartRefused(FleetWorker& worker, PlacedRun& run,
                                WorkerStatus status, Millis now_ms) -> void {
  LogStartFailed(worker, run, status);
  if (status == WorkerStatus::kFenced &&
      run.order_token_ >= worker.fencing_token_) {
    OnFenced(worker, run.order_token_);
    return;
  }
  auto* job = FindJob(run.task_.job_);
  auto* step = job == nullptr
                   ? nullptr
                   : job->FindStep(run.task_.occurrence_, run.task_.step_);
  if (status == WorkerStatus::kBadTicket && step != nullptr) {
    step->tickets_.erase(worker.entry_.id_);
  } else if (status != WorkerStatus::kStaleRun &&
             status != WorkerStatus::kFenced) {
    worker.no_starts_until_ms_ = now_ms + kStartBackoffMs;
  }
  const auto gone = run;
  OnRunLost(worker, gone);
}

auto Dispatcher::OnStartOverdue(FleetWorker& worker, PlacedRun& run,
                                Millis now_ms) -> void {
  if (!run.is_start_unanswered_ || run.order_effective_ms_ != 0) {
    // A list has shown the run, or an answered stop has ruled the start out.
    return;
  }
  if (now_ms - run.started_ms_ < kMinAnswerTimeoutMs) {
    // The connection has ended.
    worker.last_contact_ms_ = now_ms;
  }
  worker.MarkStartOverdue(run, now_ms);
  run.is_start_silent_ = worker.last_contact_ms_ < run.started_ms_;
  metrics_->Increment(FleetCounter::kStartsOverdue);
  LogEvent(Event::kFleetStartOverdue,
           {{"task", run.task_.ToString()},
            {"run", std::to_string(run.run_)},
            {"worker", worker.entry_.id_},
            {"age_ms", std::to_string(now_ms - run.started_ms_)}});
}

auto Dispatcher::ConfirmStart(PlacedRun& run, Millis now_ms) -> void {
  if (auto* job = FindJob(run.task_.job_); job != nullptr) {
    job->MarkStarted();
  }
  if (run.phase_ == PlacedRun::Phase::kStarting) {
    run.phase_ = PlacedRun::Phase::kRunning;
    run.order_effective_ms_ = now_ms;
  }
}

auto Dispatcher::OnStartListed(FleetWorker& worker, PlacedRun& run,
                               Millis now_ms) -> void {
  if (run.overdue_since_ms_ != 0) {
    worker.OnLeaseOrderEnded(run.order_clock_life_, WorkerStatus::kOk, now_ms,
                             options_.max_lease_ms_);
    ResolveOverdueStart(worker, run, "listed", now_ms);
  }
  run.is_start_unanswered_ = false;
  if (run.phase_ == PlacedRun::Phase::kStarting) {
    ConfirmStart(run, now_ms);
  }
}

auto Dispatcher::OnLateRunList(FleetWorker& worker, const HoldResult& result,
                               Millis now_ms) -> void {
  for (const auto& running : result.running_) {
    if (auto* run = worker.Find(running.run_.task_, running.run_.run_);
        run != nullptr && run->is_start_unanswered_) {
      OnStartListed(worker, *run, now_ms);
    }
  }
  StopUnlistedStarts(worker, result, now_ms);
}

auto Dispatcher::StopUnlistedStarts(FleetWorker& worker,
                                    const HoldResult& result, Millis now_ms)
    -> void {
  if (worker.overdue_starts_ == 0 || !result.IsComplete()) {
    return;
  }
  // Listed runs are not overdue any more.
  for (auto& [key, run] : worker.runs_) {
    // A life with a newer token does not carry the start out.
    if (run.phase_ != PlacedRun::Phase::kStarting ||
        run.order_token_ < worker.life_token_ || run.overdue_since_ms_ == 0 ||
        result.sent_ms_ <= run.overdue_since_ms_) {
      continue;
    }
    LogStartFailed(worker, run, WorkerStatus::kUnknown);
    MarkStopping(run);
    auto* job = FindJob(run.task_.job_);
    auto* step = job == nullptr
                     ? nullptr
                     : job->FindStep(run.task_.occurrence_, run.task_.step_);
    if (step != nullptr && step->step_->is_gang_) {
      MarkGangStopping(*step, run.run_);
    }
    SendStop(worker, run, now_ms);
  }
}

auto Dispatcher::ResolveOverdueStart(FleetWorker& worker, PlacedRun& run,
                                     const std::string& evidence, Millis now_ms)
    -> void {
  if (run.overdue_since_ms_ == 0) {
    return;
  }
  worker.ClearStartOverdue(run);
  LogEvent(Event::kFleetStartResolved,
           {{"task", run.task_.ToString()},
            {"run", std::to_string(run.run_)},
            {"worker", worker.entry_.id_},
            {"by", evidence},
            {"age_ms", std::to_string(now_ms - run.started_ms_)}});
  RequestPlacementPass();
}

auto Dispatcher::LogStartFailed(const FleetWorker& worker, const PlacedRun& run,
                                WorkerStatus status) -> void {
  metrics_->Increment(FleetCounter::kStartsFailed);
  LogEvent(Event::kFleetStartFailed, {{"task", run.task_.ToString()},
                                      {"run", std::to_string(run.run_)},
                                      {"worker", worker.entry_.id_},
                                      {"status", WorkerStatusName(status)}});
}

}  // namespace lentilscale::fleet
