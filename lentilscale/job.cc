// The record in the store holds one letter per task, which tells only whether
// and how the task ended. Where tasks run is known to the workers; a new owner
// of the home shard queries it. A start therefore needs no write to the store:
// a job's record is written when a task ends, not when one starts.

#include "lentilscale/job.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>

#include "lentilscale/error.h"
#include "lentilscale/json.h"

namespace lentilscale {
namespace {

constexpr auto kJobKindNames =
    std::to_array<std::string_view>({"batch", "all_at_once", "service"});
constexpr auto kTaskStateNames = std::to_array<std::string_view>(
    {"pending", "offered", "running", "done", "failed", "cancelled"});
constexpr auto kJobStateNames =
    std::to_array<std::string_view>({"active", "ended", "cancelled"});

// Task states in the record.
constexpr char kNotEndedLetter = '.';
constexpr char kDoneLetter = 'd';
constexpr char kFailedLetter = 'f';
constexpr char kCancelledLetter = 'c';

constexpr std::int64_t kMaxTasks = 20000;
constexpr std::int64_t kMaxFailures = 1000;
constexpr std::size_t kMaxIdLength = 128;
// Delay before a failed task is retried; doubles with each failure.
constexpr Millis kInitialBackoffMs = 100;
constexpr Millis kMaxBackoffMs = 30000;

auto IsFinal(TaskState state) -> bool {
  return state == TaskState::kDone || state == TaskState::kFailed ||
         state == TaskState::kCancelled;
}

auto EncodeTaskState(TaskState state) -> char {
  switch (state) {
    case TaskState::kDone:
      return kDoneLetter;
    case TaskState::kFailed:
      return kFailedLetter;
    case TaskState::kCancelled:
      return kCancelledLetter;
    default:
      return kNotEndedLetter;
  }
}

auto DecodeTaskState(char letter) -> TaskState {
  switch (letter) {
    case kDoneLetter:
      return TaskState::kDone;
    case kFailedLetter:
      return TaskState::kFailed;
    case kCancelledLetter:
      return TaskState::kCancelled;
    default:
      return TaskState::kPending;
  }
}

auto CheckId(const std::string& id) -> void {
  const auto is_allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  if (id.size() > kMaxIdLength ||
      !std::all_of(id.begin(), id.end(), is_allowed)) {
    throw Error(ErrorCode::kBadRequest,
                "'job_id' must be up to 128 letters, digits, '-', '_' or '.'");
  }
}

template <std::size_t kSize>
auto IndexOfName(const std::array<std::string_view, kSize>& names,
                 const std::string& name, const char* field) -> std::size_t {
  const auto* it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) {
    throw Error(ErrorCode::kBadRequest,
                fmt::format("'{}' has the unknown value '{}'", field, name));
  }
  return static_cast<std::size_t>(it - names.begin());
}

}  // namespace

auto JobKindName(JobKind kind) -> std::string_view {
  return kJobKindNames.at(static_cast<std::size_t>(kind));
}
auto TaskStateName(TaskState state) -> std::string_view {
  return kTaskStateNames.at(static_cast<std::size_t>(state));
}
auto JobStateName(JobState state) -> std::string_view {
  return kJobStateNames.at(static_cast<std::size_t>(state));
}

auto JobSpec::FromJson(const Json::Value& object) -> JobSpec {
  JobSpec out;
  out.id_ = RequireString(object, "job_id");
  CheckId(out.id_);
  out.team_ = GetString(object, "team", "");
  out.service_ = RequireString(object, "service");
  out.kind_ = static_cast<JobKind>(
      IndexOfName(kJobKindNames, GetString(object, "kind", "batch"), "kind"));
  out.count_ = GetInt(object, "count", 1, 0, kMaxTasks);
  out.need_ = Resources::FromJson(GetObject(object, "need"), 1);
  if (out.need_.slots_ < 1) {
    throw Error(ErrorCode::kBadRequest, "'slots' must be at least 1");
  }
  out.work_class_ = GetString(object, "class", "default");
  out.payload_ = GetObject(object, "work");
  out.max_failures_ = GetInt(object, "max_failures", 3, 1, kMaxFailures);
  out.is_urgent_ = GetBool(object, "urgent", false);
  out.version_ = GetString(object, "version", "");
  out.max_unavailable_ = GetInt(object, "max_unavailable", 1, 1, kMaxTasks);
  return out;
}

