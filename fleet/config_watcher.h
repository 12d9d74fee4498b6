// Follows the operators' configuration in the store and bounds its age.
//
// Only a configuration with a higher version replaces the current one.
//
// The age is an upper bound. It counts from the time when the call that last
// confirmed the configuration was sent. If that call was a watch, the time by
// which a watch may lag behind a change is added.

#ifndef LENTILSCALE_FLEET_CONFIG_WATCHER_H_
#define LENTILSCALE_FLEET_CONFIG_WATCHER_H_

#include <absl/status/statusor.h>
#include <uv.h>

#include <functional>
#include <memory>
#include <string>

#include "fleet/fleet_config.h"
#include "fleet/record_store.h"

namespace lentilscale::fleet {

// Requests are refused this long before the configuration reaches the age at
// which a revoked key must have stopped working. Covers the transit time of a
// request and the rounding of the age.
inline constexpr Millis kRevocationMarginMs = 600;

class ConfigWatcher {
 public:
  using ParseFunction =
      std::function<absl::StatusOr<FleetConfig>(const std::string& text)>;

  ConfigWatcher(uv_loop_t* loop, RecordStore* store, std::string key,
                ParseFunction parser);
  ~ConfigWatcher() { *is_alive_ = false; }
  ConfigWatcher(const ConfigWatcher&) = delete;
  auto operator=(const ConfigWatcher&) -> ConfigWatcher& = delete;

  // Returns the current configuration; nullptr until one has been read.
  auto current() const -> std::shared_ptr<const FleetConfig> {
    return current_;
  }
  // Returns the time since the configuration was last known to be the newest.
  auto AgeMs() const -> Millis;
  // Returns the send time (BootMs) of the latest call that the store answered.
  auto StoreAnsweredMs() const -> Millis { return store_answered_ms_; }

 private:
  auto ReadConfig() -> void;
  auto Watch(Millis wait_ms) -> void;
  auto ApplyRecord(const Record& record) -> void;
  auto OnCallFailed(const ReadResult& result) -> void;
  auto ScheduleRetry() -> void;

  uv_loop_t* loop_;
  RecordStore* store_;
  std::string key_;
  ParseFunction parser_;
  std::shared_ptr<const FleetConfig> current_;
  std::int64_t watch_revision_ = 0;
  // The configuration is known to have been the newest at this time.
  Millis known_current_ms_ = 0;
  Millis store_answered_ms_ = 0;
  // Reads and watches that failed since the last that succeeded.
  int failures_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_CONFIG_WATCHER_H_
