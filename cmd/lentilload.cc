// lentilload generates the load of an experiment against running processes.
//
//   lentilload --experiment=higienik.ini --entries=IP:PORT,...
//              [--platform=IP:PORT] [--workers=IP:PORT] [--proxy=IP:PORT]
//              [--operator-key=KEY] [--pids=NAME=PID,...]
//              [--record=FILE] [--result=FILE] [--report=FILE] [--progress]
//
// It writes one JSON result to --result, or to standard output without this
// flag, and an HTML report with plots to --report. It does not start any of the
// processes.

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <signal.h>

#include <fstream>

#include "lentilscale/command_line.h"
#include "lentilscale/json.h"
#include "lentilscale/load_report.h"
#include "lentilscale/load_run.h"

ABSL_FLAG(std::string, experiment, "",
          "path of the INI file with the experiment");
ABSL_FLAG(std::string, entries, "127.0.0.1:7000",
          "client addresses of the entry instances, separated by commas");
ABSL_FLAG(std::string, platform, "", "control address of fake_platform");
ABSL_FLAG(std::string, workers, "", "control address of fake_workers");
ABSL_FLAG(std::string, proxy, "", "control address of fault_proxy");
ABSL_FLAG(std::string, operator_key, "", "operators' key");
ABSL_FLAG(std::string, pids, "",
          "processes that faults send signals to: NAME=PID,...");
ABSL_FLAG(std::string, record, "",
          "file for the record of requests and results");
ABSL_FLAG(std::string, result, "", "file for the JSON result");
ABSL_FLAG(std::string, report, "", "file for the HTML report");
ABSL_FLAG(bool, progress, false, "show progress on standard error");

namespace {

using lentilscale::DumpJson;
using lentilscale::LoadExperiment;
using lentilscale::LoadRun;
using lentilscale::LoadTargets;

constexpr auto kExitBadExperiment = 2;

auto ReadTargets() -> LoadTargets {
  LoadTargets targets;
  targets.entries_ = absl::StrSplit(absl::GetFlag(FLAGS_entries), ',');
  targets.platform_ = absl::GetFlag(FLAGS_platform);
  targets.workers_ = absl::GetFlag(FLAGS_workers);
  targets.proxy_ = absl::GetFlag(FLAGS_proxy);
  targets.operator_key_ = absl::GetFlag(FLAGS_operator_key);
  targets.record_ = absl::GetFlag(FLAGS_record);
  targets.shows_progress_ = absl::GetFlag(FLAGS_progress);
  const auto pids = absl::GetFlag(FLAGS_pids);
  for (const auto pair : absl::StrSplit(pids, ',', absl::SkipEmpty())) {
    const std::vector<std::string> parts = absl::StrSplit(pair, '=');
    // Malformed pairs are ignored.
    if (parts.size() == 2) {
      targets.pids_[parts[0]] = std::atoi(parts[1].c_str());
    }
  }
  return targets;
}

auto WriteFile(const std::string& path, const std::string& text) -> void {
  std::ofstream file(path);
  file << text;
}

auto WriteResults(const LoadExperiment& experiment, const LoadRun& run)
    -> void {
  const auto summary = SummarizeLoad(experiment, run.result());
  const auto text = DumpJson(summary) + "\n";
  if (absl::GetFlag(FLAGS_result).empty()) {
    fmt::print("{}", text);
  } else {
    WriteFile(absl::GetFlag(FLAGS_result), text);
  }
  if (!absl::GetFlag(FLAGS_report).empty()) {
    WriteFile(absl::GetFlag(FLAGS_report),
              RenderLoadReport(experiment, run.result(), summary));
  }
}

}  // namespace

auto main(int argc, char** argv) -> int {
  absl::SetProgramUsageMessage(
      "generates the load of an experiment against running processes");
  lentilscale::ParseCommandLine(argc, argv);
  signal(SIGPIPE, SIG_IGN);
  const auto experiment =
      LoadExperiment::FromFile(absl::GetFlag(FLAGS_experiment));
  if (!experiment.ok()) {
    fmt::print(stderr, "lentilload: {}\n",
               std::string(experiment.status().message()));
    return kExitBadExperiment;
  }
  auto* loop = uv_default_loop();
  LoadRun run(loop, *experiment, ReadTargets());
  run.Start([loop] { uv_stop(loop); });
  uv_run(loop, UV_RUN_DEFAULT);
  WriteResults(*experiment, run);
  return 0;
}
