// Events are collected for a few milliseconds and sent in batches, one home
// shard to a message, so that a thousand ends at about the same time cost only
// a handful of messages.

#include "lentilscale/task_service.h"

#include <algorithm>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/timer.h"

namespace lentilscale {
namespace {

constexpr Millis kFlushDelayMs = 5;
constexpr Millis kResendIntervalMs = 400;
constexpr std::size_t kMaxEventsPerMessage = 500;
constexpr std::int64_t kMaxTaskCount = 1'000'000;
constexpr Millis kMaxHoldTtlMs = 10000;

auto ReadStrings(const Json::Value& object, const char* name)
    -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& item : GetArray(object, name)) {
    out.push_back(item.asString());
  }
  return out;
}

}  // namespace

auto HomeOwnerClaim::FromJson(const Json::Value& object) -> HomeOwnerClaim {
  return {RequireString(object, "home"),
          RequireInt(object, "epoch", 1, INT64_MAX),
          RequireInt(object, "valid_until", 0, INT64_MAX),
          GetInt(object, "floor", 0, 0, INT64_MAX)};
}

auto HomeOwnerClaim::AddTo(Json::Value& object) const -> void {
  object["home"] = home_;
  object["epoch"] = Json::Int64(epoch_);
  object["valid_until"] = Json::Int64(expiry_ms_);
  if (last_void_attempt_ != 0) {
    object["floor"] = Json::Int64(last_void_attempt_);
  }
}

auto MakeTaskWork(const JobSpec& spec, Lane lane, const TaskRef& ref) -> Work {
  Work work;
  work.service_ = spec.service_;
  work.item_.key_ = ref.Key();
  work.item_.lane_ = lane;
  work.item_.team_ = spec.team_;
  work.item_.need_ = spec.need_;
  work.item_.group_ = spec.id_;
  work.item_.enqueued_ms_ = MonotonicMs();
  work.work_class_ = spec.work_class_;
  work.payload_ = spec.payload_;
  work.kind_ = TaskWork{ref, ""};
  return work;
}

TaskService::TaskService(uv_loop_t* loop, PeerLink* link, Executor* executor,
                         StoreView* view, const Options& options)
    : loop_(loop),
      link_(link),
      executor_(executor),
      view_(view),
      options_(options) {
  link_->AddMethod(kOfferTasks, [this](const Json::Value& params) {
    return OnOffer(params);
  });
  link_->AddMethod(kTasksOfHomes, [this](const Json::Value& params) {
    return OnTasksOfHomes(params);
  });
  link_->AddMethod(
      kHoldRoom, [this](const Json::Value& params) { return OnHold(params); });
  link_->AddMethod(kReleaseHold, [this](const Json::Value& params) {
    executor_->ReleaseHold(RequireString(params, "hold"));
    return Json::Value(Json::objectValue);
  });
  link_->AddMethod(kCancelJobs, [this](const Json::Value& params) {
    executor_->CancelJobs(ReadStrings(params, "jobs"));
    return Json::Value(Json::objectValue);
  });
  link_->AddMethod(kStopTasks, [this](const Json::Value& params) {
    for (const auto& key : ReadStrings(params, "tasks")) {
      executor_->StopTask(key);
    }
    return Json::Value(Json::objectValue);
  });
}

auto TaskService::CheckClaim(const HomeOwnerClaim& claim) -> void {
  auto& highest_epoch = highest_epochs_[claim.home_];
  const auto* record = view_->FindShard(claim.home_);
  if (record != nullptr) {
    highest_epoch = std::max(highest_epoch, record->epoch_);
  }
  if (claim.epoch_ < highest_epoch) {
    throw Error(ErrorCode::kStaleEpoch,
                "the home shard has an owner with a higher epoch");
  }
  if (WallMs() > claim.expiry_ms_ + options_.clock_skew_ms_) {
    throw Error(ErrorCode::kNoAuthority,
                "the rights of the home shard's owner have expired");
  }
  highest_epoch = claim.epoch_;
}

