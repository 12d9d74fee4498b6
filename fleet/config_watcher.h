// Follows the operators' configuration and bounds its age.
//
// The configuration comes from the store, or from another instance of the
// region that has it (fleet/config_relays.h). If one instance fails, the next
// one is asked, and the store after the last.
//
// Only a configuration with a higher version replaces the current one.
//
// The age is an upper bound, whatever the source. For the store it counts from
// the time when the call that last confirmed the configuration was sent. If
// that call was a watch, the time by which a watch may lag behind a change is
// added. Another instance adds the age of what it has. Whoever names the wrong
// sources costs traffic and time; a configuration that may be too old is known
// as such.

#ifndef LENTILSCALE_FLEET_CONFIG_WATCHER_H_
#define LENTILSCALE_FLEET_CONFIG_WATCHER_H_

#include <absl/status/statusor.h>
#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "fleet/config_exchange.h"
#include "fleet/fleet_config.h"
#include "fleet/record_store.h"

namespace lentilscale::fleet {

// Requests are refused this long before the configuration reaches the age at
// which a revoked key must have stopped working. Covers the transit time of a
// request and the rounding of the age.
inline constexpr Millis kRevocationMarginMs = 600;

// How a watcher reaches other instances.
struct ConfigPeers {
  // Sends a poll to an address, "IP:PORT". Empty if there are no others.
  std::function<void(const std::string& address, const ConfigPoll& poll,
                     ConfigPollCallback callback)>
      poll_;
  // Age at which the configuration is of no use. The store is asked before.
  Millis max_age_ms_ = 0;
  // Runs whenever the configuration was confirmed as of a later time, or has
  // changed.
  std::function<void()> on_confirmed_;
};

class ConfigWatcher {
 public:
  using ParseFunction =
      std::function<absl::StatusOr<FleetConfig>(const std::string& text)>;

  ConfigWatcher(uv_loop_t* loop, RecordStore* store, std::string key,
                ParseFunction parser, ConfigPeers peers = {});
  ~ConfigWatcher() { *is_alive_ = false; }
  ConfigWatcher(const ConfigWatcher&) = delete;
  auto operator=(const ConfigWatcher&) -> ConfigWatcher& = delete;

  // Sets the instances to take the configuration from, in the order in which
  // they are asked, "IP:PORT". None means the store. Applies from the next call
  // on; ignored if the age at which the configuration is of no use leaves no
  // time to ask the store after them.
  auto SetSources(const std::vector<std::string>& addresses) -> void;
  // Records that the store answered a call of this instance that was sent at
  // `sent_ms` (BootMs). With another source the watcher makes no such calls.
  auto OnStoreAnswered(Millis sent_ms) -> void;

  // Returns the current configuration; nullptr until one has been read.
  auto current() const -> std::shared_ptr<const FleetConfig> {
    return current_;
  }
  // Returns the latest record as stored, also one that cannot be parsed;
  // nullptr until one has been read.
  auto latest() const -> std::shared_ptr<const Record> { return latest_; }
  // Returns the store's revision up to which all changes are known.
  auto known_revision() const -> std::int64_t { return watch_revision_; }
  // Returns the time (BootMs) at which the configuration was last known to be
  // the newest.
  auto known_current_ms() const -> Millis { return known_current_ms_; }
  // Returns the time since the configuration was last known to be the newest.
  auto AgeMs() const -> Millis;
  // Returns the send time (BootMs) of the latest call that the store answered.
  auto StoreAnsweredMs() const -> Millis { return store_answered_ms_; }

 private:
  struct FromStore {};
  struct FromPeer {
    std::string address_;
    // Age at which the next source is asked.
    Millis max_age_ms_;
  };
  using Source = std::variant<FromStore, FromPeer>;
  // An instance that failed.
  struct Failed {
    int failures_ = 0;
    Millis retry_at_ms_ = 0;
  };

  auto ChooseSource() const -> Source;
  // Asks the source of the moment. The store answers at once if `is_overdue`.
  auto Next(bool is_overdue) -> void;
  auto ReadConfig() -> void;
  auto Watch(Millis wait_ms) -> void;
  auto Poll(const FromPeer& peer) -> void;
  auto OnPollAnswered(const FromPeer& peer, const ConfigAnswer& answer,
                      Millis sent_ms) -> void;
  auto OnPeerFailed(const FromPeer& peer, const char* reason) -> void;
  auto ApplyRecord(const Record& record) -> void;
  // Records that the configuration was the newest at `known_current_ms`.
  auto Confirm(Millis known_current_ms) -> void;
  auto OnCallFailed(const ReadResult& result) -> void;
  auto ScheduleRetry() -> void;

  uv_loop_t* loop_;
  RecordStore* store_;
  std::string key_;
  ParseFunction parser_;
  ConfigPeers peers_;
  std::vector<std::string> sources_;
  // By address; without those that answered last.
  std::map<std::string, Failed> failed_;
  // The source in use, for the log; empty for the store.
  std::string logged_source_;
  std::shared_ptr<const FleetConfig> current_;
  std::shared_ptr<const Record> latest_;
  std::int64_t watch_revision_ = 0;
  // The revision of the record that was last confirmed.
  std::int64_t confirmed_revision_ = 0;
  // The configuration is known to have been the newest at this time.
  Millis known_current_ms_ = 0;
  Millis store_answered_ms_ = 0;
  // Reads and watches that failed since the last that succeeded.
  int failures_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_CONFIG_WATCHER_H_
