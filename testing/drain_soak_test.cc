// Restarts and reloads under load: lentild processes against the emulated
// platform, with clients that keep their connections open until the process is
// gone and send at any moment.
//
// A job in the store proves that a process has read its whole submission, so a
// connection that ends without the answer has lost it.
//
//   drain_soak_test -- FIRST_SEED COUNT SECONDS      more than CI plays

#define BOOST_TEST_MODULE drain_soak
#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>
#include <uv.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "lentilscale/clock.h"
#include "lentilscale/log.h"
#include "testing/free_address_stand_in.h"
#include "testing/platform_emulator_stand_in.h"

namespace lentilscale::testing {
namespace {

constexpr auto kInstances = 3;
constexpr auto kClientsPerInstance = 16;
constexpr Millis kAnswerTimeoutMs = 4000;
// A kill may cut requests of its own instance.
constexpr Millis kKillEffectMs = 500;

using Rng = std::mt19937;

auto Pick(Rng& rng, int from, int to) -> int {
  return std::uniform_int_distribution<int>(from, to)(rng);
}

// Returns a connection to `address` ("127.0.0.1:PORT"), or -1.
auto ConnectTo(const std::string& address) -> int {
  const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  addr.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(address.substr(address.find(':') + 1))));
  if (connect(fd, reinterpret_cast<sockaddr*>(&addr), sizeof(addr)) == 0) {
    return fd;
  }
  close(fd);
  return -1;
}

// One lentild, started again whenever it ends.
class Instance {
 public:
  Instance(int index, const std::filesystem::path& directory,
           const std::string& store, const std::string& advice)
      : boot_path_(directory / fmt::format("boot-{}.yaml", index)),
        log_path_(directory / fmt::format("log-{}", index)),
        client_address_(FreeAddress()),
        readiness_address_(FreeAddress()) {
    std::ofstream(boot_path_) << fmt::format(
        "node_name: node-{}\nlisten:\n  frontend: {}\n  readiness: {}\n"
        "  control: {}\nadvice: {}\nplatform:\n  address: {}\nbounds:\n"
        "  grace_s: 6\n  stop_ms: 200\n",
        index, client_address_, readiness_address_, FreeAddress(), advice,
        store);
  }

  auto Start() -> void {
    const auto* bin = std::getenv("LENTIL_BIN");
    const auto program =
        std::string(bin == nullptr ? "build" : bin) + "/lentild";
    const auto boot = "LENTILSCALE_BOOT=" + boot_path_.string();
    char* argv[] = {const_cast<char*>(program.c_str()),
                    const_cast<char*>("--platform"), nullptr};
    char* env[] = {const_cast<char*>(boot.c_str()), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    BOOST_REQUIRE_EQUAL(
        posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv, env), 0);
    posix_spawn_file_actions_destroy(&actions);
    is_up_ = false;
    is_termed_ = false;
    is_killed_ = false;
  }

  // Returns true if the process listens or has done so.
  auto IsUp() -> bool {
    if (pid_ != 0 && !is_up_) {
      const auto fd = ConnectTo(readiness_address_);
      is_up_ = fd >= 0;
      close(fd);
    }
    return is_up_;
  }

  auto Signal(int number) -> void {
    if (pid_ == 0) {
      return;
    }
    is_termed_ |= number == SIGTERM;
    is_killed_ |= number == SIGKILL;
    if (number == SIGKILL) {
      kills_.push_back(MonotonicMs());
    }
    kill(pid_, number);
  }

  // Returns what is wrong about the process's end, or an empty text.
  auto Reap(Millis restart_delay_ms) -> std::string {
    auto status = 0;
    if (pid_ == 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
      return "";
    }
    pid_ = 0;
    start_ms_ = MonotonicMs() + restart_delay_ms;
    if (is_killed_ || (is_termed_ && status == 0)) {
      return "";
    }
    return fmt::format("{} ended with status {:#x}, asked to: {}",
                       boot_path_.filename().string(), status, is_termed_);
  }

