// The daemon as a process: what its signals do.

#define BOOST_TEST_MODULE lentild
#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "testing/free_address_stand_in.h"

namespace lentilscale::testing {
namespace {

// lentild on the platform, with its output in a pipe.
struct Daemon {
  pid_t pid_;
  int output_;
};

auto StartOnPlatform(const std::string& boot_path) -> Daemon {
  int output[2];
  BOOST_REQUIRE_EQUAL(pipe2(output, O_CLOEXEC), 0);
  const auto* bin = std::getenv("LENTIL_BIN");
  const auto program = std::string(bin == nullptr ? "build" : bin) + "/lentild";
  const auto boot = "LENTILSCALE_BOOT=" + boot_path;
  char* argv[] = {const_cast<char*>(program.c_str()),
                  const_cast<char*>("--platform"), nullptr};
  char* env[] = {const_cast<char*>(boot.c_str()), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
  Daemon daemon{0, output[0]};
  BOOST_REQUIRE_EQUAL(
      posix_spawn(&daemon.pid_, program.c_str(), &actions, nullptr, argv, env),
      0);
  posix_spawn_file_actions_destroy(&actions);
  close(output[1]);
  return daemon;
}

// Returns true once the daemon has written `text`, false if it ends first.
// Sends `signal`, if any, until then.
auto WaitForOutput(const Daemon& daemon, const std::string& text,
                   int signal = 0) -> bool {
  std::string out;
  char buffer[4096];
  while (out.find(text) == std::string::npos) {
    kill(daemon.pid_, signal);
    pollfd output{daemon.output_, POLLIN, 0};
    if (poll(&output, 1, 10) == 0) {
      continue;
    }
    const auto got = read(daemon.output_, buffer, sizeof(buffer));
    if (got <= 0) {
      return false;
    }
    out.append(buffer, static_cast<std::size_t>(got));
  }
  return true;
}

// Nothing answers at the store's address.
auto BootText() -> std::string {
  return fmt::format(
      "listen:\n  frontend: {}\n  control: {}\nplatform:\n  address: {}\n",
      FreeAddress(), FreeAddress(), FreeAddress());
}

}  // namespace

// Guards against a crash at the end: a signal that comes again then.
BOOST_AUTO_TEST_CASE(signals_during_the_exit_do_not_change_its_status) {
  auto pattern =
      (std::filesystem::temp_directory_path() / "lentild-XXXXXX").string();
  const std::filesystem::path directory = mkdtemp(pattern.data());
  const auto boot_path = (directory / "boot.yaml").string();
  std::ofstream(boot_path) << BootText();
  const auto daemon = StartOnPlatform(boot_path);
  BOOST_TEST(WaitForOutput(daemon, "name=listening"));
  // The handlers are installed after that line is written.
  BOOST_TEST(WaitForOutput(daemon, "name=reload_ignored", SIGHUP));
  BOOST_REQUIRE_EQUAL(kill(daemon.pid_, SIGTERM), 0);
  BOOST_TEST(WaitForOutput(daemon, "name=stopped"));
  auto status = 0;
  while (waitpid(daemon.pid_, &status, WNOHANG) == 0) {
    kill(daemon.pid_, SIGTERM);
    kill(daemon.pid_, SIGHUP);
  }
  BOOST_TEST(status == 0);
  close(daemon.output_);
  std::filesystem::remove_all(directory);
}

// Guards against a reload that ends a process which is still starting.
BOOST_AUTO_TEST_CASE(a_reload_during_the_start_does_not_end_the_process) {
  auto pattern =
      (std::filesystem::temp_directory_path() / "lentild-XXXXXX").string();
  const std::filesystem::path directory = mkdtemp(pattern.data());
  const auto boot_path = (directory / "boot.yaml").string();
  BOOST_REQUIRE_EQUAL(mkfifo(boot_path.c_str(), 0600), 0);
  const auto daemon = StartOnPlatform(boot_path);
  // Opens once the process reads its boot file, that is, before it listens.
  const auto boot = open(boot_path.c_str(), O_WRONLY);
  BOOST_REQUIRE(boot >= 0);
  BOOST_REQUIRE_EQUAL(kill(daemon.pid_, SIGHUP), 0);
  const auto text = BootText();
  signal(SIGPIPE, SIG_IGN);
  (void)!write(boot, text.data(), text.size());
  close(boot);
  BOOST_TEST(WaitForOutput(daemon, "name=listening"));
  BOOST_REQUIRE_EQUAL(kill(daemon.pid_, SIGKILL), 0);
  auto status = 0;
  BOOST_REQUIRE_EQUAL(waitpid(daemon.pid_, &status, 0), daemon.pid_);
  BOOST_TEST(WTERMSIG(status) == SIGKILL);
  close(daemon.output_);
  std::filesystem::remove_all(directory);
}

}  // namespace lentilscale::testing
