// Executes work on the workers of the shards that this instance owns.
//
//   Executor executor(loop, client, metrics, options, hooks);
//   executor.OpenShard("photo/home-a/0", epoch, previous_expiry);
//   executor.Submit(std::move(work));
//
// It keeps a session on each worker, queues and places work by one Scheduler
// per service, starts it, and reports every end exactly once as far as it can
// be known: a call's end to its `done_`, a task's events to the hook, again and
// again until the job's keeper has recorded them.

#ifndef LENTILSCALE_EXECUTOR_H_
#define LENTILSCALE_EXECUTOR_H_

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lentilscale/configuration.h"
#include "lentilscale/http_client.h"
#include "lentilscale/members.h"
#include "lentilscale/metrics.h"
#include "lentilscale/retry_budget.h"
#include "lentilscale/size_model.h"
#include "lentilscale/work.h"
#include "lentilscale/worker_health.h"
#include "lentilscale/worker_session.h"

namespace lentilscale {

// A task that an executor knows, for the keeper's reconciliation.
struct KnownTask {
  TaskRef ref_;
  // False while it waits in the queue.
  bool is_started_ = false;
  std::string worker_;
};

// The executor of one instance.
class Executor {
 public:
  struct Options {
    WorkerSession::Options session_;
    Millis worker_timeout_ms_ = 1000;
    Scheduler::Options scheduler_;
    WorkerHealth::Options health_;
    RetryBudget::Options retry_budget_;
    std::int64_t max_attempts_ = 3;
    std::int64_t max_queued_per_team_ = 2000;
  };

  struct Hooks {
    // The time until which this instance's rights hold.
    std::function<Millis()> rights_until_;
    // A worker refused this instance's epoch: the shard has another owner.
    std::function<void(const std::string& shard)> on_stale_shard_;
    // A task event that the keeper must learn of.
    std::function<void(const TaskEvent&)> on_task_event_;
    // All workers of a shard have been claimed, or are known to be empty.
    std::function<void(const std::string& shard)> on_shard_open_;
  };

  Executor(uv_loop_t* loop, HttpClient* client, Metrics* metrics,
           const Options& options, Hooks hooks);

  // Takes the platform's list and the configuration.
  auto SetWorkers(const std::vector<WorkerInfo>& workers) -> void;
  auto SetConfiguration(const Configuration& configuration) -> void;
  auto SetUsable(const std::string& team, const std::string& shard,
                 std::int64_t amount) -> void;

  // Claims the workers of a shard under `epoch`. Sessions of the previous
  // owner may live until `previous_expiry`.
  auto OpenShard(const std::string& shard, std::int64_t epoch,
                 Millis previous_expiry) -> void;
  // Stops placing in a shard, for a hand-over.
  auto PauseShard(const std::string& shard) -> void;
  // Undoes CloseShard.
  auto ResumeShard(const std::string& shard) -> void;
  // Forgets a shard that has another owner.
  auto DropShard(const std::string& shard) -> void;
  auto IsShardOpen(const std::string& shard) const -> bool;
  // True if a start was sent in the shard and has not been answered.
  auto HasUnansweredStarts(const std::string& shard) const -> bool;

  // Queues work. Throws Error(kQueueFull, kUnknownService, kShuttingDown).
  auto Submit(Work work) -> void;
  // Stops or drops all tasks of jobs, silently for queued ones.
  auto CancelJobs(const std::vector<std::string>& jobs) -> void;
  // Stops one task; its end is reported as stopped.
  auto StopTask(const std::string& key) -> void;
  // The keeper has recorded the event of this key.
  auto OnEventRecorded(const std::string& key) -> void;
  // Sends the events that are not recorded yet again.
  auto ResendEvents() -> void;

  // Reserves room for up to `count` tasks of an all-at-once job; returns how
  // many fit. Repeating with the same id extends the reservation.
  auto PlaceHold(const std::string& hold_id, const Work& prototype,
                 std::int64_t count, Millis until) -> std::int64_t;
  auto ReleaseHold(const std::string& hold_id) -> void;

  // Returns the tasks of jobs whose home is `home`.
  auto TasksOfHome(const std::string& home) const -> std::vector<KnownTask>;

  // Returns queued work that has not started to its sender as "not run", and
  // refuses new work.
  auto StartDraining() -> void;
  auto HasNoCalls() const -> bool { return calls_.empty(); }

  // Does what is due; called every few milliseconds.
  auto Tick(Millis now) -> void;

  // Returns the teams that wait, here or for a hold, only for their limit.
  auto LimitDemands() const -> std::vector<LimitDemand>;
  auto Loads() const -> std::vector<ServiceLoad>;
  auto OpenShards() const -> std::vector<std::string>;
  auto FindScheduler(const std::string& service) -> Scheduler*;
  auto schedulers() const
      -> const std::map<std::string, std::unique_ptr<Scheduler>, std::less<>>& {
    return schedulers_;
  }
  auto ready_workers() const -> std::int64_t;
  auto started_tasks_and_calls() const -> std::int64_t;
  // Returns why work waits or where it runs, or "" if it is not known here.
  auto Explain(const std::string& key) const -> std::string;

