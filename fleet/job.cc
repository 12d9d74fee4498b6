// Tasks are stored in plain vectors by occurrence and step. The progress record
// lists only occurrences from occurrences_done_ on, so that the record of a job
// that repeats for months stays small. Occurrences may overlap and finish out
// of order; occurrences_done_ is the number of the first unfinished one.

#include "fleet/job.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace lentilscale::fleet {
namespace {

constexpr auto kTaskDone = 'D';
constexpr auto kTaskNotDone = '.';
// The users' definition of the objective adds to the time of each step one
// advice call that names this many workers.
constexpr double kObjectiveAdviceWorkers = 30;
// A late job yields to others until its age reaches this many objectives; after
// three objectives it counts as lost.
constexpr Millis kMaxYieldObjectives = 2;
// Stands for "never" as the time after which a step is late.
constexpr Millis kNeverLateMs = std::numeric_limits<Millis>::max();
// A long-running task has to run again within seconds.
constexpr Millis kMaxLastingWaitMs = 1000;

}  // namespace

auto TaskId::ToString() const -> std::string {
  return fmt::format("{}.{}.{}.{}", job_, occurrence_, step_, index_);
}

auto TaskId::FromString(const std::string& text) -> std::optional<TaskId> {
  const std::vector<std::string> parts = absl::StrSplit(text, '.');
  TaskId id;
  if (parts.size() != 4 || parts[0].empty() ||
      !absl::SimpleAtoi(parts[1], &id.occurrence_) ||
      !absl::SimpleAtoi(parts[2], &id.step_) ||
      !absl::SimpleAtoi(parts[3], &id.index_)) {
    return std::nullopt;
  }
  id.job_ = parts[0];
  return id;
}

auto StepRun::TaskIdAt(int index) const -> TaskId {
  return {job_->record().id_, occurrence_, step_number_, index};
}

auto StepRun::HasWaitedFor(Millis wait_ms, Millis now_ms) const -> bool {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const Task& task) {
    return task.phase_ == Task::Phase::kWaiting &&
           now_ms - task.waiting_since_ms_ >= wait_ms;
  });
}

auto StepRun::WaitingSinceMs() const -> Millis {
  auto since = std::numeric_limits<Millis>::max();
  for (const auto& task : tasks_) {
    if (task.phase_ == Task::Phase::kWaiting) {
      since = std::min(since, task.waiting_since_ms_);
    }
  }
  return since;
}

auto StepRun::IsOverdue(Millis now_ms) const -> bool {
  return step_->is_long_running_ && HasWaitedFor(kMaxLastingWaitMs, now_ms);
}

auto StepRun::IsAllowedOn(const std::string& worker,
                          std::int64_t incarnation) const
    -> std::optional<bool> {
  const auto it = advice_by_worker_.find(worker);
  if (it == advice_by_worker_.end() ||
      (!it->second.is_allowed_ &&
       it->second.worker_incarnation_ != incarnation)) {
    return std::nullopt;
  }
  return it->second.is_allowed_;
}

Job::Job(JobRecord record, ProgressRecord progress, bool may_be_running)
    : record_(std::move(record)),
      progress_(std::move(progress)),
      critical_paths_(record_.steps_.size()),
      may_be_running_(may_be_running),
      next_occurrence_(progress_.occurrences_done_) {
  // A step depends only on steps with lower numbers, so the reverse order
  // completes each critical path before it is extended to a dependency.
  for (auto s = record_.steps_.size(); s-- > 0;) {
    auto& path = critical_paths_[s];
    path.work_ms_ += record_.steps_[s].estimate_ms_;
    ++path.step_count_;
    for (const auto dependency : record_.steps_[s].after_) {
      auto& dependency_path =
          critical_paths_[static_cast<std::size_t>(dependency)];
      if (path.work_ms_ > dependency_path.work_ms_) {
        dependency_path = path;
      }
    }
  }
}

auto Job::RemainingMs(int step, const Queue& queue) const -> Millis {
  const auto& path = critical_paths_[static_cast<std::size_t>(step)];
  const auto advice_ms =
      queue.advice_.has_value()
          ? queue.advice_->decide_ms_ +
                kObjectiveAdviceWorkers * queue.advice_->per_worker_ms_
          : 0.0;
  return path.work_ms_ + static_cast<Millis>(path.step_count_ * advice_ms);
}

