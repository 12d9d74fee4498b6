// Settings of one lentild process, read from an INI file.
//
// Every setting has a row in a table with its section, key, type, default,
// range and a sentence for the operator. Reading is strict: an unknown section
// or key, a value of the wrong type or out of range, or a missing section is
// an error that names file, line and key.
//
//   auto settings = Settings::FromFile("/etc/lentilscale/lentild.ini");
//   if (!settings.ok()) { ... settings.status().message() ... }
//
// docs/SETTINGS.md is printed from the same table.

#ifndef LENTILSCALE_SETTINGS_H_
#define LENTILSCALE_SETTINGS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

#include "lentilscale/clock.h"

namespace lentilscale {

// The settings, with their defaults. Units are in the names.
struct Settings {
  // Reads and checks `path`.
  static auto FromFile(const std::string& path) -> absl::StatusOr<Settings>;

  // Reads and checks `text`; `name` stands for the file in messages.
  static auto FromText(const std::string& text, const std::string& name)
      -> absl::StatusOr<Settings>;

  // Returns the defaults as an INI file with comments.
  static auto DefaultText() -> std::string;

  // Returns the table of settings as Markdown.
  static auto Markdown() -> std::string;

  std::string listen_address_ = "127.0.0.1";
  std::int64_t listen_port_ = 7000;
  std::int64_t peer_port_ = 7001;
  std::string advertise_address_;
  std::string data_centre_ = "home-a";
  std::string region_ = "home";

  std::string store_address_ = "127.0.0.1:2379";
  std::string store_prefix_ = "/lentilscale/";
  Millis store_timeout_ms_ = 800;
  Millis store_poll_ms_ = 300;

  std::string platform_address_ = "127.0.0.1:2379";
  Millis platform_poll_ms_ = 1000;

  std::string peer_key_;
  std::string operator_key_sha256_;

  std::int64_t member_lease_s_ = 2;
  Millis heartbeat_ms_ = 500;
  Millis suspect_ms_ = 1200;
  Millis key_stale_ms_ = 2000;

  Millis renew_ms_ = 2000;
  Millis session_ms_ = 10000;
  Millis worker_timeout_ms_ = 1000;
  std::int64_t worker_connections_ = 64;
  Millis connection_idle_ms_ = 3000;

  std::int64_t shard_moves_per_s_ = 4;

  std::int64_t max_body_bytes_ = 262144;
  std::int64_t team_queue_ = 2000;
  std::int64_t open_queue_ = 200;
  Millis max_deadline_ms_ = 600000;
  Millis request_retention_ms_ = 60000;
  Millis clock_skew_ms_ = 500;
  std::int64_t stored_answer_bytes_ = 16384;

  std::int64_t retry_percent_ = 10;
  std::int64_t retry_attempts_ = 3;

  std::string policy_ = "fair";
  Millis usage_half_life_ms_ = 10000;
  std::int64_t quarantine_failures_ = 5;
  Millis drain_ms_ = 30000;

  std::string log_level_ = "info";
};

}  // namespace lentilscale

#endif  // LENTILSCALE_SETTINGS_H_
