// A platform that lost its history answers with a full list, which replaces
// what is known.

#include "lentilscale/instance_list.h"

#include <fmt/format.h>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"

namespace lentilscale {
namespace {

constexpr Millis kTimeoutMs = 1000;
constexpr auto kHttpOk = 200;

}  // namespace

auto InstanceList::Read(Callback callback) -> void {
  struct Reader {
    auto operator()(const Remote& remote) const -> void {
      list_.ReadRemote(remote, callback_);
    }
    auto operator()(const std::vector<WorkerInfo>& workers) const -> void {
      const auto is_new = !list_.is_fixed_given_;
      list_.is_fixed_given_ = true;
      callback_(is_new ? &workers : nullptr);
    }
    InstanceList& list_;
    const Callback& callback_;
  };
  std::visit(Reader{*this, callback}, source_);
}

auto InstanceList::ReadRemote(const Remote& remote, Callback callback) -> void {
  if (is_reading_) {
    return;
  }
  is_reading_ = true;
  remote.client_->Send(
      {remote.address_, "GET", fmt::format("/v1/instances?since={}", version_),
       "", "", kTimeoutMs},
      [this, callback](const HttpResult& result) {
        is_reading_ = false;
        const auto is_ok = result.outcome_ == HttpOutcome::kAnswered &&
                           result.status_ == kHttpOk && Apply(result.body_);
        if (!is_ok) {
          callback(nullptr);
          return;
        }
        std::vector<WorkerInfo> workers;
        for (const auto& [id, info] : known_) {
          workers.push_back(info);
        }
        callback(&workers);
      });
}

// Returns true if anything changed.
auto InstanceList::Apply(const std::string& text) -> bool {
  try {
    const auto body = ParseJson(text);
    const auto version = RequireInt(body, "version", 0, INT64_MAX);
    const auto is_full = GetBool(body, "full", false);
    if (version == version_ && !is_full) {
      return false;
    }
    std::vector<WorkerInfo> changed;
    for (const auto& item : GetArray(body, "instances")) {
      changed.push_back(WorkerInfo::FromJson(item));
    }
    std::vector<std::string> removed;
    for (const auto& id : GetArray(body, "removed")) {
      if (!id.isString()) {
        throw Error(ErrorCode::kBadRequest, "a removed instance has no id");
      }
      removed.push_back(id.asString());
    }
    if (is_full) {
      known_.clear();
    }
    for (const auto& info : changed) {
      known_[info.id_] = info;
    }
    for (const auto& id : removed) {
      known_.erase(id);
    }
    version_ = version;
    return true;
  } catch (const Error& e) {
    LogEvent(Event::kBadPeerMessage,
             {{"from", "instance list"}, {"problem", e.what()}});
    return false;
  }
}

}  // namespace lentilscale
