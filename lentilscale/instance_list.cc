// A platform that lost its history answers with a full list, which replaces
// what is known.

#include "lentilscale/instance_list.h"

#include <fmt/format.h>

#include <utility>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"

namespace lentilscale {
namespace {

constexpr Millis kTimeoutMs = 1000;
constexpr auto kHttpOk = 200;

auto LogUnreadable(const char* problem) -> void {
  LogEvent(Event::kBadPeerMessage,
           {{"from", "instance list"}, {"problem", problem}});
}

// Returns the id of an item that cannot be read as a whole, or "".
auto IdOfOddItem(const Json::Value& item) -> std::string {
  const auto has_id = item.isObject() && item["id"].isString();
  return has_id ? item["id"].asString() : "";
}

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

// Returns true if anything changed. An item that cannot be read hides no other
// one: an instance whose entry cannot be read stays as it was last read, and
// each instance may be the one whose entry has no readable id.
auto InstanceList::Apply(const std::string& text) -> bool {
  try {
    const auto body = ParseJson(text);
    const auto version = RequireInt(body, "version", 0, INT64_MAX);
    const auto is_full = GetBool(body, "full", false);
    if (version == version_ && !is_full) {
      return false;
    }
    std::map<std::string, WorkerInfo, std::less<>> changed;
    std::map<std::string, WorkerInfo, std::less<>> kept;
    for (const auto& item : GetArray(body, "instances")) {
      try {
        auto info = WorkerInfo::FromJson(item);
        changed[info.id_] = std::move(info);
      } catch (const Error& e) {
        LogUnreadable(e.what());
        const auto id = IdOfOddItem(item);
        kept.insert(known_.lower_bound(id),
                    id.empty() ? known_.end() : known_.upper_bound(id));
      }
    }
    std::vector<std::string> removed;
    for (const auto& id : GetArray(body, "removed")) {
      if (id.isString()) {
        removed.push_back(id.asString());
      } else {
        LogUnreadable("a removed instance has no id");
      }
    }
    version_ = version;
    if (is_full) {
      known_ = std::move(kept);
    }
    for (auto& [id, info] : changed) {
      known_[id] = std::move(info);
    }
    for (const auto& id : removed) {
      known_.erase(id);
    }
    return is_full || !changed.empty() || !removed.empty();
  } catch (const Error& e) {
    LogUnreadable(e.what());
    return false;
  }
}

}  // namespace lentilscale
