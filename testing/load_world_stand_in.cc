// The models answer after the delays of a deployment with two regions. Workers
// keep no clocks of their own and leases do not expire: nothing fails here but
// tasks.

#include "testing/load_world_stand_in.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "fleet/store_keys.h"
#include "lentilscale/clock.h"

namespace lentilscale::fleet {
namespace {

constexpr auto kWorkerPrefix = "w/";
constexpr Millis kSettleMs = 2000;
// Time until the use of the workers has reached its mean.
constexpr Millis kWarmUpMs = 5000;
constexpr Millis kAfterTrafficMs = 14000;
constexpr Millis kTickMs = 5;
constexpr Millis kBeatMs = 500;
constexpr Millis kTicketMs = 2000;
// The objective counts one advice call about this many workers for a step.
constexpr double kObjectiveAdviceWorkers = 30;
constexpr double kLateFactor = 3;
constexpr double kLateCredit = 0.2;
constexpr double kSpeeds[] = {0.8, 1.0, 1.25};
constexpr double kMsPerS = 1000;
// Longer than any world.
constexpr Millis kLastingMs = 1000000;
// Limit on a job's credit, as a factor of the mean job's.
constexpr double kMaxCredit = 4;

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

// Returns the first time of a beat after `now_ms`.
auto NextBeatMs(Millis now_ms) -> Millis {
  return now_ms - now_ms % kBeatMs + kBeatMs;
}

auto Quantile(std::vector<Millis> times, double quantile) -> Millis {
  if (times.empty()) {
    return 0;
  }
  std::sort(times.begin(), times.end());
  return times[static_cast<std::size_t>(quantile *
                                        static_cast<double>(times.size() - 1))];
}

}  // namespace

auto CraftsLoad() -> LoadScenario {
  LoadScenario load;
  load.workers_ = 350;
  load.capacity_ = {0, 16000, 32768, 0};
  load.instances_ = 34;
  load.traffic_ms_ = 30000;
  LoadKind analysis;
  analysis.queue_ = "analysis";
  analysis.priority_ = 1;
  analysis.jobs_per_s_ = 4.29;
  analysis.steps_ = {1.2, 0.4, 3};
  analysis.tasks_per_step_ = {20, 0.8, 120};
  analysis.cpu_milli_ = {4500, 0.4, 7600};
  analysis.memory_mb_ = {8100, 0.5, 16000};
  analysis.work_ms_ = {5000, 0.5, 12000};
  analysis.gang_share_ = 1;
  analysis.failure_share_ = 0.05;
  analysis.advice_ = {440, 6.2, kTicketMs};
  analysis.allowed_share_ = 0.3;
  analysis.stretch_ = 2.2;
  analysis.target_ms_ = 1200;
  LoadKind bundle;
  bundle.queue_ = "bundle";
  bundle.priority_ = 2;
  bundle.jobs_per_s_ = 11.2;
  bundle.steps_ = {1.5, 0.4, 3.8};
  bundle.tasks_per_step_ = {25, 0.8, 150};
  bundle.cpu_milli_ = {1700, 0.45, 5200};
  bundle.memory_mb_ = {2500, 0.6, 7500};
  bundle.work_ms_ = {2200, 0.5, 5400};
  bundle.failure_share_ = 0.02;
  bundle.advice_ = {80, 1.1, kTicketMs};
  bundle.allowed_share_ = 0.45;
  bundle.stretch_ = 4;
  bundle.target_ms_ = 3000;
  LoadKind lookup;
  lookup.queue_ = "lookup";
  lookup.priority_ = 0;
  lookup.jobs_per_s_ = 80.4;
  lookup.tasks_per_step_ = {3.2, 0.8, 19};
  lookup.cpu_milli_ = {2500, 0.45, 7400};
  lookup.memory_mb_ = {3600, 0.6, 11000};
  lookup.work_ms_ = {1000, 0.5, 2500};
  lookup.gang_share_ = 0.3;
  lookup.failure_share_ = 0.05;
  lookup.advice_ = {11, 0.16, kTicketMs};
  lookup.allowed_share_ = 0.7;
  lookup.stretch_ = 1.5;
  lookup.target_ms_ = 400;
  load.kinds_ = {analysis, bundle, lookup};
  return load;
}

auto SaturatedOwnerLoad() -> LoadScenario {
  LoadScenario load;
  load.workers_ = 100;
  load.more_workers_ = {{"t", 40}};
  load.capacity_ = {0, 16000, 32768, 0};
  load.instances_ = 8;
  load.traffic_ms_ = 10000;
  // 1,818 starts with their ends fill one second.
  load.start_cost_us_ = 350;
  load.hold_cost_us_ = 200;
  LoadKind urgent;
  urgent.queue_ = "urgent";
  urgent.jobs_per_s_ = 300;
  urgent.tasks_per_step_ = {8, 0, 8};
  urgent.cpu_milli_ = {1000, 0, 1000};
  urgent.memory_mb_ = {100, 0, 100};
  urgent.work_ms_ = {300, 0, 300};
  urgent.is_advised_ = false;
  urgent.target_ms_ = 300;
  LoadKind batch = urgent;
  batch.queue_ = "batch";
  batch.service_ = "t";
  batch.priority_ = 2;
  batch.jobs_per_s_ = 20;
  batch.tasks_per_step_ = {4, 0, 4};
  batch.work_ms_ = {400, 0, 400};
  batch.is_advised_ = true;
  batch.advice_ = {40, 0.5, kTicketMs};
  batch.allowed_share_ = 0.6;
  batch.target_ms_ = 3000;
  LoadKind lasting = batch;
  lasting.queue_ = "lasting";
  lasting.priority_ = 1;
  lasting.jobs_per_s_ = 1;
  lasting.tasks_per_step_ = {2, 0, 2};
  lasting.work_ms_ = {kLastingMs, 0, kLastingMs};
  lasting.is_lasting_ = true;
  load.kinds_ = {urgent, batch, lasting};
  return load;
}

auto DoubledBurstLoad() -> LoadScenario {
  auto load = SaturatedOwnerLoad();
  load.burst_factor_ = 2;
  load.burst_begins_ms_ = 4000;
  load.burst_ends_ms_ = 6000;
  auto& urgent = load.kinds_.at(0);
  urgent.jobs_per_s_ = 150;
  urgent.is_advised_ = true;
  urgent.advice_ = {16, 0.2, kTicketMs};
  urgent.allowed_share_ = 0.7;
  auto report = load.kinds_.at(1);
  report.queue_ = "report";
  report.service_ = "s";
  report.jobs_per_s_ = 5;
  report.tasks_per_step_ = {40, 0, 40};
  report.advice_ = {140, 2, kTicketMs};
  load.kinds_.push_back(report);
  return load;
}

auto LongBacklogLoad(int instances) -> LoadScenario {
  auto load = DoubledBurstLoad();
  load.instances_ = instances;
  load.traffic_ms_ = 20000;
  load.burst_factor_ = 4;
  load.burst_begins_ms_ = 3000;
  return load;
}

auto LoadResult::StartWaitMs(double quantile) const -> Millis {
  return Quantile(start_waits_ms_, quantile);
}

auto LoadResult::AdviceWaitMs(double quantile) const -> Millis {
  return Quantile(advice_waits_ms_, quantile);
}

// The workers, as the owner calls them.
class LoadWorld::Gateway : public WorkerGateway {
 public:
  explicit Gateway(LoadWorld* world) : world_(world) {}

