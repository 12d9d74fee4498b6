// Executes work on the workers of the shards that this instance owns.
//
//   Executor executor(loop, client, metrics, options, hooks);
//   executor.OpenShard("photo/home-a/0", epoch, previous_expiry);
//   executor.Submit(std::move(work));
//
// The executor keeps a session with each worker, queues and places work with
// one Scheduler per service, and starts it on the workers.
//
// The outcome of a call is reported once, to its `on_outcome_`, and is
// "unknown" if it cannot be determined. The events of a task go to
// `on_task_event_`; the event of its end is resent until the home owner, which
// is the owner of the job's home shard, has recorded it.

#ifndef LENTILSCALE_EXECUTOR_H_
#define LENTILSCALE_EXECUTOR_H_

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lentilscale/call_time_model.h"
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

// A task that is queued, started or has an unrecorded end on this executor.
// The home owner compares these tasks with its job records.
struct KnownTask {
  TaskRef ref_;
  // False while the task is queued.
  bool is_started_ = false;
  std::string worker_;
};

// Queues, places and starts the calls and tasks of one instance.
class Executor {
 public:
  struct Options {
    WorkerSession::Options session_;
    // Timeout of session and start requests, besides the time for which the
    // worker may delay its answer.
    Millis worker_timeout_ms_ = 1000;
    Scheduler::Options scheduler_;
    WorkerHealth::Options health_;
    RetryBudget::Options retry_budget_;
    // Attempts to start a call or task, the first one included.
    std::int64_t max_attempts_ = 3;
    // Items of one team that may be queued per service.
    std::int64_t max_queued_per_team_ = 2000;
  };

  struct Hooks {
    // Returns the time until which this instance may act as a shard owner.
    std::function<Millis()> rights_until_;
    // Called when a worker rejects the epoch of this instance because the shard
    // has another owner.
    std::function<void(const std::string& shard)> on_stale_shard_;
    // Called with each task event that the home owner must record.
    std::function<void(const TaskEvent&)> on_task_event_;
    // Called when each worker of a shard has been claimed or is known to run
    // nothing.
    std::function<void(const std::string& shard)> on_shard_open_;
  };

  Executor(uv_loop_t* loop, HttpClient* client, Metrics* metrics,
           const Options& options, Hooks hooks);

  // Replaces the list of workers that the platform reports.
  auto SetWorkers(const std::vector<WorkerInfo>& workers) -> void;
  auto SetConfiguration(const Configuration& configuration) -> void;
  // Sets how many tasks of a team may run in a shard.
  auto SetUsable(const std::string& team, const std::string& shard,
                 std::int64_t amount) -> void;

  // Claims the workers of a shard under `epoch`. Sessions of the previous
  // owner may stay valid until `previous_expiry`, which is 0 if there was none.
  auto OpenShard(const std::string& shard, std::int64_t epoch,
                 Millis previous_expiry) -> void;
  // Stops placing new work in a shard, in preparation for a hand-over.
  auto PauseShard(const std::string& shard) -> void;
  // Undoes PauseShard.
  auto ResumeShard(const std::string& shard) -> void;
  // Removes a shard that has another owner, and the sessions with its workers.
  auto DropShard(const std::string& shard) -> void;
  // Returns true if work may be placed in the shard.
  auto IsShardOpen(const std::string& shard) const -> bool;
  // Returns true if a start request for a task of the shard is unanswered.
  auto HasUnansweredStarts(const std::string& shard) const -> bool;

  // Queues work. Throws Error(kQueueFull, kUnknownService, kShuttingDown); the
  // queue is also full for a call that would wait until it is too late for it.
  auto Submit(Work work) -> void;
  // Stops the started tasks of the jobs, and removes queued ones without
  // reporting an event.
  auto CancelJobs(const std::vector<std::string>& jobs) -> void;
  // Stops a task. A queued task is reported as dropped at once, a started one
  // as stopped when its worker has stopped it.
  auto StopTask(const std::string& key) -> void;
  // Called when the home owner has recorded the end of task `key`.
  auto OnEventRecorded(const std::string& key) -> void;
  // Resends the end events that have not been recorded yet.
  auto ResendEvents() -> void;

  // Reserves capacity for up to `count` tasks of an all-at-once job, and
  // returns how many fit. Repeating the call with the same id extends the hold.
  auto PlaceHold(const std::string& hold_id, const Work& prototype,
                 std::int64_t count, Millis until) -> std::int64_t;
  auto ReleaseHold(const std::string& hold_id) -> void;

