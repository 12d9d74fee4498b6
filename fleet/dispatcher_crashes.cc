// Crashes of workers, and the starts of tasks that may have caused them.
//
// All tasks that had just been started on a worker when it crashed are
// suspects, although usually one of them did it; how they are told apart is in
// dispatcher_suspects.cc. A task under which workers keep crashing is given up,
// see Job::IsAtCrashLimit. What had run for longer is not suspected: a long
// task would be given up for the crashes that others cause. Nor is a start that
// timed out, if the worker gave no sign after it: a worker that crashes ends
// its connections, one that is cut off does not, and may never have got the
// start.
//
// When many workers of a data centre crash together, the crashes accuse nobody
// (common_crash.h). The first of them is seen before the others, so that a
// crash is counted at once, and is taken back when the others have shown. A
// task is given up only after the time that this takes, and is not started
// meanwhile. What is not decided yet is in the job's progress record.

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "fleet/dispatcher.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// A task crashes its worker when it starts. A run that the worker has listed
// for this long after its start was answered did not; this age is proved.
constexpr Millis kProvedSuspicionMs = 1500;
// Workers that have crashed together answer again within this time.
constexpr Millis kCommonCrashMs = 2000;
// A task that was excused of a crash is remembered for this long.
constexpr Millis kExcuseMemoryMs = 60000;
// Tasks named in the log line of a crash.
constexpr std::size_t kMaxLoggedTasks = 5;

// Returns when the worker's latest known life began, by its time of day.
auto BornMs(const FleetWorker& worker) -> std::int64_t {
  return std::max(worker.incarnation_, worker.entry_.incarnation_);
}

auto LostRunOf(const PlacedRun& run) -> LostRun {
  return {run.task_, run.run_, !run.is_start_unanswered_,
          run.ProvedAgeMs() >= kProvedSuspicionMs,
          run.is_start_unanswered_ && run.is_start_silent_};
}

}  // namespace

auto Dispatcher::AddCrashSuspects(const FleetWorker& worker,
                                  const std::vector<PlacedRun>& lost) -> void {
  for (const auto& run : lost) {
    crash_detector_.AddLostRun(worker.Life(), LostRunOf(run), BootMs());
  }
}

auto Dispatcher::AddRecoveredSuspects(Job& job) -> void {
  const auto to_id = [&](const std::string& name, std::size_t member) {
    const auto task = job.record().id_ + "." + name;
    const auto id = TaskId::FromString(task);
    // The name of a gang has no index.
    return id.has_value()
               ? id
               : TaskId::FromString(task + "." + std::to_string(member));
  };
  for (const auto& [name, crashes] : job.crashes()) {
    for (std::size_t i = 0; i < crashes.ordered_on_.size(); ++i) {
      if (const auto id = to_id(name, i); id.has_value()) {
        // Whether the order was sent is not known.
        crash_detector_.AddLostRun(crashes.ordered_on_[i],
                                   {*id, crashes.ordered_run_, false, false},
                                   BootMs());
      }
    }
    for (const auto& [run, crash] : crashes.undecided_) {
      if (const auto id = to_id(name, 0); id.has_value()) {
        AddUndecidedCrash(job, *id, run, crash);
      }
    }
  }
}

auto Dispatcher::AddUndecidedCrash(Job& job, const TaskId& task,
                                   std::int64_t run,
                                   const UndecidedCrash& crash) -> void {
  const auto* step = job.FindStep(task.occurrence_, task.step_);
  if (step == nullptr) {
    return;
  }
  if (job.IsAtCrashLimit(*step, task.index_)) {
    undecided_suspects_.insert(SuspectName(task));
  }
  auto open = std::find_if(
      open_crashes_.begin(), open_crashes_.end(), [&](const OpenCrash& other) {
        const auto& life = other.crash_.life_;
        return life.worker_ == crash.life_.worker_ &&
               life.incarnation_ == crash.life_.incarnation_;
      });
  if (open == open_crashes_.end()) {
    open = open_crashes_.insert(open,
                                {{crash.life_, {}},
                                 crash.next_worker_,
                                 crash.service_,
                                 {crash.data_centre_, crash.next_born_, true},
                                 BootMs() + kCommonCrashMs});
  }
  open->crash_.runs_.push_back({task, run, true});
}

