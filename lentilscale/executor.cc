// Shards, workers and queries of the executor. The worker sessions are in
// executor_sessions.cc; submission, placement and completion of work are in
// executor_dispatch.cc.
//
// A shard opens only when every worker in it has answered, or its earlier
// session must have expired. Until then some running tasks are unknown, and
// team limits would be checked against incomplete counts.

#include "lentilscale/executor.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/shard_map.h"

namespace lentilscale {
namespace {

// Consecutive failed session requests after which a worker gets no new work.
constexpr int kSessionFailureLimit = 2;

}  // namespace

Executor::Executor(uv_loop_t* loop, HttpClient* client, Metrics* metrics,
                   const Options& options, Hooks hooks)
    : loop_(loop),
      http_client_(client),
      metrics_(metrics),
      options_(options),
      hooks_(std::move(hooks)),
      retry_budget_(options.retry_budget_),
      health_(options.health_) {}

auto Executor::HasRights() const -> bool {
  return hooks_.rights_until_() > MonotonicMs();
}

auto Executor::SchedulerOf(const std::string& service) -> Scheduler& {
  auto& scheduler = schedulers_[service];
  if (scheduler == nullptr) {
    scheduler = std::make_unique<Scheduler>(options_.scheduler_);
    for (const auto& [name, team] : configuration_.teams_) {
      scheduler->SetTeamWeight(name, team.share_);
    }
  }
  return *scheduler;
}

auto Executor::FindScheduler(const std::string& service) -> Scheduler* {
  const auto it = schedulers_.find(service);
  return it == schedulers_.end() ? nullptr : it->second.get();
}

auto Executor::ShardOfWorker(const WorkerInfo& info) const -> std::string {
  const auto* service = configuration_.FindService(info.service_);
  return service == nullptr
             ? ""
             : ShardForRack(info.service_, info.data_centre_, info.rack_,
                            service->shards_per_data_centre_);
}

auto Executor::SetConfiguration(const Configuration& configuration) -> void {
  configuration_ = configuration;
  for (auto& [service, scheduler] : schedulers_) {
    for (const auto& [name, team] : configuration.teams_) {
      scheduler->SetTeamWeight(name, team.share_);
    }
  }
}

auto Executor::SetUsable(const std::string& team, const std::string& shard,
                         std::int64_t amount) -> void {
  if (shards_.contains(shard)) {
    SchedulerOf(ShardName::FromString(shard).service_)
        .SetTeamLimit(team, shard, amount);
    RequestPlacementPass();
  }
}

auto Executor::SetWorkers(const std::vector<WorkerInfo>& workers) -> void {
  listed_workers_.clear();
  for (const auto& info : workers) {
    listed_workers_[info.id_] = info;
    const auto shard = ShardOfWorker(info);
    if (!shards_.contains(shard)) {
      continue;
    }
    const auto session = sessions_.find(info.id_);
    if (session == sessions_.end()) {
      AddSession(info, shard);
      continue;
    }
    if (info.is_leaving_ && !session->second.info().is_leaving_) {
      LogEvent(Event::kWorkerLeaving, {{"worker", info.id_}});
    }
    session->second.SetLeaving(info.is_leaving_);
    FollowAddress(info.id_);
    UpdateWorkerOpen(info.id_);
  }
}

auto Executor::OpenShard(const std::string& shard, std::int64_t epoch,
                         Millis previous_expiry) -> void {
  DropShard(shard);
  shards_[shard] = {epoch, previous_expiry, false, false};
  for (const auto& [id, info] : listed_workers_) {
    if (ShardOfWorker(info) == shard) {
      AddSession(info, shard);
    }
  }
  MarkShardOpenIfClaimed(shard);
}

auto Executor::PauseShard(const std::string& shard) -> void {
  const auto it = shards_.find(shard);
  if (it == shards_.end()) {
    return;
  }
  it->second.is_paused_ = true;
  for (const auto& [id, session] : sessions_) {
    if (session.shard() == shard) {
      UpdateWorkerOpen(id);
    }
  }
}

auto Executor::ResumeShard(const std::string& shard) -> void {
  const auto it = shards_.find(shard);
  if (it == shards_.end()) {
    return;
  }
  it->second.is_paused_ = false;
  for (const auto& [id, session] : sessions_) {
    if (session.shard() == shard) {
      UpdateWorkerOpen(id);
    }
  }
}

auto Executor::DropShard(const std::string& shard) -> void {
  shards_.erase(shard);
  std::vector<std::string> workers;
  for (const auto& [id, session] : sessions_) {
    if (session.shard() == shard) {
      workers.push_back(id);
    }
  }
  for (const auto& worker : workers) {
    RemoveSession(worker);
  }
}

auto Executor::IsShardOpen(const std::string& shard) const -> bool {
  const auto it = shards_.find(shard);
  return it != shards_.end() && it->second.is_open_ && !it->second.is_paused_;
}

auto Executor::HasUnansweredStarts(const std::string& shard) const -> bool {
  const auto is_in_shard = [this, &shard](const std::string& worker) {
    const auto it = sessions_.find(worker);
    return it != sessions_.end() && it->second.shard() == shard;
  };
  for (const auto& [key, task] : tasks_) {
    if (task.phase_ == TaskPhase::kStarting && is_in_shard(task.worker_)) {
      return true;
    }
  }
  return false;
}

auto Executor::AddSession(const WorkerInfo& info, const std::string& shard)
    -> void {
  const auto& state = shards_.at(shard);
  sessions_.emplace(info.id_,
                    WorkerSession(info, shard, state.epoch_, options_.session_,
                                  state.previous_expiry_ms_));
}

// Running tasks are not stopped: the shard's next owner learns of them from the
// worker. Calls in flight keep their connections and are still answered.
auto Executor::RemoveSession(const std::string& worker) -> void {
  const auto it = sessions_.find(worker);
  if (it == sessions_.end()) {
    return;
  }
  const auto service = it->second.info().service_;
  SchedulerOf(service).RemoveWorker(worker);
  sessions_.erase(it);
  std::erase_if(tasks_, [&worker](const auto& item) {
    return item.second.phase_ != TaskPhase::kQueued &&
           item.second.worker_ == worker;
  });
}

// Calls a worker at its new address once its session has been lost. Until then
// the process at the former one may run its work.
auto Executor::FollowAddress(const std::string& worker) -> void {
  const auto info = listed_workers_.at(worker);
  const auto& session = sessions_.at(worker);
  if (session.phase() != WorkerSession::Phase::kLost ||
      session.info().address_ == info.address_) {
    return;
  }
  RemoveSession(worker);
  const auto shard = ShardOfWorker(info);
  if (shards_.contains(shard)) {
    AddSession(info, shard);
  }
}

auto Executor::UpdateWorkerOpen(const std::string& worker) -> void {
  const auto it = sessions_.find(worker);
  if (it == sessions_.end()) {
    return;
  }
  const auto& session = it->second;
  const auto listed = listed_workers_.find(worker);
  const auto is_listed_live =
      listed != listed_workers_.end() && !listed->second.is_leaving_;
  const auto is_open = IsShardOpen(session.shard()) && is_listed_live &&
                       session.phase() == WorkerSession::Phase::kReady &&
                       session.consecutive_failures() < kSessionFailureLimit &&
                       !health_.IsQuarantined(worker, MonotonicMs());
  SchedulerOf(session.info().service_).SetOpen(worker, is_open);
  if (is_open) {
    RequestPlacementPass();
  }
}

auto Executor::MarkShardOpenIfClaimed(const std::string& shard) -> void {
  const auto it = shards_.find(shard);
  if (it == shards_.end() || it->second.is_open_) {
    return;
  }
  for (const auto& [id, session] : sessions_) {
    if (session.shard() == shard &&
        session.phase() == WorkerSession::Phase::kClaiming) {
      return;
    }
  }
  it->second.is_open_ = true;
  LogEvent(Event::kShardOpened,
           {{"shard", shard}, {"epoch", std::to_string(it->second.epoch_)}});
  for (const auto& [id, session] : sessions_) {
    if (session.shard() == shard) {
      UpdateWorkerOpen(id);
    }
  }
  hooks_.on_shard_open_(shard);
}

auto Executor::TasksOfHome(const std::string& home) const
    -> std::vector<KnownTask> {
  std::vector<KnownTask> out;
  for (const auto& [key, task] : tasks_) {
    const auto& ref = std::get<TaskWork>(task.work_.kind_).ref_;
    if (ref.home_ == home) {
      out.push_back({ref, task.phase_ != TaskPhase::kQueued, task.worker_});
    }
  }
  // An unrecorded end counts as known, since its event is still being resent.
  for (const auto& [key, pending] : unrecorded_events_) {
    if (pending.event_.ref_.home_ == home) {
      out.push_back({pending.event_.ref_, true, pending.worker_});
    }
  }
  return out;
}

auto Executor::Loads() const -> std::vector<ServiceLoad> {
  std::vector<ServiceLoad> out;
  for (const auto& [service, scheduler] : schedulers_) {
    out.push_back({service, std::max<std::int64_t>(scheduler->FreeSlots(), 0),
                   scheduler->QueueSize(), scheduler->OpenCapacity().slots_});
  }
  return out;
}

auto Executor::OpenShards() const -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& [shard, state] : shards_) {
    if (state.is_open_ && !state.is_paused_) {
      out.push_back(shard);
    }
  }
  return out;
}