 private:
  struct ShardState {
    std::int64_t epoch_ = 0;
    Millis previous_expiry_ms_ = 0;
    bool is_open_ = false;
    bool is_paused_ = false;
  };

  enum class CallPhase { kQueued, kSent, kResolving };
  struct CallState {
    Work work_;
    CallPhase phase_ = CallPhase::kQueued;
    std::string worker_;
    Millis sent_ms_ = 0;
    Millis placed_ms_ = 0;
    std::int64_t attempts_ = 0;
    // Run of the worker to which the call was sent.
    std::int64_t incarnation_ = 0;
  };

  enum class TaskPhase { kQueued, kStarting, kRunning, kStopping };
  struct TaskState {
    Work work_;
    TaskPhase phase_ = TaskPhase::kQueued;
    std::string worker_;
    Millis confirmed_ms_ = 0;
    std::int64_t attempts_ = 0;
  };

  struct HoldState {
    Work prototype_;
    std::int64_t requested_count_ = 0;
    std::int64_t used_count_ = 0;
    std::int64_t next_key_number_ = 0;
    Millis expiry_ms_ = 0;
    std::vector<std::string> unused_keys_;
  };

  struct UnrecordedEvent {
    TaskEvent event_;
    std::string worker_;
  };

  auto HasRights() const -> bool;
  auto SchedulerOf(const std::string& service) -> Scheduler&;
  auto ShardOfWorker(const WorkerInfo& info) const -> std::string;
  auto AddSession(const WorkerInfo& info, const std::string& shard) -> void;
  auto RemoveSession(const std::string& worker) -> void;
  auto UpdateWorkerOpen(const std::string& worker) -> void;
  auto MarkShardOpenIfClaimed(const std::string& shard) -> void;

  auto RequestPlacementPass() -> void;
  auto RunPlacementPass() -> void;
  auto Dispatch(const Placement& placement) -> void;
  auto DispatchCall(CallState& call, const Placement& placement) -> void;
  auto DispatchTask(TaskState& task, const Placement& placement) -> void;
  auto MakeStartRequest(const Work& work, const WorkerSession& session) const
      -> StartRequest;

  auto OnCallResult(const std::string& key, std::int64_t attempt,
                    const HttpResult& result) -> void;
  auto OnStartResult(const std::string& key, const std::string& worker,
                     const HttpResult& result) -> void;
  auto RetryCall(const std::string& key, ErrorCode code,
                 const std::string& reason) -> void;
  auto RequeueTask(const std::string& key) -> void;
  auto FinishCall(const std::string& key, CallOutcome outcome) -> void;
  auto FinishTask(const std::string& key, TaskEvent event) -> void;
  auto ReleaseAllocation(const Work& work) -> void;

  auto RenewSession(const std::string& worker) -> void;
  auto OnSessionResult(const std::string& worker, const SessionRequest& request,
                       Millis sent, const HttpResult& result) -> void;
  auto ApplySessionAnswer(const std::string& worker,
                          const SessionAnswer& answer, Millis sent,
                          bool is_first) -> void;
  auto AdoptRunningTask(const std::string& worker, const RunningTask& running)
      -> void;
  auto ApplyEndedTask(const std::string& worker, const EndedTask& ended)
      -> void;
  auto ApplyEndedCall(const std::string& worker, const EndedTask& ended)
      -> void;
  auto RemoveUnlistedWork(const std::string& worker,
                          const SessionAnswer& answer, Millis sent) -> void;
  auto FailCallsOfOldIncarnation(const std::string& worker) -> void;
  auto OnWorkerLost(const std::string& worker) -> void;
  auto UpdateQuarantine(const std::string& worker, const std::string& group,
                        bool is_ok) -> void;

  auto RenewDueSessions(Millis now) -> void;
  auto ExpireQueued(Millis now) -> void;
  auto ExpireCalls(Millis now) -> void;
  auto PreemptForUrgent(Millis now) -> void;
  auto ExtendHolds(Millis now) -> void;
  auto StopTasksOverLimit() -> void;
  auto RecordQueueWait(const Work& work, Millis now) -> void;

  uv_loop_t* loop_;
  HttpClient* http_client_;
  Metrics* metrics_;
  Options options_;
  Hooks hooks_;
  Configuration configuration_;
  RetryBudget retry_budget_;
  SizeModel size_model_;
  WorkerHealth health_;
  bool is_draining_ = false;
  bool is_pass_requested_ = false;
  Millis next_limit_check_ms_ = 0;
  std::map<std::string, WorkerInfo, std::less<>> listed_workers_;
  std::map<std::string, ShardState, std::less<>> shards_;
  std::map<std::string, WorkerSession, std::less<>> sessions_;
  std::map<std::string, std::unique_ptr<Scheduler>, std::less<>> schedulers_;
  std::map<std::string, CallState, std::less<>> calls_;
  std::map<std::string, TaskState, std::less<>> tasks_;
  std::map<std::string, HoldState, std::less<>> holds_;
  std::map<std::string, UnrecordedEvent, std::less<>> unrecorded_events_;
  // Urgent items for which room is being made, until when.
  std::map<std::string, Millis, std::less<>> preemption_expiry_ms_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_EXECUTOR_H_
