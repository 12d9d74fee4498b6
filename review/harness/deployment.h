// A small deployment for the cases of the review: lentild processes, started
// with the command of the deploy file, against the platform stand-in of the
// project, and a client that keeps a record of what it sent and what was
// answered.
//
// A case sets up a Deployment, schedules what happens with At() and calls
// Run(). All times are milliseconds since the first process was started.

#ifndef REVIEW_HARNESS_DEPLOYMENT_H_
#define REVIEW_HARNESS_DEPLOYMENT_H_

#include <fcntl.h>
#include <fmt/format.h>
#include <json/json.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <uv.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lentilscale/clock.h"
#include "lentilscale/http_client.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/timer.h"
#include "testing/free_address_stand_in.h"
#include "testing/platform_emulator_stand_in.h"

namespace review {

using lentilscale::Millis;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// One lentild process.
class Instance {
 public:
  // `store` is the address under which this instance reaches the store.
  Instance(const std::string& name, const std::filesystem::path& directory,
           const std::string& store, const std::string& advice)
      : name_(name),
        boot_path_(directory / (name + ".yaml")),
        log_path_(directory / (name + ".log")),
        client_address_(lentilscale::testing::FreeAddress()),
        readiness_address_(lentilscale::testing::FreeAddress()),
        peer_address_(lentilscale::testing::FreeAddress()) {
    std::ofstream(boot_path_) << fmt::format(
        "node_name: \"{0}\"\nrole: scheduler\nmachine_class: frontend\n"
        "serves: [frontend, control_plane]\nip: 127.0.0.1\nzone: lj-a\n"
        "region: lj\nlisten:\n  frontend: \"{1}\"\n  readiness: \"{2}\"\n"
        "  control: \"{3}\"\nlimits:\n  cpu_share: 0.25\n  cores: 1\n"
        "  memory_mb: 260\n  max_fds: 4100\nheartbeat_ms: 1500\n"
        "bounds:\n  contact_ms: 3000\n  drain_ms: 2500\n  grace_s: 6\n"
        "  config_ms: 2500\n  strict_revoke: true\n  revoke_ms: 5000\n"
        "  max_hold_ms: 10000\n  stop_ms: 200\n  gang_wait_ms: 3000\n"
        "  cancel_ms: 3000\n  visible_ms: 3000\n  finish_s: 14\n"
        "  status_s: 120\norders: call\nadvice: \"{4}\"\nplatform:\n"
        "  address: \"{5}\"\n  form: kv\n  writes_per_s: 400\n"
        "  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n"
        "  ttl_min_ms: 1000\n",
        name, client_address_, readiness_address_, peer_address_, advice,
        store);
  }

  auto Start() -> bool {
    const auto boot = "LENTILSCALE_BOOT=" + boot_path_.string();
    std::string program = "target/lentild";
    std::string mode = "--platform";
    char* argv[] = {program.data(), mode.data(), nullptr};
    auto boot_copy = boot;
    char* env[] = {boot_copy.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    const auto result =
        posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv, env);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
      pid_ = 0;
    }
    return result == 0;
  }

  // Sends a signal. SIGKILL waits for the end of the process.
  auto Signal(int number) -> void {
    if (pid_ == 0) {
      return;
    }
    kill(pid_, number);
    if (number == SIGKILL) {
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }

  // Returns true if the process has ended by itself.
  auto HasEnded() -> bool {
    if (pid_ != 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = 0;
      return true;
    }
    return false;
  }

  auto name() const -> const std::string& { return name_; }
  auto client_address() const -> const std::string& { return client_address_; }
  auto peer_address() const -> const std::string& { return peer_address_; }
  auto log_path() const -> const std::filesystem::path& { return log_path_; }
  auto is_started() const -> bool { return pid_ != 0; }

 private:
  std::string name_;
  std::filesystem::path boot_path_;
  std::filesystem::path log_path_;
  std::string client_address_;
  std::string readiness_address_;
  std::string peer_address_;
  pid_t pid_ = 0;
};

class Deployment {
 public:
  // `with_entrances` gives each instance an address of the store of its own.
  Deployment(int instances, bool with_entrances)
      : loop_(uv_default_loop()),
        platform_(
            std::make_unique<lentilscale::testing::PlatformEmulator>(loop_)),
        client_(std::make_unique<lentilscale::HttpClient>(
            loop_, lentilscale::HttpClient::Options{})) {
    signal(SIGPIPE, SIG_IGN);
    lentilscale::SetLogLevel(lentilscale::LogLevel::kError);
    const auto* trouble = std::getenv("TROUBLE");
    has_trouble_ = trouble == nullptr || std::string(trouble) != "0";
    auto pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    directory_ = mkdtemp(pattern.data());
    const auto* record = std::getenv("RECORD");
    record_.open(record == nullptr ? "record.txt" : record);
    platform_->SetHeartbeat(1500);
    for (auto i = 0; i < instances; ++i) {
      auto store = platform_->store().address();
      if (with_entrances) {
        store = platform_->store().entrance_address(
            platform_->store().AddEntrance());
      }
      instances_.push_back(
          std::make_unique<Instance>(fmt::format("frontend-{}", i), directory_,
                                     store, platform_->advice_address()));
    }
  }