  // Returns the tasks of jobs whose home shard is `home`.
  auto TasksOfHome(const std::string& home) const -> std::vector<KnownTask>;

  // Refuses new work, and returns queued work to its senders as not run.
  auto StartDraining() -> void;
  auto HasNoCalls() const -> bool { return calls_.empty(); }

  // Handles renewals, timeouts, preemption and placement that are due. Must be
  // called every few milliseconds.
  auto Tick(Millis now) -> void;

  // Returns the teams whose queued work or holds wait only for their limit.
  auto LimitDemands() const -> std::vector<LimitDemand>;
  // Returns the free and total slots and the queue length of each service.
  auto Loads() const -> std::vector<ServiceLoad>;
  // Returns the shards in which work may be placed.
  auto OpenShards() const -> std::vector<std::string>;
  auto FindScheduler(const std::string& service) -> Scheduler*;
  auto schedulers() const
      -> const std::map<std::string, std::unique_ptr<Scheduler>, std::less<>>& {
    return schedulers_;
  }
  // Returns the number of workers with an established session.
  auto ready_workers() const -> std::int64_t;
  // Returns the number of started tasks and of all calls, queued ones included.
  auto started_tasks_and_calls() const -> std::int64_t;
  // Returns why work is queued or on which worker it runs, as a text for a
  // person, or "" if the key is unknown.
  auto Explain(const std::string& key) const -> std::string;

 private:
  struct ShardState {
    std::int64_t epoch_ = 0;
    Millis previous_expiry_ms_ = 0;
    // True once every worker has been claimed or is known to run nothing.
    bool is_open_ = false;
    // True while nothing new is placed, for a hand-over.
    bool is_paused_ = false;
  };

  enum class CallPhase {
    kQueued,
    kSent,
    // The request failed without proof that the call did not run; the worker is
    // asked for the outcome.
    kResolving,
  };
  struct CallState {
    Work work_;
    CallPhase phase_ = CallPhase::kQueued;
    std::string worker_;
    Millis sent_ms_ = 0;
    Millis placed_ms_ = 0;
    std::int64_t attempts_ = 0;
    // Incarnation of the worker when the call was sent.
    std::int64_t incarnation_ = 0;
  };

  enum class TaskPhase { kQueued, kStarting, kRunning, kStopping };
  struct TaskState {
    Work work_;
    TaskPhase phase_ = TaskPhase::kQueued;
    std::string worker_;
    // When the worker last confirmed that the task runs.
    Millis confirmed_ms_ = 0;
    std::int64_t attempts_ = 0;
    // Incarnation of the worker that was told to start the task.
    std::int64_t incarnation_ = 0;
  };

  struct HoldState {
    Work prototype_;
    std::int64_t requested_count_ = 0;
    // Reserved places that tasks have taken.
    std::int64_t used_count_ = 0;
    std::int64_t next_key_number_ = 0;
    Millis expiry_ms_ = 0;
    // Scheduler keys of the reserved places that no task has taken yet.
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
  auto FollowAddress(const std::string& worker) -> void;
  auto UpdateWorkerOpen(const std::string& worker) -> void;
  auto MarkShardOpenIfClaimed(const std::string& shard) -> void;

  auto RequestPlacementPass() -> void;
  auto RunPlacementPass() -> void;
  auto Dispatch(const Placement& placement) -> void;
  auto DispatchCall(CallState& call, const Placement& placement) -> void;
  auto DispatchTask(TaskState& task, const Placement& placement) -> void;
  // Returns a request that is invalid once `timeout` has passed.
  auto MakeStartRequest(const Work& work, const WorkerSession& session,
                        Millis timeout) const -> StartRequest;

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
                          bool is_claimed) -> void;
  auto AdoptRunningTask(const std::string& worker, const RunningTask& running)
      -> void;
  auto ApplyEndedTask(const std::string& worker, const EndedTask& ended)
      -> void;
  auto ApplyEndedCall(const std::string& worker, const EndedTask& ended)
      -> void;
  auto RemoveUnlistedWork(const std::string& worker,
                          const SessionAnswer& answer, Millis sent) -> void;
  auto LoseTask(const std::string& key) -> void;
  auto EndWorkOfFormerIncarnation(const std::string& worker) -> void;
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
  CallTimeModel call_time_model_;
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
  // Urgent items for which tasks were preempted. Until the time given, no
  // further tasks are preempted for them.
  std::map<std::string, Millis, std::less<>> preemption_expiry_ms_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_EXECUTOR_H_