  auto Start(const WorkerEntry& worker, const StartOrder& order,
             OrderCallback callback) -> void override {
    world_->spend_(world_->scenario_.start_cost_us_);
    Deliver(
        worker.id_,
        [this, order](ModelWorker& target) {
          return world_->BeginRun(target, order);
        },
        std::move(callback));
  }

  auto Stop(const WorkerEntry& worker, const RunRef& run, std::int64_t,
            OrderCallback callback) -> void override {
    Deliver(
        worker.id_,
        [this, run](ModelWorker& target) {
          auto& closed = target.closed_runs_[run.task_];
          closed = std::max(closed, run.run_);
          if (const auto it = target.running_.find(run.task_);
              it != target.running_.end() && it->second.run_ <= run.run_) {
            world_->EndRun(target, run.task_, RunEnd::kStopped);
          }
          return WorkerStatus::kOk;
        },
        std::move(callback));
  }

  auto Hold(const WorkerEntry& worker, const HoldOrder& order,
            HoldCallback callback) -> void override {
    world_->Later(world_->Between(1, 9),
                  [this, id = worker.id_, order, sent_ms = BootMs(),
                   callback = std::move(callback)] {
                    auto& target = world_->workers_.at(id);
                    std::erase_if(target.ended_, [&](const EndedRun& end) {
                      return end.number_ <= order.acknowledged_end_;
                    });
                    target.hold_callback_ = callback;
                    target.hold_sent_ms_ = sent_ms;
                    const auto number = ++target.hold_number_;
                    if (!target.ended_.empty() || order.wait_ms_ == 0) {
                      world_->AnswerHold(target);
                      return;
                    }
                    world_->Later(order.wait_ms_, [this, id, number] {
                      auto& waiting = world_->workers_.at(id);
                      if (waiting.hold_number_ == number) {
                        world_->AnswerHold(waiting);
                      }
                    });
                  });
  }

