// lentild runs one entry instance of lentilscale.
//
//   lentild --settings=/etc/lentilscale/lentild.ini
//   lentild --platform            on the users' platform, with its boot file
//   lentild --embedded            with a store and four workers in the process
//   lentild --check-settings --settings=FILE
//   lentild --print-default-settings
//
// On SIGTERM and SIGINT the instance hands over its work, completes open
// requests and exits with code 0. Exit code 1 means that a port is taken, 2
// that the settings are invalid.

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <signal.h>
#include <uv.h>

#include <array>
#include <string>

#include "lentilscale/command_line.h"
#include "lentilscale/log.h"
#include "lentilscale/node.h"
#include "lentilscale/settings.h"
#include "platform/platform_node.h"

ABSL_FLAG(std::string, settings, "", "path of the INI file with the settings");
ABSL_FLAG(bool, embedded, false,
          "run a store and four workers in the same process");
ABSL_FLAG(bool, platform, false,
          "run on the users' platform; the settings come from the boot file "
          "whose path is in LENTILSCALE_BOOT");
ABSL_FLAG(bool, check_settings, false, "check the settings and exit");
ABSL_FLAG(bool, print_default_settings, false,
          "print the default settings as an INI file and exit");
ABSL_FLAG(bool, print_settings_table, false,
          "print the settings as a Markdown table and exit");

namespace {

using lentilscale::Node;
using lentilscale::Settings;

constexpr auto kExitPortTaken = 1;
constexpr auto kExitBadSettings = 2;

auto LoadSettings() -> absl::StatusOr<Settings> {
  const auto path = absl::GetFlag(FLAGS_settings);
  if (!path.empty()) {
    return Settings::FromFile(path);
  }
  if (absl::GetFlag(FLAGS_embedded)) {
    return Settings::FromText(Settings::DefaultText(), "defaults");
  }
  return absl::InvalidArgumentError(
      "--settings, --embedded or --platform is required");
}

// Returns kInfo for an unknown name.
auto ParseLogLevel(const std::string& name) -> lentilscale::LogLevel {
  using lentilscale::LogLevel;
  for (const auto level : {LogLevel::kDebug, LogLevel::kInfo,
                           LogLevel::kWarning, LogLevel::kError}) {
    if (LogLevelName(level) == name) {
      return level;
    }
  }
  return LogLevel::kInfo;
}

auto OnTerminationSignal(uv_signal_t* handle, int /*number*/) -> void {
  auto* node = static_cast<Node*>(handle->data);
  node->Drain([handle] { uv_stop(handle->loop); });
}

auto OnPlatformTerminationSignal(uv_signal_t* handle, int /*number*/) -> void {
  auto* platform =
      static_cast<lentilscale::platform::PlatformNode*>(handle->data);
  platform->node().Drain([handle] { uv_stop(handle->loop); });
}

// Logs that a request to reload is ignored: the boot-file fields that lentild
// uses do not change while a process runs.
auto OnHangup(uv_signal_t* /*handle*/, int /*number*/) -> void {
  lentilscale::LogEvent(lentilscale::Event::kReloadIgnored, {});
}

// The signal handles are static: libuv's signal handler reads them also while
// the process exits.
auto RunOnPlatform() -> int {
  using lentilscale::platform::BootFile;
  using lentilscale::platform::PlatformNode;
  signal(SIGPIPE, SIG_IGN);
  // A reload may be requested before its handler is installed; the default
  // action would end the process.
  signal(SIGHUP, SIG_IGN);
  lentilscale::SetLogTarget(lentilscale::LogTarget::kStandardOutput);
  const auto* boot_path = std::getenv(lentilscale::platform::kBootFileEnvVar);
  if (boot_path == nullptr) {
    fmt::print(stderr, "lentild: environment variable {} is not set\n",
               lentilscale::platform::kBootFileEnvVar);
    return kExitBadSettings;
  }
  const auto boot = BootFile::FromFile(boot_path);
  if (!boot.ok()) {
    fmt::print(stderr, "lentild: {}\n", std::string(boot.status().message()));
    return kExitBadSettings;
  }
  auto* loop = uv_default_loop();
  // Installed before the ports are taken; the handlers run in the loop only.
  static std::array<uv_signal_t, 3> signals;
  const std::array<std::pair<int, uv_signal_cb>, 3> handlers = {
      {{SIGTERM, OnPlatformTerminationSignal},
       {SIGINT, OnPlatformTerminationSignal},
       {SIGHUP, OnHangup}}};
  for (std::size_t i = 0; i < signals.size(); ++i) {
    uv_signal_init(loop, &signals[i]);
    uv_signal_start(&signals[i], handlers[i].second, handlers[i].first);
  }
  auto platform = PlatformNode::Create(loop, *boot);
  if (!platform.ok()) {
    fmt::print(stderr, "lentild: {}\n",
               std::string(platform.status().message()));
    return kExitPortTaken;
  }
  for (auto& signal : signals) {
    signal.data = platform->get();
  }
  uv_run(loop, UV_RUN_DEFAULT);
  // Open handles still point to the node, so it must not be destroyed. Process
  // exit closes them.
  platform->release();
  return 0;
}

auto RunWithSettings(const Settings& settings) -> int {
  signal(SIGPIPE, SIG_IGN);
  auto* loop = uv_default_loop();
  auto node = Node::Create(loop, settings, absl::GetFlag(FLAGS_embedded));
  if (!node.ok()) {
    fmt::print(stderr, "lentild: {}\n", std::string(node.status().message()));
    return kExitPortTaken;
  }
  static std::array<uv_signal_t, 2> signals;
  const std::array<int, 2> numbers = {SIGTERM, SIGINT};
  for (std::size_t i = 0; i < signals.size(); ++i) {
    uv_signal_init(loop, &signals[i]);
    signals[i].data = node->get();
    uv_signal_start(&signals[i], OnTerminationSignal, numbers[i]);
  }
  uv_run(loop, UV_RUN_DEFAULT);
  return 0;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  absl::SetProgramUsageMessage(
      "runs one entry instance of lentilscale\n"
      "  lentild --settings=/etc/lentilscale/lentild.ini\n"
      "  lentild --platform           on the users' platform\n"
      "  lentild --embedded           with a store and workers in the process\n"
      "Exit codes: 0 stopped, 1 a port is taken, 2 the settings are invalid.");
  lentilscale::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_print_default_settings)) {
    fmt::print("{}", Settings::DefaultText());
    return 0;
  }
  if (absl::GetFlag(FLAGS_print_settings_table)) {
    fmt::print("{}", Settings::Markdown());
    return 0;
  }
  if (absl::GetFlag(FLAGS_platform)) {
    return RunOnPlatform();
  }
  const auto settings = LoadSettings();
  if (!settings.ok()) {
    fmt::print(stderr, "lentild: {}\n",
               std::string(settings.status().message()));
    return kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    fmt::print("settings are valid\n");
    return 0;
  }
  lentilscale::SetLogLevel(ParseLogLevel(settings->log_level_));
  return RunWithSettings(*settings);
}