auto JobSpec::FromDeployment(const Deployment& deployment) -> JobSpec {
  JobSpec out;
  out.id_ = "deploy." + deployment.name_;
  out.team_ = deployment.team_;
  out.service_ = deployment.service_;
  out.kind_ = JobKind::kService;
  out.count_ = deployment.count_;
  out.need_ = deployment.need_;
  out.work_class_ = deployment.name_;
  out.payload_ = Json::Value(Json::objectValue);
  out.payload_["version"] = deployment.version_;
  out.version_ = deployment.version_;
  out.max_unavailable_ = deployment.max_unavailable_;
  return out;
}

auto JobSpec::ToJson() const -> Json::Value {
  Json::Value out;
  out["job_id"] = id_;
  out["team"] = team_;
  out["service"] = service_;
  out["kind"] = std::string(JobKindName(kind_));
  out["count"] = Json::Int64(count_);
  out["need"] = need_.ToJson();
  out["class"] = work_class_;
  out["work"] = payload_;
  out["max_failures"] = Json::Int64(max_failures_);
  out["urgent"] = is_urgent_;
  out["version"] = version_;
  out["max_unavailable"] = Json::Int64(max_unavailable_);
  return out;
}

auto Job::Create(const JobSpec& spec, const std::string& home, Millis now)
    -> Job {
  Job job;
  job.spec_ = spec;
  job.home_ = home;
  job.created_ms_ = now;
  job.tasks_.resize(static_cast<std::size_t>(spec.count_));
  job.UpdateState(now);
  return job;
}

auto Job::FromRecord(const Json::Value& record) -> Job {
  Job job;
  job.spec_ = JobSpec::FromJson(GetObject(record, "spec"));
  job.home_ = RequireString(record, "home");
  job.created_ms_ = GetInt(record, "created", 0, 0, INT64_MAX);
  job.ended_ms_ = GetInt(record, "ended_ms", 0, 0, INT64_MAX);
  job.reason_ = GetString(record, "reason", "");
  job.state_ = static_cast<JobState>(IndexOfName(
      kJobStateNames, GetString(record, "state", "active"), "state"));
  const auto letters = GetString(record, "tasks", "");
  job.tasks_.resize(letters.size());
  for (std::size_t i = 0; i < letters.size(); ++i) {
    job.tasks_[i].state_ = DecodeTaskState(letters[i]);
  }
  return job;
}

auto Job::ToRecord() const -> Json::Value {
  Json::Value out;
  out["spec"] = spec_.ToJson();
  out["home"] = home_;
  out["created"] = Json::Int64(created_ms_);
  out["ended_ms"] = Json::Int64(ended_ms_);
  out["state"] = std::string(JobStateName(state_));
  out["reason"] = reason_;
  std::string letters;
  for (const auto& task : tasks_) {
    letters += EncodeTaskState(task.state_);
  }
  out["tasks"] = letters;
  return out;
}

auto Job::Lane() const -> lentilscale::Lane {
  if (spec_.is_urgent_) {
    return lentilscale::Lane::kUrgent;
  }
  return spec_.kind_ == JobKind::kService ? lentilscale::Lane::kService
                                          : lentilscale::Lane::kBatch;
}

auto Job::MakeTaskRef(std::int64_t index, std::int64_t epoch) const -> TaskRef {
  return {spec_.id_, index, tasks_.at(static_cast<std::size_t>(index)).attempt_,
          home_, epoch};
}

auto Job::SetState(JobTask& task, TaskState state) -> void {
  if (IsFinal(state) && task.state_ != state) {
    is_dirty_ = true;
  }
  task.state_ = state;
  task.change_number_ = ++change_count_;
  if (state != TaskState::kRunning && state != TaskState::kOffered) {
    task.executor_.clear();
    task.worker_.clear();
    task.is_stopping_ = false;
  }
}

auto Job::PendingTasks(std::size_t max, Millis now) const
    -> std::vector<std::int64_t> {
  std::vector<std::int64_t> out;
  if (state_ != JobState::kActive) {
    return out;
  }
  for (std::size_t i = 0; i < tasks_.size() && out.size() < max; ++i) {
    const auto& task = tasks_[i];
    if (task.state_ == TaskState::kPending && task.not_before_ms_ <= now) {
      out.push_back(static_cast<std::int64_t>(i));
    }
  }
  return out;
}

auto Job::MarkOffered(std::int64_t index, std::int64_t attempt,
                      const std::string& executor) -> void {
  auto& item = task(index);
  SetState(item, TaskState::kOffered);
  item.attempt_ = attempt;
  item.executor_ = executor;
  item.version_ = spec_.version_;
}