  ~Deployment() {
    for (auto& instance : instances_) {
      instance->Signal(SIGCONT);
      instance->Signal(SIGKILL);
    }
    const auto* keep = std::getenv("KEEP_LOGS");
    if (keep == nullptr) {
      std::filesystem::remove_all(directory_);
    } else {
      fmt::print("logs are in {}\n", directory_.string());
    }
    // Handles of the stand-in stay on the loop.
    (void)platform_.release();
    (void)client_.release();
  }

  auto has_trouble() const -> bool { return has_trouble_; }
  auto loop() const -> uv_loop_t* { return loop_; }
  auto platform() -> lentilscale::testing::PlatformEmulator& {
    return *platform_;
  }
  auto instance(std::size_t number) -> Instance& { return *instances_[number]; }
  auto NowMs() const -> Millis {
    return lentilscale::MonotonicMs() - start_ms_;
  }

  auto Note(const std::string& text) -> void {
    const auto line = fmt::format("{:>7} ms  {}", NowMs(), text);
    record_ << line << std::endl;
    fmt::print("{}\n", line);
    std::fflush(stdout);
  }

  // Writes a configuration in the place of the operator.
  auto Configure(const std::string& routes, const std::string& tenants)
      -> void {
    platform_->store().Put(
        "op/config",
        fmt::format(R"({{"version":{},"routes":[{}],"services":[{{"name":"s"}})"
                    R"(],"limits":{{}},"tenants":[{}]}})",
                    ++version_, routes, tenants));
    Note(fmt::format("operator: configuration {} is acknowledged", version_));
  }

  auto At(Millis at_ms, std::function<void()> function) -> void {
    lentilscale::RunAfter(loop_, at_ms, std::move(function));
  }
  auto Every(Millis period_ms, std::function<void()> function) -> void {
    timers_.push_back(std::make_unique<lentilscale::RepeatingTimer>(
        loop_, period_ms, std::move(function)));
  }

  // Sends a request of a client to one instance, and records the answer. The
  // status is 0 if there was no answer.
  auto Send(std::size_t number, const std::string& method,
            const std::string& path, const std::string& body,
            const std::string& key,
            std::function<void(int, const std::string&)> on_answer) -> void {
    lentilscale::HttpCall call;
    call.address_ = instances_[number]->client_address();
    call.method_ = method;
    call.path_ = path;
    call.body_ = body;
    call.bearer_ = key;
    call.host_ = "h.example";
    call.timeout_ms_ = 3000;
    call.headers_ = {{"X-Lentilscale-Deadline-Ms", "3000"},
                     {"Content-Type", "application/json"}};
    client_->Send(call, [this, number, method, path,
                         on_answer](const lentilscale::HttpResult& result) {
      const auto is_answered =
          result.outcome_ == lentilscale::HttpOutcome::kAnswered;
      const auto status = is_answered ? result.status_ : 0;
      const auto text =
          fmt::format("client: {} {} at {} -> {} {}", method, path,
                      instances_[number]->name(), status, result.body_);
      if (text != last_answer_) {
        Note(text);
      }
      last_answer_ = text;
      on_answer(status, result.body_);
    });
  }

  // Returns the number of the instance that the store names as the owner, or
  // nullopt.
  auto Owner() -> std::optional<std::size_t> {
    const auto text = platform_->store().Get("ls/owner");
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (text.find('"' + instances_[i]->name() + '"') != std::string::npos) {
        return i;
      }
    }
    return std::nullopt;
  }

  // Starts the instances and plays the loop until Finish() is called, for
  // `limit_ms` at most. Returns the exit code of the case.
  auto Run(Millis limit_ms) -> int {
    start_ms_ = lentilscale::MonotonicMs();
    for (auto& instance : instances_) {
      if (!instance->Start()) {
        Note("cannot start target/lentild");
        return kNotRun;
      }
    }
    At(limit_ms, [this] { Finish(kNotRun, "the time is over"); });
    while (!is_finished_) {
      uv_run(loop_, UV_RUN_ONCE);
      for (auto& instance : instances_) {
        if (instance->HasEnded()) {
          Note(instance->name() + " has ended by itself");
        }
      }
    }
    return exit_code_;
  }

  auto Finish(int exit_code, const std::string& text) -> void {
    if (is_finished_) {
      return;
    }
    is_finished_ = true;
    exit_code_ = exit_code;
    Note(fmt::format("{}: {}",
                     exit_code == kHeld     ? "the rule held"
                     : exit_code == kBroken ? "THE RULE WAS BROKEN"
                                            : "the case could not run",
                     text));
  }

 private:
  uv_loop_t* loop_;
  std::unique_ptr<lentilscale::testing::PlatformEmulator> platform_;
  std::unique_ptr<lentilscale::HttpClient> client_;
  std::filesystem::path directory_;
  std::ofstream record_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::unique_ptr<lentilscale::RepeatingTimer>> timers_;
  std::string last_answer_;
  Millis start_ms_ = lentilscale::MonotonicMs();
  bool has_trouble_ = true;
  bool is_finished_ = false;
  int exit_code_ = kNotRun;
  int version_ = 0;
};

}  // namespace review

#endif  // REVIEW_HARNESS_DEPLOYMENT_H_
