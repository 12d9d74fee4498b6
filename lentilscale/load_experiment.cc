// The same table-and-visitor scheme as settings.cc, for three kinds of
// sections.

#include "lentilscale/load_experiment.h"

#include <fmt/format.h>
#include <ini.h>

#include <array>
#include <fstream>
#include <sstream>
#include <string_view>
#include <variant>

namespace lentilscale {
namespace {

using TeamMember =
    std::variant<std::string TeamLoadPlan::*, double TeamLoadPlan::*,
                 std::int64_t TeamLoadPlan::*>;

struct TeamKeyRow {
  std::string_view key_;
  TeamMember member_;
};

const auto kTeamKeys = std::to_array<TeamKeyRow>({
    {"key", &TeamLoadPlan::key_},
    {"service", &TeamLoadPlan::service_},
    {"calls_per_s", &TeamLoadPlan::calls_per_s_},
    {"run_ms", &TeamLoadPlan::run_ms_},
    {"cpu_milli", &TeamLoadPlan::cpu_milli_},
    {"memory_mb", &TeamLoadPlan::memory_mb_},
    {"real_percent", &TeamLoadPlan::real_percent_},
    {"idempotent_percent", &TeamLoadPlan::idempotent_percent_},
    {"urgent_percent", &TeamLoadPlan::urgent_percent_},
    {"repeat_percent", &TeamLoadPlan::repeat_percent_},
    {"deadline_ms", &TeamLoadPlan::deadline_ms_},
    {"jobs_per_s", &TeamLoadPlan::jobs_per_s_},
    {"job_kind", &TeamLoadPlan::job_kind_},
    {"job_tasks", &TeamLoadPlan::job_tasks_},
    {"job_run_ms", &TeamLoadPlan::job_run_ms_},
    {"job_slots", &TeamLoadPlan::job_slots_},
    {"job_cpu_milli", &TeamLoadPlan::job_cpu_milli_},
    {"job_memory_mb", &TeamLoadPlan::job_memory_mb_},
    {"job_accelerators", &TeamLoadPlan::job_accelerators_},
    {"job_urgent_percent", &TeamLoadPlan::job_urgent_percent_},
    {"until_s", &TeamLoadPlan::until_s_},
    {"from_s", &TeamLoadPlan::from_s_},
    {"share", &TeamLoadPlan::share_},
});

struct ReadState {
  LoadExperiment experiment_;
  std::string problem_;
};

// Stores a value in a member; returns false if it is not of its type.
struct TeamSetter {
  auto operator()(std::string TeamLoadPlan::*member) const -> bool {
    plan_.*member = text_;
    return true;
  }
  auto operator()(double TeamLoadPlan::*member) const -> bool {
    char* end = nullptr;
    plan_.*member = std::strtod(text_.c_str(), &end);
    return *end == '\0' && !text_.empty() && plan_.*member >= 0;
  }
  auto operator()(std::int64_t TeamLoadPlan::*member) const -> bool {
    char* end = nullptr;
    plan_.*member = std::strtoll(text_.c_str(), &end, 10);
    return *end == '\0' && !text_.empty() && plan_.*member >= 0;
  }
  TeamLoadPlan& plan_;
  const std::string& text_;
};

auto SetRun(LoadExperiment& experiment, const std::string& key,
            const std::string& value) -> bool {
  const auto number = std::atof(value.c_str());
  if (key == "seconds") {
    experiment.seconds_ = number;
  } else if (key == "warm_up_s") {
    experiment.warm_up_s_ = number;
  } else if (key == "seed") {
    experiment.seed_ = static_cast<std::uint64_t>(number);
  } else {
    return false;
  }
  return number >= 0;
}

auto SetTeam(LoadExperiment& experiment, const std::string& name,
             const std::string& key, const std::string& value) -> bool {
  auto& teams = experiment.teams_;
  if (teams.empty() || teams.back().name_ != name) {
    teams.push_back({});
    teams.back().name_ = name;
  }
  for (const auto& row : kTeamKeys) {
    if (row.key_ == key) {
      return std::visit(TeamSetter{teams.back(), value}, row.member_);
    }
  }
  return false;
}

auto SetFault(LoadExperiment& experiment, const std::string& name,
              const std::string& key, const std::string& value) -> bool {
  auto& faults = experiment.faults_;
  if (faults.empty() || faults.back().name_ != name) {
    faults.push_back({name, 0, "", {}});
  }
  if (key == "at_s") {
    faults.back().at_s_ = std::atof(value.c_str());
  } else if (key == "kind") {
    faults.back().kind_ = value;
  } else {
    faults.back().values_[key] = value;
  }
  return true;
}

auto HandleLine(void* user, const char* section_text, const char* key,
                const char* value) -> int {
  auto& state = *static_cast<ReadState*>(user);
  const std::string section = section_text;
  const auto space = section.find(' ');
  const auto kind = section.substr(0, space);
  const auto name = space == std::string::npos ? "" : section.substr(space + 1);
  auto ok = false;
  if (kind == "run") {
    ok = SetRun(state.experiment_, key, value);
  } else if (kind == "team" && !name.empty()) {
    ok = SetTeam(state.experiment_, name, key, value);
  } else if (kind == "fault" && !name.empty()) {
    ok = SetFault(state.experiment_, name, key, value);
  }
  if (!ok && state.problem_.empty()) {
    state.problem_ =
        fmt::format("[{}] {}: unknown, or not '{}'", section, key, value);
  }
  return ok ? 1 : 0;
}

}  // namespace

auto LoadExperiment::FromFile(const std::string& path)
    -> absl::StatusOr<LoadExperiment> {
  std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(path + ": cannot be read");
  }
  std::stringstream text;
  text << file.rdbuf();
  return FromText(text.str(), path);
}

auto LoadExperiment::FromText(const std::string& text, const std::string& name)
    -> absl::StatusOr<LoadExperiment> {
  ReadState state;
  const auto line = ini_parse_string(text.c_str(), HandleLine, &state);
  if (line != 0) {
    return absl::InvalidArgumentError(
        fmt::format("{}:{}: {}", name, line,
                    state.problem_.empty() ? "not a section or a key=value"
                                           : state.problem_));
  }
  return state.experiment_;
}

}  // namespace lentilscale