auto Executor::ready_workers() const -> std::int64_t {
  std::int64_t count = 0;
  for (const auto& [id, session] : sessions_) {
    count += session.phase() == WorkerSession::Phase::kReady ? 1 : 0;
  }
  return count;
}

auto Executor::started_tasks_and_calls() const -> std::int64_t {
  const auto is_running = [](const auto& item) {
    return item.second.phase_ != TaskPhase::kQueued;
  };
  return std::count_if(tasks_.begin(), tasks_.end(), is_running) +
         static_cast<std::int64_t>(calls_.size());
}

auto Executor::Explain(const std::string& key) const -> std::string {
  const auto describe = [this, &key](const Work& work, bool is_queued,
                                     const std::string& worker) {
    if (!is_queued) {
      return fmt::format("running on worker {}", worker);
    }
    const auto it = schedulers_.find(work.service_);
    const auto reason = it == schedulers_.end() ? WaitReason::kNoOpenWorker
                                                : it->second->Explain(key);
    return fmt::format("queued in lane {}: {}", LaneName(work.item_.lane_),
                       WaitReasonText(reason));
  };
  const auto task = tasks_.find(key);
  if (task != tasks_.end()) {
    return describe(task->second.work_,
                    task->second.phase_ == TaskPhase::kQueued,
                    task->second.worker_);
  }
  const auto call = calls_.find(key);
  if (call != calls_.end()) {
    return describe(call->second.work_,
                    call->second.phase_ == CallPhase::kQueued,
                    call->second.worker_);
  }
  return "";
}

}  // namespace lentilscale