auto Dispatcher::WorkersAt(const std::string& address)
    -> std::vector<FleetWorker*> {
  if (!are_addresses_current_) {
    are_addresses_current_ = true;
    ids_by_address_.clear();
    for (const auto& [id, worker] : workers_) {
      if (!worker.entry_.address_.empty()) {
        ids_by_address_[worker.entry_.address_].push_back(id);
      }
    }
  }
  std::vector<FleetWorker*> found;
  if (const auto ids = ids_by_address_.find(address);
      ids != ids_by_address_.end()) {
    for (const auto& id : ids->second) {
      if (const auto it = workers_.find(id); it != workers_.end()) {
        found.push_back(&it->second);
      }
    }
  }
  return found;
}

auto Dispatcher::DetectCrashes(FleetWorker& worker,
                               std::int64_t former_incarnation,
                               const HoldResult& result) -> std::vector<Crash> {
  const auto now = BootMs();
  const auto life = worker.Life();
  if (former_incarnation != worker.incarnation_) {
    ++births_;
    worker.crashed_jobs_.clear();
    worker.had_known_suspect_ = false;
    const auto call_ms =
        worker.reborn_call_ms_ != 0 ? worker.reborn_call_ms_ : result.sent_ms_;
    for (const auto& [key, run] : worker.runs_) {
      const RunRef ref{key.first, key.second};
      const auto is_listed =
          std::any_of(result.running_.begin(), result.running_.end(),
                      [&](const auto& running) { return running.run_ == ref; });
      // A start that was sent after the call went to the new life.
      if (!is_listed && run.started_ms_ < call_ms) {
        crash_detector_.AddLostRun(
            {life.worker_, former_incarnation, life.address_}, LostRunOf(run),
            now);
      }
    }
    for (const auto* other : WorkersAt(life.address_)) {
      if (other == &worker) {
        continue;
      }
      for (const auto& [key, run] : other->runs_) {
        crash_detector_.AddLostRun(other->Life(), LostRunOf(run), now);
      }
    }
  }
  return crash_detector_.OnAnswer(life);
}

auto Dispatcher::SuspectName(const TaskId& id) -> std::string {
  auto* job = FindJob(id.job_);
  const auto* step =
      job == nullptr ? nullptr : job->FindStep(id.occurrence_, id.step_);
  return step != nullptr && step->step_->is_gang_ ? step->name_ : id.ToString();
}

auto Dispatcher::IsKnownSuspect(const LostRun& run) -> bool {
  const auto excused = excused_suspects_.find(SuspectName(run.task_));
  if (excused != excused_suspects_.end() && excused->second.run_ != run.run_) {
    return true;
  }
  auto* job = FindJob(run.task_.job_);
  const auto* step =
      job == nullptr ? nullptr
                     : job->FindStep(run.task_.occurrence_, run.task_.step_);
  const auto* crashes =
      step == nullptr ? nullptr : job->FindCrashes(*step, run.task_.index_);
  return crashes != nullptr &&
         crashes->runs_.size() > (crashes->runs_.contains(run.run_) ? 1U : 0U);
}

