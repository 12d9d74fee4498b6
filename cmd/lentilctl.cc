// lentilctl is the command-line client for operators and callers.
//
//   lentilctl --address=IP:PORT[,IP:PORT...] --key=KEY COMMAND
//
//   ticket check FILE | submit FILE | show N | head | diff FILE | wait N
//   audit | status
//   call SERVICE JSON | queue QUEUE JSON
//   job submit FILE | show ID | list | watch ID | cancel ID
//   explain SERVICE | explain-task KEY
//   explain-log ID [FILE...]     reads standard input if no file is given
//   key-hash KEY
//
// The addresses are tried in order until a connection succeeds. Exit codes:
// 0 success, 1 refused or failed, 2 invalid usage, 3 no address reached or
// outcome unknown.

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "lentilscale/command_line.h"
#include "lentilscale/configuration.h"
#include "lentilscale/error.h"
#include "lentilscale/http_sync.h"
#include "lentilscale/json.h"
#include "lentilscale/log_timeline.h"
#include "lentilscale/ticket_file.h"

ABSL_FLAG(std::string, address, "127.0.0.1:7000",
          "addresses of entry instances, separated by commas");
ABSL_FLAG(std::string, key, "", "key of the team or of the operators");
ABSL_FLAG(bool, next, false, "number the ticket one after the head");
ABSL_FLAG(
    int, timeout_ms, 15000,
    "timeout of each request, and of commands that wait, in milliseconds");