  auto Pace(const WorkerEntry&, const RunRef&, int, std::int64_t, OrderCallback)
      -> void override {}

 private:
  auto Deliver(const std::string& id,
               std::function<WorkerStatus(ModelWorker&)> order,
               OrderCallback callback) -> void {
    world_->Later(world_->Between(1, 9),
                  [this, id, order = std::move(order), sent_ms = BootMs(),
                   callback = std::move(callback)] {
                    const OrderResult result{order(world_->workers_.at(id)),
                                             BootMs(), sent_ms};
                    world_->Later(world_->Between(1, 9),
                                  [callback, result] { callback(result); });
                  });
  }

  LoadWorld* world_;
};

// The advice service, as one instance calls it: one call at a time.
class LoadWorld::Advice : public AdviceGateway {
 public:
  explicit Advice(LoadWorld* world) : world_(world) {}

  auto RequestAdvice(const std::string& step,
                     const std::vector<std::string>& workers, Millis,
                     Callback callback) -> void override {
    world_->MarkAdvised(step);
    const auto& policy = world_->KindOf(step).advice_;
    const auto cost =
        policy.decide_ms_ +
        policy.per_worker_ms_ * static_cast<double>(workers.size());
    ++world_->advice_calls_;
    world_->advice_ms_ += cost;
    free_at_ms_ =
        std::max(free_at_ms_, BootMs()) + static_cast<Millis>(std::ceil(cost));
    world_->Later(free_at_ms_ - BootMs() + world_->Between(2, 17),
                  [this, step, workers, callback = std::move(callback)] {
                    AdviceResult result;
                    result.is_answered_ = true;
                    result.valid_ms_ = kTicketMs;
                    for (const auto& id : workers) {
                      if (world_->IsAllowed(step, id)) {
                        result.tickets_.push_back(
                            {id, std::to_string(BootMs() + kTicketMs)});
                      }
                    }
                    world_->Later(world_->Between(2, 17),
                                  [callback, result] { callback(result); });
                  });
  }

