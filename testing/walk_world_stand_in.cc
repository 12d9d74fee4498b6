// Times are those of the product divided by about ten where they can be set, so
// that a walk of four seconds holds some twenty faults.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "fleet/store_keys.h"
#include "testing/walk_stand_in.h"

namespace lentilscale::fleet {
namespace {

constexpr auto kWorkerPrefix = "w/";
constexpr int kWorkers = 4;
constexpr int kJobs = 14;
constexpr std::int64_t kCapacityMilli = 4000;
constexpr int kMaxAttempts = 40;
constexpr Millis kLeaseMs = 400;
constexpr Millis kTickMs = 5;
// A pause between two ticks that is worth telling.
constexpr Millis kLateMs = 100;
// Time with faults, and the time after it in which all must end.
constexpr Millis kFaultsMs = 4000;
constexpr Millis kPatienceMs = 25000;
// A variant has shown what it can by then.
constexpr Millis kTellingMs = 1500;

// A restart takes longer than the pause between two looks at a worker, so that
// one of them fails.
constexpr int kMinDownMs = 250;
constexpr int kMaxDownMs = 500;

enum class Fault {
  kOwner,
  kWorkerCut,
  kWorkerCrash,
  kWorkerLossy,
  kStoreDown,
  kStoreLossy,
};
constexpr int kFaults = 6;

// Returns the faults under which it shows that the rule is missing.
auto TellingFaults(LeftOut left_out) -> std::vector<Fault> {
  switch (left_out) {
    case LeftOut::kNothing:
      return {};
    case LeftOut::kFencing:
      return {Fault::kOwner, Fault::kWorkerLossy, Fault::kWorkerCut};
    case LeftOut::kRecordFirst:
      return {Fault::kOwner, Fault::kStoreDown};
    case LeftOut::kAnsweredStop:
      return {Fault::kWorkerLossy};
    case LeftOut::kLeases:
      return {Fault::kWorkerCut};
    case LeftOut::kConditions:
      return {Fault::kOwner, Fault::kStoreLossy};
    case LeftOut::kUnclaimedWorkers:
      return {Fault::kOwner, Fault::kWorkerCut};
  }
  return {};
}

}  // namespace

World::World(uv_loop_t* loop, unsigned seed, LeftOut left_out)
    : loop_(loop),
      seed_(seed),
      random_(seed),
      left_out_(left_out),
      store_(this),
      gateway_(this),
      advice_(nullptr, {}),
      began_ms_(MonotonicMs()) {
  auto config = std::make_shared<FleetConfig>();
  Queue queue;
  queue.name_ = "q";
  queue.service_ = "s";
  queue.max_attempts_ = kMaxAttempts;
  config->queues_.push_back(queue);
  config_ = config;
  for (auto i = 0; i < kWorkers; ++i) {
    auto& worker = workers_[fmt::format("i-{}", i)];
    worker.id_ = fmt::format("i-{}", i);
    worker.clock_rate_ = Chance(0.5) ? kMinWorkerClockRate : 1;
    BeginLife(worker);
  }
  TakeOver();
  tick_ = std::make_unique<RepeatingTimer>(loop, kTickMs, [this] { Tick(); });
  next_fault_ms_ = began_ms_ + 300;
}

auto World::violations() const -> const std::vector<std::string>& {
  return violations_;
}

auto World::Chance(double probability) -> bool {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

auto World::Between(int low, int high) -> int {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

auto World::TaskMs() -> Millis {
  return Chance(0.15) ? Between(500, 1500) : Between(10, 200);
}

auto World::Later(Millis delay_ms, std::function<void()> action) -> void {
  RunAfter(loop_, delay_ms, std::move(action));
}

auto World::Violate(const std::string& text) -> void {
  violations_.push_back(fmt::format("seed {}: {}", seed_, text));
}

auto World::FleetStory() const -> std::string {
  const auto it = histories_.find("");
  return it == histories_.end() ? "" : "\n  the fleet:" + it->second.story_;
}

auto World::Tell(const std::string& task, const std::string& text) -> void {
  histories_[task].story_ +=
      fmt::format("\n    {} ms: {}", MonotonicMs() - began_ms_, text);
}

auto World::OnStart(ModelWorker& worker, const RunRef& ref, std::int64_t token)
    -> void {
  Tell(ref.task_, fmt::format("run {} starts on {}, token {}", ref.run_,
                              worker.id_, token));
  const auto id = TaskId::FromString(ref.task_);
  if (!id.has_value() || !jobs_.contains(id->job_)) {
    Violate("a task was started that nobody handed in: " + ref.task_);
    return;
  }
  // Ticks may be late; leases end by the clock.
  for (auto& [other_id, other] : workers_) {
    EndLease(other);
  }
  auto& history = histories_[ref.task_];
  for (const auto& [other_id, other] : workers_) {
    if (other.running_.contains(ref.task_)) {
      Violate(fmt::format("{} runs on {} and {}{}{}", ref.task_, other_id,
                          worker.id_, history.story_, FleetStory()));
    }
  }
  if (history.is_done_acknowledged_) {
    Violate(ref.task_ + " was started after its end was acknowledged" +
            history.story_);
  }
  if (history.failures_acknowledged_ >= kMaxAttempts) {
    Violate(ref.task_ + " was started too often");
  }
  history.overtaken_ = history.done_ends_;
  if ((worker.running_.size() + 1) * 1000 > kCapacityMilli) {
    Violate("worker " + worker.id_ + " is overfilled");
  }
  const auto steps = jobs_[id->job_];
  if (id->step_ > 0) {
    for (auto i = 0; i < steps[static_cast<std::size_t>(id->step_) - 1]; ++i) {
      const auto before = TaskId{id->job_, 0, id->step_ - 1, i}.ToString();
      if (!histories_[before].is_done_) {
        Violate(ref.task_ + " was started before " + before + " was done");
      }
    }
  }
}

auto World::OnEnd(ModelWorker& worker, const EndedRun& end) -> void {
  auto& history = histories_[end.run_.task_];
  Tell(end.run_.task_,
       fmt::format("run {} ends {} on {}, number {}", end.run_.run_,
                   RunEndName(end.end_), worker.id_, end.number_));
  if (end.end_ == RunEnd::kDone) {
    history.is_done_ = true;
    history.done_ends_.insert({worker.id_, worker.born_ms_, end.number_});
  }
}

auto World::OnAcknowledged(ModelWorker& worker, const EndedRun& end) -> void {
  auto& history = histories_[end.run_.task_];
  Tell(end.run_.task_,
       fmt::format("end {} on {} is acknowledged", end.number_, worker.id_));
  if (end.end_ == RunEnd::kFailed) {
    ++history.failures_acknowledged_;
  }
  if (end.end_ != RunEnd::kDone) {
    return;
  }
  const auto key = std::tuple(worker.id_, worker.born_ms_, end.number_);
  if (history.overtaken_.contains(key)) {
    Violate(end.run_.task_ +
            " was started after an end that was acknowledged later" +
            history.story_);
  }
  // An end that was excused by a lapsed lease is not listed any more.
  history.is_done_acknowledged_ |= history.done_ends_.contains(key);
}

auto World::OnLapse(ModelWorker& worker) -> void {
  for (auto& [task, history] : histories_) {
    std::erase_if(history.done_ends_, [&](const auto& end) {
      return std::get<0>(end) == worker.id_ &&
             std::get<1>(end) == worker.born_ms_ &&
             std::any_of(worker.ended_.begin(), worker.ended_.end(),
                         [&](const EndedRun& listed) {
                           return listed.number_ == std::get<2>(end);
                         });
    });
    std::erase_if(history.overtaken_, [&](const auto& end) {
      return std::get<0>(end) == worker.id_ &&
             std::get<1>(end) == worker.born_ms_;
    });
  }
}

auto World::Finish(ModelWorker& worker, const std::string& task, RunEnd how)
    -> void {
  const auto run = worker.running_.at(task).run_;
  worker.running_.erase(task);
  auto& closed = worker.closed_runs_[task];
  closed = std::max(closed, run);
  worker.ended_.push_back({worker.next_end_++, {task, run}, how, ""});
  OnEnd(worker, worker.ended_.back());
}

auto World::BeginLife(ModelWorker& worker) -> void {
  const auto id = worker.id_;
  const auto rate = worker.clock_rate_;
  worker = ModelWorker{};
  worker.id_ = id;
  worker.clock_rate_ = rate;
  worker.born_ms_ = ++last_born_ms_;
  worker.life_began_ms_ = MonotonicMs() - 1000;
  store_.Put(kWorkerPrefix + id, std::to_string(worker.born_ms_));
  Tell("", fmt::format("{} begins life {}", id, worker.born_ms_));
}

auto World::TakeOver() -> void {
  ++epoch_;
  Tell("", fmt::format("epoch {} begins", epoch_));
  store_.Put(kEpochKey, std::to_string(epoch_));
  const auto revision = store_.Put(kOwnerKey, std::to_string(epoch_));
  auto owner = std::make_shared<OwnerProcess>();
  DispatcherOptions options;
  options.lease_ms_ = kLeaseMs;
  options.max_lease_ms_ = kModelMaxLeaseMs;
  options.max_stop_ms_ = kModelStopMs;
  options.heartbeat_ms_ = 100;
  options.worker_prefix_ = kWorkerPrefix;
  DispatcherHooks hooks;
  hooks.has_rights_ = [raw = owner.get()] {
    return raw->has_rights_ && BootMs() < raw->rights_end_ms_;
  };
  hooks.step_down_ = [raw = owner.get()](const std::string&) {
    raw->has_rights_ = false;
  };
  hooks.config_ = [this] { return config_; };
  hooks.parse_worker_ =
      [](const std::string& key,
         const std::string& text) -> absl::StatusOr<WorkerEntry> {
    WorkerEntry entry;
    entry.id_ = key.substr(std::string(kWorkerPrefix).size());
    entry.incarnation_ = std::stoll(text);
    entry.service_ = "s";
    entry.capacity_ = {0, kCapacityMilli, 1000, 0};
    return entry;
  };
  RightsBound bound;
  for (const auto& earlier : owners_) {
    bound.older_end_ms_ =
        std::max(bound.older_end_ms_, bound.predecessor_end_ms_);
    bound.predecessor_end_ms_ = earlier->rights_end_ms_;
  }
  owner->dispatcher_ = std::make_unique<Dispatcher>(
      loop_, &store_, &gateway_, &advice_, &owner->metrics_,
      OwnerClaim{epoch_, revision, BootMs(), bound}, options, std::move(hooks));
  owners_.push_back(owner);
}

auto World::ReplaceOwner() -> void {
  auto old = owners_.back();
  if (Chance(0.5)) {
    old->dispatcher_.reset();
    old->rights_end_ms_ = BootMs();
    Tell("", fmt::format("epoch {} crashes", epoch_));
  } else {
    const auto rights_ms = Between(0, 300);
    old->rights_end_ms_ = BootMs() + rights_ms;
    Tell("",
         fmt::format("epoch {} loses its rights in {} ms", epoch_, rights_ms));
    Later(Between(300, 600), [old] { old->dispatcher_.reset(); });
  }
  Later(Between(0, 200), [this] { TakeOver(); });
  is_replacing_ = true;
  Later(250, [this] { is_replacing_ = false; });
}

auto World::CauseFault() -> void {
  auto& worker = workers_.at(fmt::format("i-{}", Between(0, kWorkers - 1)));
  auto fault = static_cast<Fault>(Between(0, kFaults - 1));
  if (const auto telling = TellingFaults(left_out_);
      !telling.empty() && Chance(0.7)) {
    fault = telling[static_cast<std::size_t>(
        Between(0, static_cast<int>(telling.size()) - 1))];
  }
  switch (fault) {
    case Fault::kOwner:
      if (!is_replacing_) {
        ReplaceOwner();
      }
      break;
    case Fault::kWorkerCut:
      worker.is_cut_ = true;
      Tell("", fmt::format("{} is cut off", worker.id_));
      Later(Between(50, 1400), [this, &worker] {
        worker.is_cut_ = false;
        Tell("", fmt::format("{} is back", worker.id_));
      });
      break;
    case Fault::kWorkerCrash:
      if (!worker.is_down_) {
        worker.is_down_ = true;
        worker.running_.clear();
        Tell("", fmt::format("{} crashes", worker.id_));
        Later(Between(kMinDownMs, kMaxDownMs),
              [this, &worker] { BeginLife(worker); });
      }
      break;
    case Fault::kWorkerLossy:
      worker.is_lossy_ = true;
      Later(Between(200, 1000), [&worker] { worker.is_lossy_ = false; });
      break;
    case Fault::kStoreDown:
      store_.is_down_ = true;
      Later(Between(50, 500), [this] { store_.is_down_ = false; });
      break;
    case Fault::kStoreLossy:
      store_.loses_answers_ = true;
      Later(Between(100, 500), [this] { store_.loses_answers_ = false; });
  }
}

auto World::Submit() -> void {
  const auto id = fmt::format("{:016x}", jobs_.size() + 1);
  JobRecord record;
  record.id_ = id;
  record.queue_ = "q";
  record.accepted_ms_ = WallMs();
  for (auto s = 0; s < Between(1, 2); ++s) {
    Step step;
    step.count_ = Between(1, 5);
    step.demand_.cpu_milli_ = 1000;
    step.demand_.memory_mb_ = 10;
    step.estimate_ms_ = 50;
    if (s > 0) {
      step.after_ = {s - 1};
    }
    record.steps_.push_back(step);
    jobs_[id].push_back(step.count_);
  }
  store_.Put(JobKey(id), EncodeJob(record));
  Tell("", fmt::format("job {} is accepted", id));
}

auto World::EndLease(ModelWorker& worker) -> void {
  if (worker.is_down_ || worker.ClockMs() <= worker.deadline_ms_) {
    return;
  }
  while (left_out_ != LeftOut::kLeases && !worker.running_.empty()) {
    // A copy: Finish removes the run together with its key.
    const auto task = worker.running_.begin()->first;
    Finish(worker, task, RunEnd::kLapsed);
  }
  OnLapse(worker);
}

auto World::TickWorker(ModelWorker& worker, Millis now_ms) -> void {
  if (worker.is_down_) {
    return;
  }
  EndLease(worker);
  std::vector<std::string> over;
  for (const auto& [task, run] : worker.running_) {
    if (now_ms >= run.ends_ms_) {
      over.push_back(task);
    }
  }
  for (const auto& task : over) {
    Finish(worker, task, worker.running_.at(task).end_);
  }
}

auto World::Tick() -> void {
  const auto now = MonotonicMs();
  if (now - last_tick_ms_ > kLateMs) {
    Tell("",
         fmt::format("the loop stood still for {} ms", now - last_tick_ms_));
  }
  last_tick_ms_ = now;
  for (auto& [id, worker] : workers_) {
    TickWorker(worker, now);
  }
  if (is_finished_) {
    return;
  }
  const auto elapsed = now - began_ms_;
  if (static_cast<int>(jobs_.size()) < kJobs &&
      elapsed * kJobs > static_cast<Millis>(jobs_.size()) * kFaultsMs) {
    Submit();
  }
  if (elapsed < kFaultsMs && now >= next_fault_ms_) {
    next_fault_ms_ = now + Between(40, 400);
    CauseFault();
  }
  if (elapsed > kFaultsMs + kPatienceMs) {
    Violate("not all jobs ended");
    is_finished_ = true;
  } else if (elapsed > kFaultsMs + kTellingMs &&
             left_out_ != LeftOut::kNothing) {
    is_finished_ = true;
  } else if (elapsed > kFaultsMs) {
    CheckEnd();
  }
}

auto World::CheckEnd() -> void {
  for (const auto& [id, steps] : jobs_) {
    const auto progress = DecodeProgress(store_.Get(ProgressKey(id)));
    if (!progress.ok() || progress->state_ != JobState::kCompleted) {
      return;
    }
    for (std::size_t s = 0; s < steps.size(); ++s) {
      for (auto i = 0; i < steps[s]; ++i) {
        const auto task = TaskId{id, 0, static_cast<int>(s), i}.ToString();
        if (!histories_[task].is_done_) {
          Violate(task + " was never done, but its job is recorded so");
        }
      }
    }
  }
  is_finished_ = true;
}

}  // namespace lentilscale::fleet
