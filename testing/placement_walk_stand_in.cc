// Sizes and times are those of the users' smaller sites, with fewer workers.

#include "testing/placement_walk_stand_in.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "fleet/store_keys.h"
#include "lentilscale/clock.h"

namespace lentilscale::fleet {
namespace {

constexpr auto kWorkerPrefix = "w/";
constexpr Millis kTickMs = 10;
constexpr Millis kLeaseMs = 5000;
// Workers shorten longer leases.
constexpr Millis kMaxLeaseMs = 6000;
constexpr Millis kStopMs = 900;
constexpr Millis kHeartbeatMs = 1500;
constexpr Millis kGangWaitMs = 3000;
constexpr Millis kTicketMs = 1500;
constexpr Millis kOrderTimeoutMs = 500;
constexpr Millis kAdviceTimeoutMarginMs = 1500;
constexpr int kInstances = 6;
constexpr int kTeams = 3;
// The traffic comes after the workers have been claimed; jobs go on afterwards.
constexpr Millis kTrafficBeginsMs = 2000;
constexpr Millis kTrafficEndsMs = 40000;
constexpr Millis kEndMs = 54000;
// Bounds of the rule LOST.
constexpr Millis kJudgePeriodMs = 100;
constexpr Millis kWaitBoundMs = 3000;
constexpr Millis kCalmBeforeMs = 4000;
constexpr Millis kLastRunBoundMs = 6000;

// The kinds of jobs, after those of the users' sites.
struct JobKind {
  const char* queue_;
  const char* service_;
  int priority_;
  AdvicePolicy advice_;
  // Share of the workers that the advice service allows.
  double allowed_share_;
  int max_attempts_;
  double stretch_;
  // Jobs a minute.
  int rate_;
};
constexpr auto kKinds = std::to_array<JobKind>({
    {"eta", "route", 0, {21, 0.3, kTicketMs}, 0.7, 3, 1.5, 240},
    {"plan", "route", 2, {170, 2.4, kTicketMs}, 0.45, 2, 4, 40},
    {"video", "safety", 1, {490, 7, kTicketMs}, 0.4, 3, 2.2, 30},
    {"watch", "route", 1, {560, 8, kTicketMs}, 0.4, 2, 2.2, 24},
    {"face", "safety", 2, {140, 2, kTicketMs}, 0.45, 2, 4, 40},
});

auto KindOf(const std::string& queue) -> const JobKind& {
  return *std::find_if(kKinds.begin(), kKinds.end(),
                       [&](const auto& kind) { return kind.queue_ == queue; });
}

// FNV-1a, so that what is allowed doesn't depend on the library.
auto Hash(const std::string& text) -> std::uint32_t {
  std::uint32_t hash = 2166136261U;
  for (const auto c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  }
  hash ^= hash >> 15U;
  hash *= 2246822519U;
  return hash ^ (hash >> 13U);
}

auto StepName(const TaskId& id) -> std::string {
  return fmt::format("{}.{}.{}", id.job_, id.occurrence_, id.step_);
}

}  // namespace

// The workers.

auto PlacementWorker::TakeLease(Millis end_ms) -> void {
  deadline_ms_ =
      std::max(deadline_ms_, std::min(end_ms, ClockMs() + kMaxLeaseMs));
}

auto PlacementWorker::ClockMs() const -> Millis {
  return 1 + static_cast<Millis>(
                 static_cast<double>(BootMs() - life_began_ms_) * clock_rate_);
}

auto PlacementWorker::Used() const -> Resources {
  Resources used;
  for (const auto& [task, run] : running_) {
    used += run.step_->demand_;
  }
  return used;
}

auto PlacementGateway::Deliver(
    const std::string& worker_id, bool may_be_lost,
    std::function<OrderResult(PlacementWorker&)> order, OrderCallback on_result)
    -> void {
  const auto callback = [on_result = std::move(on_result),
                         sent_ms = BootMs()](OrderResult result) {
    result.sent_ms_ = sent_ms;
    on_result(result);
  };
  auto& worker = world_->worker(worker_id);
  if (worker.is_down_) {
    const auto status =
        worker.is_gone_ ? WorkerStatus::kWrongWorker : WorkerStatus::kNotSent;
    world_->Later(world_->Between(1, 5), [callback, status] {
      callback({status, 0});
    });
    return;
  }
  const auto born_ms = worker.entry_.incarnation_;
  const auto carry_out = [this, worker_id, born_ms, order]() -> OrderResult {
    auto& target = world_->worker(worker_id);
    return target.is_down_ || target.entry_.incarnation_ != born_ms
               ? OrderResult{WorkerStatus::kUnknown, 0}
               : order(target);
  };
  if (worker.is_cut_ || (may_be_lost && world_->Chance(worker.start_loss_))) {
    if (!worker.is_cut_ && world_->Chance(0.6)) {
      world_->Later(world_->Between(0, 3000), [carry_out] { carry_out(); });
    }
    world_->Later(kOrderTimeoutMs, [callback] {
      callback({WorkerStatus::kUnknown, 0});
    });
    return;
  }
  world_->Later(world_->Between(1, 9), [this, carry_out, callback] {
    const auto result = carry_out();
    world_->Later(world_->Between(1, 9),
                  [callback, result] { callback(result); });
  });
}

auto PlacementGateway::Start(const WorkerEntry& worker, const StartOrder& order,
                             OrderCallback callback) -> void {
  Deliver(
      worker.id_, true,
      [this, order](PlacementWorker& target) -> OrderResult {
        const auto clock = target.ClockMs();
        const auto& ref = order.run_;
        if (order.fencing_token_ < target.token_) {
          return {WorkerStatus::kFenced, clock};
        }
        target.token_ = order.fencing_token_;
        if (order.worker_lease_end_ms_ <= clock) {
          return {WorkerStatus::kLeaseExpired, clock};
        }
        target.TakeLease(order.worker_lease_end_ms_);
        if (const auto it = target.running_.find(ref.task_);
            it != target.running_.end()) {
          return {it->second.run_ == ref.run_ ? WorkerStatus::kOk
                                              : WorkerStatus::kStaleRun,
                  clock};
        }
        if (const auto it = target.closed_runs_.find(ref.task_);
            it != target.closed_runs_.end() && it->second >= ref.run_) {
          return {WorkerStatus::kStaleRun, clock};
        }
        const auto prefix = StepName(*TaskId::FromString(ref.task_)) + "|" +
                            target.entry_.id_ + "|" +
                            std::to_string(target.entry_.incarnation_) + "|";
        if (!order.ticket_.starts_with(prefix) ||
            std::stoll(order.ticket_.substr(prefix.size())) < BootMs()) {
          return {WorkerStatus::kBadTicket, clock};
        }
        world_->BeginRun(target, ref);
        return {WorkerStatus::kOk, clock};
      },
      std::move(callback));
}

auto PlacementGateway::Stop(const WorkerEntry& worker, const RunRef& run,
                            std::int64_t fencing_token, OrderCallback callback)
    -> void {
  Deliver(
      worker.id_, true,
      [this, run, fencing_token](PlacementWorker& target) -> OrderResult {
        const auto clock = target.ClockMs();
        if (fencing_token < target.token_) {
          return {WorkerStatus::kFenced, clock};
        }
        target.token_ = fencing_token;
        auto& closed = target.closed_runs_[run.task_];
        closed = std::max(closed, run.run_);
        const auto it = target.running_.find(run.task_);
        if (it != target.running_.end() && it->second.run_ <= run.run_) {
          it->second.end_ = RunEnd::kStopped;
          it->second.ends_ms_ =
              BootMs() + world_->Between(0, static_cast<int>(kStopMs));
        }
        return {WorkerStatus::kOk, clock};
      },
      std::move(callback));
}

auto PlacementGateway::PollHold(const std::string& worker_id,
                                std::int64_t born_ms, Millis sent_ms,
                                Millis until_ms, HoldCallback callback)
    -> void {
  auto& target = world_->worker(worker_id);
  HoldResult result;
  result.sent_ms_ = sent_ms;
  if (!target.IsReachable() || target.entry_.incarnation_ != born_ms) {
    result.status_ = WorkerStatus::kUnknown;
    world_->Later(target.is_cut_ ? kOrderTimeoutMs : 1,
                  [callback, result] { callback(result); });
    return;
  }
  if (target.ended_.empty() && BootMs() < until_ms) {
    world_->Later(5, [this, worker_id, born_ms, sent_ms, until_ms, callback] {
      PollHold(worker_id, born_ms, sent_ms, until_ms, callback);
    });
    return;
  }
  result.status_ = WorkerStatus::kOk;
  result.incarnation_ = target.entry_.incarnation_;
  result.worker_clock_ms_ = target.ClockMs();
  result.ended_ = target.ended_;
  for (const auto& [task, run] : target.running_) {
    result.running_.push_back({{task, run.run_}, "", 0, 0});
  }
  world_->Later(world_->Between(1, 9),
                [callback, result] { callback(result); });
}

auto PlacementGateway::Hold(const WorkerEntry& worker, const HoldOrder& order,
                            HoldCallback callback) -> void {
  if (world_->gap() == PlacementGap::kHoldAnswers && world_->Chance(0.01)) {
    return;
  }
  world_->Later(
      world_->Between(1, 9), [this, id = worker.id_, order, sent_ms = BootMs(),
                              callback = std::move(callback)] {
        auto& target = world_->worker(id);
        HoldResult result;
        result.sent_ms_ = sent_ms;
        if (target.is_down_) {
          result.status_ = target.is_gone_ ? WorkerStatus::kWrongWorker
                                           : WorkerStatus::kNotSent;
          callback(result);
          return;
        }
        if (!target.is_cut_) {
          if (order.fencing_token_ < target.token_) {
            result.status_ = WorkerStatus::kFenced;
            callback(result);
            return;
          }
          target.token_ = order.fencing_token_;
          target.TakeLease(order.worker_lease_end_ms_);
          while (!target.ended_.empty() &&
                 target.ended_.front().number_ <= order.acknowledged_end_) {
            target.ended_.erase(target.ended_.begin());
          }
        }
        PollHold(id, target.entry_.incarnation_, sent_ms,
                 BootMs() + order.wait_ms_, callback);
      });
}

// The advice service takes the calls of one instance in turn. It names no
// worker that is not up.
auto PlacementAdvice::RequestAdvice(const std::string& step,
                                    const std::vector<std::string>& workers,
                                    Millis expected_ms, Callback callback)
    -> void {
  if (world_->gap() == PlacementGap::kAdviceAnswers && world_->Chance(0.05)) {
    return;
  }
  if (is_down_) {
    world_->Later(expected_ms + kAdviceTimeoutMarginMs,
                  [callback] { callback({}); });
    return;
  }
  const auto* queue = world_->QueueOf(step);
  const auto& policy = *queue->advice_;
  free_at_ms_ = std::max(free_at_ms_, BootMs()) +
                static_cast<Millis>(policy.decide_ms_ +
                                    policy.per_worker_ms_ *
                                        static_cast<double>(workers.size()));
  world_->Later(free_at_ms_ - BootMs() + 5, [this, step, workers, callback] {
    AdviceResult result;
    result.is_answered_ = true;
    result.valid_ms_ = kTicketMs;
    for (const auto& id : workers) {
      const auto& worker = world_->worker(id);
      if (!worker.is_down_ && world_->IsAllowed(step, id)) {
        result.tickets_.push_back({id, fmt::format("{}|{}|{}|{}", step, id,
                                                   worker.entry_.incarnation_,
                                                   BootMs() + kTicketMs)});
      }
    }
    world_->Later(world_->Between(1, 16),
                  [callback, result] { callback(result); });
  });
}

// The world.

PlacementWorld::PlacementWorld(uv_loop_t* loop, unsigned seed, PlacementGap gap)
    : SimulatedEvents(loop, seed),
      loop_(loop),
      seed_(seed),
      gap_(gap),
      store_(this),
      gateway_(this),
      config_(std::make_shared<FleetConfig>()),
      began_ms_(BootMs()) {
  for (const auto& kind : kKinds) {
    Queue queue;
    queue.name_ = kind.queue_;
    queue.service_ = kind.service_;
    queue.priority_ = kind.priority_;
    queue.max_attempts_ = kind.max_attempts_;
    queue.stretch_ = kind.stretch_;
    queue.advice_ = kind.advice_;
    config_->queues_.push_back(queue);
  }
  for (auto i = 0; i < kTeams; ++i) {
    Team team;
    team.name_ = fmt::format("team-{}", i);
    team.limit_ = {0, Between(200, 600) * 1000, 0, Between(20, 60)};
    config_->teams_.push_back(team);
  }
  for (auto i = 0; i < kInstances; ++i) {
    instances_.push_back(std::make_unique<PlacementAdvice>(this));
  }
  for (auto i = 0; i < 16; ++i) {
    AddWorker("route");
  }
  for (auto i = 0; i < 8; ++i) {
    AddWorker("safety");
  }
  TakeOver();
  next_submit_ms_ = began_ms_ + kTrafficBeginsMs;
  next_fault_ms_ = next_submit_ms_ + 2000;
  tick_ = std::make_unique<RepeatingTimer>(loop, kTickMs, [this] { Tick(); });
}

auto PlacementWorld::QueueOf(const std::string& name) const -> const Queue* {
  return config_->FindQueueByName(
      jobs_.at(name.substr(0, name.find('.'))).record_.queue_);
}

auto PlacementWorld::IsAllowed(const std::string& step_name,
                               const std::string& worker) const -> bool {
  return Hash(fmt::format("{} {} {}", seed_, step_name, worker)) % 1000 <
         KindOf(QueueOf(step_name)->name_).allowed_share_ * 1000;
}

auto PlacementWorld::AddWorker(const std::string& service) -> void {
  const auto id = fmt::format("{}-{}", service, workers_.size());
  auto& worker = workers_[id];
  worker.entry_.id_ = id;
  worker.entry_.service_ = service;
  worker.entry_.address_ = id;
  BeginLife(worker);
}

// A new life may be of another kind and size.
auto PlacementWorld::BeginLife(PlacementWorker& worker) -> void {
  const auto entry = worker.entry_;
  worker = PlacementWorker{};
  worker.entry_ = entry;
  worker.clock_rate_ = Chance(0.5) ? kMinWorkerClockRate : 1;
  worker.entry_.incarnation_ = WallMs() * 100 + ++last_born_ms_ % 100;
  worker.entry_.is_draining_ = false;
  worker.entry_.labels_ = {Chance(0.6) ? "a" : "b",
                           fmt::format("r-{}", Between(0, 3))};
  static constexpr int kSizes[] = {16000, 32000, 32000, 64000};
  worker.entry_.capacity_ = entry.service_ == "route"
                                ? Resources{0, kSizes[Between(0, 3)], 65536, 0}
                                : Resources{0, 64000, 131072, 8};
  worker.life_began_ms_ = BootMs();
  worker.sound_since_ms_ = BootMs();
  WriteEntry(worker);
}

auto PlacementWorld::WriteEntry(PlacementWorker& worker) -> void {
  entries_.push_back(worker.entry_);
  store_.Put(kWorkerPrefix + worker.entry_.id_,
             std::to_string(entries_.size() - 1));
}

auto PlacementWorld::TakeOver() -> void {
  ++epoch_;
  store_.Put(kEpochKey, std::to_string(epoch_));
  const auto revision = store_.Put(kOwnerKey, std::to_string(epoch_));
  owner_ = std::make_unique<OwnerProcess>();
  owner_->advice_ = std::make_unique<AdviceBalancer>(
      instances_[0].get(),
      [this](const std::string& address, const AdviceRequest& request,
             AdviceGateway::Callback callback) {
        const auto number = static_cast<std::size_t>(std::stoi(address));
        Later(Between(1, 9), [this, number, request, callback] {
          instances_[number]->RequestAdvice(request.step_name_,
                                            request.worker_ids_,
                                            request.expected_ms_, callback);
        });
      });
  DispatcherOptions options;
  options.lease_ms_ = kLeaseMs;
  options.max_lease_ms_ = kMaxLeaseMs;
  options.max_stop_ms_ = kStopMs;
  options.heartbeat_ms_ = kHeartbeatMs;
  options.worker_prefix_ = kWorkerPrefix;
  DispatcherHooks hooks;
  hooks.has_rights_ = [] { return true; };
  hooks.step_down_ = [this](const std::string& reason) {
    Violate("the only owner steps down: " + reason);
  };
  hooks.config_ = [this] { return config_; };
  hooks.parse_worker_ =
      [this](const std::string&,
             const std::string& text) -> absl::StatusOr<WorkerEntry> {
    return entries_[static_cast<std::size_t>(std::stoi(text))];
  };
  owner_->dispatcher_ = std::make_unique<Dispatcher>(
      loop_, &store_, &gateway_, owner_->advice_.get(), &owner_->metrics_,
      OwnerClaim{epoch_, revision, BootMs(), {}}, options, std::move(hooks));
}

auto PlacementWorld::Violate(const std::string& text) -> void {
  violations_.push_back(
      fmt::format("seed {}: at {} ms {}", seed_, BootMs() - began_ms_, text));
}

auto PlacementWorld::BeginRun(PlacementWorker& worker, const RunRef& ref)
    -> void {
  ++starts_;
  const auto id = *TaskId::FromString(ref.task_);
  const auto& job = jobs_.at(id.job_);
  PlacementRun run;
  run.run_ = ref.run_;
  run.step_ = &job.record_.steps_[static_cast<std::size_t>(id.step_)];
  run.step_name_ = StepName(id);
  run.team_ = job.record_.team_;
  run.arrived_ms_ = BootMs();
  run.work_ms_ = run.step_->estimate_ms_ * Between(60, 180) / 100;
  if (run.step_->is_long_running_) {
    run.work_ms_ = Chance(0.3) ? Between(500, 12000) : kNeverMs;
    run.end_ = RunEnd::kFailed;
  } else if (job.is_hopeless_ || Chance(0.04)) {
    run.work_ms_ = Between(50, 400);
    run.end_ = RunEnd::kFailed;
  }
  if (worker.is_failing_) {
    run.work_ms_ = 30;
    run.end_ = RunEnd::kFailed;
  }
  run.ends_ms_ = run.step_->is_gang_ ? 0 : BootMs() + run.work_ms_;
  if (IsRunning(ref.task_)) {
    Violate(
        fmt::format("{} runs twice, now on {}", ref.task_, worker.entry_.id_));
  }
  worker.running_[ref.task_] = run;
  if (!worker.Used().FitsIn(worker.entry_.capacity_)) {
    Violate(
        fmt::format("{} is overfilled by {}", worker.entry_.id_, ref.task_));
  }
  const auto of_step = std::count_if(
      worker.running_.begin(), worker.running_.end(), [&](const auto& entry) {
        return entry.second.step_name_ == run.step_name_;
      });
  if (run.step_->max_per_worker_ > 0 && of_step > run.step_->max_per_worker_) {
    Violate(fmt::format("{} runs too many tasks of {}", worker.entry_.id_,
                        run.step_name_));
  }
}

auto PlacementWorld::EndRun(PlacementWorker& worker, const std::string& task,
                            RunEnd end) -> void {
  const auto run = worker.running_.at(task);
  worker.running_.erase(task);
  auto& closed = worker.closed_runs_[task];
  closed = std::max(closed, run.run_);
  worker.ended_.push_back({worker.next_end_++, {task, run.run_}, end, ""});
  const auto id = *TaskId::FromString(task);
  auto& job = jobs_.at(id.job_);
  job.last_run_ended_ms_[task] = BootMs();
  if (end == RunEnd::kDone) {
    const auto first = run.step_->is_gang_ ? 0 : id.index_;
    const auto last = run.step_->is_gang_ ? run.step_->count_ : id.index_ + 1;
    for (auto i = first; i < last; ++i) {
      job.done_tasks_.insert(TaskId{id.job_, 0, id.step_, i}.ToString());
    }
  }
}

auto PlacementWorld::Disturb(PlacementWorker& worker) -> void {
  worker.sound_since_ms_ = kNeverMs;
  last_fault_ms_ = BootMs();
}

auto PlacementWorld::CauseFault() -> void {
  auto it = workers_.begin();
  std::advance(it, Between(0, static_cast<int>(workers_.size()) - 1));
  auto& worker = it->second;
  const auto settle = [this, &worker](auto clear) {
    return [this, &worker, born_ms = worker.entry_.incarnation_, clear] {
      if (worker.entry_.incarnation_ == born_ms) {
        clear();
        worker.sound_since_ms_ = BootMs();
      }
      last_fault_ms_ = BootMs();
    };
  };
  const auto fault = Between(0, 9);
  if (worker.is_down_ || worker.sound_since_ms_ == kNeverMs) {
    return;
  }
  switch (fault) {
    case 0:
    case 1: {
      Disturb(worker);
      worker.is_down_ = true;
      worker.running_.clear();
      // Some never return, and a new worker comes in their place.
      if (Chance(0.3)) {
        worker.is_gone_ = true;
        Later(3 * kHeartbeatMs, [this, &worker] {
          store_.Remove(kWorkerPrefix + worker.entry_.id_);
        });
        Later(Between(500, 3000),
              [this, service = worker.entry_.service_] { AddWorker(service); });
      } else {
        Later(Between(100, 4000), [this, &worker] {
          BeginLife(worker);
          last_fault_ms_ = BootMs();
        });
      }
      break;
    }
    case 2:
      Disturb(worker);
      worker.entry_.is_draining_ = true;
      WriteEntry(worker);
      Later(Between(2500, 7000), [this, &worker] {
        worker.running_.clear();
        worker.is_down_ = true;
        worker.is_gone_ = true;
        store_.Remove(kWorkerPrefix + worker.entry_.id_);
        AddWorker(worker.entry_.service_);
        last_fault_ms_ = BootMs();
      });
      break;
    case 3:
      Disturb(worker);
      worker.is_cut_ = true;
      Later(Between(500, 7000), settle([&worker] { worker.is_cut_ = false; }));
      break;
    case 4:
      Disturb(worker);
      worker.is_failing_ = true;
      Later(Between(1000, 6000),
            settle([&worker] { worker.is_failing_ = false; }));
      break;
    case 5:
      Disturb(worker);
      worker.start_loss_ = 0.5;
      Later(Between(1000, 5000), settle([&worker] { worker.start_loss_ = 0; }));
      break;
    case 6:
      last_fault_ms_ = BootMs();
      owner_.reset();
      Later(Between(300, 2000), [this] {
        TakeOver();
        last_fault_ms_ = BootMs();
      });
      break;
    case 7:
      last_fault_ms_ = BootMs();
      store_.is_down_ = true;
      Later(Between(300, 4000), [this] {
        store_.is_down_ = false;
        last_fault_ms_ = BootMs();
      });
      break;
    case 8: {
      last_fault_ms_ = BootMs();
      auto& advice =
          *instances_[static_cast<std::size_t>(Between(0, kInstances - 1))];
      advice.is_down_ = true;
      Later(Between(500, 4000), [this, &advice] {
        advice.is_down_ = false;
        last_fault_ms_ = BootMs();
      });
      break;
    }
    default: {
      // The configuration changes while it is in use.
      auto changed = std::make_shared<FleetConfig>(*config_);
      for (auto& team : changed->teams_) {
        team.limit_.cpu_milli_ = Between(200, 600) * 1000;
      }
      config_ = changed;
    }
  }
}

auto PlacementWorld::Submit() -> void {
  auto total = 0;
  for (const auto& kind : kKinds) {
    total += kind.rate_;
  }
  next_submit_ms_ += 60000 / total;
  auto drawn = Between(0, total - 1);
  const auto* kind = &kKinds.front();
  for (const auto& other : kKinds) {
    kind = &other;
    if ((drawn -= other.rate_) < 0) {
      break;
    }
  }
  const std::string queue = kind->queue_;
  const auto id = fmt::format("{:016x}", jobs_.size() + 1);
  auto& job = jobs_[id];
  auto& record = job.record_;
  record.id_ = id;
  record.queue_ = queue;
  record.team_ = fmt::format("team-{}", Between(0, kTeams - 1));
  record.accepted_ms_ = WallMs();
  job.submitted_ms_ = BootMs();
  job.is_hopeless_ = Chance(0.05);
  const auto is_small = queue == "eta" || queue == "plan";
  for (auto s = 0; s < (is_small ? Between(1, 2) : 1); ++s) {
    Step step;
    if (queue == "eta") {
      step.count_ = Between(1, 8);
      step.demand_ = {0, Between(1000, 6000), Between(1000, 6000), 0};
      step.estimate_ms_ = Between(200, 1500);
    } else if (queue == "plan") {
      step.count_ = Between(1, 12);
      step.demand_ = {0, Between(3000, 14000), Between(3000, 14000), 0};
      step.estimate_ms_ = Between(1500, 7000);
    } else if (queue == "video") {
      static constexpr int kAccelerators[] = {2, 4, 8, 8};
      step.count_ = Between(1, 2);
      step.demand_ = {0, 31000, 60000, kAccelerators[Between(0, 3)]};
      step.estimate_ms_ = Between(1000, 6000);
      step.is_gang_ = true;
    } else if (queue == "watch") {
      step.count_ = Between(1, 6);
      step.demand_ = {0, Between(4000, 15000), Between(5000, 30000), 0};
      step.estimate_ms_ = 400;
      step.is_long_running_ = true;
      step.max_per_worker_ = Chance(0.6) ? Between(1, 2) : 0;
    } else {
      step.count_ = Between(1, 8);
      step.demand_ = {0, 5600, 11000, 1};
      step.estimate_ms_ = Between(800, 4000);
    }
    if (Chance(0.12) && step.max_per_worker_ == 0) {
      step.max_per_worker_ = Between(1, 2);
    }
    if (Chance(0.1)) {
      step.required_label_ = "a";
    }
    if (s > 0) {
      step.after_ = {s - 1};
    }
    record.steps_.push_back(step);
  }
  const auto revision = store_.Put(JobKey(id), EncodeJob(record));
  if (Chance(0.8) && owner_ != nullptr) {
    Later(Between(1, 10), [this, &record, revision] {
      if (owner_ != nullptr) {
        owner_->dispatcher_->AddJob(record, revision);
      }
    });
  }
  if (queue == "watch") {
    Later(Between(4000, 30000), [this, id] { Cancel(id); });
  } else if (Chance(0.05)) {
    Later(Between(0, 6000), [this, id] { Cancel(id); });
  }
}

auto PlacementWorld::Cancel(const std::string& id) -> void {
  jobs_.at(id).is_cancelled_ = true;
  store_.Put(CancelKey(id), "{}");
}

// A gang works once all its members of one run are there, and ends when one of
// them does.
auto PlacementWorld::AdvanceGangs() -> void {
  struct Member {
    PlacementWorker* worker_;
    std::string task_;
  };
  std::map<std::pair<std::string, std::int64_t>, std::vector<Member>> gangs;
  for (auto& [id, worker] : workers_) {
    for (auto& [task, run] : worker.running_) {
      if (run.step_->is_gang_) {
        gangs[{run.step_name_, run.run_}].push_back({&worker, task});
      }
    }
  }
  for (auto& [key, members] : gangs) {
    auto& first = members[0].worker_->running_.at(members[0].task_);
    const auto is_whole =
        static_cast<int>(members.size()) == first.step_->count_;
    const auto has_begun =
        std::any_of(members.begin(), members.end(), [](const Member& member) {
          const auto& run = member.worker_->running_.at(member.task_);
          return run.ends_ms_ != 0 && run.end_ != RunEnd::kStopped;
        });
    for (auto& member : members) {
      auto& run = member.worker_->running_.at(member.task_);
      if (!is_whole && has_begun && run.end_ != RunEnd::kStopped) {
        run.end_ = RunEnd::kBroken;
        run.ends_ms_ = BootMs();
      } else if (is_whole && run.ends_ms_ == 0) {
        run.ends_ms_ = BootMs() + first.work_ms_;
        run.end_ = first.end_;
      } else if (run.ends_ms_ == 0 &&
                 BootMs() - run.arrived_ms_ > kGangWaitMs) {
        run.end_ = RunEnd::kGangIncomplete;
        run.ends_ms_ = BootMs();
      }
    }
  }
}

auto PlacementWorld::TickWorker(PlacementWorker& worker) -> void {
  if (worker.is_down_) {
    return;
  }
  const auto now = BootMs();
  std::vector<std::pair<std::string, RunEnd>> over;
  for (const auto& [task, run] : worker.running_) {
    if (worker.ClockMs() > worker.deadline_ms_) {
      over.emplace_back(task, RunEnd::kLapsed);
    } else if (run.ends_ms_ != 0 && now >= run.ends_ms_) {
      over.emplace_back(task, run.end_);
    }
  }
  for (const auto& [task, end] : over) {
    EndRun(worker, task, end);
  }
}

auto PlacementWorld::Tick() -> void {
  const auto now = BootMs();
  const auto elapsed = now - began_ms_;
  AdvanceGangs();
  for (auto& [id, worker] : workers_) {
    TickWorker(worker);
  }
  if (is_finished_) {
    return;
  }
  if (now >= next_beat_ms_) {
    next_beat_ms_ = now + kHeartbeatMs / 3;
    if (owner_ != nullptr) {
      for (auto i = 1; i < kInstances; ++i) {
        owner_->advice_->MarkInstanceLive(std::to_string(i), now);
      }
    }
    for (auto& [id, worker] : workers_) {
      if (worker.IsReachable() && !store_.is_down_ && Chance(0.4)) {
        WriteEntry(worker);
      }
    }
  }
  if (elapsed < kTrafficEndsMs && now >= next_submit_ms_) {
    Submit();
  }
  // Faults come in groups, with calm spans between them.
  if (elapsed < kTrafficEndsMs && now >= next_fault_ms_ && owner_ != nullptr) {
    next_fault_ms_ =
        now + (Chance(0.6) ? Between(200, 2000) : Between(8000, 14000));
    CauseFault();
  }
  if (now >= next_judge_ms_) {
    next_judge_ms_ = now + kJudgePeriodMs;
    Judge();
  }
  is_finished_ = elapsed > kEndMs;
}

// The judge.

auto PlacementWorld::IsRunning(const std::string& task) const -> bool {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    return entry.second.running_.contains(task);
  });
}

