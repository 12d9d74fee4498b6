// A worker's state is in two maps: the running work, and the ends that the
// owner has not acknowledged. The second also holds keys that were cancelled
// before their start arrived, so that a late start is refused.

#include "lentilscale/worker_model.h"

#include <algorithm>

#include "lentilscale/error.h"
#include "lentilscale/json.h"

namespace lentilscale {
namespace {

constexpr Millis kFailureDelayMs = 1;
constexpr std::int64_t kMaxResourceAmount = 1'000'000'000;

}  // namespace

auto WorkerModel::Record(const char* what, const std::string& key,
                         const StartRequest& request,
                         const std::string& detail) const -> void {
  if (!recorder_) {
    return;
  }
  Json::Value event;
  event["event"] = what;
  event["worker"] = id_;
  event["key"] = key;
  event["epoch"] = Json::Int64(request.epoch_);
  event["need"] = request.need_.ToJson();
  event["tag"] = request.tag_;
  event["work"] = request.payload_;
  event["detail"] = detail;
  recorder_(event);
}

auto WorkerModel::OnSession(const SessionRequest& request, Millis now)
    -> SessionAnswer {
  if (request.epoch_ < epoch_) {
    throw Error(ErrorCode::kStaleEpoch,
                "the session belongs to an owner with a higher epoch");
  }
  const auto is_opening =
      request.epoch_ > epoch_ || request.echoed_clock_ms_ == 0;
  epoch_ = request.epoch_;
  owner_ = request.owner_;
  if (IsForFormerIncarnation(request)) {
    return BuildAnswer(true, now);
  }
  if (!is_opening) {
    session_expiry_ms_ =
        std::max(session_expiry_ms_, std::min(request.echoed_clock_ms_, now) +
                                         request.session_ttl_ms_);
  } else if (running_.empty()) {
    session_expiry_ms_ = now + request.session_ttl_ms_;
  }
  for (const auto& key : request.acknowledged_keys_) {
    if (ended_.erase(key) > 0) {
      Record("ack", key, {}, "");
    }
  }
  for (const auto& key : request.stop_keys_) {
    if (running_.contains(key)) {
      End(key, EndStatus::kStopped, now);
    } else if (!ended_.contains(key)) {
      ended_[key] = {key, EndStatus::kNeverStarted, 0, {}, {}, {}};
    }
  }
  for (const auto& key : request.cancel_keys_) {
    if (!running_.contains(key) && !ended_.contains(key)) {
      ended_[key] = {key, EndStatus::kNeverStarted, 0, {}, {}, {}};
    }
  }
  return BuildAnswer(is_opening, now);
}

auto WorkerModel::BuildRenewalAnswer(Millis now) -> SessionAnswer {
  return BuildAnswer(false, now);
}

auto WorkerModel::BuildAnswer(bool is_opening, Millis now) -> SessionAnswer {
  SessionAnswer answer;
  answer.clock_ms_ = now;
  answer.sequence_ = ++last_sequence_;
  answer.incarnation_ = incarnation_;
  for (const auto& [key, item] : running_) {
    answer.running_.push_back(
        {key, item.used_, is_opening ? item.request_.tag_ : Json::Value()});
  }
  for (const auto& [key, item] : ended_) {
    auto ended = item;
    if (!is_opening) {
      ended.tag_ = Json::Value();
    }
    answer.ended_.push_back(std::move(ended));
  }
  return answer;
}

auto WorkerModel::Reserved() const -> Resources {
  Resources used;
  for (const auto& [key, item] : running_) {
    used += item.request_.need_;
  }
  return used;
}

auto WorkerModel::AddSlotsByTeam(
    std::map<std::string, std::int64_t>& by_team) const -> void {
  for (const auto& [key, item] : running_) {
    by_team[item.request_.tag_["team"].asString()] +=
        item.request_.need_.slots_;
  }
}

auto WorkerModel::OnStart(const StartRequest& request, bool is_call, Millis now)
    -> void {
  const auto refuse = [this, &request](ErrorCode code, const char* reason) {
    Record("refuse", request.key_, request, reason);
    throw Error(code, reason);
  };
  if (request.epoch_ != epoch_ || now >= session_expiry_ms_) {
    refuse(ErrorCode::kStaleEpoch, "no live session with this epoch");
  }
  if (IsForFormerIncarnation(request)) {
    refuse(ErrorCode::kStaleEpoch, "the worker has restarted");
  }
  if (request.valid_until_ms_ != 0 && now >= request.valid_until_ms_) {
    refuse(ErrorCode::kDeadlinePassed, "the request arrived too late");
  }
  if (running_.contains(request.key_)) {
    if (!is_call) {
      return;
    }
    refuse(ErrorCode::kInProgress, "work with this key is running");
  }
  const auto known = ended_.find(request.key_);
  if (known != ended_.end()) {
    const auto is_cancelled = known->second.status_ == EndStatus::kNeverStarted;
    refuse(is_cancelled ? ErrorCode::kDuplicateId : ErrorCode::kInProgress,
           "this key has ended or was cancelled");
  }
  auto free = capacity_;
  free -= Reserved();
  if (!request.need_.FitsIn(free)) {
    refuse(ErrorCode::kNoRoom, "not enough free capacity");
  }
  RunningWork item;
  item.request_ = request;
  item.is_call_ = is_call;
  item.started_ms_ = now;
  const auto& payload = request.payload_;
  const auto run_ms = GetInt(payload, "run_ms", 0, 0, INT64_MAX / 4);
  const auto cpu_milli = GetInt(payload, "cpu_milli", request.need_.cpu_milli_,
                                0, kMaxResourceAmount);
  const auto memory_mb = GetInt(payload, "memory_mb", request.need_.memory_mb_,
                                0, kMaxResourceAmount);
  item.used_.cpu_milli_ = std::min(cpu_milli, request.need_.cpu_milli_);
  item.used_.memory_mb_ = std::min(memory_mb, request.need_.memory_mb_);
  auto remaining_ms = std::max<Millis>(run_ms - request.progress_ms_, 0);
  if (cpu_milli > request.need_.cpu_milli_ && request.need_.cpu_milli_ > 0) {
    remaining_ms = remaining_ms * cpu_milli / request.need_.cpu_milli_;
  }
  const auto runs_until_stopped = run_ms == 0 && !is_call;
  item.ends_ms_ = runs_until_stopped ? 0 : now + remaining_ms;
  if (memory_mb > request.need_.memory_mb_) {
    item.end_status_ = EndStatus::kOutOfMemory;
    item.ends_ms_ = now + remaining_ms / 2 + 1;
  }
  if (is_failing_ || GetBool(payload, "fail", false)) {
    item.end_status_ = EndStatus::kFailed;
    item.ends_ms_ = now + kFailureDelayMs;
  }
  Record("start", request.key_, request, "");
  running_[request.key_] = std::move(item);
}

auto WorkerModel::End(const std::string& key, EndStatus status, Millis now)
    -> EndedTask {
  const auto item = running_.at(key);
  running_.erase(key);
  Record("end", key, item.request_, std::string(EndStatusName(status)));
  EndedTask ended;
  ended.key_ = key;
  ended.status_ = status;
  ended.used_ = item.used_;
  ended.tag_ = item.request_.tag_;
  if (status == EndStatus::kStopped || status == EndStatus::kLapsed) {
    ended.progress_ms_ = item.request_.progress_ms_ + (now - item.started_ms_);
  }
  if (item.is_call_) {
    ended.call_answer_["key"] = key;
    ended.call_answer_["status"] = std::string(EndStatusName(status));
    ended.call_answer_["worker"] = id_;
    ended.call_answer_["echo"] = item.request_.payload_["echo"];
    ended.call_answer_["request_id"] = item.request_.payload_["request_id"];
  }
  ended_[key] = ended;
  change_count_ += item.is_call_ ? 0 : 1;
  return ended;
}

auto WorkerModel::Tick(Millis now) -> std::vector<EndedCall> {
  std::vector<EndedCall> calls;
  const auto has_session_expired =
      session_expiry_ms_ != 0 && now >= session_expiry_ms_;
  std::vector<std::string> due;
  for (const auto& [key, item] : running_) {
    const auto is_due = item.ends_ms_ != 0 && item.ends_ms_ <= now;
    if (is_due || has_session_expired) {
      due.push_back(key);
    }
  }
  for (const auto& key : due) {
    const auto& item = running_.at(key);
    const auto is_call = item.is_call_;
    const auto is_due = item.ends_ms_ != 0 && item.ends_ms_ <= now;
    const auto ended =
        End(key, is_due ? item.end_status_ : EndStatus::kLapsed, now);
    if (is_call) {
      calls.push_back({key, ended.call_answer_});
    }
  }
  return calls;
}

auto WorkerModel::Restart() -> void {
  for (const auto& [key, item] : running_) {
    Record("end", key, item.request_, "restart");
  }
  running_.clear();
  ended_.clear();
  ++incarnation_;
  ++change_count_;
  session_expiry_ms_ = 0;
  epoch_ = 0;
}

auto WorkerModel::NextEndMs() const -> Millis {
  Millis next = 0;
  for (const auto& [key, item] : running_) {
    if (item.ends_ms_ != 0 && (next == 0 || item.ends_ms_ < next)) {
      next = item.ends_ms_;
    }
  }
  return next;
}

}  // namespace lentilscale
