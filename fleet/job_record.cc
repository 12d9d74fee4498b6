// Optional members are omitted when they have their default value. Most records
// are therefore a few hundred bytes, and a record written before a member was
// added can still be decoded.

#include "fleet/job_record.h"

#include <fmt/format.h>

#include <array>

#include "lentilscale/error.h"
#include "lentilscale/json.h"

namespace lentilscale::fleet {
namespace {

constexpr std::int64_t kMaxAmount = 1000000000000;
constexpr auto kJobStateNames = std::to_array<const char*>(
    {"queued", "running", "completed", "failed", "cancelled"});

template <typename T>
auto SetUnlessDefault(Json::Value& object, const char* name, const T& value,
                      const T& default_value) -> void {
  if (value != default_value) {
    object[name] = value;
  }
}

auto StepToJson(const Step& step) -> Json::Value {
  Json::Value out(Json::objectValue);
  const Step none;
  out["count"] = step.count_;
  out["cpu"] = Json::Int64{step.demand_.cpu_milli_};
  out["mem"] = Json::Int64{step.demand_.memory_mb_};
  out["acc"] = Json::Int64{step.demand_.accelerators_};
  out["estimate"] = Json::Int64{step.estimate_ms_};
  for (const auto number : step.after_) {
    out["after"].append(number);
  }
  SetUnlessDefault(out, "checkpointing", step.is_checkpointing_, false);
  SetUnlessDefault(out, "gang", step.is_gang_, false);
  SetUnlessDefault(out, "same_rack", step.prefers_same_rack_, false);
  SetUnlessDefault(out, "label", step.required_label_, none.required_label_);
  SetUnlessDefault(out, "near", step.preferred_rack_, none.preferred_rack_);
  SetUnlessDefault(out, "per_worker", step.max_per_worker_, 0);
  SetUnlessDefault(out, "speculative", step.is_speculative_, false);
  SetUnlessDefault(out, "long_running", step.is_long_running_, false);
  SetUnlessDefault(out, "image", step.image_, none.image_);
  SetUnlessDefault(out, "tail", Json::Int64{step.tail_latency_target_ms_},
                   Json::Int64{0});
  SetUnlessDefault(out, "fills", step.uses_idle_cpu_, false);
  SetUnlessDefault(out, "may_miss", step.max_unavailable_, 0);
  return out;
}

auto StepFromJson(const Json::Value& object) -> Step {
  Step step;
  step.count_ =
      static_cast<int>(RequireInt(object, "count", 1, kMaxTasksPerStep));
  step.demand_.cpu_milli_ = GetInt(object, "cpu", 0, 0, kMaxAmount);
  step.demand_.memory_mb_ = GetInt(object, "mem", 0, 0, kMaxAmount);
  step.demand_.accelerators_ = GetInt(object, "acc", 0, 0, kMaxAmount);
  step.estimate_ms_ = GetInt(object, "estimate", 0, 0, kMaxAmount);
  for (const auto& number : GetArray(object, "after")) {
    step.after_.push_back(number.asInt());
  }
  step.is_checkpointing_ = GetBool(object, "checkpointing", false);
  step.is_gang_ = GetBool(object, "gang", false);
  step.prefers_same_rack_ = GetBool(object, "same_rack", false);
  step.required_label_ = GetString(object, "label", "");
  step.preferred_rack_ = GetString(object, "near", "");
  step.max_per_worker_ =
      static_cast<int>(GetInt(object, "per_worker", 0, 0, kMaxTasksPerStep));
  step.is_speculative_ = GetBool(object, "speculative", false);
  step.is_long_running_ = GetBool(object, "long_running", false);
  step.image_ = GetString(object, "image", "");
  step.tail_latency_target_ms_ = GetInt(object, "tail", 0, 0, kMaxAmount);
  step.uses_idle_cpu_ = GetBool(object, "fills", false);
  step.max_unavailable_ =
      static_cast<int>(GetInt(object, "may_miss", 0, 0, kMaxTasksPerStep));
  return step;
}

auto RunsToJson(const std::set<std::int64_t>& runs) -> Json::Value {
  Json::Value out(Json::arrayValue);
  for (const auto run : runs) {
    out.append(Json::Int64{run});
  }
  return out;
}

auto RunsFromJson(const Json::Value& list) -> std::set<std::int64_t> {
  std::set<std::int64_t> runs;
  for (const auto& run : list) {
    runs.insert(run.asInt64());
  }
  return runs;
}

auto LifeToJson(const WorkerLife& life) -> Json::Value {
  Json::Value out(Json::objectValue);
  out["worker"] = life.worker_;
  out["born"] = Json::Int64{life.incarnation_};
  out["address"] = life.address_;
  return out;
}

auto LifeFromJson(const Json::Value& object) -> WorkerLife {
  return {RequireString(object, "worker"),
          RequireInt(object, "born", 0, INT64_MAX),
          GetString(object, "address", "")};
}

auto CrashesToJson(const CrashRecord& crashes) -> Json::Value {
  Json::Value out(Json::objectValue);
  out["runs"] = RunsToJson(crashes.runs_);
  if (!crashes.lone_runs_.empty()) {
    out["alone"] = RunsToJson(crashes.lone_runs_);
  }
  SetUnlessDefault(out, "ordered", Json::Int64{crashes.ordered_run_},
                   Json::Int64{0});
  for (const auto& life : crashes.ordered_on_) {
    out["ordered_on"].append(LifeToJson(life));
  }
  for (const auto& [run, crash] : crashes.undecided_) {
    auto row = LifeToJson(crash.life_);
    row["run"] = Json::Int64{run};
    row["next"] = crash.next_worker_;
    row["next_born"] = Json::Int64{crash.next_born_};
    row["service"] = crash.service_;
    row["data_centre"] = crash.data_centre_;
    out["undecided"].append(row);
  }
  return out;
}

auto CrashesFromJson(const Json::Value& object) -> CrashRecord {
  CrashRecord crashes;
  crashes.runs_ = RunsFromJson(GetArray(object, "runs"));
  crashes.lone_runs_ = RunsFromJson(GetArray(object, "alone"));
  crashes.ordered_run_ = GetInt(object, "ordered", 0, 0, INT64_MAX);
  for (const auto& row : GetArray(object, "ordered_on")) {
    crashes.ordered_on_.push_back(LifeFromJson(row));
  }
  for (const auto& row : GetArray(object, "undecided")) {
    crashes.undecided_[RequireInt(row, "run", 0, INT64_MAX)] = {
        LifeFromJson(row), RequireString(row, "next"),
        RequireInt(row, "next_born", 0, INT64_MAX),
        GetString(row, "service", ""), GetString(row, "data_centre", "")};
  }
  return crashes;
}

}  // namespace

auto JobStateName(JobState state) -> const char* {
  return kJobStateNames.at(static_cast<std::size_t>(state));
}

auto ValidateJob(const JobRecord& job) -> std::string {
  if (job.spec_.size() > kMaxSpecBytes) {
    return fmt::format("the job's text is longer than {} bytes", kMaxSpecBytes);
  }
  if (job.steps_.empty() || job.steps_.size() > kMaxSteps) {
    return fmt::format("a job has from 1 to {} steps", kMaxSteps);
  }
  for (std::size_t i = 0; i < job.steps_.size(); ++i) {
    if (job.steps_[i].count_ < 1 || job.steps_[i].count_ > kMaxTasksPerStep) {
      return fmt::format("step {} must have from 1 to {} tasks", i,
                         kMaxTasksPerStep);
    }
    for (const auto ms :
         {job.steps_[i].estimate_ms_, job.steps_[i].tail_latency_target_ms_}) {
      if (ms < 0 || ms > kMaxAmount) {
        return fmt::format("step {} has a time of {} ms", i, ms);
      }
    }
    for (const auto earlier : job.steps_[i].after_) {
      if (earlier < 0 || static_cast<std::size_t>(earlier) >= i) {
        return fmt::format("step {} waits for step {}, which is not earlier", i,
                           earlier);
      }
    }
  }
  return "";
}

auto EncodeJob(const JobRecord& job) -> std::string {
  Json::Value out(Json::objectValue);
  out["id"] = job.id_;
  out["queue"] = job.queue_;
  out["team"] = job.team_;
  out["spec"] = job.spec_;
  for (const auto& step : job.steps_) {
    out["steps"].append(StepToJson(step));
  }
  SetUnlessDefault(out, "repeat", Json::Int64{job.repeat_count_},
                   Json::Int64{0});
  SetUnlessDefault(out, "first_due", Json::Int64{job.first_due_ms_},
                   Json::Int64{0});
  SetUnlessDefault(out, "interval", Json::Int64{job.interval_ms_},
                   Json::Int64{0});
  out["accepted"] = Json::Int64{job.accepted_ms_};
  return DumpJson(out);
}

auto DecodeJob(const std::string& text) -> absl::StatusOr<JobRecord> {
  try {
    const auto object = ParseJson(text);
    JobRecord job;
    job.id_ = RequireString(object, "id");
    job.queue_ = RequireString(object, "queue");
    job.team_ = GetString(object, "team", "");
    job.spec_ = GetString(object, "spec", "");
    for (const auto& step : GetArray(object, "steps")) {
      job.steps_.push_back(StepFromJson(step));
    }
    job.repeat_count_ = GetInt(object, "repeat", 0, 0, kMaxAmount);
    job.first_due_ms_ = GetInt(object, "first_due", 0, 0, INT64_MAX);
    job.interval_ms_ = GetInt(object, "interval", 0, 0, kMaxAmount);
    job.accepted_ms_ = GetInt(object, "accepted", 0, 0, INT64_MAX);
    const auto problem = ValidateJob(job);
    if (!problem.empty()) {
      return absl::InvalidArgumentError(problem);
    }
    return job;
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

auto EncodeProgress(const ProgressRecord& progress) -> std::string {
  Json::Value out(Json::objectValue);
  out["state"] = JobStateName(progress.state_);
  for (const auto& [number, steps] : progress.done_) {
    auto& list = out["done"][std::to_string(number)];
    for (const auto& step : steps) {
      list.append(step);
    }
  }
  for (const auto& [task, runs] : progress.failures_) {
    for (const auto run : runs) {
      out["failures"][task].append(Json::Int64{run});
    }
  }
  for (const auto& [task, crashes] : progress.crashes_) {
    out["crashes"][task] = CrashesToJson(crashes);
  }
  for (const auto& [task, checkpoint] : progress.checkpoints_) {
    out["checkpoints"][task] = checkpoint;
  }
  SetUnlessDefault(out, "occurrences", Json::Int64{progress.occurrences_done_},
                   Json::Int64{0});
  return DumpJson(out);
}

auto DecodeProgress(const std::string& text) -> absl::StatusOr<ProgressRecord> {
  try {
    const auto object = ParseJson(text);
    ProgressRecord progress;
    const auto name = RequireString(object, "state");
    auto is_known = false;
    for (std::size_t i = 0; i < kJobStateNames.size(); ++i) {
      if (name == kJobStateNames[i]) {
        progress.state_ = static_cast<JobState>(i);
        is_known = true;
      }
    }
    if (!is_known) {
      return absl::InvalidArgumentError("unknown job state " + name);
    }
    const auto done = GetObject(object, "done");
    for (const auto& number : done.getMemberNames()) {
      auto& steps = progress.done_[std::stoll(number)];
      for (const auto& step : done[number]) {
        steps.push_back(step.asString());
      }
    }
    const auto failures = GetObject(object, "failures");
    for (const auto& task : failures.getMemberNames()) {
      for (const auto& run : failures[task]) {
        progress.failures_[task].insert(run.asInt64());
      }
    }
    const auto crashes = GetObject(object, "crashes");
    for (const auto& task : crashes.getMemberNames()) {
      progress.crashes_[task] = CrashesFromJson(crashes[task]);
    }
    const auto checkpoints = GetObject(object, "checkpoints");
    for (const auto& task : checkpoints.getMemberNames()) {
      progress.checkpoints_[task] = checkpoints[task].asString();
    }
    progress.occurrences_done_ =
        GetInt(object, "occurrences", 0, 0, kMaxAmount);
    return progress;
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace lentilscale::fleet
