// The JSON member names are short because these messages make up most of the
// control traffic: a renewal goes to every worker every two seconds.

#include "lentilscale/worker_protocol.h"

#include <algorithm>
#include <array>

#include "lentilscale/error.h"
#include "lentilscale/json.h"

namespace lentilscale {
namespace {

constexpr auto kEndStatusNames = std::to_array<std::string_view>(
    {"ok", "failed", "out_of_memory", "stopped", "never_started", "lapsed"});

constexpr Millis kMaxMillis = INT64_MAX;

auto ReadStrings(const Json::Value& object, const char* name)
    -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& item : GetArray(object, name)) {
    if (!item.isString()) {
      throw Error(ErrorCode::kBadRequest,
                  std::string(name) + " must contain only strings");
    }
    out.push_back(item.asString());
  }
  return out;
}

auto WriteStrings(Json::Value& object, const char* name,
                  const std::vector<std::string>& values) -> void {
  for (const auto& value : values) {
    object[name].append(value);
  }
}

}  // namespace

auto WorkerInfo::FromJson(const Json::Value& object) -> WorkerInfo {
  WorkerInfo out;
  out.id_ = RequireString(object, "id");
  out.address_ = RequireString(object, "address");
  out.service_ = RequireString(object, "service");
  out.data_centre_ = RequireString(object, "data_centre");
  out.region_ = RequireString(object, "region");
  out.rack_ = RequireString(object, "rack");
  out.capacity_ = Resources::FromJson(GetObject(object, "capacity"), 0);
  out.max_connections_ = GetInt(object, "connections", 64, 1, 65535);
  out.is_leaving_ = GetString(object, "state", "live") == "leaving";
  return out;
}

auto WorkerInfo::ToJson() const -> Json::Value {
  Json::Value out;
  out["id"] = id_;
  out["address"] = address_;
  out["service"] = service_;
  out["data_centre"] = data_centre_;
  out["region"] = region_;
  out["rack"] = rack_;
  out["capacity"] = capacity_.ToJson();
  out["connections"] = Json::Int64(max_connections_);
  out["state"] = is_leaving_ ? "leaving" : "live";
  return out;
}

auto EndStatusName(EndStatus status) -> std::string_view {
  return kEndStatusNames.at(static_cast<std::size_t>(status));
}

auto EndStatusFromName(std::string_view name) -> EndStatus {
  const auto* it =
      std::find(kEndStatusNames.begin(), kEndStatusNames.end(), name);
  return it == kEndStatusNames.end()
             ? EndStatus::kFailed
             : static_cast<EndStatus>(it - kEndStatusNames.begin());
}

auto SessionRequest::FromJson(const Json::Value& object) -> SessionRequest {
  SessionRequest out;
  out.owner_ = RequireString(object, "owner");
  out.epoch_ = RequireInt(object, "epoch", 1, INT64_MAX);
  out.session_ttl_ms_ = RequireInt(object, "session_ms", 1, kMaxMillis);
  out.echoed_clock_ms_ = GetInt(object, "echo", 0, 0, kMaxMillis);
  out.incarnation_ = GetInt(object, "boot", 0, 0, INT64_MAX);
  out.max_wait_ms_ = GetInt(object, "wait", 0, 0, kMaxMillis);
  out.acknowledged_keys_ = ReadStrings(object, "ack");
  out.stop_keys_ = ReadStrings(object, "stop");
  out.cancel_keys_ = ReadStrings(object, "cancel");
  return out;
}

auto SessionRequest::ToJson() const -> Json::Value {
  Json::Value out;
  out["owner"] = owner_;
  out["epoch"] = Json::Int64(epoch_);
  out["session_ms"] = Json::Int64(session_ttl_ms_);
  if (echoed_clock_ms_ != 0) {
    out["echo"] = Json::Int64(echoed_clock_ms_);
  }
  if (incarnation_ != 0) {
    out["boot"] = Json::Int64(incarnation_);
  }
  if (max_wait_ms_ != 0) {
    out["wait"] = Json::Int64(max_wait_ms_);
  }
  WriteStrings(out, "ack", acknowledged_keys_);
  WriteStrings(out, "stop", stop_keys_);
  WriteStrings(out, "cancel", cancel_keys_);
  return out;
}