auto Job::WorkMs(const Queue& queue) const -> Millis {
  Millis longest = 0;
  for (std::size_t s = 0; s < record_.steps_.size(); ++s) {
    longest = std::max(longest, RemainingMs(static_cast<int>(s), queue));
  }
  return longest;
}

auto Job::ObjectiveMs(const Queue& queue) const -> Millis {
  if (std::any_of(record_.steps_.begin(), record_.steps_.end(),
                  [](const Step& step) { return step.is_long_running_; })) {
    return 0;
  }
  return static_cast<Millis>(queue.stretch_ *
                             static_cast<double>(WorkMs(queue))) +
         queue.target_ms_;
}

auto Job::LatenessTimesOf(const StepRun& step, const Queue& queue) const
    -> LatenessTimes {
  const auto objective = ObjectiveMs(queue);
  if (objective == 0) {
    return {kNeverLateMs, 0};
  }
  const auto due = record_.repeat_count_ == 0 ? record_.accepted_ms_
                                              : DueMs(step.occurrence_);
  return {due + objective - RemainingMs(step.step_number_, queue),
          due + kMaxYieldObjectives * objective};
}

auto Job::IsLate(const StepRun& step, const Queue& queue, Millis wall_ms) const
    -> bool {
  return LatenessTimesOf(step, queue).IsLate(wall_ms);
}

auto Job::SlackMs(const Queue& queue) const -> std::optional<Millis> {
  const auto objective = ObjectiveMs(queue);
  if (objective == 0) {
    return std::nullopt;
  }
  return std::max<Millis>(0, objective - WorkMs(queue));
}

auto Job::IsYielding(const StepRun& step, const Queue& queue,
                     Millis wall_ms) const -> bool {
  return LatenessTimesOf(step, queue).IsYielding(wall_ms);
}

auto Job::NextDueMs() const -> Millis {
  if (IsEnded() || record_.repeat_count_ == 0 ||
      next_occurrence_ >= record_.repeat_count_) {
    return 0;
  }
  // 0 would mean that there is none.
  return std::max<Millis>(1, DueMs(next_occurrence_));
}

auto Job::DueMs(std::int64_t occurrence) const -> Millis {
  return record_.first_due_ms_ + occurrence * record_.interval_ms_;
}

auto Job::IsUpcoming(std::int64_t occurrence) const -> bool {
  return !IsEnded() && occurrence >= next_occurrence_ &&
         occurrence < std::max<std::int64_t>(record_.repeat_count_, 1);
}

auto Job::CreateDueOccurrences(Millis wall_ms, Millis now_ms)
    -> std::vector<StepRun*> {
  std::vector<StepRun*> ready;
  if (IsEnded()) {
    return ready;
  }
  if (record_.repeat_count_ == 0) {
    if (next_occurrence_ == 0) {
      ready = AddOccurrence(next_occurrence_++, now_ms);
    }
    return ready;
  }
  // What the record lists was due by the clock of an earlier owner.
  const auto last_recorded =
      progress_.done_.empty() ? -1 : progress_.done_.rbegin()->first;
  while (next_occurrence_ < record_.repeat_count_ &&
         (next_occurrence_ <= last_recorded ||
          (DueMs(next_occurrence_) <= wall_ms &&
           open_occurrences_.size() < kMaxOpenOccurrences))) {
    const auto added = AddOccurrence(next_occurrence_++, now_ms);
    ready.insert(ready.end(), added.begin(), added.end());
  }
  return ready;
}