auto TaskService::OnOffer(const Json::Value& params) -> Json::Value {
  const auto claim = HomeOwnerClaim::FromJson(params);
  CheckClaim(claim);
  const auto spec = JobSpec::FromJson(GetObject(params, "spec"));
  const auto lane =
      static_cast<Lane>(RequireInt(params, "lane", 0, kLaneCount - 1));
  Json::Value answer;
  answer["accepted"] = Json::Value(Json::arrayValue);
  for (const auto& item : GetArray(params, "tasks")) {
    const TaskRef ref{spec.id_, RequireInt(item, "index", 0, kMaxTaskCount),
                      RequireInt(item, "attempt", 0, INT64_MAX), claim.home_,
                      claim.epoch_};
    if (ref.attempt_ <= last_void_attempts_[claim.home_]) {
      continue;
    }
    auto work = MakeTaskWork(spec, lane, ref);
    work.progress_ms_ = GetInt(item, "progress", 0, 0, INT64_MAX);
    std::get<TaskWork>(work.kind_).hold_id_ = GetString(params, "hold", "");
    try {
      executor_->Submit(std::move(work));
      answer["accepted"].append(Json::Int64(ref.index_));
    } catch (const Error& e) {
      answer["reason"] = e.what();
      break;
    }
  }
  return answer;
}

auto TaskService::OnTasksOfHomes(const Json::Value& params) -> Json::Value {
  Json::Value answer;
  answer["tasks"] = Json::Value(Json::arrayValue);
  answer["open"] = Json::Value(Json::arrayValue);
  for (const auto& item : GetArray(params, "homes")) {
    const auto claim = HomeOwnerClaim::FromJson(item);
    CheckClaim(claim);
    last_void_attempts_[claim.home_] =
        std::max(last_void_attempts_[claim.home_], claim.last_void_attempt_);
    for (const auto& task : executor_->TasksOfHome(claim.home_)) {
      Json::Value out;
      out["ref"] = task.ref_.ToJson();
      out["started"] = task.is_started_;
      out["worker"] = task.worker_;
      answer["tasks"].append(out);
    }
  }
  for (const auto& shard : executor_->OpenShards()) {
    answer["open"].append(shard);
  }
  answer["executor"] = options_.self_id_;
  return answer;
}

auto TaskService::OnHold(const Json::Value& params) -> Json::Value {
  CheckClaim(HomeOwnerClaim::FromJson(params));
  const auto spec = JobSpec::FromJson(GetObject(params, "spec"));
  const auto lane =
      static_cast<Lane>(RequireInt(params, "lane", 0, kLaneCount - 1));
  const auto ttl = RequireInt(params, "ttl_ms", 1, kMaxHoldTtlMs);
  const auto prototype = MakeTaskWork(spec, lane, {spec.id_, 0, 0, "", 0});
  Json::Value answer;
  answer["held"] = Json::Int64(executor_->PlaceHold(
      RequireString(params, "hold"), prototype,
      RequireInt(params, "count", 0, kMaxTaskCount), MonotonicMs() + ttl));
  return answer;
}

auto TaskService::OnTaskEvent(const TaskEvent& event) -> void {
  auto copy = event;
  copy.executor_ = options_.self_id_;
  unsent_events_[event.ref_.home_].push_back(copy);
  if (!is_flush_scheduled_) {
    is_flush_scheduled_ = true;
    RunAfter(loop_, kFlushDelayMs, [this] { Flush(); });
  }
}

auto TaskService::Flush() -> void {
  is_flush_scheduled_ = false;
  const auto outbox = std::move(unsent_events_);
  unsent_events_.clear();
  for (const auto& [home, events] : outbox) {
    for (std::size_t i = 0; i < events.size(); i += kMaxEventsPerMessage) {
      const auto end = std::min(i + kMaxEventsPerMessage, events.size());
      SendEvents(home, {events.begin() + static_cast<std::ptrdiff_t>(i),
                        events.begin() + static_cast<std::ptrdiff_t>(end)});
    }
  }
}

auto TaskService::SendEvents(const std::string& home,
                             const std::vector<TaskEvent>& events) -> void {
  const auto* record = view_->FindShard(home);
  if (record == nullptr) {
    return;
  }
  Json::Value params;
  params["home"] = home;
  for (const auto& event : events) {
    params["events"].append(event.ToJson());
  }
  link_->Call(record->address_, kTaskEvents, params,
              [this](const PeerAnswer& answer) {
                if (!answer.is_ok_) {
                  return;
                }
                for (const auto& key : answer.body_["recorded"]) {
                  executor_->OnEventRecorded(key.asString());
                }
              });
}

auto TaskService::Tick(Millis now) -> void {
  if (now >= next_resend_ms_) {
    next_resend_ms_ = now + kResendIntervalMs;
    executor_->ResendEvents();
  }
}

}  // namespace lentilscale