auto Job::OnOfferRefused(std::int64_t index, std::int64_t attempt) -> void {
  auto& item = task(index);
  if (item.state_ == TaskState::kOffered && item.attempt_ == attempt) {
    SetState(item, TaskState::kPending);
  }
}

auto Job::OnTaskEnded(JobTask& task, const TaskEvent& event, Millis now)
    -> void {
  task.progress_ms_ = std::max(task.progress_ms_, event.progress_ms_);
  const auto is_failure = event.kind_ == TaskEventKind::kEnded &&
                          (event.status_ == EndStatus::kFailed ||
                           event.status_ == EndStatus::kOutOfMemory);
  if (state_ != JobState::kActive) {
    SetState(task, TaskState::kCancelled);
    return;
  }
  const auto is_ok =
      event.kind_ == TaskEventKind::kEnded && event.status_ == EndStatus::kOk;
  if (is_ok && spec_.kind_ != JobKind::kService) {
    SetState(task, TaskState::kDone);
    return;
  }
  const auto index = &task - tasks_.data();
  if (spec_.kind_ == JobKind::kService && index >= spec_.count_) {
    SetState(task, TaskState::kCancelled);
    return;
  }
  SetState(task, TaskState::kPending);
  if (is_failure) {
    ++task.failures_;
    task.progress_ms_ = 0;
    const auto shift = std::min<std::int64_t>(task.failures_ - 1, 16);
    task.not_before_ms_ =
        now + std::min(kInitialBackoffMs << shift, kMaxBackoffMs);
  }
  if (is_failure && spec_.kind_ != JobKind::kService &&
      task.failures_ >= spec_.max_failures_) {
    SetState(task, TaskState::kFailed);
  }
  if (spec_.kind_ == JobKind::kAllAtOnce) {
    RestartAll(now);
  }
}

// Stops the remaining tasks of an all-at-once job after one has ended without
// success. Each becomes pending when its end is reported, and the job starts
// again when all tasks that are not done are pending.
auto Job::RestartAll(Millis now) -> void {
  ++restarts_;
  const auto has_failed = std::any_of(
      tasks_.begin(), tasks_.end(),
      [](const auto& task) { return task.state_ == TaskState::kFailed; });
  if (has_failed) {
    FailAll("a task failed too often", now);
    return;
  }
  for (auto& task : tasks_) {
    task.is_stopping_ = task.state_ == TaskState::kRunning ||
                        task.state_ == TaskState::kOffered;
  }
}

auto Job::FailAll(const std::string& reason, Millis now) -> void {
  reason_ = reason;
  for (auto& task : tasks_) {
    if (task.state_ == TaskState::kPending) {
      SetState(task, TaskState::kFailed);
    }
    task.is_stopping_ = !IsFinal(task.state_);
  }
  state_ = JobState::kCancelled;
  UpdateState(now);
}

auto Job::OnEvent(const TaskEvent& event, Millis now) -> bool {
  const auto index = event.ref_.index_;
  if (index < 0 || index >= static_cast<std::int64_t>(tasks_.size())) {
    return true;
  }
  auto& item = task(index);
  // A repeated event, or one of an attempt that has been superseded after it
  // was known to have stopped.
  if (IsFinal(item.state_) || event.ref_.attempt_ != item.attempt_) {
    return true;
  }
  if (event.kind_ == TaskEventKind::kStarted) {
    if (item.state_ == TaskState::kOffered) {
      SetState(item, TaskState::kRunning);
    }
    item.executor_ = event.executor_;
    item.worker_ = event.worker_;
    return true;
  }
  if (item.state_ == TaskState::kPending) {
    return true;
  }
  OnTaskEnded(item, event, now);
  UpdateState(now);
  return true;
}

