// A watch is kept open at all times. Each answer confirms the version, even an
// empty one, at the cost of about one call per second. Reading the document at
// the same rate would transfer tens of kilobytes with each call.

#include "fleet/config_watcher.h"

#include <algorithm>

#include "lentilscale/log.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {
namespace {

constexpr Millis kWatchWaitMs = 800;
// Pause after the first of several failures; it doubles with each further one.
constexpr Millis kMinRetryMs = 150;
constexpr Millis kMaxRetryMs = 800;
// Bounds the shift that computes the pause.
constexpr int kMaxDoublings = 8;
// A watch may report a change this late.
constexpr Millis kMaxWatchLagMs = 1000;

}  // namespace

ConfigWatcher::ConfigWatcher(uv_loop_t* loop, RecordStore* store,
                             std::string key, ParseFunction parser)
    : loop_(loop),
      store_(store),
      key_(std::move(key)),
      parser_(std::move(parser)) {
  ReadConfig();
}

auto ConfigWatcher::AgeMs() const -> Millis {
  return BootMs() - known_current_ms_;
}

auto ConfigWatcher::OnReadFailed(const ReadResult& result) -> void {
  ++failures_;
  LogEvent(Event::kFleetConfigurationNotRead,
           {{"status", StoreStatusName(result.status_)},
            {"received_bytes", std::to_string(result.received_bytes_)},
            {"failures", std::to_string(failures_)},
            {"configuration_age_ms", std::to_string(AgeMs())}});
  ScheduleRead();
}

auto ConfigWatcher::ScheduleRead() -> void {
  const auto doublings = std::min(std::max(failures_, 1) - 1, kMaxDoublings);
  const auto pause_ms = std::min(kMaxRetryMs, kMinRetryMs << doublings);
  RunAfter(loop_, pause_ms, [this, alive = is_alive_] {
    if (*alive) {
      ReadConfig();
    }
  });
}

auto ConfigWatcher::ReadConfig() -> void {
  store_->Read(key_, [this, alive = is_alive_](const ReadResult& result) {
    if (!*alive) {
      return;
    }
    if (result.status_ != StoreStatus::kOk) {
      OnReadFailed(result);
      return;
    }
    failures_ = 0;
    known_current_ms_ = std::max(known_current_ms_, result.sent_ms_);
    store_answered_ms_ = std::max(store_answered_ms_, result.sent_ms_);
    watch_revision_ = result.revision_;
    ApplyRecord(result.records_[0]);
    Watch();
  });
}

auto ConfigWatcher::Watch() -> void {
  store_->Watch(key_, watch_revision_, kWatchWaitMs,
                [this, alive = is_alive_](const ReadResult& result) {
                  if (!*alive) {
                    return;
                  }
                  if (result.status_ == StoreStatus::kCompacted) {
                    ReadConfig();
                    return;
                  }
                  if (result.status_ != StoreStatus::kOk) {
                    OnReadFailed(result);
                    return;
                  }
                  store_answered_ms_ =
                      std::max(store_answered_ms_, result.sent_ms_);
                  for (const auto& record : result.records_) {
                    if (record.key_ == key_ && !record.is_removed_) {
                      ApplyRecord(record);
                    }
                  }
                  watch_revision_ = std::max(watch_revision_, result.revision_);
                  known_current_ms_ = std::max(
                      known_current_ms_, result.sent_ms_ - kMaxWatchLagMs);
                  Watch();
                });
}

auto ConfigWatcher::ApplyRecord(const Record& record) -> void {
  auto config = parser_(record.value_);
  if (!config.ok()) {
    LogEvent(Event::kBadRecord,
             {{"key", key_}, {"problem", config.status().ToString()}});
    return;
  }
  if (current_ != nullptr && config->version_ <= current_->version_) {
    return;
  }
  LogEvent(Event::kFleetConfiguration,
           {{"version", std::to_string(config->version_)},
            {"revision", std::to_string(record.revision_)},
            {"queues", std::to_string(config->queues_.size())},
            {"teams", std::to_string(config->teams_.size())}});
  current_ = std::make_shared<const FleetConfig>(*std::move(config));
}

}  // namespace lentilscale::fleet
