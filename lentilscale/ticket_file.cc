// The INI form is translated to the JSON form, which alone is checked, so that
// both forms have the same rules and messages.

#include "lentilscale/ticket_file.h"

#include <fmt/format.h>
#include <ini.h>

#include <array>
#include <charconv>
#include <fstream>
#include <sstream>
#include <string_view>

#include "lentilscale/error.h"
#include "lentilscale/json.h"

namespace lentilscale {
namespace {

struct Plural {
  std::string_view one_;
  const char* many_;
};

constexpr auto kPlurals = std::to_array<Plural>({
    {"team", "teams"},
    {"service", "services"},
    {"queue", "queues"},
    {"deployment", "deployments"},
});

struct ReadState {
  Json::Value ticket_{Json::objectValue};
  std::string problem_;
};

auto FindPlural(std::string_view one) -> const char* {
  for (const auto& plural : kPlurals) {
    if (plural.one_ == one) {
      return plural.many_;
    }
  }
  return nullptr;
}

auto ToValue(const std::string& text) -> Json::Value {
  std::int64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (!text.empty() && result.ec == std::errc() && result.ptr == end) {
    return Json::Int64(number);
  }
  return text;
}

// Sets `key` of a thing; "a.b" sets a member of a member, and "key.NAME" adds
// a key of a team.
auto SetMember(Json::Value& thing, const std::string& key,
               const std::string& value) -> void {
  const auto dot = key.find('.');
  if (dot == std::string::npos) {
    // Versions are text even if they look like numbers.
    thing[key] = key == "version" ? Json::Value(value) : ToValue(value);
    return;
  }
  const auto outer = key.substr(0, dot);
  const auto inner = key.substr(dot + 1);
  if (outer == "key") {
    Json::Value item;
    item["name"] = inner;
    item["sha256"] = value;
    thing["keys"].append(item);
  } else {
    thing[outer][inner] = ToValue(value);
  }
}

auto HandleLine(void* user, const char* section, const char* key,
                const char* value) -> int {
  auto& state = *static_cast<ReadState*>(user);
  const std::string name = section;
  const auto space = name.find(' ');
  const auto kind = name.substr(0, space);
  if (name == "ticket") {
    state.ticket_[key] = ToValue(value);
    return 1;
  }
  if (name == "remove") {
    const std::string target = key;
    const auto dot = target.find('.');
    const auto* many = FindPlural(target.substr(0, dot));
    if (many != nullptr && dot != std::string::npos) {
      state.ticket_[many][target.substr(dot + 1)] = Json::Value();
      return 1;
    }
  }
  const auto* many = FindPlural(kind);
  if (many == nullptr || space == std::string::npos) {
    state.problem_ = fmt::format("[{}] is not a section of a ticket", name);
    return 0;
  }
  SetMember(state.ticket_[many][name.substr(space + 1)], key, value);
  return 1;
}

}  // namespace

auto TicketFromIni(const std::string& text, const std::string& name)
    -> absl::StatusOr<Json::Value> {
  ReadState state;
  const auto line = ini_parse_string(text.c_str(), HandleLine, &state);
  if (line != 0) {
    const auto problem = state.problem_.empty() ? "not a section or a key=value"
                                                : state.problem_;
    return absl::InvalidArgumentError(
        fmt::format("{}:{}: {}", name, line, problem));
  }
  return state.ticket_;
}

auto ReadTicketFile(const std::string& path) -> absl::StatusOr<Json::Value> {
  std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(path + ": cannot be read");
  }
  std::stringstream text;
  text << file.rdbuf();
  if (path.ends_with(".ini")) {
    return TicketFromIni(text.str(), path);
  }
  try {
    return ParseJson(text.str());
  } catch (const Error& e) {
    return absl::InvalidArgumentError(path + ": " + e.what());
  }
}

}  // namespace lentilscale