 private:
  LoadWorld* world_;
  Millis free_at_ms_ = 0;
};

struct LoadWorld::OwnerProcess {
  FleetMetrics metrics_;
  std::vector<std::unique_ptr<Advice>> instances_;
  std::unique_ptr<Gateway> gateway_;
  std::unique_ptr<AdviceBalancer> balancer_;
  std::unique_ptr<Dispatcher> dispatcher_;
};

LoadWorld::LoadWorld(uv_loop_t* loop, unsigned seed,
                     const LoadScenario& scenario, Spend spend)
    : SimulatedEvents(loop, seed),
      loop_(loop),
      seed_(seed),
      scenario_(scenario),
      spend_(std::move(spend)),
      store_(this),
      config_(std::make_shared<FleetConfig>()),
      due_jobs_(scenario.kinds_.size(), 0) {
  for (const auto& kind : scenario_.kinds_) {
    Queue queue;
    queue.name_ = kind.queue_;
    queue.service_ = kind.service_;
    queue.priority_ = kind.priority_;
    queue.max_attempts_ = 4;
    queue.stretch_ = kind.stretch_;
    queue.target_ms_ = kind.target_ms_;
    if (kind.is_advised_) {
      queue.advice_ = kind.advice_;
    }
    config_->queues_.push_back(queue);
  }
  AddWorkers("s", scenario_.workers_);
  for (const auto& [service, count] : scenario_.more_workers_) {
    AddWorkers(service, count);
  }
  store_.Put(kEpochKey, "1");
  const auto revision = store_.Put(kOwnerKey, "1");
  owner_ = std::make_unique<OwnerProcess>();
  owner_->gateway_ = std::make_unique<Gateway>(this);
  for (auto i = 0; i < scenario_.instances_; ++i) {
    owner_->instances_.push_back(std::make_unique<Advice>(this));
  }
  owner_->balancer_ = std::make_unique<AdviceBalancer>(
      owner_->instances_[0].get(),
      [this](const std::string& address, const AdviceRequest& request,
             AdviceGateway::Callback callback) {
        owner_->instances_[static_cast<std::size_t>(std::stoi(address))]
            ->RequestAdvice(request.step_name_, request.worker_ids_,
                            request.expected_ms_, std::move(callback));
      });
  DispatcherOptions options;
  options.worker_prefix_ = kWorkerPrefix;
  DispatcherHooks hooks;
  hooks.has_rights_ = [] { return true; };
  hooks.step_down_ = [this](const std::string& reason) {
    violations_.push_back("the only owner steps down: " + reason);
  };
  hooks.config_ = [this] { return config_; };
  hooks.parse_worker_ =
      [this](const std::string&,
             const std::string& text) -> absl::StatusOr<WorkerEntry> {
    return entries_[static_cast<std::size_t>(std::stoi(text))];
  };
  owner_->dispatcher_ = std::make_unique<Dispatcher>(
      loop_, &store_, owner_->gateway_.get(), owner_->balancer_.get(),
      &owner_->metrics_, OwnerClaim{1, revision, BootMs(), {}}, options,
      std::move(hooks));
  began_ms_ = BootMs() + kSettleMs;
  last_submit_ms_ = began_ms_;
  next_beat_ms_ = NextBeatMs(BootMs() - 1);
  tick_ = std::make_unique<RepeatingTimer>(loop, kTickMs, [this] {
    SubmitDue();
    const auto now = BootMs();
    if (now >= next_beat_ms_) {
      next_beat_ms_ = NextBeatMs(now);
      for (auto i = 1; i < scenario_.instances_; ++i) {
        owner_->balancer_->MarkInstanceLive(std::to_string(i), now);
      }
      SampleUse();
    }
    is_finished_ = now > began_ms_ + scenario_.traffic_ms_ + kAfterTrafficMs;
  });
}

LoadWorld::~LoadWorld() = default;

auto LoadWorld::AddWorkers(const std::string& service, int count) -> void {
  for (auto i = 0; i < count; ++i) {
    const auto number = entries_.size();
    const auto id = fmt::format("w-{:04}", number);
    auto& worker = workers_[id];
    worker.entry_.id_ = id;
    worker.entry_.incarnation_ = 1;
    worker.entry_.service_ = service;
    worker.entry_.address_ = id;
    worker.entry_.capacity_ = scenario_.capacity_;
    worker.speed_ = kSpeeds[number % std::size(kSpeeds)];
    entries_.push_back(worker.entry_);
    store_.Put(kWorkerPrefix + id, std::to_string(number));
  }
}

auto LoadWorld::Draw(const Spread& spread) -> double {
  if (spread.sigma_ == 0) {
    return spread.mean_;
  }
  std::lognormal_distribution<double> distribution(
      std::log(spread.mean_) - spread.sigma_ * spread.sigma_ / 2,
      spread.sigma_);
  return std::min(spread.max_, distribution(random()));
}

auto LoadWorld::KindOf(const std::string& job) const -> const LoadKind& {
  return *jobs_.at(job.substr(0, job.find('.'))).kind_;
}

auto LoadWorld::IsAllowed(const std::string& step,
                          const std::string& worker) const -> bool {
  return Hash(fmt::format("{} {} {}", seed_, step, worker)) % 1000 <
         KindOf(step).allowed_share_ * 1000;
}

auto LoadWorld::SubmitDue() -> void {
  const auto now = BootMs();
  const auto since = now - began_ms_;
  if (since < 0 || since > scenario_.traffic_ms_) {
    return;
  }
  const auto is_burst =
      since >= scenario_.burst_begins_ms_ && since < scenario_.burst_ends_ms_;
  for (std::size_t i = 0; i < scenario_.kinds_.size(); ++i) {
    const auto& kind = scenario_.kinds_[i];
    due_jobs_[i] += kind.jobs_per_s_ *
                    (is_burst ? scenario_.burst_factor_ : 1) *
                    static_cast<double>(now - last_submit_ms_) / kMsPerS;
    for (; due_jobs_[i] >= 1; due_jobs_[i] -= 1) {
      Submit(kind);
    }
  }
  last_submit_ms_ = now;
}

auto LoadWorld::SampleUse() -> void {
  const auto since = BootMs() - began_ms_;
  if (since < kWarmUpMs || since > scenario_.traffic_ms_) {
    return;
  }
  Resources used;
  Resources capacity;
  for (const auto& [id, worker] : workers_) {
    used += worker.used_;
    capacity += worker.entry_.capacity_;
  }
  used_share_sum_ += used.DominantShare(capacity);
  ++used_share_samples_;
}

auto LoadWorld::UsedShare() const -> double {
  return used_share_samples_ == 0 ? 0 : used_share_sum_ / used_share_samples_;
}

auto LoadWorld::Submit(const LoadKind& kind) -> void {
  const auto id = fmt::format("{:016x}", jobs_.size() + 1);
  auto& job = jobs_[id];
  job.kind_ = &kind;
  job.submitted_ms_ = BootMs();
  auto& record = job.record_;
  record.id_ = id;
  record.queue_ = kind.queue_;
  record.accepted_ms_ = WallMs();
  // A step is added with the probability of the fraction.
  const auto drawn = Draw(kind.steps_);
  const auto whole = std::max(1, static_cast<int>(drawn));
  const auto steps = whole + (Chance(drawn - whole) ? 1 : 0);
  auto chain_ms = 0.0;
  auto core_ms = 0.0;
  for (auto s = 0; s < steps; ++s) {
    Step step;
    step.count_ =
        std::max(1, static_cast<int>(std::lround(Draw(kind.tasks_per_step_))));
    step.demand_ = {0, std::llround(Draw(kind.cpu_milli_)),
                    std::llround(Draw(kind.memory_mb_)), 0};
    step.is_gang_ = step.count_ > 1 && Chance(kind.gang_share_);
    step.is_long_running_ = kind.is_lasting_;
    const auto work = std::max(1.0, Draw(kind.work_ms_));
    step.estimate_ms_ = std::llround(work * Between(60, 150) / 100.0);
    if (s > 0) {
      step.after_ = {s - 1};
    }
    record.steps_.push_back(step);
    job.work_ms_.push_back(std::llround(work));
    job.ready_ms_.push_back(s == 0 ? BootMs() : 0);
    job.advised_ms_.push_back(0);
    job.started_ms_.push_back(0);
    job.done_.push_back(0);
    chain_ms += work + kind.advice_.decide_ms_ +
                kObjectiveAdviceWorkers * kind.advice_.per_worker_ms_;
    core_ms +=
        work * step.count_ * static_cast<double>(step.demand_.cpu_milli_);
  }
  job.objective_ms_ = std::llround(kind.stretch_ * chain_ms) + kind.target_ms_;
  const auto mean_core_ms = kind.steps_.mean_ * kind.tasks_per_step_.mean_ *
                            kind.work_ms_.mean_ * kind.cpu_milli_.mean_;
  job.credit_ = std::min(kMaxCredit, 0.3 + 0.7 * core_ms / mean_core_ms);
  const auto revision = store_.Put(JobKey(id), EncodeJob(record));
  Later(Between(4, 20), [this, id, revision] {
    owner_->dispatcher_->AddJob(jobs_.at(id).record_, revision);
  });
}

auto LoadWorld::BeginRun(ModelWorker& worker, const StartOrder& order)
    -> WorkerStatus {
  starts_ms_.push_back(BootMs() - began_ms_);
  const auto& ref = order.run_;
  const auto id = *TaskId::FromString(ref.task_);
  auto& job = jobs_.at(id.job_);
  const auto step_number = static_cast<std::size_t>(id.step_);
  if (const auto it = worker.closed_runs_.find(ref.task_);
      it != worker.closed_runs_.end() && it->second >= ref.run_) {
    return WorkerStatus::kStaleRun;
  }
  if (job.kind_->is_advised_ &&
      (order.ticket_.empty() || std::stoll(order.ticket_) < BootMs())) {
    ++refused_tickets_;
    return WorkerStatus::kBadTicket;
  }
  const auto& step = job.record_.steps_[step_number];
  ModelRun run;
  run.run_ = ref.run_;
  run.step_ = &step;
  auto work = static_cast<double>(job.work_ms_[step_number]) / worker.speed_;
  // A gang fails as a whole, so only one of its tasks may.
  if ((!step.is_gang_ || id.index_ == 0) && Chance(job.kind_->failure_share_)) {
    work /= 2;
    run.end_ = RunEnd::kFailed;
  }
  run.ends_ms_ = BootMs() + static_cast<Millis>(work);
  worker.used_ += step.demand_;
  if (!worker.used_.FitsIn(worker.entry_.capacity_)) {
    violations_.push_back(
        fmt::format("{} is overfilled by {}", worker.entry_.id_, ref.task_));
  }
  if (!worker.running_.emplace(ref.task_, run).second) {
    violations_.push_back(fmt::format("{} runs twice", ref.task_));
  }
  if (job.started_ms_[step_number] == 0) {
    job.started_ms_[step_number] = BootMs();
  }
  if (step.is_gang_) {
    gangs_[{StepName(id), ref.run_}].emplace_back(worker.entry_.id_, ref.task_);
    BeginGangIfComplete(id, ref.run_);
  } else {
    Later(static_cast<Millis>(work),
          [this, worker_id = worker.entry_.id_, ref, end = run.end_] {
            auto& target = workers_.at(worker_id);
            if (const auto it = target.running_.find(ref.task_);
                it != target.running_.end() && it->second.run_ == ref.run_) {
              EndRun(target, ref.task_, end);
            }
          });
  }
  return WorkerStatus::kOk;
}

auto LoadWorld::MarkAdvised(const std::string& step) -> void {
  const auto id = *TaskId::FromString(step + ".0");
  auto& advised =
      jobs_.at(id.job_).advised_ms_[static_cast<std::size_t>(id.step_)];
  advised = advised == 0 ? BootMs() : advised;
}

// A gang is as fast as its slowest member and ends as its first one does.
auto LoadWorld::BeginGangIfComplete(const TaskId& id, std::int64_t run)
    -> void {
  const std::pair key{StepName(id), run};
  const auto& members = gangs_.at(key);
  const auto& step =
      jobs_.at(id.job_).record_.steps_[static_cast<std::size_t>(id.step_)];
  if (static_cast<int>(members.size()) < step.count_) {
    return;
  }
  Millis ends_ms = 0;
  auto end = RunEnd::kDone;
  for (const auto& [worker, task] : members) {
    const auto& member = workers_.at(worker).running_.at(task);
    ends_ms = std::max(ends_ms, member.ends_ms_);
    end = member.end_ == RunEnd::kFailed ? RunEnd::kFailed : end;
  }
  Later(ends_ms - BootMs(), [this, key, end] {
    auto is_first = true;
    for (const auto& [worker, task] : gangs_.at(key)) {
      auto& target = workers_.at(worker);
      const auto it = target.running_.find(task);
      if (it == target.running_.end() || it->second.run_ != key.second) {
        continue;
      }
      EndRun(target, task,
             is_first || end == RunEnd::kDone ? end : RunEnd::kBroken);
      is_first = false;
    }
    gangs_.erase(key);
  });
}

auto LoadWorld::EndRun(ModelWorker& worker, const std::string& task, RunEnd end)
    -> void {
  const auto run = worker.running_.at(task);
  worker.used_ -= run.step_->demand_;
  worker.running_.erase(task);
  auto& closed = worker.closed_runs_[task];
  closed = std::max(closed, run.run_);
  worker.ended_.push_back({worker.next_end_++, {task, run.run_}, end, ""});
  if (end == RunEnd::kDone) {
    MarkDone(*TaskId::FromString(task), 1);
  }
  AnswerHold(worker);
}

auto LoadWorld::MarkDone(const TaskId& id, int tasks) -> void {
  auto& job = jobs_.at(id.job_);
  const auto step = static_cast<std::size_t>(id.step_);
  job.done_[step] += tasks;
  if (job.done_[step] < job.record_.steps_[step].count_) {
    return;
  }
  if (step + 1 == job.done_.size()) {
    job.ended_ms_ = BootMs();
  } else {
    job.ready_ms_[step + 1] = BootMs();
  }
}

auto LoadWorld::AnswerHold(ModelWorker& worker) -> void {
  if (!worker.hold_callback_) {
    return;
  }
  ++worker.hold_number_;
  HoldResult result;
  result.status_ = WorkerStatus::kOk;
  result.incarnation_ = worker.entry_.incarnation_;
  result.worker_clock_ms_ = BootMs();
  result.sent_ms_ = worker.hold_sent_ms_;
  result.ended_ = worker.ended_;
  for (const auto& [task, run] : worker.running_) {
    result.running_.push_back({{task, run.run_}, "", 0, 0});
  }
  Later(
      Between(1, 9),
      [this, callback = std::exchange(worker.hold_callback_, nullptr), result] {
        spend_(scenario_.hold_cost_us_);
        callback(result);
      });
}

auto LoadWorld::ResultOf(const std::string& queue, Millis begin_ms,
                         Millis end_ms) const -> LoadResult {
  LoadResult result;
  for (const auto& [id, job] : jobs_) {
    const auto since = job.submitted_ms_ - began_ms_;
    if (job.kind_->queue_ != queue || since < begin_ms || since >= end_ms) {
      continue;
    }
    ++result.jobs_;
    result.owed_ += job.credit_;
    const auto took = job.ended_ms_ - job.submitted_ms_;
    if (job.ended_ms_ != 0 && took <= job.objective_ms_) {
      ++result.timely_;
      result.earned_ += job.credit_;
    } else if (job.ended_ms_ != 0 &&
               static_cast<double>(took) <=
                   kLateFactor * static_cast<double>(job.objective_ms_)) {
      ++result.late_;
      result.earned_ += kLateCredit * job.credit_;
    }
    for (std::size_t s = 0; s < job.started_ms_.size(); ++s) {
      if (job.ready_ms_[s] != 0) {
        result.unstarted_steps_ += job.started_ms_[s] == 0 ? 1 : 0;
      }
      if (job.ready_ms_[s] != 0 && job.kind_->is_advised_) {
        result.advice_waits_ms_.push_back(
            (job.advised_ms_[s] != 0 ? job.advised_ms_[s] : BootMs()) -
            job.ready_ms_[s]);
      }
      if (job.started_ms_[s] != 0) {
        result.start_waits_ms_.push_back(job.started_ms_[s] - job.ready_ms_[s]);
      }
    }
  }
  return result;
}

auto LoadWorld::RefusedTicketShare() const -> double {
  return starts_ms_.empty() ? 0
                            : static_cast<double>(refused_tickets_) /
                                  static_cast<double>(starts_ms_.size());
}

auto LoadWorld::StartsBetween(Millis begin_ms, Millis end_ms) const
    -> std::ptrdiff_t {
  return std::count_if(starts_ms_.begin(), starts_ms_.end(), [&](Millis ms) {
    return ms >= begin_ms && ms < end_ms;
  });
}

}  // namespace lentilscale::fleet
