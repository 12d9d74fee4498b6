// inih parses the file and calls back per key, in the order of the file; the
// first failing callback gives the line of the error. The table of pointers to
// members keeps parsing, printing and documentation in one place.

#include "lentilscale/settings.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <set>
#include <span>
#include <sstream>
#include <string_view>
#include <variant>

namespace lentilscale {
namespace {

using StringMember = std::string Settings::*;
using IntMember = std::int64_t Settings::*;

struct SettingRow {
  std::string_view section_;
  std::string_view key_;
  std::variant<StringMember, IntMember> member_;
  std::int64_t min_;
  std::int64_t max_;
  std::string_view help_;
};

constexpr std::int64_t kHour = 3600000;

const auto kSettingTable = std::to_array<SettingRow>({
    {"instance", "listen_address", &Settings::listen_address_, 0, 0,
     "IP number to listen on"},
    {"instance", "listen_port", &Settings::listen_port_, 0, 65535,
     "TCP port for callers and operators; 0 takes a free one"},
    {"instance", "peer_port", &Settings::peer_port_, 0, 65535,
     "TCP port for other instances; 0 takes a free one"},
    {"instance", "advertise_address", &Settings::advertise_address_, 0, 0,
     "address:port that peers use; empty means the peer port's own"},
    {"instance", "data_centre", &Settings::data_centre_, 0, 0,
     "data centre of this instance"},
    {"instance", "region", &Settings::region_, 0, 0,
     "region of this instance's data centre"},
    {"store", "address", &Settings::store_address_, 0, 0,
     "address:port of the platform's key-value store"},
    {"store", "prefix", &Settings::store_prefix_, 0, 0,
     "prefix of every key that lentilscale writes"},
    {"store", "timeout_ms", &Settings::store_timeout_ms_, 10, 60000,
     "time after which a store call counts as unanswered"},
    {"store", "poll_ms", &Settings::store_poll_ms_, 50, 10000,
     "period of reading what changed in the store"},
    {"platform", "address", &Settings::platform_address_, 0, 0,
     "address:port of the platform's instance list"},
    {"platform", "poll_ms", &Settings::platform_poll_ms_, 50, 60000,
     "period of reading the instance list"},
    {"peers", "key", &Settings::peer_key_, 0, 0,
     "secret that all instances share; empty means none is asked for"},
    {"operators", "key_sha256", &Settings::operator_key_sha256_, 0, 0,
     "SHA-256 of the operators' key, in hexadecimal; empty closes their API"},
    {"members", "lease_s", &Settings::member_lease_s_, 1, 60,
     "lease of the member record, in seconds"},
    {"members", "heartbeat_ms", &Settings::heartbeat_ms_, 50, 10000,
     "period of heartbeats between members"},
    {"members", "suspect_ms", &Settings::suspect_ms_, 100, 60000,
     "silence after which a member gets no forwarded work"},
    {"members", "key_stale_ms", &Settings::key_stale_ms_, 500, 60000,
     "age of the configuration past which keyed work is refused"},
    {"workers", "renew_ms", &Settings::renew_ms_, 100, 60000,
     "period of renewing the session on a worker"},
    {"workers", "session_ms", &Settings::session_ms_, 1000, kHour,
     "lease of the session on a worker"},
    {"workers", "timeout_ms", &Settings::worker_timeout_ms_, 10, 60000,
     "time after which a control call to a worker counts as unanswered"},
    {"workers", "connections", &Settings::worker_connections_, 1, 1024,
     "connections that one worker accepts"},
    {"workers", "connection_idle_ms", &Settings::connection_idle_ms_, 100,
     60000, "idle time after which a connection is closed"},
    {"shards", "moves_per_s", &Settings::shard_moves_per_s_, 1, 1000,
     "shards that one instance hands over per second"},
    {"requests", "max_body_bytes", &Settings::max_body_bytes_, 1024, 67108864,
     "largest body of a request"},
    {"requests", "team_queue", &Settings::team_queue_, 1, 1000000,
     "waiting requests of one team on one instance"},
    {"requests", "open_queue", &Settings::open_queue_, 1, 1000000,
     "waiting requests of one open queue on one instance"},
    {"requests", "max_deadline_ms", &Settings::max_deadline_ms_, 1, 24 * kHour,
     "longest deadline that a request may ask for"},
    {"requests", "retention_ms", &Settings::request_retention_ms_, 1000, kHour,
     "time for which ended non-idempotent requests are remembered"},
    {"requests", "clock_skew_ms", &Settings::clock_skew_ms_, 1, 60000,
     "allowed difference between the clocks of callers and instances"},
    {"requests", "stored_answer_bytes", &Settings::stored_answer_bytes_, 0,
     16777216, "largest answer that is remembered for a repeat"},
    {"retries", "percent", &Settings::retry_percent_, 0, 100,
     "retries per 100 fresh requests"},
    {"retries", "attempts", &Settings::retry_attempts_, 1, 20,
     "attempts of one request in total"},
    {"policy", "name", &Settings::policy_, 0, 0,
     "fair, first_fit or random; the last two are baselines"},
    {"policy", "usage_half_life_ms", &Settings::usage_half_life_ms_, 100, kHour,
     "half-life of the usage that fair shares remember"},
    {"policy", "quarantine_failures", &Settings::quarantine_failures_, 1, 1000,
     "failures of different jobs after which a worker is set aside"},
    {"shutdown", "drain_ms", &Settings::drain_ms_, 0, kHour,
     "longest wait for open requests at shutdown"},
    {"log", "level", &Settings::log_level_, 0, 0,
     "debug, info, warning or error"},
});

constexpr auto kRequiredSections =
    std::to_array<std::string_view>({"instance", "store", "platform"});

struct ParseState {
  Settings settings_;
  std::set<std::string, std::less<>> sections_;
  std::set<std::string, std::less<>> seen_;
  std::string problem_;
};

auto FindRow(std::string_view section, std::string_view key)
    -> const SettingRow* {
  for (const auto& row : kSettingTable) {
    if (row.section_ == section && row.key_ == key) {
      return &row;
    }
  }
  return nullptr;
}

// Stores a value in the member that a row points to.
struct ValueSetter {
  auto operator()(StringMember member) const -> std::string {
    state_.settings_.*member = value_;
    return "";
  }