auto SessionAnswer::FromJson(const Json::Value& object) -> SessionAnswer {
  SessionAnswer out;
  out.clock_ms_ = RequireInt(object, "clock", 1, kMaxMillis);
  out.sequence_ = RequireInt(object, "seq", 0, INT64_MAX);
  out.incarnation_ = RequireInt(object, "boot", 0, INT64_MAX);
  for (const auto& item : GetArray(object, "running")) {
    RunningTask task;
    task.key_ = RequireString(item, "key");
    task.used_.cpu_milli_ = GetInt(item, "cpu", 0, 0, INT64_MAX);
    task.used_.memory_mb_ = GetInt(item, "mem", 0, 0, INT64_MAX);
    task.tag_ = item["tag"];
    out.running_.push_back(std::move(task));
  }
  for (const auto& item : GetArray(object, "ended")) {
    EndedTask task;
    task.key_ = RequireString(item, "key");
    task.status_ = EndStatusFromName(RequireString(item, "status"));
    task.progress_ms_ = GetInt(item, "progress", 0, 0, kMaxMillis);
    task.used_.cpu_milli_ = GetInt(item, "cpu", 0, 0, INT64_MAX);
    task.used_.memory_mb_ = GetInt(item, "mem", 0, 0, INT64_MAX);
    task.call_answer_ = item["answer"];
    task.tag_ = item["tag"];
    out.ended_.push_back(std::move(task));
  }
  return out;
}

auto SessionAnswer::ToJson() const -> Json::Value {
  Json::Value out;
  out["clock"] = Json::Int64(clock_ms_);
  out["seq"] = Json::Int64(sequence_);
  out["boot"] = Json::Int64(incarnation_);
  for (const auto& task : running_) {
    Json::Value item;
    item["key"] = task.key_;
    item["cpu"] = Json::Int64(task.used_.cpu_milli_);
    item["mem"] = Json::Int64(task.used_.memory_mb_);
    if (!task.tag_.isNull()) {
      item["tag"] = task.tag_;
    }
    out["running"].append(item);
  }
  for (const auto& task : ended_) {
    Json::Value item;
    item["key"] = task.key_;
    item["status"] = std::string(EndStatusName(task.status_));
    item["progress"] = Json::Int64(task.progress_ms_);
    item["cpu"] = Json::Int64(task.used_.cpu_milli_);
    item["mem"] = Json::Int64(task.used_.memory_mb_);
    if (!task.call_answer_.isNull()) {
      item["answer"] = task.call_answer_;
    }
    if (!task.tag_.isNull()) {
      item["tag"] = task.tag_;
    }
    out["ended"].append(item);
  }
  return out;
}

auto StartRequest::FromJson(const Json::Value& object) -> StartRequest {
  StartRequest out;
  out.key_ = RequireString(object, "key");
  out.epoch_ = RequireInt(object, "epoch", 1, INT64_MAX);
  out.incarnation_ = GetInt(object, "boot", 0, 0, INT64_MAX);
  out.valid_until_ms_ = GetInt(object, "until", 0, 0, kMaxMillis);
  out.need_ = Resources::FromJson(GetObject(object, "need"), 1);
  out.tag_ = GetObject(object, "tag");
  out.payload_ = GetObject(object, "work");
  out.progress_ms_ = GetInt(object, "progress", 0, 0, kMaxMillis);
  return out;
}

auto StartRequest::ToJson() const -> Json::Value {
  Json::Value out;
  out["key"] = key_;
  out["epoch"] = Json::Int64(epoch_);
  if (incarnation_ != 0) {
    out["boot"] = Json::Int64(incarnation_);
  }
  if (valid_until_ms_ != 0) {
    out["until"] = Json::Int64(valid_until_ms_);
  }
  out["need"] = need_.ToJson();
  out["tag"] = tag_;
  out["work"] = payload_;
  if (progress_ms_ != 0) {
    out["progress"] = Json::Int64(progress_ms_);
  }
  return out;
}

}  // namespace lentilscale
