// Counts of the crashes of workers under a job's tasks and gangs.

#include <utility>

#include "fleet/job.h"

namespace lentilscale::fleet {

auto Job::MarkCrashed(StepRun& step, int index, std::int64_t run, bool is_alone)
    -> bool {
  const auto is_new = CountCrash(step, index, run, is_alone);
  FailIfCrashing(step, index);
  return is_new;
}

auto Job::CountCrash(StepRun& step, int index, std::int64_t run, bool is_alone)
    -> bool {
  auto& crashes = progress_.crashes_[CounterName(step, index)];
  if (!crashes.runs_.insert(run).second) {
    return false;
  }
  if (is_alone) {
    crashes.lone_runs_.insert(run);
  }
  return true;
}

auto Job::IsAtCrashLimit(const StepRun& step, int index) const -> bool {
  const auto* crashes = FindCrashes(step, index);
  return crashes != nullptr && !step.step_->is_long_running_ &&
         (crashes->runs_.size() >= kMaxCrashes ||
          crashes->lone_runs_.size() >= kMaxLoneCrashes);
}

auto Job::FailIfCrashing(const StepRun& step, int index) -> bool {
  if (IsEnded() || !IsAtCrashLimit(step, index)) {
    return false;
  }
  SetState(JobState::kFailed);
  return true;
}

auto Job::SetUndecided(const StepRun& step, int index, std::int64_t run,
                       UndecidedCrash crash) -> void {
  progress_.crashes_[CounterName(step, index)].undecided_[run] =
      std::move(crash);
}

auto Job::ClearUndecided(const StepRun& step, int index, std::int64_t run)
    -> bool {
  const auto it = progress_.crashes_.find(CounterName(step, index));
  return it != progress_.crashes_.end() && it->second.undecided_.erase(run) > 0;
}

auto Job::ExcuseCrash(const StepRun& step, int index, std::int64_t run)
    -> bool {
  const auto it = progress_.crashes_.find(CounterName(step, index));
  if (it == progress_.crashes_.end() || it->second.runs_.erase(run) == 0) {
    return false;
  }
  it->second.lone_runs_.erase(run);
  it->second.undecided_.erase(run);
  if (it->second.runs_.empty() && it->second.ordered_run_ == 0) {
    progress_.crashes_.erase(it);
  }
  return true;
}

auto Job::FindCrashes(const StepRun& step, int index) const
    -> const CrashRecord* {
  if (progress_.crashes_.empty()) {
    return nullptr;
  }
  const auto it = progress_.crashes_.find(CounterName(step, index));
  return it == progress_.crashes_.end() ? nullptr : &it->second;
}

auto Job::SetOrderedRun(const StepRun& step, int index, std::int64_t run,
                        std::vector<WorkerLife> workers) -> void {
  auto& crashes = progress_.crashes_[CounterName(step, index)];
  crashes.ordered_run_ = run;
  crashes.ordered_on_ = std::move(workers);
}

auto Job::ClearOrderedRun(const StepRun& step, int index, std::int64_t run)
    -> void {
  const auto it = progress_.crashes_.find(CounterName(step, index));
  if (it != progress_.crashes_.end() && it->second.ordered_run_ == run) {
    it->second.ordered_run_ = 0;
    it->second.ordered_on_.clear();
  }
}

auto Job::ForgetCrashes(const StepRun& step, int index) -> void {
  progress_.crashes_.erase(CounterName(step, index));
}

}  // namespace lentilscale::fleet