auto Job::AddOccurrence(std::int64_t number, Millis now_ms)
    -> std::vector<StepRun*> {
  auto& steps = occurrences_[number];
  const auto recorded = progress_.done_.find(number);
  for (std::size_t s = 0; s < record_.steps_.size(); ++s) {
    auto step = std::make_unique<StepRun>();
    step->job_ = this;
    step->step_ = &record_.steps_[s];
    step->occurrence_ = number;
    step->step_number_ = static_cast<int>(s);
    step->name_ = fmt::format("{}.{}.{}", record_.id_, number, s);
    step->tasks_.resize(static_cast<std::size_t>(step->step_->count_));
    step->waiting_count_ = step->step_->count_;
    for (std::size_t i = 0; i < step->tasks_.size(); ++i) {
      const auto name = fmt::format("{}.{}.{}", number, s, i);
      if (const auto it = progress_.checkpoints_.find(name);
          it != progress_.checkpoints_.end()) {
        step->tasks_[i].checkpoint_ = it->second;
      }
      if (recorded != progress_.done_.end() && s < recorded->second.size() &&
          i < recorded->second[s].size() &&
          recorded->second[s][i] == kTaskDone) {
        step->tasks_[i].phase_ = Task::Phase::kDone;
        ++step->done_count_;
        --step->waiting_count_;
      }
    }
    steps.push_back(std::move(step));
  }
  open_occurrences_.insert(number);
  CloseIfDone(number);
  auto ready = MarkReadySteps(number, now_ms);
  UpdateCompletion();
  return ready;
}

auto Job::MarkReadySteps(std::int64_t occurrence, Millis now_ms)
    -> std::vector<StepRun*> {
  std::vector<StepRun*> ready;
  auto& steps = occurrences_[occurrence];
  for (auto& step : steps) {
    const auto are_dependencies_done = std::all_of(
        step->step_->after_.begin(), step->step_->after_.end(),
        [&](int n) { return steps[static_cast<std::size_t>(n)]->IsDone(); });
    if (!step->is_ready_ && are_dependencies_done && !step->IsDone()) {
      step->is_ready_ = true;
      for (auto& task : step->tasks_) {
        task.waiting_since_ms_ = now_ms;
      }
      ready.push_back(step.get());
    }
  }
  return ready;
}

auto Job::FindStep(std::int64_t occurrence, int step) -> StepRun* {
  const auto it = occurrences_.find(occurrence);
  if (it == occurrences_.end() || step < 0 ||
      static_cast<std::size_t>(step) >= it->second.size()) {
    return nullptr;
  }
  return it->second[static_cast<std::size_t>(step)].get();
}

auto Job::FindTask(const TaskId& id) -> Task* {
  auto* step = FindStep(id.occurrence_, id.step_);
  if (step == nullptr || id.index_ < 0 ||
      static_cast<std::size_t>(id.index_) >= step->tasks_.size()) {
    return nullptr;
  }
  return &step->tasks_[static_cast<std::size_t>(id.index_)];
}

auto Job::FindStepDefinition(const TaskId& id) const -> const Step* {
  return id.step_ >= 0 &&
                 static_cast<std::size_t>(id.step_) < record_.steps_.size()
             ? &record_.steps_[static_cast<std::size_t>(id.step_)]
             : nullptr;
}

auto Job::steps() -> std::vector<StepRun*> {
  std::vector<StepRun*> all;
  for (auto& [number, steps] : occurrences_) {
    for (auto& step : steps) {
      all.push_back(step.get());
    }
  }
  return all;
}

auto Job::EnterQueue(QueueLengths& lengths) -> void {
  if (progress_.state_ == JobState::kQueued) {
    queue_place_ = lengths.Enter(record_.queue_);
  }
}

auto Job::SetState(JobState state) -> void {
  progress_.state_ = state;
  queue_place_.Leave();
}

auto Job::MarkStarted() -> void {
  if (progress_.state_ == JobState::kQueued) {
    SetState(JobState::kRunning);
  }
}

auto Job::MarkDone(StepRun& step, int index, Millis now_ms)
    -> std::vector<StepRun*> {
  const auto first = step.step_->is_gang_ ? 0 : index;
  const auto last =
      step.step_->is_gang_ ? static_cast<int>(step.tasks_.size()) : index + 1;
  for (auto i = first; i < last; ++i) {
    auto& task = step.tasks_[static_cast<std::size_t>(i)];
    if (task.phase_ == Task::Phase::kDone) {
      continue;
    }
    step.waiting_count_ -= task.phase_ == Task::Phase::kWaiting ? 1 : 0;
    task.phase_ = Task::Phase::kDone;
    task.checkpoint_.clear();
    ++step.done_count_;
  }
  ForgetCrashes(step, index);
  const auto occurrence = step.occurrence_;
  if (!step.IsDone()) {
    return {};
  }
  auto ready = MarkReadySteps(occurrence, now_ms);
  CloseIfDone(occurrence);
  UpdateCompletion();
  return ready;
}