namespace {

using lentilscale::DumpJson;
using lentilscale::HttpOutcome;
using lentilscale::HttpResult;
using lentilscale::Millis;
using lentilscale::MonotonicMs;
using lentilscale::ParseJson;
using lentilscale::SyncClient;

using Arguments = std::vector<std::string>;

constexpr auto kExitOk = 0;
constexpr auto kExitFailed = 1;
constexpr auto kExitUsage = 2;
constexpr auto kExitNoAnswer = 3;
constexpr auto kHttpOk = 200;
constexpr auto kPollIntervalUs = 100000;

class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

auto Send(const std::string& method, const std::string& path,
          const std::string& body) -> HttpResult {
  static SyncClient client;
  HttpResult result;
  const std::vector<std::string> addresses =
      absl::StrSplit(absl::GetFlag(FLAGS_address), ',');
  for (const auto& address : addresses) {
    result = client.Send({address, method, path, body, absl::GetFlag(FLAGS_key),
                          absl::GetFlag(FLAGS_timeout_ms)});
    // Tries the next instance only if the request was never sent: a request
    // that was sent may have taken effect.
    if (result.outcome_ != HttpOutcome::kNotSent) {
      break;
    }
  }
  return result;
}

// Prints the answer or what went wrong, and returns the exit code.
auto PrintResult(const HttpResult& result) -> int {
  switch (result.outcome_) {
    case HttpOutcome::kNotSent:
      fmt::print(stderr, "lentilctl: could not connect to any address\n");
      return kExitNoAnswer;
    case HttpOutcome::kUnknown:
      fmt::print(stderr,
                 "lentilctl: no complete answer; the outcome is unknown\n");
      return kExitNoAnswer;
    case HttpOutcome::kAnswered:
      break;
  }
  fmt::print("{}", result.body_);
  return result.status_ == kHttpOk ? kExitOk : kExitFailed;
}

auto SendAndPrint(const std::string& method, const std::string& path,
                  const std::string& body = "") -> int {
  return PrintResult(Send(method, path, body));
}

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream file(path);
  if (!file) {
    throw UsageError(path + ": cannot be read");
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

auto RequireArgument(const Arguments& arguments, std::size_t index)
    -> std::string {
  if (index >= arguments.size()) {
    throw UsageError("missing argument; see --help");
  }
  return arguments[index];
}

auto MakeNonce() -> std::string {
  std::random_device device;
  return fmt::format("{:08x}{:08x}{:08x}", device(), device(), device());
}

// Reads a ticket file. With --next, replaces the ticket's number by the one
// after the head, unless the head cannot be read.
auto ReadTicket(const std::string& path) -> Json::Value {
  auto ticket = lentilscale::ReadTicketFile(path);
  if (!ticket.ok()) {
    throw UsageError(std::string(ticket.status().message()));
  }
  if (absl::GetFlag(FLAGS_next)) {
    const auto head = Send("GET", "/v1/tickets/head", "");
    if (head.status_ == kHttpOk) {
      (*ticket)["number"] =
          Json::Int64(ParseJson(head.body_)["number"].asInt64() + 1);
    }
  }
  return *ticket;
}

// Resends the ticket with the same nonce while no complete answer arrives or
// the answer is 503, until the timeout. The nonce lets the server recognize a
// ticket that an earlier attempt already submitted.
auto SubmitTicket(const std::string& path) -> int {
  auto ticket = ReadTicket(path);
  if (!ticket.isMember("nonce")) {
    ticket["nonce"] = MakeNonce();
  }
  const auto deadline = MonotonicMs() + absl::GetFlag(FLAGS_timeout_ms);
  auto result = Send("POST", "/v1/tickets", DumpJson(ticket));
  const auto is_outcome_unknown = [&result] {
    return result.outcome_ == HttpOutcome::kUnknown || result.status_ == 503;
  };
  while (is_outcome_unknown() && MonotonicMs() < deadline) {
    usleep(kPollIntervalUs);
    result = Send("POST", "/v1/tickets", DumpJson(ticket));
  }
  return PrintResult(result);
}

auto WaitUntilInForce(const std::string& number) -> int {
  const auto deadline = MonotonicMs() + absl::GetFlag(FLAGS_timeout_ms);
  HttpResult result;
  while (true) {
    result = Send("GET", "/v1/tickets/" + number + "/in_force", "");
    const auto is_in_force = result.status_ == kHttpOk &&
                             ParseJson(result.body_)["in_force"].asBool();
    if (is_in_force) {
      return PrintResult(result);
    }
    if (MonotonicMs() >= deadline) {
      PrintResult(result);
      return kExitFailed;
    }
    usleep(kPollIntervalUs);
  }
}

auto RunTicket(const Arguments& arguments) -> int {
  const auto subcommand = RequireArgument(arguments, 1);
  if (subcommand == "head") {
    return SendAndPrint("GET", "/v1/tickets/head");
  }
  const auto argument = RequireArgument(arguments, 2);
  if (subcommand == "check" || subcommand == "diff") {
    return SendAndPrint("POST", "/v1/tickets/check",
                        DumpJson(ReadTicket(argument)));
  }
  if (subcommand == "submit") {
    return SubmitTicket(argument);
  }
  if (subcommand == "show") {
    return SendAndPrint("GET", "/v1/tickets/" + argument);
  }
  if (subcommand == "wait") {
    return WaitUntilInForce(argument);
  }
  throw UsageError("unknown subcommand: ticket " + subcommand);
}

// Returns true if the job has ended for good: tasks of a cancelled job count as
// pending or running until their workers have stopped them.
auto HasEnded(const Json::Value& job) -> bool {
  return job["state"] != "active" && job["pending"].asInt64() == 0 &&
         job["running"].asInt64() == 0;
}

// Prints the job's state whenever it changes, until the job has ended, is
// unknown, the key is refused, or the timeout expires.
auto WatchJob(const std::string& id) -> int {
  const auto deadline = MonotonicMs() + absl::GetFlag(FLAGS_timeout_ms);
  std::string last_body;
  while (true) {
    const auto result = Send("GET", "/v1/jobs/" + id, "");
    if (result.outcome_ == HttpOutcome::kAnswered &&
        result.body_ != last_body) {
      last_body = result.body_;
      fmt::print("{}", last_body);
      fflush(stdout);
    }
    if (result.status_ == kHttpOk && HasEnded(ParseJson(result.body_))) {
      return kExitOk;
    }
    const auto is_final = result.status_ == 404 || result.status_ == 401;
    if (is_final || MonotonicMs() >= deadline) {
      return kExitFailed;
    }
    usleep(kPollIntervalUs);
  }
}

auto RunJob(const Arguments& arguments) -> int {
  const auto subcommand = RequireArgument(arguments, 1);
  if (subcommand == "list") {
    return SendAndPrint("GET", "/v1/jobs");
  }
  const auto argument = RequireArgument(arguments, 2);
  if (subcommand == "submit") {
    return SendAndPrint("POST", "/v1/jobs", ReadFile(argument));
  }
  if (subcommand == "show") {
    return SendAndPrint("GET", "/v1/jobs/" + argument);
  }
  if (subcommand == "watch") {
    return WatchJob(argument);
  }
  if (subcommand == "cancel") {
    return SendAndPrint("DELETE", "/v1/jobs/" + argument);
  }
  throw UsageError("unknown subcommand: job " + subcommand);
}

auto ReadLines(std::istream& in, std::vector<std::string>& lines) -> void {
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
}

// Prints the timeline of a job, request or worker from the instances' logs.
// Fails if no line concerns it.
auto ExplainLog(const Arguments& arguments) -> int {
  std::vector<std::string> lines;
  for (std::size_t i = 2; i < arguments.size(); ++i) {
    std::ifstream file(arguments[i]);
    if (!file) {
      throw UsageError(arguments[i] + ": cannot be read");
    }
    ReadLines(file, lines);
  }
  if (arguments.size() <= 2) {
    ReadLines(std::cin, lines);
  }
  const auto timeline =
      lentilscale::BuildTimeline(lines, RequireArgument(arguments, 1));
  for (const auto& entry : timeline) {
    fmt::print("{} {}\n", entry.time_, entry.text_);
  }
  return timeline.empty() ? kExitFailed : kExitOk;
}

auto RunCommand(const Arguments& arguments) -> int {
  const auto command = RequireArgument(arguments, 0);
  if (command == "ticket") {
    return RunTicket(arguments);
  }
  if (command == "job") {
    return RunJob(arguments);
  }
  if (command == "audit" || command == "status") {
    return SendAndPrint("GET", "/v1/" + command);
  }
  if (command == "call") {
    return SendAndPrint(
        "POST", "/v1/services/" + RequireArgument(arguments, 1) + "/calls",
        RequireArgument(arguments, 2));
  }
  if (command == "queue") {
    return SendAndPrint(
        "POST", "/v1/queues/" + RequireArgument(arguments, 1) + "/calls",
        RequireArgument(arguments, 2));
  }
  if (command == "explain") {
    return SendAndPrint("GET",
                        "/v1/explain?service=" + RequireArgument(arguments, 1));
  }
  if (command == "explain-task") {
    return SendAndPrint("GET",
                        "/v1/explain?task=" + RequireArgument(arguments, 1));
  }
  if (command == "explain-log") {
    return ExplainLog(arguments);
  }
  if (command == "key-hash") {
    fmt::print("{}\n", lentilscale::Sha256Hex(RequireArgument(arguments, 1)));
    return kExitOk;
  }
  throw UsageError("unknown command: " + command);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  absl::SetProgramUsageMessage(
      "lentilctl [--address=IP:PORT,...] [--key=KEY] COMMAND\n"
      "  ticket check|diff|submit FILE, ticket show|wait N, ticket head\n"
      "  audit, status\n"
      "  call SERVICE JSON, queue QUEUE JSON\n"
      "  job submit FILE, job show|watch|cancel ID, job list\n"
      "  explain SERVICE, explain-task KEY\n"
      "  explain-log ID [FILE...]\n"
      "  key-hash KEY");
  const Arguments arguments = lentilscale::ParseCommandLine(argc, argv);
  try {
    return RunCommand(arguments);
  } catch (const UsageError& e) {
    fmt::print(stderr, "lentilctl: {}\n", e.what());
    return kExitUsage;
  } catch (const std::exception& e) {
    fmt::print(stderr, "lentilctl: {}\n", e.what());
    return kExitFailed;
  }
}