auto Dispatcher::CountCrash(const Crash& crash, FleetWorker& worker) -> void {
  std::set<std::string> names;
  std::string logged;
  OpenCrash open{{crash.life_, {}},
                 worker.entry_.id_,
                 worker.entry_.service_,
                 {worker.entry_.data_centre_, worker.incarnation_, true},
                 BootMs() + kCommonCrashMs};
  for (const auto& run : crash.runs_) {
    if (run.has_lasted_ || run.is_silent_) {
      continue;
    }
    open.crash_.runs_.push_back(run);
    worker.crashed_jobs_.insert(run.task_.job_);
    worker.had_known_suspect_ |= IsKnownSuspect(run);
    if (names.insert(SuspectName(run.task_)).second &&
        names.size() <= kMaxLoggedTasks) {
      absl::StrAppend(&logged, logged.empty() ? "" : " ", run.task_.ToString());
    }
  }
  metrics_->Increment(FleetCounter::kWorkersCrashed);
  LogEvent(Event::kFleetWorkerCrashed,
           {{"worker", crash.life_.worker_},
            {"born", std::to_string(crash.life_.incarnation_)},
            {"runs", std::to_string(crash.runs_.size())},
            {"suspects", std::to_string(names.size())},
            {"tasks", logged}});
  for (const auto& run : open.crash_.runs_) {
    auto* job = FindJob(run.task_.job_);
    const auto* task = job == nullptr ? nullptr : job->FindTask(run.task_);
    if (task == nullptr || job->IsEnded() ||
        task->phase_ == Task::Phase::kDone) {
      continue;
    }
    auto& step = *job->FindStep(run.task_.occurrence_, run.task_.step_);
    if (!job->CountCrash(step, run.task_.index_, run.run_,
                         names.size() == 1 && run.has_started_)) {
      continue;
    }
    job->SetUndecided(
        step, run.task_.index_, run.run_,
        {open.crash_.life_, open.worker_, open.birth_.born_unix_ms_,
         open.service_, open.birth_.data_centre_});
    const auto name = SuspectName(run.task_);
    if (job->IsAtCrashLimit(step, run.task_.index_)) {
      undecided_suspects_.insert(name);
    }
    const auto version = MarkJobDirty(run.task_.job_);
    job->crash_version_ = version;
    if (const auto start = suspect_starts_.find(name);
        start != suspect_starts_.end()) {
      start->second.record_version_ = version;
    }
  }
  if (!open.crash_.runs_.empty()) {
    ExcuseCommonCrash(open);
    open_crashes_.push_back(std::move(open));
  }
}

auto Dispatcher::LatestWorkers(const std::string& service) const
    -> std::map<std::string, const FleetWorker*> {
  std::map<std::string, const FleetWorker*> latest;
  for (const auto& [id, worker] : workers_) {
    if (worker.entry_.service_ != service) {
      continue;
    }
    auto& known = latest[worker.entry_.address_];
    if (known == nullptr || BornMs(*known) < BornMs(worker)) {
      known = &worker;
    }
  }
  return latest;
}

auto Dispatcher::ExcuseCommonCrash(OpenCrash& open) -> void {
  std::vector<WorkerBirth> others;
  std::vector<const FleetWorker*> workers;
  for (const auto& [address, worker] : LatestWorkers(open.service_)) {
    if (address != open.crash_.life_.address_ &&
        worker->entry_.id_ != open.worker_) {
      others.push_back({worker->entry_.data_centre_, BornMs(*worker), false});
      workers.push_back(worker);
    }
  }
  std::map<std::string, bool> is_common;
  std::vector<LostRun> excused;
  for (const auto& run : open.crash_.runs_) {
    const auto& id = run.task_.job_;
    if (!is_common.contains(id)) {
      for (std::size_t i = 0; i < others.size(); ++i) {
        others[i].had_suspect_ = workers[i]->had_known_suspect_ ||
                                 workers[i]->crashed_jobs_.contains(id);
      }
      is_common[id] = IsCommonCrash(open.birth_, others);
    }
    if (is_common[id]) {
      excused.push_back(run);
    }
  }
  if (excused.empty()) {
    return;
  }
  std::erase_if(open.crash_.runs_,
                [&](const LostRun& run) { return is_common[run.task_.job_]; });
  std::string logged;
  for (std::size_t i = 0; i < excused.size(); ++i) {
    const auto& run = excused[i];
    if (i < kMaxLoggedTasks) {
      absl::StrAppend(&logged, logged.empty() ? "" : " ", run.task_.ToString());
    }
    auto* job = FindJob(run.task_.job_);
    if (job == nullptr || job->IsEnded() ||
        job->FindTask(run.task_) == nullptr) {
      continue;
    }
    auto& step = *job->FindStep(run.task_.occurrence_, run.task_.step_);
    const auto was_counted = job->ExcuseCrash(step, run.task_.index_, run.run_);
    const auto name = SuspectName(run.task_);
    excused_suspects_[name] = {run.task_, run.run_, BootMs()};
    if (!job->IsAtCrashLimit(step, run.task_.index_)) {
      undecided_suspects_.erase(name);
    }
    if (!was_counted) {
      continue;
    }
    if (const auto start = suspect_starts_.find(name);
        start != suspect_starts_.end()) {
      job->ClearOrderedRun(step, run.task_.index_, start->second.run_);
      ReleaseSuspectStart(name);
    }
    MarkJobDirty(run.task_.job_);
  }
  LogEvent(Event::kFleetCrashExcused,
           {{"worker", open.crash_.life_.worker_},
            {"born", std::to_string(open.crash_.life_.incarnation_)},
            {"runs", std::to_string(excused.size())},
            {"tasks", logged}});
  RequestPlacementPass();
}

