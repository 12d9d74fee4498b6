// What belongs to all owners, the store, the workers and the instances that
// take jobs, is the world's; an owner is one process, which can be lost with
// all that it knows. Its calls that are on their way then still arrive.

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
constexpr Millis kAfterTrafficMs = 14000;
constexpr Millis kTickMs = 5;
constexpr Millis kBeatMs = 500;
constexpr Millis kReportIntervalMs = 300;
// Time after which the record of a lost owner is gone.
constexpr Millis kOwnerLeaseMs = 1500;
// The objective counts one advice call about this many workers for a step.
constexpr double kObjectiveAdviceWorkers = 30;
constexpr double kSpeeds[] = {0.8, 1.0, 1.25};
constexpr double kMsPerS = 1000;
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

// Returns the first time of a beat after `now_ms`.
auto NextBeatMs(Millis now_ms) -> Millis {
  return now_ms - now_ms % kBeatMs + kBeatMs;
}

}  // namespace

struct LoadWorld::OwnerProcess {
  FleetMetrics metrics_;
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
  for (auto i = 0; i < scenario_.instances_; ++i) {
    instances_.push_back(MakeAdvice());
    admissions_.emplace_back(seed + static_cast<unsigned>(i));
  }
  gateway_ = MakeGateway();
  TakeOver();
  began_ms_ = BootMs() + kSettleMs;
  last_submit_ms_ = began_ms_;
  next_beat_ms_ = NextBeatMs(BootMs() - 1);
  tick_ = std::make_unique<RepeatingTimer>(loop, kTickMs, [this] {
    const auto now = BootMs();
    LoseOwnerIfDue(now);
    SubmitDue();
    if (now >= next_beat_ms_) {
      next_beat_ms_ = NextBeatMs(now);
      for (auto i = 1; i < scenario_.instances_ && owner_ != nullptr; ++i) {
        owner_->balancer_->MarkInstanceLive(std::to_string(i), now);
      }
      SampleUse();
    }
    if (scenario_.is_refusing_for_load_ && now >= next_report_ms_) {
      next_report_ms_ = now + kReportIntervalMs;
      SendReports();
    }
    is_finished_ = now > began_ms_ + scenario_.traffic_ms_ + kAfterTrafficMs;
  });
}

LoadWorld::~LoadWorld() = default;

auto LoadWorld::TakeOver() -> void {
  ++epoch_;
  store_.Put(kEpochKey, std::to_string(epoch_));
  const auto revision = store_.Put(kOwnerKey, std::to_string(epoch_));
  owner_ = std::make_unique<OwnerProcess>();
  owner_->balancer_ = std::make_unique<AdviceBalancer>(
      instances_[0].get(),
      [this](const std::string& address, const AdviceRequest& request,
             AdviceGateway::Callback callback) {
        instances_[static_cast<std::size_t>(std::stoi(address))]->RequestAdvice(
            request.step_name_, request.worker_ids_, request.expected_ms_,
            std::move(callback));
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
      loop_, &store_, gateway_.get(), owner_->balancer_.get(),
      &owner_->metrics_, OwnerClaim{epoch_, revision, BootMs(), {}}, options,
      std::move(hooks));
  for (auto& admission : admissions_) {
    admission.Forget();
  }
}

auto LoadWorld::LoseOwnerIfDue(Millis now_ms) -> void {
  if (next_loss_ == scenario_.losses_.size()) {
    return;
  }
  const auto& loss = scenario_.losses_[next_loss_];
  const auto lost_ms = began_ms_ + loss.at_ms_;
  if (owner_ != nullptr && now_ms >= lost_ms) {
    owner_ = nullptr;
  }
  if (now_ms >= lost_ms + loss.take_over_ms_) {
    ++next_loss_;
    TakeOver();
  }
}

// As FleetNode::SendReport does, and the owner's answer.
auto LoadWorld::SendReports() -> void {
  if (owner_ != nullptr) {
    owner_seen_ms_ = BootMs();
  }
  for (auto& admission : admissions_) {
    if (owner_ != nullptr) {
      admission.OnOwnerPresent();
    } else if (BootMs() - owner_seen_ms_ > kOwnerLeaseMs) {
      admission.OnOwnerAbsent(BootMs());
    }
    Later(Between(1, 9), [this, &admission, sent_ms = BootMs()] {
      if (owner_ == nullptr) {
        return;
      }
      Later(Between(1, 9), [this, &admission, sent_ms, epoch = epoch_,
                            waits = owner_->dispatcher_->ExpectedWaits(),
                            shares = owner_->dispatcher_->AdmittedShares()] {
        if (epoch == epoch_) {
          admission.Update(waits, sent_ms, shares);
        }
      });
    });
  }
}

// As ClientApi::RefuseForLoad does.
auto LoadWorld::IsRefusedForLoad(const JobRecord& record) -> bool {
  if (!scenario_.is_refusing_for_load_) {
    return false;
  }
  auto& admission = admissions_[jobs_.size() % admissions_.size()];
  const auto now = BootMs();
  if (!admission.MayRefuse(record.queue_, now)) {
    return false;
  }
  const auto slack_ms = Job(record, ProgressRecord(), false)
                            .SlackMs(*config_->FindQueueByName(record.queue_));
  return slack_ms.has_value() &&
         admission.Refuse(record.queue_, *slack_ms, now).has_value();
}

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
    job.done_.emplace_back();
    chain_ms += work + kind.advice_.decide_ms_ +
                kObjectiveAdviceWorkers * kind.advice_.per_worker_ms_;
    core_ms +=
        work * step.count_ * static_cast<double>(step.demand_.cpu_milli_);
  }
  job.objective_ms_ = std::llround(kind.stretch_ * chain_ms) + kind.target_ms_;
  const auto mean_core_ms = kind.steps_.mean_ * kind.tasks_per_step_.mean_ *
                            kind.work_ms_.mean_ * kind.cpu_milli_.mean_;
  job.credit_ = std::min(kMaxCredit, 0.3 + 0.7 * core_ms / mean_core_ms);
  job.is_refused_ = IsRefusedForLoad(record);
  if (job.is_refused_) {
    return;
  }
  const auto revision = store_.Put(JobKey(id), EncodeJob(record));
  Later(Between(4, 20), [this, id, revision] {
    if (owner_ != nullptr) {
      owner_->dispatcher_->AddJob(jobs_.at(id).record_, revision);
    }
  });
}

}  // namespace lentilscale::fleet
