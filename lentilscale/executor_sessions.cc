// Worker sessions. A worker's answers are authoritative for what runs on it,
// and the executor reconciles its tables with each answer.
//
// An answer that arrives after its request has timed out counts, too: its ends
// are proof, and a worker that answers late still runs what it lists. Such a
// worker gets no new work.
//
// If an answer does not show whether a start was carried out, its key is
// cancelled. If the worker then reports the key as never started, the work is
// proved not to have run.

#include <algorithm>
#include <set>
#include <utility>

#include "lentilscale/error.h"
#include "lentilscale/executor.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"

namespace lentilscale {
namespace {

constexpr auto kHttpOk = 200;
constexpr auto kHttpConflict = 409;
constexpr auto kSessionPath = "/v1/session";
// Connections per worker that are reserved for session and start requests.
constexpr std::int64_t kReservedConnections = 4;
// Interval of asking a worker for the outcome of a call whose connection
// failed.
constexpr Millis kResolveIntervalMs = 100;

}  // namespace

auto Executor::RenewDueSessions(Millis now) -> void {
  if (!HasRights()) {
    return;
  }
  std::vector<std::string> due;
  std::vector<std::string> lost;
  for (auto& [id, session] : sessions_) {
    if (session.IsRequestDue(now)) {
      due.push_back(id);
    }
    if (session.MarkLostIfExpired(now)) {
      lost.push_back(id);
    }
  }
  for (const auto& worker : due) {
    RenewSession(worker);
  }
  for (const auto& worker : lost) {
    OnWorkerLost(worker);
  }
}

auto Executor::RenewSession(const std::string& worker) -> void {
  auto& session = sessions_.at(worker);
  const auto sent = MonotonicMs();
  const auto request = session.BeginRequest();
  const auto body = DumpJson(request.ToJson());
  metrics_->Add(Counter::kWorkerBytesOut,
                static_cast<std::int64_t>(body.size()));
  HttpCall call{session.info().address_,
                "POST",
                kSessionPath,
                body,
                "",
                options_.worker_timeout_ms_ + request.max_wait_ms_};
  // Not longer, since each wait takes one of the worker's connections.
  call.late_answer_ms_ = call.timeout_ms_;
  http_client_->Send(std::move(call),
                     [this, worker, request, sent](const HttpResult& result) {
                       OnSessionResult(worker, request, sent, result);
                     });
}

auto Executor::OnSessionResult(const std::string& worker,
                               const SessionRequest& request, Millis sent,
                               const HttpResult& result) -> void {
  metrics_->Add(Counter::kWorkerBytesIn,
                static_cast<std::int64_t>(result.body_.size()));
  const auto it = sessions_.find(worker);
  if (it == sessions_.end() || it->second.epoch() != request.epoch_) {
    return;
  }
  auto& session = it->second;
  const auto on_failure = [&session, &request, &result] {
    if (!result.is_late_) {
      session.OnFailure(request, MonotonicMs());
    }
  };
  if (result.outcome_ == HttpOutcome::kAnswered &&
      result.status_ == kHttpConflict) {
    const auto shard = session.shard();
    on_failure();
    hooks_.on_stale_shard_(shard);
    return;
  }
  if (result.outcome_ != HttpOutcome::kAnswered || result.status_ != kHttpOk) {
    on_failure();
    UpdateWorkerOpen(worker);
    return;
  }
  SessionAnswer answer;
  try {
    answer = SessionAnswer::FromJson(ParseJson(result.body_));
  } catch (const Error& e) {
    LogEvent(Event::kBadPeerMessage,
             {{"worker", worker}, {"problem", e.what()}});
    on_failure();
    return;
  }
  const auto was_ready = session.phase() == WorkerSession::Phase::kReady;
  const auto is_new = result.is_late_
                          ? session.OnLateAnswer(request, answer, MonotonicMs())
                          : session.OnAnswer(request, answer, MonotonicMs());
  if (!is_new) {
    return;
  }
  const auto is_claimed =
      !was_ready && session.phase() == WorkerSession::Phase::kReady;
  ApplySessionAnswer(worker, answer, sent, is_claimed);
  MarkShardOpenIfClaimed(session.shard());
  UpdateWorkerOpen(worker);
}

auto Executor::ApplySessionAnswer(const std::string& worker,
                                  const SessionAnswer& answer, Millis sent,
                                  bool is_claimed) -> void {
  auto& session = sessions_.at(worker);
  auto& scheduler = SchedulerOf(session.info().service_);
  if (is_claimed) {
    LogEvent(Event::kWorkerClaimed,
             {{"worker", worker}, {"epoch", std::to_string(session.epoch())}});
  }
  if (!scheduler.HasWorker(worker)) {
    const auto& info = session.info();
    auto capacity = info.capacity_;
    capacity.slots_ =
        std::min(capacity.slots_, info.max_connections_ - kReservedConnections);
    scheduler.AddWorker(
        {info.id_, session.shard(), info.rack_, info.data_centre_, capacity});
  }
  EndWorkOfFormerIncarnation(worker);
  for (const auto& running : answer.running_) {
    AdoptRunningTask(worker, running);
  }
  for (const auto& ended : answer.ended_) {
    ApplyEndedTask(worker, ended);
  }
  RemoveUnlistedWork(worker, answer, sent);
}

auto Executor::AdoptRunningTask(const std::string& worker,
                                const RunningTask& running) -> void {
  const auto now = MonotonicMs();
  auto& scheduler = SchedulerOf(sessions_.at(worker).info().service_);
  const auto call = calls_.find(running.key_);
  if (call != calls_.end()) {
    // A call that kept running while this instance did not own the shard has
    // lost its allocation; record it again.
    const auto& item = call->second.work_.item_;
    scheduler.RecordAllocation(
        running.key_,
        {worker, item.team_, item.group_, item.lane_, item.need_, now, false},
        now);
    if (call->second.phase_ == CallPhase::kResolving) {
      sessions_.at(worker).PollAt(now + kResolveIntervalMs);
    }
    return;
  }
  const auto task = tasks_.find(running.key_);
  if (task != tasks_.end()) {
    if (task->second.phase_ == TaskPhase::kStarting) {
      task->second.phase_ = TaskPhase::kRunning;
      hooks_.on_task_event_({std::get<TaskWork>(task->second.work_.kind_).ref_,
                             TaskEventKind::kStarted, EndStatus::kOk, 0, "",
                             worker});
    }
    task->second.confirmed_ms_ = now;
    size_model_.OnUsage(task->second.work_.item_.team_,
                        task->second.work_.work_class_, running.used_);
    return;
  }
  if (!running.tag_.isObject() || scheduler.FindAllocation(running.key_)) {
    return;
  }
  // Started by an earlier owner: adopt it as described by its tag.
  Work work = WorkFromTag(running.key_, running.tag_);
  Allocation occupant{worker,
                      work.item_.team_,
                      work.item_.group_,
                      work.item_.lane_,
                      work.item_.need_,
                      now,
                      work.item_.lane_ == Lane::kBatch};
  scheduler.RecordAllocation(running.key_, occupant, now);
  if (std::holds_alternative<TaskWork>(work.kind_)) {
    TaskState state{std::move(work),
                    TaskPhase::kRunning,
                    worker,
                    now,
                    0,
                    sessions_.at(worker).incarnation()};
    hooks_.on_task_event_({std::get<TaskWork>(state.work_.kind_).ref_,
                           TaskEventKind::kStarted, EndStatus::kOk, 0, "",
                           worker});
    tasks_.emplace(running.key_, std::move(state));
  }
}

auto Executor::ApplyEndedTask(const std::string& worker, const EndedTask& ended)
    -> void {
  if (calls_.contains(ended.key_)) {
    ApplyEndedCall(worker, ended);
    return;
  }
  const auto pending = unrecorded_events_.find(ended.key_);
  if (pending != unrecorded_events_.end()) {
    pending->second.worker_ = worker;
    return;
  }
  const auto task = tasks_.find(ended.key_);
  TaskRef ref;
  if (task != tasks_.end()) {
    ref = std::get<TaskWork>(task->second.work_.kind_).ref_;
    size_model_.OnUsage(task->second.work_.item_.team_,
                        task->second.work_.work_class_, ended.used_);
    if (ended.status_ == EndStatus::kOutOfMemory) {
      size_model_.OnOutOfMemory(task->second.work_.item_.team_,
                                task->second.work_.work_class_,
                                task->second.work_.item_.need_);
    }
  } else if (ended.tag_.isObject() && ended.tag_.isMember("ref")) {
    ref = TaskRef::FromJson(ended.tag_["ref"]);
  } else {
    // A call of an earlier owner, or an end that has already been recorded.
    sessions_.at(worker).Acknowledge(ended.key_);
    return;
  }
  const auto kind = ended.status_ == EndStatus::kNeverStarted
                        ? TaskEventKind::kDropped
                        : TaskEventKind::kEnded;
  FinishTask(ended.key_,
             {ref, kind, ended.status_, ended.progress_ms_, "", worker});
}

// Finishes a call whose answer came through the session, because the call's own
// connection is unresponsive or broken.
auto Executor::ApplyEndedCall(const std::string& worker, const EndedTask& ended)
    -> void {
  auto& call = calls_.at(ended.key_);
  sessions_.at(worker).Acknowledge(ended.key_);
  if (ended.status_ == EndStatus::kNeverStarted) {
    RetryCall(ended.key_, ErrorCode::kNoRoom,
              "the worker never started the call");
    return;
  }
  CallOutcome outcome;
  outcome.worker_ = worker;
  outcome.wait_ms_ = call.placed_ms_ - call.work_.item_.enqueued_ms_;
  const auto has_answer =
      ended.status_ == EndStatus::kOk || ended.status_ == EndStatus::kFailed;
  outcome.kind_ =
      has_answer ? CallOutcome::Kind::kAnswered : CallOutcome::Kind::kUnknown;
  outcome.reason_ =
      has_answer ? "" : "the worker stopped the call before it answered";
  if (has_answer) {
    call_time_model_.OnAnswered(call.work_.item_.team_, call.work_.work_class_,
                                MonotonicMs() - call.sent_ms_);
  }
  outcome.answer_ = ended.call_answer_;
  FinishCall(ended.key_, std::move(outcome));
}

// Removes work that the worker no longer lists. A task that was confirmed
// before the request was sent and is in neither list of the answer has stopped,
// for example because the worker restarted, and is reported as lost.
// Allocations of unlisted keys that belong to no call, task or hold are
// released.
auto Executor::RemoveUnlistedWork(const std::string& worker,
                                  const SessionAnswer& answer, Millis sent)
    -> void {
  std::set<std::string> present;
  for (const auto& task : answer.running_) {
    present.insert(task.key_);
  }
  for (const auto& task : answer.ended_) {
    present.insert(task.key_);
  }
  std::vector<std::string> missing;
  for (const auto& [key, task] : tasks_) {
    const auto is_known_running = task.phase_ == TaskPhase::kRunning ||
                                  task.phase_ == TaskPhase::kStopping;
    if (task.worker_ == worker && is_known_running &&
        task.confirmed_ms_ < sent && !present.contains(key)) {
      missing.push_back(key);
    }
  }
  for (const auto& key : missing) {
    LoseTask(key);
  }
  auto& scheduler = SchedulerOf(sessions_.at(worker).info().service_);
  for (const auto& key : scheduler.AllocationsOn(worker)) {
    const auto is_ours = calls_.contains(key) || tasks_.contains(key) ||
                         key.starts_with(kHoldKeyPrefix);
    if (!is_ours && !present.contains(key)) {
      scheduler.Release(key, MonotonicMs());
    }
  }
}

auto Executor::LoseTask(const std::string& key) -> void {
  const auto& task = tasks_.at(key);
  const auto ref = std::get<TaskWork>(task.work_.kind_).ref_;
  const auto worker = task.worker_;
  LogEvent(Event::kTaskLost, {{"task", key}, {"worker", worker}});
  FinishTask(key,
             {ref, TaskEventKind::kLost, EndStatus::kLapsed, 0, "", worker});
}

// Ends the calls and tasks that were sent before the worker restarted. Whether
// they ran is unknown, and the restarted worker cannot report it; it refuses
// those that arrive from now on.
auto Executor::EndWorkOfFormerIncarnation(const std::string& worker) -> void {
  const auto boot = sessions_.at(worker).incarnation();
  std::vector<std::string> failed;
  for (const auto& [key, call] : calls_) {
    if (call.phase_ != CallPhase::kQueued && call.worker_ == worker &&
        call.incarnation_ != boot) {
      failed.push_back(key);
    }
  }
  for (const auto& key : failed) {
    CallOutcome outcome;
    outcome.worker_ = worker;
    outcome.reason_ = "the worker restarted before the call ended";
    FinishCall(key, std::move(outcome));
  }
  std::vector<std::string> lost;
  for (const auto& [key, task] : tasks_) {
    if (task.phase_ != TaskPhase::kQueued && task.worker_ == worker &&
        task.incarnation_ != boot) {
      lost.push_back(key);
    }
  }
  for (const auto& key : lost) {
    LoseTask(key);
  }
}

auto Executor::OnWorkerLost(const std::string& worker) -> void {
  LogEvent(Event::kWorkerLost, {{"worker", worker}});
  std::vector<std::string> tasks;
  std::vector<std::string> calls;
  for (const auto& [key, task] : tasks_) {
    if (task.phase_ != TaskPhase::kQueued && task.worker_ == worker) {
      tasks.push_back(key);
    }
  }
  for (const auto& [key, call] : calls_) {
    if (call.phase_ != CallPhase::kQueued && call.worker_ == worker) {
      calls.push_back(key);
    }
  }
  for (const auto& key : tasks) {
    const auto ref = std::get<TaskWork>(tasks_.at(key).work_.kind_).ref_;
    FinishTask(key,
               {ref, TaskEventKind::kLost, EndStatus::kLapsed, 0, "", worker});
  }
  for (const auto& key : calls) {
    CallOutcome outcome;
    outcome.reason_ = "the session with the worker was lost";
    FinishCall(key, std::move(outcome));
  }
  const auto shard = sessions_.at(worker).shard();
  SchedulerOf(sessions_.at(worker).info().service_).RemoveWorker(worker);
  if (listed_workers_.contains(worker)) {
    FollowAddress(worker);
  } else {
    RemoveSession(worker);
  }
  MarkShardOpenIfClaimed(shard);
}

auto Executor::UpdateQuarantine(const std::string& worker,
                                const std::string& group, bool is_ok) -> void {
  if (health_.OnTaskEnd(worker, group, is_ok, MonotonicMs())) {
    LogEvent(Event::kWorkerQuarantined, {{"worker", worker}});
  }
  UpdateWorkerOpen(worker);
}

}  // namespace lentilscale