  auto operator()(IntMember member) const -> std::string {
    std::int64_t number = 0;
    const auto* end = value_.data() + value_.size();
    const auto result = std::from_chars(value_.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end) {
      return fmt::format("'{}' is not an integer", value_);
    }
    if (number < row_.min_ || number > row_.max_) {
      return fmt::format("{} is not from {} to {}", number, row_.min_,
                         row_.max_);
    }
    state_.settings_.*member = number;
    return "";
  }

  ParseState& state_;
  const SettingRow& row_;
  std::string_view value_;
};

auto SetValue(ParseState& state, std::string_view section, std::string_view key,
              std::string_view value) -> std::string {
  const auto* row = FindRow(section, key);
  if (row == nullptr) {
    return "no such setting";
  }
  if (!state.seen_.insert(fmt::format("{}.{}", section, key)).second) {
    return "set twice";
  }
  return std::visit(ValueSetter{state, *row, value}, row->member_);
}

auto HandleLine(void* user, const char* section, const char* key,
                const char* value) -> int {
  auto& state = *static_cast<ParseState*>(user);
  state.sections_.insert(section);
  const auto problem = SetValue(state, section, key, value);
  if (!problem.empty() && state.problem_.empty()) {
    state.problem_ = fmt::format("[{}] {}: {}", section, key, problem);
  }
  return problem.empty() ? 1 : 0;
}

auto CheckChoices(const Settings& settings) -> std::string {
  const auto is_one_of = [](const std::string& value,
                            std::initializer_list<const char*> names) {
    return std::any_of(names.begin(), names.end(),
                       [&value](const char* name) { return value == name; });
  };
  if (!is_one_of(settings.policy_, {"fair", "first_fit", "random"})) {
    return "[policy] name: must be fair, first_fit or random";
  }
  if (!is_one_of(settings.log_level_, {"debug", "info", "warning", "error"})) {
    return "[log] level: must be debug, info, warning or error";
  }
  if (settings.session_ms_ < 3 * settings.renew_ms_) {
    return "[workers] session_ms: must be at least three times renew_ms";
  }
  if (settings.suspect_ms_ < 2 * settings.heartbeat_ms_) {
    return "[members] suspect_ms: must be at least twice heartbeat_ms";
  }
  return "";
}

// Formats a member's value.
struct ValuePrinter {
  auto operator()(StringMember member) const -> std::string {
    return settings_.*member;
  }
  auto operator()(IntMember member) const -> std::string {
    return std::to_string(settings_.*member);
  }
  const Settings& settings_;
};

auto RangeText(const SettingRow& row) -> std::string {
  if (std::holds_alternative<StringMember>(row.member_)) {
    return "text";
  }
  return fmt::format("{} to {}", row.min_, row.max_);
}

}  // namespace

auto Settings::FromFile(const std::string& path) -> absl::StatusOr<Settings> {
  std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(path + ": cannot be read");
  }
  std::stringstream text;
  text << file.rdbuf();
  return FromText(text.str(), path);
}

auto Settings::FromText(const std::string& text, const std::string& name)
    -> absl::StatusOr<Settings> {
  ParseState state;
  const auto line = ini_parse_string(text.c_str(), HandleLine, &state);
  if (line != 0) {
    const auto problem = state.problem_.empty() ? "not a section or a key=value"
                                                : state.problem_;
    return absl::InvalidArgumentError(
        fmt::format("{}:{}: {}", name, line, problem));
  }
  for (const auto section : kRequiredSections) {
    if (!state.sections_.contains(section)) {
      return absl::InvalidArgumentError(
          fmt::format("{}: section [{}] is missing", name, section));
    }
  }
  const auto problem = CheckChoices(state.settings_);
  if (!problem.empty()) {
    return absl::InvalidArgumentError(fmt::format("{}: {}", name, problem));
  }
  return state.settings_;
}

auto Settings::DefaultText() -> std::string {
  const Settings defaults;
  std::string text;
  std::string_view section;
  for (const auto& row : kSettingTable) {
    if (row.section_ != section) {
      section = row.section_;
      text += fmt::format("{}[{}]\n", text.empty() ? "" : "\n", section);
    }
    text +=
        fmt::format("; {} ({})\n{} = {}\n", row.help_, RangeText(row), row.key_,
                    std::visit(ValuePrinter{defaults}, row.member_));
  }
  return text;
}

auto Settings::Markdown() -> std::string {
  const Settings defaults;
  std::string text =
      "| section | key | default | range | meaning |\n|---|---|---|---|---|\n";
  for (const auto& row : kSettingTable) {
    text += fmt::format("| {} | {} | {} | {} | {} |\n", row.section_, row.key_,
                        std::visit(ValuePrinter{defaults}, row.member_),
                        RangeText(row), row.help_);
  }
  return text;
}

}  // namespace lentilscale