// Returns how many tasks of the step find room on sound workers.
auto PlacementWorld::CountRooms(const std::string& step_name, const Step& step,
                                const Queue& queue) const -> int {
  auto rooms = 0;
  for (const auto& [id, worker] : workers_) {
    const auto& labels = worker.entry_.labels_;
    if (worker.entry_.service_ != queue.service_ || worker.is_down_ ||
        BootMs() - worker.sound_since_ms_ < kCalmBeforeMs ||
        (!step.required_label_.empty() && labels[0] != step.required_label_) ||
        !IsAllowed(step_name, id)) {
      continue;
    }
    auto limit =
        step.max_per_worker_ > 0 ? step.max_per_worker_ : step.count_ * 2;
    for (const auto& [task, run] : worker.running_) {
      limit -= step.max_per_worker_ > 0 && run.step_name_ == step_name ? 1 : 0;
    }
    auto free = worker.entry_.capacity_;
    free -= worker.Used();
    for (; limit > 0 && step.demand_.FitsIn(free); --limit) {
      free -= step.demand_;
      ++rooms;
    }
  }
  return rooms;
}

auto PlacementWorld::IsTeamUnderHalf(const std::string& team,
                                     const Resources& demand) const -> bool {
  Resources used;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [task, run] : worker.running_) {
      if (run.team_ == team) {
        used += run.step_->demand_;
      }
    }
  }
  const auto limit = config_->FindTeam(team)->limit_;
  const auto is_under_half = used.cpu_milli_ * 2 < limit.cpu_milli_ &&
                             used.accelerators_ * 2 < limit.accelerators_;
  used += demand;
  return is_under_half && used.cpu_milli_ <= limit.cpu_milli_ &&
         used.accelerators_ <= limit.accelerators_;
}

