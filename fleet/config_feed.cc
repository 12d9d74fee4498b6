// One watch is always open; its answer, also an empty one, confirms the version
// and costs one call a second. Reading the document itself as often would cost
// the same calls but send tens of kilobytes each time.

#include "fleet/config_feed.h"

#include <algorithm>

#include "lentilscale/log.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {
namespace {

constexpr Millis kWatchWaitMs = 800;
constexpr Millis kRetryMs = 150;
// A watch may hear nothing for this long while changes are made.
constexpr Millis kWatchSilenceMs = 1000;

}  // namespace

ConfigFeed::ConfigFeed(uv_loop_t* loop, RecordStore* store, std::string key,
                       Parser parser)
    : loop_(loop),
      store_(store),
      key_(std::move(key)),
      parser_(std::move(parser)) {
  ReadAll();
}

auto ConfigFeed::AgeMs() const -> Millis { return BootMs() - confirmed_ms_; }

auto ConfigFeed::RetryRead() -> void {
  RunAfter(loop_, kRetryMs, [this, alive = is_alive_] {
    if (*alive) {
      ReadAll();
    }
  });
}

auto ConfigFeed::ReadAll() -> void {
  store_->Read(key_, [this, alive = is_alive_](const ReadResult& result) {
    if (!*alive) {
      return;
    }
    if (result.status_ != StoreStatus::kOk) {
      RetryRead();
      return;
    }
    confirmed_ms_ = std::max(confirmed_ms_, result.sent_ms_);
    answered_ms_ = std::max(answered_ms_, result.sent_ms_);
    watch_revision_ = result.revision_;
    Take(result.records_[0]);
    Watch();
  });
}

auto ConfigFeed::Watch() -> void {
  store_->Watch(key_, watch_revision_, kWatchWaitMs,
                [this, alive = is_alive_](const ReadResult& result) {
                  if (!*alive) {
                    return;
                  }
                  if (result.status_ == StoreStatus::kCompacted) {
                    ReadAll();
                    return;
                  }
                  if (result.status_ != StoreStatus::kOk) {
                    RetryRead();
                    return;
                  }
                  answered_ms_ = std::max(answered_ms_, result.sent_ms_);
                  for (const auto& record : result.records_) {
                    if (record.key_ == key_ && !record.is_removed_) {
                      Take(record);
                    }
                  }
                  watch_revision_ = std::max(watch_revision_, result.revision_);
                  confirmed_ms_ = std::max(confirmed_ms_,
                                           result.sent_ms_ - kWatchSilenceMs);
                  Watch();
                });
}

auto ConfigFeed::Take(const Record& record) -> void {
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
