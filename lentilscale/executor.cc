// This file holds the shards and what is asked of the executor as a whole;
// executor_sessions.cc holds the sessions with workers, executor_dispatch.cc
// the way of work from submission to its end. A shard opens only when every
// worker in it has answered or must have dropped its old session, so that
// limits are never judged from half the truth.

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

constexpr int kFailuresBeforeClosing = 2;

}  // namespace

Executor::Executor(uv_loop_t* loop, HttpClient* client, Metrics* metrics,
                   const Options& options, Hooks hooks)
    : loop_(loop),
      client_(client),
      metrics_(metrics),
      options_(options),
      hooks_(std::move(hooks)),
      retry_budget_(options.retry_),
      health_(options.health_) {}

auto Executor::HasRights() const -> bool {
  return hooks_.rights_until_() > MonotonicMs();
}

auto Executor::SchedulerOf(const std::string& service) -> Scheduler& {
  auto& scheduler = schedulers_[service];
  if (scheduler == nullptr) {
    scheduler = std::make_unique<Scheduler>(options_.scheduler_);
    for (const auto& [name, team] : configuration_.teams_) {
      scheduler->SetShare(name, team.share_);
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
             : ShardOf(info.service_, info.data_centre_, info.rack_,
                       service->shards_per_data_centre_);
}

auto Executor::SetConfiguration(const Configuration& configuration) -> void {
  configuration_ = configuration;
  for (auto& [service, scheduler] : schedulers_) {
    for (const auto& [name, team] : configuration.teams_) {
      scheduler->SetShare(name, team.share_);
    }
  }
}

auto Executor::SetUsable(const std::string& team, const std::string& shard,
                         std::int64_t amount) -> void {
  if (shards_.contains(shard)) {
    SchedulerOf(ShardName::FromString(shard).service_)
        .SetUsable(team, shard, amount);
    SchedulePump();
  }
}

auto Executor::SetWorkers(const std::vector<WorkerInfo>& workers) -> void {
  listed_.clear();
  for (const auto& info : workers) {
    listed_[info.id_] = info;
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
    UpdateOpen(info.id_);
  }
}

auto Executor::OpenShard(const std::string& shard, std::int64_t epoch,
                         Millis previous_until) -> void {
  DropShard(shard);
  shards_[shard] = {epoch, previous_until, false, false};
  for (const auto& [id, info] : listed_) {
    if (ShardOfWorker(info) == shard) {
      AddSession(info, shard);
    }
  }
  CheckShardOpen(shard);
}

auto Executor::CloseShard(const std::string& shard) -> void {
  const auto it = shards_.find(shard);
  if (it == shards_.end()) {
    return;
  }
  it->second.is_closed_ = true;
  for (const auto& [id, session] : sessions_) {
    if (session.shard() == shard) {
      UpdateOpen(id);
    }
  }
}

auto Executor::ReopenShard(const std::string& shard) -> void {
  const auto it = shards_.find(shard);
  if (it == shards_.end()) {
    return;
  }
  it->second.is_closed_ = false;
  for (const auto& [id, session] : sessions_) {
    if (session.shard() == shard) {
      UpdateOpen(id);
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
  return it != shards_.end() && it->second.is_open_ && !it->second.is_closed_;
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
                                  state.previous_until_));
}

// The tasks that run on the worker go on; its next owner learns of them from
// the worker. Calls in flight keep their connections and their callers.
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

auto Executor::UpdateOpen(const std::string& worker) -> void {
  const auto it = sessions_.find(worker);
  if (it == sessions_.end()) {
    return;
  }
  const auto& session = it->second;
  const auto listed = listed_.find(worker);
  const auto is_listed_live =
      listed != listed_.end() && !listed->second.is_leaving_;
  const auto is_open =
      IsShardOpen(session.shard()) && is_listed_live &&
      session.phase() == WorkerSession::Phase::kReady &&
      session.consecutive_failures() < kFailuresBeforeClosing &&
      !health_.IsQuarantined(worker, MonotonicMs());
  SchedulerOf(session.info().service_).SetOpen(worker, is_open);
  if (is_open) {
    SchedulePump();
  }
}

auto Executor::CheckShardOpen(const std::string& shard) -> void {
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
      UpdateOpen(id);
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
  // Ends that the keeper has not recorded count as known: they will be told.
  for (const auto& [key, pending] : events_) {
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
    if (state.is_open_ && !state.is_closed_) {
      out.push_back(shard);
    }
  }
  return out;
}

auto Executor::open_workers() const -> std::int64_t {
  std::int64_t count = 0;
  for (const auto& [id, session] : sessions_) {
    count += session.phase() == WorkerSession::Phase::kReady ? 1 : 0;
  }
  return count;
}

auto Executor::running() const -> std::int64_t {
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
      return fmt::format("it runs on worker {}", worker);
    }
    const auto it = schedulers_.find(work.service_);
    const auto reason = it == schedulers_.end() ? WaitReason::kNoOpenWorker
                                                : it->second->Explain(key);
    return fmt::format("it waits in lane {}: {}", LaneName(work.item_.lane_),
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