auto PlacementWorld::IsServiceUnderHalf(const std::string& service) const
    -> bool {
  Resources used;
  Resources whole;
  for (const auto& [id, worker] : workers_) {
    if (worker.entry_.service_ == service && !worker.is_down_) {
      used += worker.Used();
      whole += worker.entry_.capacity_;
    }
  }
  return used.DominantShare(whole) < 0.5;
}

auto PlacementWorld::NoteWaiting(const std::string& name, bool is_kept_waiting,
                                 const std::string& text) -> void {
  const auto now = BootMs();
  if (!is_kept_waiting) {
    waiting_since_ms_.erase(name);
    return;
  }
  const auto since = waiting_since_ms_.try_emplace(name, now).first->second;
  if (now - since >= kWaitBoundMs &&
      now - last_fault_ms_ >= kWaitBoundMs + kCalmBeforeMs &&
      reported_.insert(name).second) {
    Violate(
        fmt::format("{} has waited for {} ms: {}", name, now - since, text));
  }
}

auto PlacementWorld::JudgeJob(const std::string& id, SubmittedJob& job)
    -> void {
  const auto& record = job.record_;
  const auto& queue = *config_->FindQueueByName(record.queue_);
  const auto now = BootMs();
  auto is_any_running = false;
  auto is_any_kept = false;
  std::string text;
  for (std::size_t s = 0; s < record.steps_.size(); ++s) {
    const auto& step = record.steps_[s];
    const auto number = static_cast<int>(s);
    const auto name = fmt::format("{}.0.{}", id, s);
    const auto is_done = [&](int of, int index) {
      return job.done_tasks_.contains(TaskId{id, 0, of, index}.ToString());
    };
    auto is_ready = true;
    for (const auto before : step.after_) {
      for (auto i = 0;
           i < record.steps_[static_cast<std::size_t>(before)].count_; ++i) {
        is_ready &= is_done(before, i);
      }
    }
    if (!is_ready) {
      break;
    }
    const auto rooms = CountRooms(name, step, queue);
    Resources demand;
    for (auto i = 0; i < (step.is_gang_ ? step.count_ : 1); ++i) {
      demand += step.demand_;
    }
    const auto has_room = rooms >= 2 * (step.is_gang_ ? step.count_ : 1);
    for (auto i = 0; i < step.count_; ++i) {
      const auto task = TaskId{id, 0, number, i}.ToString();
      const auto is_running = IsRunning(task);
      const auto is_waiting = !is_running && !is_done(number, i);
      is_any_running |= is_running;
      is_any_kept |=
          is_waiting && has_room && IsTeamUnderHalf(record.team_, demand);
      const auto last_end = job.last_run_ended_ms_.find(task);
      if (step.is_long_running_) {
        NoteWaiting(task,
                    is_waiting && has_room &&
                        IsTeamUnderHalf(record.team_, demand) &&
                        (last_end == job.last_run_ended_ms_.end() ||
                         now - last_end->second >= kLastRunBoundMs),
                    fmt::format("{} rooms for a task that lasts", rooms));
      }
    }
    text += fmt::format("{} rooms for a task of step {}; ", rooms, s);
  }
  NoteWaiting(id,
              !is_any_running && is_any_kept &&
                  now - began_ms_ > kTrafficEndsMs &&
                  IsServiceUnderHalf(queue.service_),
              queue.name_ + ": " + text);
}

auto PlacementWorld::Judge() -> void {
  for (auto& [id, job] : jobs_) {
    const auto progress = DecodeProgress(store_.Get(ProgressKey(id)));
    if (job.is_cancelled_ ||
        (progress.ok() && progress->state_ >= JobState::kCompleted)) {
      continue;
    }
    JudgeJob(id, job);
  }
}

}  // namespace lentilscale::fleet
