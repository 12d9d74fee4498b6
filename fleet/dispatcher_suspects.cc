// Starts of tasks that are suspected of crashes (dispatcher_crashes.cc).
//
// Suspects are told apart by their next starts: no two of them share a worker,
// and whenever possible a suspect runs alone, so that a crash then is its own.
//
// A suspect is started in two steps. First the crashes and the next run with
// its workers are written to the job's progress record, while the workers are
// kept for it; once that is durable, the run is ordered. A new owner that finds
// the workers in another life therefore counts the crash, too.

#include <algorithm>
#include <limits>
#include <utility>

#include "fleet/dispatcher.h"
#include "fleet/store_keys.h"

namespace lentilscale::fleet {
namespace {

// At most one worker in this many of a service runs suspects, or is kept for
// one, but always at least one may: each of them may be about to crash.
constexpr std::size_t kSuspectWorkerDivisor = 4;
// A suspect waits at most this long for a worker to become empty.
constexpr Millis kMaxLoneWaitMs = 1500;
// Workers are kept for a start at most this long, for example while its team is
// at its limit.
constexpr Millis kMaxReservationMs = 3000;
// A task with a single crash waits at most this long for a worker without other
// suspects. A crash makes suspects of all tasks that were there, most of which
// did nothing; if each waited for a worker of its own, they would not run for
// minutes.
constexpr Millis kMaxIsolationWaitMs = 1000;
// A task crashes its worker when it starts. A run that has lasted for this long
// is no suspect any more, and other tasks may be placed beside it.
constexpr Millis kSuspicionMs = 3000;
// A lasting task's crashes are forgotten once it has run for this long.
constexpr Millis kCrashMemoryMs = 10000;
// Added to the score of an empty worker; larger than all other scores together.
constexpr double kEmptyWorkerBonus = 1000;
constexpr double kLastFailurePenalty = 20;

}  // namespace

auto Dispatcher::IsSuspect(const StepRun& step, int index) const -> bool {
  const auto* crashes = step.job_->FindCrashes(step, index);
  return crashes != nullptr && !crashes->runs_.empty();
}

auto Dispatcher::NeedsIsolation(const StepRun& step, int index,
                                Millis now_ms) const -> bool {
  if (!IsSuspect(step, index)) {
    return false;
  }
  const auto& job = *step.job_;
  return job.IsAtCrashLimit(step, index) ||
         job.FindCrashes(step, index)->runs_.size() > 1 ||
         !recorder_.IsDurable(ProgressKey(job.record().id_),
                              job.crash_version_) ||
         now_ms - step.tasks_[static_cast<std::size_t>(index)]
                      .waiting_since_ms_ <
             kMaxIsolationWaitMs;
}

auto Dispatcher::MarkAdoptedSuspects(FleetWorker& worker) -> void {
  for (auto& [key, run] : worker.runs_) {
    auto* job = FindJob(run.task_.job_);
    const auto* step =
        job == nullptr ? nullptr
                       : job->FindStep(run.task_.occurrence_, run.task_.step_);
    if (step != nullptr && run.phase_ == PlacedRun::Phase::kRunning &&
        IsSuspect(*step, run.task_.index_)) {
      worker.MarkSuspect(run, worker.runs_.size() == 1);
    }
  }
}

auto Dispatcher::CheckSuspects(Millis now_ms) -> void {
  crash_detector_.Expire(now_ms);
  DecideOpenCrashes(now_ms);
  ForgetExcusedSuspects(now_ms);
  for (auto& [id, worker] : workers_) {
    if (worker.hold_failures_ > 0) {
      continue;
    }
    for (auto& [key, run] : worker.runs_) {
      const auto age_ms = now_ms - run.started_ms_;
      if (run.phase_ != PlacedRun::Phase::kRunning || age_ms < kSuspicionMs) {
        continue;
      }
      worker.ClearSuspect(run);
      if (!run.is_long_running_ || age_ms < kCrashMemoryMs) {
        continue;
      }
      // A task that lasts would otherwise collect unrelated crashes for ever.
      auto* job = FindJob(run.task_.job_);
      const auto* step = job == nullptr ? nullptr
                                        : job->FindStep(run.task_.occurrence_,
                                                        run.task_.step_);
      if (step != nullptr && !job->IsEnded() &&
          IsSuspect(*step, run.task_.index_)) {
        job->ForgetCrashes(*step, run.task_.index_);
        MarkJobDirty(run.task_.job_);
      }
    }
  }
}

auto Dispatcher::ReleaseSuspectStart(const std::string& name) -> void {
  suspect_starts_.erase(name);
  for (auto& [id, worker] : workers_) {
    if (worker.reserved_for_suspect_ == name) {
      worker.reserved_for_suspect_.clear();
    }
  }
}

auto Dispatcher::ReleaseUnneededSuspectStarts(Millis now_ms) -> void {
  std::vector<std::string> unneeded;
  for (const auto& [name, start] : suspect_starts_) {
    auto* job = FindJob(start.task_.job_);
    const auto* task = job == nullptr ? nullptr : job->FindTask(start.task_);
    if (task == nullptr || job->IsEnded() ||
        task->phase_ != Task::Phase::kWaiting ||
        task->highest_run_ >= start.run_ ||
        now_ms - start.assigned_ms_ > kMaxReservationMs) {
      unneeded.push_back(name);
    }
  }
  for (const auto& name : unneeded) {
    ReleaseSuspectStart(name);
  }
}

auto Dispatcher::IsSuspectStartPossible(const SuspectStart& start,
                                        const StepRun& step, const Queue& queue,
                                        Millis now_ms) const -> bool {
  std::map<std::string, Resources> demands;
  for (const auto& life : start.workers_) {
    demands[life.worker_] += CapacityDemand(*step.step_);
  }
  return std::all_of(start.workers_.begin(), start.workers_.end(),
                     [&](const WorkerLife& life) {
                       const auto it = workers_.find(life.worker_);
                       if (it == workers_.end() ||
                           it->second.incarnation_ != life.incarnation_ ||
                           !MayRunOn(it->second, step, queue, now_ms) ||
                           !HasValidTicket(it->second, step, queue, now_ms)) {
                         return false;
                       }
                       auto free = it->second.entry_.capacity_;
                       free -= it->second.used_;
                       return demands.at(life.worker_).FitsIn(free);
                     });
}

auto Dispatcher::FindSuspectWorker(const StepRun& step, const Queue& queue,
                                   const Task& task,
                                   const std::set<std::string>& chosen,
                                   Millis now_ms) -> FleetWorker* {
  const auto demand = CapacityDemand(*step.step_);
  FleetWorker* best = nullptr;
  auto best_score = -std::numeric_limits<double>::infinity();
  for (auto* worker : services_[queue.service_].usable_workers_) {
    const auto is_chosen = chosen.contains(worker->entry_.id_);
    // Of what is kept, a suspect heeds only the room of overdue steps.
    const auto free = worker->FreeCapacityFor(step.name_, kOverduePriority);
    if ((!is_chosen &&
         (worker->IsKeptForSuspect() || worker->suspect_runs_ > 0)) ||
        !demand.FitsIn(free) || !MayRunOn(*worker, step, queue, now_ms) ||
        !HasValidTicket(*worker, step, queue, now_ms)) {
      continue;
    }
    auto score = ScoreWorker(*worker, step);
    score += worker->runs_.empty() ? kEmptyWorkerBonus : 0;
    score -= worker->entry_.id_ == task.failed_on_ ? kLastFailurePenalty : 0;
    if (score > best_score) {
      best = worker;
      best_score = score;
    }
  }
  return best;
}

auto Dispatcher::AssignSuspect(const WaitingStep& waiting, int first, int count,
                               Millis now_ms) -> void {
  auto& step = *waiting.step_;
  const auto& queue = *waiting.queue_;
  auto& service = services_[queue.service_];
  const auto demand = CapacityDemand(*step.step_);
  std::set<std::string> chosen;
  std::vector<WorkerLife> lives;
  std::vector<FleetWorker*> members;
  for (auto i = first; i < first + count; ++i) {
    auto* worker = FindSuspectWorker(
        step, queue, step.tasks_[static_cast<std::size_t>(i)], chosen, now_ms);
    if (worker == nullptr) {
      break;
    }
    chosen.insert(worker->entry_.id_);
    members.push_back(worker);
    lives.push_back(worker->Life());
    worker->used_ += demand;
    ++step.runs_per_worker_[worker->entry_.id_];
  }
  for (auto* worker : members) {
    worker->used_ -= demand;
    --step.runs_per_worker_[worker->entry_.id_];
  }
  if (static_cast<int>(members.size()) < count) {
    MakeWorkersExclusive(step, queue, count, now_ms);
    AddPendingAdvice(waiting, count, now_ms);
    return;
  }
  // A gang may take more workers than the limit if no other suspect runs.
  const auto limit =
      std::max<std::size_t>(1, service.worker_count_ / kSuspectWorkerDivisor);
  if (service.suspect_workers_ > 0 &&
      service.suspect_workers_ + chosen.size() > limit) {
    return;
  }
  std::int64_t run = 0;
  for (auto i = first; i < first + count; ++i) {
    run =
        std::max(run, NextRunNumber(step.tasks_[static_cast<std::size_t>(i)]));
  }
  const auto id = step.TaskIdAt(first);
  const auto name = SuspectName(id);
  service.suspect_workers_ += chosen.size();
  for (auto* worker : members) {
    worker->reserved_for_suspect_ = name;
  }
  step.job_->SetOrderedRun(step, first, run, lives);
  suspect_starts_[name] = {id, run, std::move(lives), MarkJobDirty(id.job_),
                           now_ms};
}

auto Dispatcher::PlaceSuspect(const WaitingStep& waiting, int first, int count,
                              Millis now_ms) -> bool {
  auto& step = *waiting.step_;
  const auto name = SuspectName(step.TaskIdAt(first));
  if (undecided_suspects_.contains(name)) {
    return false;
  }
  auto it = suspect_starts_.find(name);
  if (it != suspect_starts_.end() &&
      !IsSuspectStartPossible(it->second, step, *waiting.queue_, now_ms)) {
    ReleaseSuspectStart(name);
    it = suspect_starts_.end();
  }
  if (it == suspect_starts_.end()) {
    AssignSuspect(waiting, first, count, now_ms);
    return false;
  }
  const auto start = it->second;
  if (!recorder_.IsDurable(ProgressKey(start.task_.job_),
                           start.record_version_)) {
    return false;
  }
  const auto is_empty =
      std::all_of(start.workers_.begin(), start.workers_.end(),
                  [&](const WorkerLife& life) {
                    return workers_.at(life.worker_).runs_.empty();
                  });
  const auto crashes = step.job_->FindCrashes(step, first)->runs_.size();
  const auto& task = step.tasks_[static_cast<std::size_t>(first)];
  if (!is_empty && crashes > 1 &&
      now_ms - task.waiting_since_ms_ < kMaxLoneWaitMs) {
    return false;
  }
  for (auto i = 0; i < count; ++i) {
    auto& worker =
        workers_.at(start.workers_[static_cast<std::size_t>(i)].worker_);
    StartTask(step, first + i, worker, start.run_, now_ms);
    worker.MarkSuspect(
        *worker.Find(step.TaskIdAt(first + i).ToString(), start.run_),
        is_empty);
  }
  ReleaseSuspectStart(name);
  return true;
}

}  // namespace lentilscale::fleet