auto Job::CloseIfDone(std::int64_t occurrence) -> void {
  const auto& steps = occurrences_[occurrence];
  if (std::all_of(steps.begin(), steps.end(),
                  [](const auto& step) { return step->IsDone(); })) {
    open_occurrences_.erase(occurrence);
  }
}

auto Job::UpdateCompletion() -> void {
  const auto done =
      open_occurrences_.empty() ? next_occurrence_ : *open_occurrences_.begin();
  for (; progress_.occurrences_done_ < done; ++progress_.occurrences_done_) {
    const auto prefix = fmt::format("{}.", progress_.occurrences_done_);
    const auto is_of_occurrence = [&](const auto& entry) {
      return entry.first.starts_with(prefix);
    };
    std::erase_if(progress_.failures_, is_of_occurrence);
    std::erase_if(progress_.crashes_, is_of_occurrence);
  }
  const auto total = std::max<std::int64_t>(record_.repeat_count_, 1);
  if (progress_.occurrences_done_ >= total && !IsEnded()) {
    SetState(JobState::kCompleted);
  }
}

auto Job::CounterName(const StepRun& step, int index) -> std::string {
  return step.step_->is_gang_
             ? fmt::format("{}.{}", step.occurrence_, step.step_number_)
             : fmt::format("{}.{}.{}", step.occurrence_, step.step_number_,
                           index);
}

auto Job::MarkFailed(StepRun& step, int index, std::int64_t run,
                     int max_attempts) -> void {
  auto& runs = progress_.failures_[CounterName(step, index)];
  runs.insert(run);
  if (!step.step_->is_long_running_ && !IsEnded() &&
      static_cast<int>(runs.size()) >= max_attempts) {
    SetState(JobState::kFailed);
  }
}

auto Job::Cancel() -> void {
  if (!IsEnded()) {
    SetState(JobState::kCancelled);
  }
}

auto Job::MarkWaiting(StepRun& step, int index, Millis now_ms) -> void {
  auto& task = step.tasks_[static_cast<std::size_t>(index)];
  if (task.phase_ == Task::Phase::kPlaced) {
    task.phase_ = Task::Phase::kWaiting;
    task.worker_.clear();
    task.waiting_since_ms_ = now_ms;
    ++step.waiting_count_;
  }
}

auto Job::MarkPlaced(StepRun& step, int index, std::int64_t run,
                     const std::string& worker) -> void {
  auto& task = step.tasks_[static_cast<std::size_t>(index)];
  if (task.phase_ == Task::Phase::kWaiting) {
    --step.waiting_count_;
  }
  task.phase_ = Task::Phase::kPlaced;
  task.run_ = run;
  task.highest_run_ = std::max(task.highest_run_, run);
  task.worker_ = worker;
}

auto Job::Progress() const -> ProgressRecord {
  auto out = progress_;
  out.done_.clear();
  out.checkpoints_.clear();
  if (IsEnded()) {
    out.failures_.clear();
    out.crashes_.clear();
    return out;
  }
  for (const auto& [number, steps] : occurrences_) {
    if (number < progress_.occurrences_done_) {
      continue;
    }
    auto& done_steps = out.done_[number];
    for (const auto& step : steps) {
      auto& done_tasks =
          done_steps.emplace_back(step->tasks_.size(), kTaskNotDone);
      for (std::size_t i = 0; i < step->tasks_.size(); ++i) {
        const auto& task = step->tasks_[i];
        if (task.phase_ == Task::Phase::kDone) {
          done_tasks[i] = kTaskDone;
        } else if (!task.checkpoint_.empty()) {
          out.checkpoints_[fmt::format("{}.{}.{}", number, step->step_number_,
                                       i)] = task.checkpoint_;
        }
      }
    }
  }
  return out;
}

}  // namespace lentilscale::fleet