  auto IsDown() const -> bool { return pid_ == 0; }
  auto IsDue() const -> bool { return pid_ == 0 && MonotonicMs() >= start_ms_; }
  auto WasKilledAbout(Millis at_ms) const -> bool {
    return std::any_of(kills_.begin(), kills_.end(), [&](Millis kill_ms) {
      return std::abs(at_ms - kill_ms) < kKillEffectMs;
    });
  }
  auto client_address() const -> const std::string& { return client_address_; }

 private:
  std::filesystem::path boot_path_;
  std::filesystem::path log_path_;
  std::string client_address_;
  std::string readiness_address_;
  pid_t pid_ = 0;
  Millis start_ms_ = 0;
  bool is_up_ = false;
  bool is_termed_ = false;
  bool is_killed_ = false;
  std::vector<Millis> kills_;
};

// A request whose connection ended without the whole answer.
struct Cut {
  std::string job_;
  bool is_submission_;
  Millis sent_ms_;
  Millis ended_ms_;
};

// Submits jobs to one instance on kept connections, and asks for some of them.
class Client {
 public:
  Client(std::string address, unsigned number, unsigned seed, int pause_us)
      : address_(std::move(address)),
        number_(number),
        rng_(seed),
        pause_us_(pause_us) {}
  ~Client() {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  auto Start(const std::atomic<bool>* is_over) -> void {
    thread_ = std::thread([this, is_over] {
      while (!*is_over) {
        Step();
      }
      Disconnect();
    });
  }
  auto Join() -> void { thread_.join(); }

  auto cuts() const -> const std::vector<Cut>& { return cuts_; }
  auto problems() const -> const std::vector<std::string>& { return problems_; }
  auto accepted() const -> int { return accepted_; }
  auto answered() const -> int { return answered_; }

 private:
  auto Step() -> void {
    if (fd_ < 0 && !Connect()) {
      usleep(20000);
      return;
    }
    if (number_ % 2 == 0) {
      // Refused at once: the process is busy and has no request open.
      Exchange("GET", "unknown-key", "");
      return;
    }
    const auto id = fmt::format("{:08x}{:08x}", number_, ++count_);
    const std::string body =
        R"({"spec":"ms=20","steps":[{"count":1,"cpu":1}]})";
    const auto status = Exchange("POST", id, body);
    if (status == 200) {
      ++accepted_;
      if (fd_ >= 0 && Pick(rng_, 0, 3) == 0 && Exchange("GET", id, "") == 410) {
        problems_.push_back(id + " was accepted and is not known");
      }
    }
    usleep(static_cast<unsigned>(Pick(rng_, 0, pause_us_)));
  }

  auto Connect() -> bool {
    fd_ = ConnectTo(address_);
    timeval timeout{kAnswerTimeoutMs / 1000, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    return fd_ >= 0;
  }

  auto Disconnect() -> void {
    if (fd_ >= 0) {
      close(fd_);
    }
    fd_ = -1;
  }

  // Returns the status, or 0 if there was no whole answer.
  auto Exchange(const char* method, const std::string& id,
                const std::string& body) -> int {
    const auto text = fmt::format(
        "{} /q/{} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer {}"
        "\r\nContent-Length: {}\r\n\r\n{}",
        method, id, id == "unknown-key" ? id : "key-a", body.size(), body);
    const auto is_sent = send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
                         static_cast<ssize_t>(text.size());
    const auto sent_ms = MonotonicMs();
    const auto answer = is_sent ? ReadAnswer() : std::nullopt;
    if (!answer.has_value()) {
      const auto is_silent = MonotonicMs() - sent_ms >= kAnswerTimeoutMs;
      if (is_silent) {
        problems_.push_back(fmt::format("{} {} got no answer", method, id));
      } else {
        cuts_.push_back({id, !body.empty(), sent_ms, MonotonicMs()});
      }
      Disconnect();
      return 0;
    }
    ++answered_;
    if (answer->find("Connection: close") != std::string::npos) {
      Disconnect();
    }
    return std::stoi(answer->substr(answer->find(' ') + 1));
  }

  auto ReadAnswer() const -> std::optional<std::string> {
    std::string answer;
    while (true) {
      const auto head = answer.find("\r\n\r\n");
      const auto length = answer.find("Content-Length: ");
      if (head != std::string::npos && length < head &&
          answer.size() >= head + 4 + std::stoul(answer.substr(length + 16))) {
        return answer;
      }
      char buffer[2048];
      const auto got = recv(fd_, buffer, sizeof(buffer), 0);
      if (got <= 0) {
        return std::nullopt;
      }
      answer.append(buffer, static_cast<std::size_t>(got));
    }
  }

  std::string address_;
  unsigned number_;
  Rng rng_;
  // The longest pause between two requests.
  int pause_us_;
  std::thread thread_;
  int fd_ = -1;
  unsigned count_ = 0;
  int accepted_ = 0;
  int answered_ = 0;
  std::vector<Cut> cuts_;
  std::vector<std::string> problems_;
};

class Soak {
 public:
  Soak(unsigned seed, Millis length_ms)
      : rng_(seed),
        loop_(uv_default_loop()),
        platform_(std::make_unique<PlatformEmulator>(loop_)),
        end_ms_(MonotonicMs() + length_ms) {
    auto pattern =
        (std::filesystem::temp_directory_path() / "drain-soak-XXXXXX").string();
    directory_ = mkdtemp(pattern.data());
    for (auto i = 0; i < 2; ++i) {
      platform_->AddWorker(fmt::format("i-{}", i), "s", 4000, 0);
    }
    Configure();
    // Without pauses there is always a request that has not been answered.
    const auto pause_us = std::array{0, 20000, 60000}[seed % 3];
    for (auto i = 0; i < kInstances; ++i) {
      instances_.push_back(std::make_unique<Instance>(
          i, directory_, platform_->store().address(),
          platform_->advice_address()));
      for (auto k = 0; k < kClientsPerInstance; ++k) {
        clients_.push_back(std::make_unique<Client>(
            instances_.back()->client_address(),
            static_cast<unsigned>(clients_.size() + 1), rng_(), pause_us));
      }
    }
  }

  // Returns what went wrong.
  auto Play() -> std::vector<std::string> {
    uv_timer_t waker;
    uv_timer_init(loop_, &waker);
    uv_timer_start(
        &waker, [](uv_timer_t*) {}, 5, 5);
    for (auto& instance : instances_) {
      instance->Start();
    }
    std::atomic<bool> is_over = false;
    RunUntilUp();
    for (auto& client : clients_) {
      client->Start(&is_over);
    }
    auto next_ms = MonotonicMs() + 1000;
    while (MonotonicMs() < end_ms_) {
      uv_run(loop_, UV_RUN_ONCE);
      TendInstances(true);
      if (MonotonicMs() >= next_ms) {
        Disturb();
        next_ms = MonotonicMs() + Pick(rng_, 100, 1500);
      }
    }
    RunUntilUp();
    for (auto& instance : instances_) {
      instance->Signal(SIGTERM);
    }
    const auto give_up_ms = MonotonicMs() + 2 * kAnswerTimeoutMs;
    while (MonotonicMs() < give_up_ms && !AllDown()) {
      uv_run(loop_, UV_RUN_ONCE);
      TendInstances(false);
    }
    is_over = true;
    for (auto& client : clients_) {
      client->Join();
    }
    uv_timer_stop(&waker);
    uv_close(reinterpret_cast<uv_handle_t*>(&waker), nullptr);
    uv_run(loop_, UV_RUN_NOWAIT);
    Judge();
    if (problems_.empty()) {
      std::filesystem::remove_all(directory_);
    } else {
      problems_.push_back("logs are in " + directory_.string());
    }
    // Handles of the emulator stay on the loop.
    (void)platform_.release();
    return problems_;
  }

 private:
  auto Configure() -> void {
    platform_->store().Put(
        "op/config",
        fmt::format(
            R"({{"version":{},"routes":[{{"name":"q","host":"h.example",)"
            R"("prefix":"/q/","service":"s","priority":1,"max_attempts":3,)"
            R"("stretch":2.0,"target_duration_ms":300,"public":false}}],)"
            R"("services":[],"limits":{{}},"tenants":[{{"name":"a",)"
            R"("api_keys":["key-a"],"weight":1,"max_count":{{}}}}]}})",
            ++version_));
  }

  // Starts what is down, so that each instance has its signal handlers.
  auto RunUntilUp() -> void {
    const auto give_up_ms = MonotonicMs() + 2 * kAnswerTimeoutMs;
    while (MonotonicMs() < give_up_ms &&
           !std::all_of(instances_.begin(), instances_.end(),
                        [](const auto& one) { return one->IsUp(); })) {
      uv_run(loop_, UV_RUN_ONCE);
      TendInstances(true);
    }
  }

  auto TendInstances(bool is_restarting) -> void {
    for (auto& instance : instances_) {
      const auto problem = instance->Reap(Pick(rng_, 20, 600));
      if (!problem.empty()) {
        problems_.push_back(problem);
      }
      if (is_restarting && instance->IsDue()) {
        instance->Start();
      }
    }
  }

  auto Disturb() -> void {
    auto& instance =
        *instances_[static_cast<std::size_t>(Pick(rng_, 0, kInstances - 1))];
    if (!instance.IsUp()) {
      return;
    }
    switch (Pick(rng_, 0, 9)) {
      case 0:
        instance.Signal(SIGKILL);
        break;
      case 1:
      case 2:
        Configure();
        break;
      case 3:
      case 4:
        instance.Signal(SIGHUP);
        break;
      case 5:
        instance.Signal(SIGTERM);
        instance.Signal(SIGTERM);
        break;
      default:
        instance.Signal(SIGTERM);
        break;
    }
  }

  auto AllDown() const -> bool {
    return std::all_of(instances_.begin(), instances_.end(),
                       [](const auto& one) { return one->IsDown(); });
  }

  auto Judge() -> void {
    auto answered = 0;
    auto accepted = 0;
    auto cuts = 0;
    Millis longest_ms = 0;
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      const auto& client = *clients_[i];
      const auto& instance = *instances_[i / kClientsPerInstance];
      answered += client.answered();
      accepted += client.accepted();
      cuts += static_cast<int>(client.cuts().size());
      for (const auto& cut : client.cuts()) {
        if (instance.WasKilledAbout(cut.ended_ms_)) {
          continue;
        }
        longest_ms = std::max(longest_ms, cut.ended_ms_ - cut.sent_ms_);
        if (cut.is_submission_ &&
            platform_->store().HasPrefix("ls/in/job/" + cut.job_)) {
          problems_.push_back(fmt::format(
              "{} was read and its connection ended unanswered, {} ms after it "
              "was sent, {} starts",
              cut.job_, cut.ended_ms_ - cut.sent_ms_,
              platform_->StartsOf(cut.job_)));
        }
      }
      problems_.insert(problems_.end(), client.problems().begin(),
                       client.problems().end());
    }
    BOOST_TEST_MESSAGE(fmt::format(
        "{} answered, {} accepted, {} cut, within {} ms of being sent",
        answered, accepted, cuts, longest_ms));
    if (accepted == 0) {
      problems_.push_back("nothing was accepted");
    }
  }

  Rng rng_;
  uv_loop_t* loop_;
  std::unique_ptr<PlatformEmulator> platform_;
  Millis end_ms_;
  std::filesystem::path directory_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<std::string> problems_;
  int version_ = 0;
};

}  // namespace

// Guards against answers that are lost when a process is stopped or reloaded.
BOOST_AUTO_TEST_CASE(no_request_that_was_read_is_cut_by_planned_work) {
  signal(SIGPIPE, SIG_IGN);
  SetLogLevel(LogLevel::kError);
  const auto& suite = boost::unit_test::framework::master_test_suite();
  const auto argument = [&](int index, int fallback) {
    return suite.argc > index ? std::atoi(suite.argv[index]) : fallback;
  };
  const auto first = argument(1, 1);
  const auto count = argument(2, 1);
  const auto seconds = argument(3, 20);
  for (auto seed = first; seed < first + count; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Soak soak(static_cast<unsigned>(seed), Millis{seconds} * 1000);
      for (const auto& problem : soak.Play()) {
        BOOST_ERROR(problem);
      }
    }
  }
}

}  // namespace lentilscale::testing
