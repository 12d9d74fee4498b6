// Submission, placement, start and completion of work.
//
// A placement pass runs at most once per iteration of the event loop, however
// many items arrived or ended in that iteration.
//
// A start that was refused or never sent is proved not to have run. A call may
// then be retried within the retry budget, and a task is queued again. If the
// answer to a start was lost, the worker is asked for the outcome first.

#include <fmt/format.h>

#include <chrono>

#include "lentilscale/error.h"
#include "lentilscale/executor.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/timer.h"

namespace lentilscale {
namespace {

constexpr auto kHttpOk = 200;
constexpr std::size_t kMaxPlacementsPerPass = 256;
constexpr Millis kLimitCheckPeriodMs = 500;
// Time for which urgent work waits before tasks are preempted for it.
constexpr Millis kPreemptionDelayMs = 20;
// Time for which no further tasks are preempted for the same urgent item.
constexpr Millis kPreemptionTimeoutMs = 1000;
// Time after a call's deadline at which an unresolved outcome is given up.
constexpr Millis kAnswerGraceMs = 250;

// Returns the code of a refusal that proves that nothing ran, or kInternal.
auto ParseNotRunCode(const HttpResult& result) -> ErrorCode {
  try {
    const auto body = ParseJson(result.body_);
    const auto code = ErrorCodeFromName(GetString(body, "code", ""));
    return GetErrorInfo(code).not_run_ ? code : ErrorCode::kInternal;
  } catch (const Error&) {
    return ErrorCode::kInternal;
  }
}

}  // namespace

auto Executor::Submit(Work work) -> void {
  if (is_draining_) {
    throw Error(ErrorCode::kShuttingDown, "this instance is shutting down");
  }
  if (configuration_.FindService(work.service_) == nullptr) {
    throw Error(ErrorCode::kUnknownService, "no service " + work.service_);
  }
  auto& scheduler = SchedulerOf(work.service_);
  if (scheduler.QueueSize(work.item_.team_) >= options_.max_queued_per_team_) {
    throw Error(ErrorCode::kQueueFull,
                fmt::format("team {} has {} items queued on this instance",
                            work.item_.team_, options_.max_queued_per_team_));
  }
  work.item_.need_ = size_model_.Reservation(work.item_.team_, work.work_class_,
                                             work.item_.need_);
  if (std::holds_alternative<CallWork>(work.kind_)) {
    work.item_.expected_run_ms_ =
        call_time_model_.ExpectedMs(work.item_.team_, work.work_class_);
    if (!scheduler.CanStartInTime(work.item_, MonotonicMs())) {
      throw Error(ErrorCode::kQueueFull,
                  fmt::format("the calls of team {} that wait on this instance "
                              "leave this one no time before its deadline",
                              work.item_.team_));
    }
  }
  const auto key = work.item_.key_;
  retry_budget_.OnFirstAttempt();
  if (auto* task = std::get_if<TaskWork>(&work.kind_)) {
    if (tasks_.contains(key) || unrecorded_events_.contains(key)) {
      return;
    }
    const auto hold_id = task->hold_id_;
    const auto item = work.item_;
    auto& state = tasks_[key];
    state.work_ = std::move(work);
    const auto it = holds_.find(hold_id);
    if (it != holds_.end() && !it->second.unused_keys_.empty()) {
      const auto hold_key = it->second.unused_keys_.back();
      it->second.unused_keys_.pop_back();
      ++it->second.used_count_;
      const auto placement =
          scheduler.ReplaceAllocation(hold_key, item, MonotonicMs());
      if (placement) {
        Dispatch(*placement);
        return;
      }
    }
    scheduler.Enqueue(item);
  } else {
    auto& state = calls_[key];
    state.work_ = std::move(work);
    scheduler.Enqueue(state.work_.item_);
  }
  RequestPlacementPass();
}

auto Executor::RequestPlacementPass() -> void {
  if (is_pass_requested_) {
    return;
  }
  is_pass_requested_ = true;
  RunAfter(loop_, 0, [this] {
    is_pass_requested_ = false;
    RunPlacementPass();
  });
}

auto Executor::RunPlacementPass() -> void {
  if (!HasRights()) {
    return;
  }
  const auto now = MonotonicMs();
  ExpireQueued(now);
  ExtendHolds(now);
  for (auto& [service, scheduler] : schedulers_) {
    const auto start = std::chrono::steady_clock::now();
    const auto placements = scheduler->Place(now, kMaxPlacementsPerPass);
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - start;
    for (const auto& placement : placements) {
      metrics_->RecordDecision(spent.count() /
                               static_cast<double>(placements.size()));
      Dispatch(placement);
    }
    if (placements.size() == kMaxPlacementsPerPass) {
      RequestPlacementPass();
    }
  }
}

auto Executor::RecordQueueWait(const Work& work, Millis now) -> void {
  metrics_->RecordWait(work.item_.lane_,
                       static_cast<double>(now - work.item_.enqueued_ms_));
}

auto Executor::Dispatch(const Placement& placement) -> void {
  const auto call = calls_.find(placement.item_.key_);
  if (call != calls_.end()) {
    DispatchCall(call->second, placement);
    return;
  }
  const auto task = tasks_.find(placement.item_.key_);
  if (task != tasks_.end()) {
    DispatchTask(task->second, placement);
  }
}

auto Executor::MakeStartRequest(const Work& work, const WorkerSession& session,
                                Millis timeout) const -> StartRequest {
  StartRequest request;
  request.key_ = work.item_.key_;
  request.epoch_ = session.epoch();
  request.incarnation_ = session.incarnation();
  request.valid_until_ms_ =
      session.EarliestWorkerClockMs(MonotonicMs()) + timeout;
  request.need_ = work.item_.need_;
  request.tag_ = TagFromWork(work);
  request.payload_ = work.payload_;
  request.progress_ms_ = work.progress_ms_;
  return request;
}

auto Executor::DispatchCall(CallState& call, const Placement& placement)
    -> void {
  const auto now = MonotonicMs();
  const auto& session = sessions_.at(placement.worker_);
  const auto key = placement.item_.key_;
  call.phase_ = CallPhase::kSent;
  call.worker_ = placement.worker_;
  call.sent_ms_ = now;
  call.placed_ms_ = now;
  call.incarnation_ = session.incarnation();
  ++call.attempts_;
  RecordQueueWait(call.work_, now);
  preemption_expiry_ms_.erase(key);
  const auto left = std::max<Millis>(call.work_.item_.deadline_ms_ - now, 1);
  const auto attempt = call.attempts_;
  http_client_->Send(
      {session.info().address_, "POST", "/v1/call",
       DumpJson(MakeStartRequest(call.work_, session, left).ToJson()), "",
       left},
      [this, key, attempt](const HttpResult& result) {
        OnCallResult(key, attempt, result);
      });
}

auto Executor::OnCallResult(const std::string& key, std::int64_t attempt,
                            const HttpResult& result) -> void {
  const auto it = calls_.find(key);
  if (it == calls_.end() || it->second.attempts_ != attempt) {
    metrics_->Add(Counter::kLateAnswers);
    return;
  }
  auto& call = it->second;
  const auto session = sessions_.find(call.worker_);
  const auto waited_ms = MonotonicMs() - call.sent_ms_;
  if (result.outcome_ == HttpOutcome::kAnswered && result.status_ == kHttpOk) {
    CallOutcome outcome;
    outcome.kind_ = CallOutcome::Kind::kAnswered;
    outcome.worker_ = call.worker_;
    outcome.wait_ms_ = call.placed_ms_ - call.work_.item_.enqueued_ms_;
    try {
      outcome.answer_ = ParseJson(result.body_);
      if (GetString(outcome.answer_, "key", "") != key) {
        throw Error(ErrorCode::kInternal,
                    "the answer has the key of another call");
      }
    } catch (const Error& e) {
      outcome.kind_ = CallOutcome::Kind::kUnknown;
      outcome.reason_ =
          std::string("invalid answer from the worker: ") + e.what();
    }
    call_time_model_.OnAnswered(call.work_.item_.team_, call.work_.work_class_,
                                waited_ms);
    if (session != sessions_.end()) {
      session->second.Acknowledge(key);
    }
    UpdateQuarantine(call.worker_, call.work_.item_.group_,
                     GetString(outcome.answer_, "status", "ok") == "ok");
    FinishCall(key, std::move(outcome));
    return;
  }
  const auto code = result.outcome_ == HttpOutcome::kAnswered
                        ? ParseNotRunCode(result)
                        : ErrorCode::kInternal;
  if (code != ErrorCode::kInternal ||
      result.outcome_ == HttpOutcome::kNotSent) {
    RetryCall(key, ErrorCode::kNoRoom,
              fmt::format("worker {} refused the call or was unreachable",
                          call.worker_));
    return;
  }
  call_time_model_.OnUnanswered(call.work_.item_.team_, call.work_.work_class_,
                                waited_ms);
  call.phase_ = CallPhase::kResolving;
  if (session != sessions_.end()) {
    session->second.Cancel(key);
  }
}

// Retries a call that is proved not to have run, or reports it as not run if no
// retry is allowed. Each attempt gets a new key, because a worker may remember
// the old one as cancelled.
auto Executor::RetryCall(const std::string& key, ErrorCode code,
                         const std::string& reason) -> void {
  auto call = std::move(calls_.at(key));
  ReleaseAllocation(call.work_);
  calls_.erase(key);
  const auto now = MonotonicMs();
  const auto can_retry = call.attempts_ < options_.max_attempts_ &&
                         now < call.work_.item_.deadline_ms_ && !is_draining_;
  if (can_retry && retry_budget_.TryTake()) {
    metrics_->Add(Counter::kRetries);
    const auto base = key.substr(0, key.find('#'));
    call.work_.item_.key_ = fmt::format("{}#{}", base, call.attempts_);
    call.phase_ = CallPhase::kQueued;
    call.work_.item_.expected_run_ms_ = call_time_model_.ExpectedMs(
        call.work_.item_.team_, call.work_.work_class_);
    const auto item = call.work_.item_;
    const auto service = call.work_.service_;
    calls_[item.key_] = std::move(call);
    SchedulerOf(service).Enqueue(item);
    RequestPlacementPass();
    return;
  }
  metrics_->Add(Counter::kRetriesDenied, can_retry ? 1 : 0);
  CallOutcome outcome;
  outcome.kind_ = CallOutcome::Kind::kNotRun;
  outcome.code_ = code;
  outcome.reason_ = reason;
  std::get<CallWork>(call.work_.kind_).on_outcome_(outcome);
}

auto Executor::ReleaseAllocation(const Work& work) -> void {
  SchedulerOf(work.service_).Release(work.item_.key_, MonotonicMs());
  RequestPlacementPass();
}

auto Executor::FinishCall(const std::string& key, CallOutcome outcome) -> void {
  auto call = std::move(calls_.at(key));
  calls_.erase(key);
  const auto is_known = outcome.kind_ != CallOutcome::Kind::kUnknown;
  if (is_known || !sessions_.contains(call.worker_)) {
    ReleaseAllocation(call.work_);
  }
  // The allocation of a call with an unknown outcome is kept until the next
  // answer of the worker shows that the call does not run (RemoveUnlistedWork).
  std::get<CallWork>(call.work_.kind_).on_outcome_(outcome);
}

auto Executor::DispatchTask(TaskState& task, const Placement& placement)
    -> void {
  const auto now = MonotonicMs();
  const auto& session = sessions_.at(placement.worker_);
  const auto key = placement.item_.key_;
  const auto worker = placement.worker_;
  task.phase_ = TaskPhase::kStarting;
  task.worker_ = worker;
  task.incarnation_ = session.incarnation();
  ++task.attempts_;
  RecordQueueWait(task.work_, now);
  preemption_expiry_ms_.erase(key);
  http_client_->Send({session.info().address_, "POST", "/v1/start",
                      DumpJson(MakeStartRequest(task.work_, session,
                                                options_.worker_timeout_ms_)
                                   .ToJson()),
                      "", options_.worker_timeout_ms_},
                     [this, key, worker](const HttpResult& result) {
                       OnStartResult(key, worker, result);
                     });
}

auto Executor::OnStartResult(const std::string& key, const std::string& worker,
                             const HttpResult& result) -> void {
  const auto it = tasks_.find(key);
  if (it == tasks_.end() || it->second.phase_ != TaskPhase::kStarting ||
      it->second.worker_ != worker) {
    return;
  }
  auto& task = it->second;
  const auto is_answered = result.outcome_ == HttpOutcome::kAnswered;
  if (is_answered && result.status_ == kHttpOk) {
    task.phase_ = TaskPhase::kRunning;
    task.confirmed_ms_ = MonotonicMs();
    metrics_->Add(Counter::kTasksStarted);
    hooks_.on_task_event_({std::get<TaskWork>(task.work_.kind_).ref_,
                           TaskEventKind::kStarted, EndStatus::kOk, 0, "",
                           worker});
    return;
  }
  const auto is_refused =
      is_answered && ParseNotRunCode(result) != ErrorCode::kInternal;
  const auto session = sessions_.find(worker);
  if (is_refused || result.outcome_ == HttpOutcome::kNotSent) {
    RequeueTask(key);
    return;
  }
  if (session != sessions_.end()) {
    session->second.Cancel(key);
  }
}

auto Executor::RequeueTask(const std::string& key) -> void {
  auto& task = tasks_.at(key);
  ReleaseAllocation(task.work_);
  task.phase_ = TaskPhase::kQueued;
  if (task.attempts_ >= options_.max_attempts_) {
    const auto ref = std::get<TaskWork>(task.work_.kind_).ref_;
    FinishTask(key, {ref, TaskEventKind::kDropped, EndStatus::kNeverStarted, 0,
                     "", task.worker_});
    return;
  }
  SchedulerOf(task.work_.service_).Enqueue(task.work_.item_);
}

auto Executor::FinishTask(const std::string& key, TaskEvent event) -> void {
  const auto it = tasks_.find(key);
  if (it != tasks_.end()) {
    ReleaseAllocation(it->second.work_);
    SchedulerOf(it->second.work_.service_).Dequeue(key);
    if (event.kind_ == TaskEventKind::kEnded) {
      const auto is_ok = event.status_ != EndStatus::kFailed;
      metrics_->Add(is_ok ? Counter::kTasksEnded : Counter::kTasksFailed);
      UpdateQuarantine(event.worker_, it->second.work_.item_.group_, is_ok);
    }
    metrics_->Add(Counter::kTasksLost,
                  event.kind_ == TaskEventKind::kLost ? 1 : 0);
    tasks_.erase(it);
  }
  unrecorded_events_[key] = {event, event.worker_};
  hooks_.on_task_event_(event);
}

auto Executor::OnEventRecorded(const std::string& key) -> void {
  const auto it = unrecorded_events_.find(key);
  if (it == unrecorded_events_.end()) {
    return;
  }
  const auto session = sessions_.find(it->second.worker_);
  if (session != sessions_.end()) {
    session->second.Acknowledge(key);
  }
  unrecorded_events_.erase(it);
}

auto Executor::ResendEvents() -> void {
  for (const auto& [key, pending] : unrecorded_events_) {
    hooks_.on_task_event_(pending.event_);
  }
}

auto Executor::CancelJobs(const std::vector<std::string>& jobs) -> void {
  const std::set<std::string> cancelled(jobs.begin(), jobs.end());
  std::vector<std::string> queued;
  for (auto& [key, task] : tasks_) {
    const auto& ref = std::get<TaskWork>(task.work_.kind_).ref_;
    if (!cancelled.contains(ref.job_)) {
      continue;
    }
    if (task.phase_ == TaskPhase::kQueued) {
      queued.push_back(key);
    } else {
      StopTask(key);
    }
  }
  for (const auto& key : queued) {
    SchedulerOf(tasks_.at(key).work_.service_).Dequeue(key);
    tasks_.erase(key);
  }
}

auto Executor::StopTask(const std::string& key) -> void {
  const auto it = tasks_.find(key);
  if (it == tasks_.end()) {
    return;
  }
  if (it->second.phase_ == TaskPhase::kQueued) {
    const auto ref = std::get<TaskWork>(it->second.work_.kind_).ref_;
    FinishTask(key, {ref, TaskEventKind::kDropped, EndStatus::kNeverStarted, 0,
                     "", ""});
    return;
  }
  it->second.phase_ = TaskPhase::kStopping;
  SchedulerOf(it->second.work_.service_).MarkStopping(key);
  const auto session = sessions_.find(it->second.worker_);
  if (session != sessions_.end()) {
    session->second.Stop(key);
  }
}

auto Executor::PlaceHold(const std::string& hold_id, const Work& prototype,
                         std::int64_t count, Millis until) -> std::int64_t {
  if (is_draining_ || !HasRights()) {
    return 0;
  }
  auto& state = holds_[hold_id];
  state.prototype_ = prototype;
  state.requested_count_ = count;
  state.expiry_ms_ = until;
  ExtendHolds(MonotonicMs());
  return static_cast<std::int64_t>(state.unused_keys_.size()) +
         state.used_count_;
}

auto Executor::ExtendHolds(Millis now) -> void {
  for (auto& [id, hold] : holds_) {
    auto& scheduler = SchedulerOf(hold.prototype_.service_);
    while (static_cast<std::int64_t>(hold.unused_keys_.size()) +
               hold.used_count_ <
           hold.requested_count_) {
      auto item = hold.prototype_.item_;
      item.key_ =
          fmt::format("{}{}/{}", kHoldKeyPrefix, id, hold.next_key_number_);
      if (!scheduler.PlaceUnqueued(item, now)) {
        break;
      }
      ++hold.next_key_number_;
      hold.unused_keys_.push_back(item.key_);
    }
  }
}

auto Executor::LimitDemands() const -> std::vector<LimitDemand> {
  std::vector<LimitDemand> out;
  for (const auto& [service, scheduler] : schedulers_) {
    for (auto& demand : scheduler->LimitDemands()) {
      out.push_back(std::move(demand));
    }
  }
  for (const auto& [id, hold] : holds_) {
    const auto missing = hold.requested_count_ - hold.used_count_ -
                         static_cast<std::int64_t>(hold.unused_keys_.size());
    const auto it = schedulers_.find(hold.prototype_.service_);
    if (missing <= 0 || it == schedulers_.end()) {
      continue;
    }
    if (auto demand =
            it->second->LimitDemandFor(hold.prototype_.item_, missing)) {
      out.push_back(std::move(*demand));
    }
  }
  return out;
}

auto Executor::ReleaseHold(const std::string& hold_id) -> void {
  const auto it = holds_.find(hold_id);
  if (it == holds_.end()) {
    return;
  }
  for (const auto& key : it->second.unused_keys_) {
    SchedulerOf(it->second.prototype_.service_).Release(key, MonotonicMs());
  }
  holds_.erase(it);
  RequestPlacementPass();
}

auto Executor::StartDraining() -> void {
  is_draining_ = true;
  std::vector<std::string> calls;
  std::vector<std::string> tasks;
  for (const auto& [key, call] : calls_) {
    if (call.phase_ == CallPhase::kQueued) {
      calls.push_back(key);
    }
  }
  for (const auto& [key, task] : tasks_) {
    if (task.phase_ == TaskPhase::kQueued) {
      tasks.push_back(key);
    }
  }
  for (const auto& key : calls) {
    SchedulerOf(calls_.at(key).work_.service_).Dequeue(key);
    RetryCall(key, ErrorCode::kShuttingDown, "this instance is shutting down");
  }
  for (const auto& key : tasks) {
    StopTask(key);
  }
}

auto Executor::ExpireQueued(Millis now) -> void {
  for (auto& [service, scheduler] : schedulers_) {
    for (const auto& item : scheduler->RemoveExpired(now)) {
      const auto it = calls_.find(item.key_);
      if (it == calls_.end()) {
        continue;
      }
      auto call = std::move(it->second);
      calls_.erase(it);
      CallOutcome outcome;
      outcome.kind_ = CallOutcome::Kind::kNotRun;
      outcome.code_ = ErrorCode::kDeadlinePassed;
      outcome.reason_ = "the call could not be started in time";
      std::get<CallWork>(call.work_.kind_).on_outcome_(outcome);
    }
  }
}

auto Executor::ExpireCalls(Millis now) -> void {
  std::vector<std::string> expired;
  for (const auto& [key, call] : calls_) {
    if (call.phase_ == CallPhase::kResolving &&
        now >= call.work_.item_.deadline_ms_ + kAnswerGraceMs) {
      expired.push_back(key);
    }
  }
  for (const auto& key : expired) {
    CallOutcome outcome;
    outcome.reason_ = "no answer from the worker before the deadline";
    outcome.worker_ = calls_.at(key).worker_;
    FinishCall(key, std::move(outcome));
  }
}

auto Executor::PreemptForUrgent(Millis now) -> void {
  std::erase_if(preemption_expiry_ms_,
                [now](const auto& item) { return item.second <= now; });
  for (auto& [service, scheduler] : schedulers_) {
    for (const auto& item : scheduler->UrgentItems()) {
      if (now - item.enqueued_ms_ < kPreemptionDelayMs ||
          preemption_expiry_ms_.contains(item.key_)) {
        continue;
      }
      const auto victims = scheduler->ChooseVictims(item, now);
      for (const auto& key : victims) {
        metrics_->Add(Counter::kTasksPreempted);
        LogEvent(Event::kTaskStopped,
                 {{"task", key}, {"reason", "urgent work"}});
        StopTask(key);
      }
      if (!victims.empty()) {
        preemption_expiry_ms_[item.key_] = now + kPreemptionTimeoutMs;
      }
    }
  }
}

auto Executor::StopTasksOverLimit() -> void {
  for (const auto& [shard, state] : shards_) {
    const auto service = shard.substr(0, shard.find('/'));
    auto& scheduler = SchedulerOf(service);
    for (const auto& [team, unused] : configuration_.teams_) {
      for (const auto& key : scheduler.AllocationsOverLimit(team, shard)) {
        if (tasks_.contains(key) &&
            tasks_.at(key).phase_ == TaskPhase::kRunning) {
          LogEvent(Event::kTaskStopped,
                   {{"task", key}, {"reason", "limit lowered"}});
          StopTask(key);
        }
      }
    }
  }
}

auto Executor::Tick(Millis now) -> void {
  RenewDueSessions(now);
  ExpireQueued(now);
  ExpireCalls(now);
  PreemptForUrgent(now);
  std::vector<std::string> expired_holds;
  for (const auto& [id, hold] : holds_) {
    if (hold.expiry_ms_ <= now) {
      expired_holds.push_back(id);
    }
  }
  for (const auto& id : expired_holds) {
    ReleaseHold(id);
  }
  if (now >= next_limit_check_ms_) {
    next_limit_check_ms_ = now + kLimitCheckPeriodMs;
    StopTasksOverLimit();
    for (const auto& [id, session] : sessions_) {
      UpdateWorkerOpen(id);
    }
  }
  RequestPlacementPass();
}

}  // namespace lentilscale