auto Job::Reconcile(const std::vector<Report>& reports, std::int64_t since,
                    Millis now) -> void {
  std::map<std::int64_t, const Report*> latest;
  for (const auto& report : reports) {
    const auto index = report.event_.ref_.index_;
    if (index < 0 || index >= static_cast<std::int64_t>(tasks_.size())) {
      continue;
    }
    auto& known = latest[index];
    if (known == nullptr ||
        report.event_.ref_.attempt_ > known->event_.ref_.attempt_) {
      known = &report;
    }
  }
  for (std::size_t i = 0; i < tasks_.size(); ++i) {
    auto& item = tasks_[i];
    if (IsFinal(item.state_) || item.change_number_ > since) {
      continue;
    }
    const auto it = latest.find(static_cast<std::int64_t>(i));
    if (it == latest.end()) {
      if (item.state_ != TaskState::kPending) {
        SetState(item, TaskState::kPending);
      }
      continue;
    }
    const auto& report = *it->second;
    if (report.event_.ref_.attempt_ < item.attempt_) {
      continue;
    }
    item.attempt_ = report.event_.ref_.attempt_;
    SetState(item,
             report.is_started_ ? TaskState::kRunning : TaskState::kOffered);
    item.executor_ = report.event_.executor_;
    item.worker_ = report.event_.worker_;
    if (item.version_.empty()) {
      item.version_ = spec_.version_;
    }
  }
  UpdateState(now);
}

auto Job::Cancel(Millis now) -> void {
  if (state_ != JobState::kActive) {
    return;
  }
  state_ = JobState::kCancelled;
  is_dirty_ = true;
  for (auto& item : tasks_) {
    if (item.state_ == TaskState::kPending) {
      SetState(item, TaskState::kCancelled);
    } else {
      item.is_stopping_ = !IsFinal(item.state_);
    }
  }
  UpdateState(now);
}

auto Job::Update(const JobSpec& spec) -> void {
  if (spec_.ToJson() == spec.ToJson()) {
    return;
  }
  spec_ = spec;
  is_dirty_ = true;
  const auto count = static_cast<std::size_t>(spec.count_);
  if (count > tasks_.size()) {
    tasks_.resize(count);
  }
  for (std::size_t i = 0; i < tasks_.size(); ++i) {
    auto& item = tasks_[i];
    if (i < count && item.state_ == TaskState::kCancelled) {
      SetState(item, TaskState::kPending);
    }
    if (i >= count && item.state_ == TaskState::kPending) {
      SetState(item, TaskState::kCancelled);
    }
  }
}

auto Job::TasksToStop() const -> std::vector<std::int64_t> {
  std::vector<std::int64_t> out;
  const auto count = static_cast<std::size_t>(spec_.count_);
  std::int64_t available = 0;
  for (std::size_t i = 0; i < std::min(count, tasks_.size()); ++i) {
    const auto& item = tasks_[i];
    available +=
        item.state_ == TaskState::kRunning && !item.is_stopping_ ? 1 : 0;
  }
  auto may_stop = available - (spec_.count_ - spec_.max_unavailable_);
  for (std::size_t i = 0; i < tasks_.size(); ++i) {
    const auto& item = tasks_[i];
    const auto is_live = item.state_ == TaskState::kRunning ||
                         item.state_ == TaskState::kOffered;
    if (!is_live) {
      continue;
    }
    const auto is_surplus = spec_.kind_ == JobKind::kService && i >= count;
    const auto is_old = spec_.kind_ == JobKind::kService &&
                        item.state_ == TaskState::kRunning &&
                        item.version_ != spec_.version_;
    if (item.is_stopping_ || is_surplus || (is_old && may_stop > 0)) {
      may_stop -= is_old && !item.is_stopping_ ? 1 : 0;
      out.push_back(static_cast<std::int64_t>(i));
    }
  }
  return out;
}

auto Job::Counts() const -> JobCounts {
  JobCounts out;
  for (const auto& item : tasks_) {
    switch (item.state_) {
      case TaskState::kPending:
        ++out.pending_;
        break;
      case TaskState::kOffered:
        ++out.offered_;
        break;
      case TaskState::kRunning:
        ++out.running_;
        break;
      case TaskState::kDone:
        ++out.done_;
        break;
      case TaskState::kFailed:
        ++out.failed_;
        break;
      case TaskState::kCancelled:
        ++out.cancelled_;
        break;
    }
  }
  return out;
}

auto Job::AllTasksEnded() const -> bool {
  return std::all_of(tasks_.begin(), tasks_.end(),
                     [](const auto& item) { return IsFinal(item.state_); });
}

auto Job::UpdateState(Millis now) -> void {
  const auto is_finite = spec_.kind_ != JobKind::kService;
  if (AllTasksEnded() && ended_ms_ == 0 &&
      (is_finite || state_ == JobState::kCancelled)) {
    ended_ms_ = now;
    is_dirty_ = true;
    if (state_ == JobState::kActive) {
      state_ = JobState::kEnded;
    }
  }
}

}  // namespace lentilscale
