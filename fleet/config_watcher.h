// The operators' configuration, followed in the store with a proved age.
//
// Versions only go up. The age counts from the sending of the call that last
// confirmed the configuration, less the time for which a watch may be silent
// although something has changed.

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

// Time by which requests stop before a withdrawn key's bound is reached: the
// request's own way and the age's rounding.
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

  // Returns the configuration in force; nullptr before the first was read.
  auto current() const -> std::shared_ptr<const FleetConfig> {
    return current_;
  }
  // Returns the time since the configuration was surely the newest.
  auto AgeMs() const -> Millis;
  // Returns when the latest call that the store answered was sent.
  auto LastAnswerMs() const -> Millis { return last_answer_ms_; }

 private:
  auto ReadConfig() -> void;
  auto Watch() -> void;
  auto ApplyRecord(const Record& record) -> void;
  auto ScheduleRead() -> void;

  uv_loop_t* loop_;
  RecordStore* store_;
  std::string key_;
  ParseFunction parser_;
  std::shared_ptr<const FleetConfig> current_;
  std::int64_t watch_revision_ = 0;
  Millis known_current_ms_ = 0;
  Millis last_answer_ms_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_CONFIG_WATCHER_H_