auto Dispatcher::GiveUpCrashingTasks(const Crash& crash) -> void {
  for (const auto& run : crash.runs_) {
    undecided_suspects_.erase(SuspectName(run.task_));
    auto* job = FindJob(run.task_.job_);
    const auto* task = job == nullptr ? nullptr : job->FindTask(run.task_);
    if (task == nullptr || task->phase_ == Task::Phase::kDone) {
      continue;
    }
    const auto& step = *job->FindStep(run.task_.occurrence_, run.task_.step_);
    if (job->ClearUndecided(step, run.task_.index_, run.run_)) {
      MarkJobDirty(run.task_.job_);
    }
    if (!job->FailIfCrashing(step, run.task_.index_)) {
      continue;
    }
    const auto* crashes = job->FindCrashes(step, run.task_.index_);
    metrics_->Increment(FleetCounter::kTasksGivenUp);
    LogEvent(Event::kFleetTaskGivenUp,
             {{"task", run.task_.ToString()},
              {"run", std::to_string(run.run_)},
              {"crashes", std::to_string(crashes->runs_.size())},
              {"alone", std::to_string(crashes->lone_runs_.size())}});
    OnJobEnded(*job);
  }
}

auto Dispatcher::MarkCrashedJobs(const OpenCrash& open) -> void {
  const auto worker = workers_.find(open.worker_);
  if (worker == workers_.end() ||
      BornMs(worker->second) != open.birth_.born_unix_ms_) {
    return;
  }
  for (const auto& run : open.crash_.runs_) {
    worker->second.crashed_jobs_.insert(run.task_.job_);
  }
}

auto Dispatcher::DecideOpenCrashes(Millis now_ms) -> void {
  const auto has_news = compared_births_ != births_;
  compared_births_ = births_;
  for (const auto& open : open_crashes_) {
    MarkCrashedJobs(open);
  }
  std::vector<OpenCrash> still_open;
  for (auto& open : std::exchange(open_crashes_, {})) {
    const auto is_decided = is_worker_list_read_ && now_ms >= open.decided_ms_;
    if (has_news || is_decided) {
      ExcuseCommonCrash(open);
    }
    if (is_decided) {
      GiveUpCrashingTasks(open.crash_);
    } else if (!open.crash_.runs_.empty()) {
      still_open.push_back(std::move(open));
    }
  }
  open_crashes_ = std::move(still_open);
  if (open_crashes_.empty()) {
    undecided_suspects_.clear();
  }
}

auto Dispatcher::ForgetExcusedSuspects(Millis now_ms) -> void {
  std::erase_if(excused_suspects_, [&](const auto& entry) {
    const auto& suspect = entry.second;
    auto* job = FindJob(suspect.task_.job_);
    const auto* task = job == nullptr ? nullptr : job->FindTask(suspect.task_);
    if (task == nullptr || job->IsEnded() ||
        task->phase_ == Task::Phase::kDone ||
        now_ms - suspect.excused_ms_ > kExcuseMemoryMs) {
      return true;
    }
    if (task->phase_ != Task::Phase::kPlaced || task->run_ == suspect.run_) {
      return false;
    }
    const auto worker = workers_.find(task->worker_);
    const auto* run =
        worker == workers_.end()
            ? nullptr
            : worker->second.Find(suspect.task_.ToString(), task->run_);
    return run != nullptr && run->ProvedAgeMs() >= kProvedSuspicionMs;
  });
}

}  // namespace lentilscale::fleet
