// Attempt numbers contain the epoch of the home shard's owner (see
// job_controller.h), so no two attempts have the same key, even if an owner
// does not know the attempts of its predecessor.

#include "lentilscale/work.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "lentilscale/json.h"

namespace lentilscale {
namespace {

constexpr auto kTaskEventKindNames =
    std::to_array<std::string_view>({"started", "ended", "lost", "dropped"});

}  // namespace

auto FinalOutcome(const CallOutcome& last, bool may_have_run) -> CallOutcome {
  auto out = last;
  if (may_have_run && last.kind_ == CallOutcome::Kind::kNotRun) {
    out.kind_ = CallOutcome::Kind::kUnknown;
    out.code_ = ErrorCode::kOutcomeUnknown;
    out.reason_ =
        "an earlier attempt may have run; the last attempt: " + last.reason_;
  }
  return out;
}

auto TaskRef::FromJson(const Json::Value& object) -> TaskRef {
  TaskRef out;
  out.job_ = RequireString(object, "job");
  out.index_ = RequireInt(object, "index", 0, INT64_MAX);
  out.attempt_ = RequireInt(object, "attempt", 0, INT64_MAX);
  out.home_ = RequireString(object, "home");
  out.home_epoch_ = RequireInt(object, "epoch", 0, INT64_MAX);
  return out;
}

auto TaskRef::ToJson() const -> Json::Value {
  Json::Value out;
  out["job"] = job_;
  out["index"] = Json::Int64(index_);
  out["attempt"] = Json::Int64(attempt_);
  out["home"] = home_;
  out["epoch"] = Json::Int64(home_epoch_);
  return out;
}

auto TaskRef::Key() const -> std::string {
  return fmt::format("{}/{}/{}", job_, index_, attempt_);
}

auto TagFromWork(const Work& work) -> Json::Value {
  Json::Value tag;
  tag["service"] = work.service_;
  tag["team"] = work.item_.team_;
  tag["lane"] = static_cast<int>(work.item_.lane_);
  tag["group"] = work.item_.group_;
  tag["class"] = work.work_class_;
  tag["need"] = work.item_.need_.ToJson();
  if (const auto* task = std::get_if<TaskWork>(&work.kind_)) {
    tag["ref"] = task->ref_.ToJson();
  }
  return tag;
}

auto WorkFromTag(const std::string& key, const Json::Value& tag) -> Work {
  Work work;
  work.service_ = GetString(tag, "service", "");
  work.item_.key_ = key;
  work.item_.team_ = GetString(tag, "team", "");
  work.item_.lane_ =
      static_cast<Lane>(GetInt(tag, "lane", 0, 0, kLaneCount - 1));
  work.item_.group_ = GetString(tag, "group", "");
  work.work_class_ = GetString(tag, "class", "");
  work.item_.need_ = Resources::FromJson(GetObject(tag, "need"), 1);
  if (tag.isMember("ref")) {
    work.kind_ = TaskWork{TaskRef::FromJson(tag["ref"]), ""};
  }
  return work;
}

auto TaskEventKindName(TaskEventKind kind) -> std::string_view {
  return kTaskEventKindNames.at(static_cast<std::size_t>(kind));
}

auto TaskEvent::FromJson(const Json::Value& object) -> TaskEvent {
  TaskEvent out;
  out.ref_ = TaskRef::FromJson(GetObject(object, "ref"));
  const auto kind = RequireString(object, "kind");
  const auto* it =
      std::find(kTaskEventKindNames.begin(), kTaskEventKindNames.end(), kind);
  if (it == kTaskEventKindNames.end()) {
    throw Error(ErrorCode::kBadRequest, "unknown task event kind: " + kind);
  }
  out.kind_ = static_cast<TaskEventKind>(it - kTaskEventKindNames.begin());
  out.status_ = EndStatusFromName(GetString(object, "status", "failed"));
  out.progress_ms_ = GetInt(object, "progress", 0, 0, INT64_MAX);
  out.executor_ = GetString(object, "executor", "");
  out.worker_ = GetString(object, "worker", "");
  return out;
}

auto TaskEvent::ToJson() const -> Json::Value {
  Json::Value out;
  out["ref"] = ref_.ToJson();
  out["kind"] = std::string(TaskEventKindName(kind_));
  out["status"] = std::string(EndStatusName(status_));
  out["progress"] = Json::Int64(progress_ms_);
  out["executor"] = executor_;
  out["worker"] = worker_;
  return out;
}

}  // namespace lentilscale
