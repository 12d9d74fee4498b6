// Measures what the fleet scheduler costs: one instance with the platform's
// adapter against the emulated platform, which runs in a process of its own, so
// that the processor time is the instance's alone.
//
//   fleet_benchmark WORKERS JOBS_PER_S SECONDS [TASKS_PER_JOB [TASK_MS]]
//   fleet_benchmark --take-over WORKERS JOBS_PER_S SECONDS ...
//
// Prints the starts, the instance's processor time per start, and the turns of
// its event loop. The client that submits the jobs is part of the instance's
// process.
//
// With LENTIL_LOG set, the instance's log goes to standard error, and its cost
// is part of the result.
//
// With --take-over a second instance runs in the same process. The owner ends
// without notice after half the time; the turns are then those of the successor
// from that moment on, whose log goes to standard error.

#include <fmt/format.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>
#include <vector>

#include "lentilscale/log.h"
#include "lentilscale/loop_monitor.h"
#include "platform/platform_node.h"
#include "testing/free_address_stand_in.h"
#include "testing/platform_emulator_stand_in.h"

namespace lentilscale::testing {
namespace {

constexpr std::int64_t kWorkerCpuMilli = 16000;
constexpr int kTaskCpuMilli = 1500;
constexpr double kMsPerSecond = 1000;
constexpr Millis kSettleMs = 3000;
constexpr Millis kHeartbeatMs = 1500;
constexpr std::size_t kAddressSize = 64;

struct Load {
  int workers_ = 0;
  double jobs_per_s_ = 0;
  int seconds_ = 0;
  int tasks_per_job_ = 10;
  int task_ms_ = 560;
  bool has_take_over_ = false;
};

auto ProcessorMs() -> double {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto ms = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * kMsPerSecond +
           static_cast<double>(time.tv_usec) / kMsPerSecond;
  };
  return ms(usage.ru_utime) + ms(usage.ru_stime);
}

auto JobId(int number) -> std::string { return fmt::format("{:016x}", number); }

// What the two processes share.
struct Shared {
  std::array<char, kAddressSize> store_address_;
  std::array<char, kAddressSize> advice_address_;
  std::atomic<int> starts_;
  std::atomic<bool> is_up_;
  std::atomic<bool> is_over_;
};

auto NewShared() -> Shared* {
  auto* memory = mmap(nullptr, sizeof(Shared), PROT_READ | PROT_WRITE,
                      MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  return memory == MAP_FAILED ? nullptr : new (memory) Shared{};
}

// The platform's process. It ends with its parent.
auto RunPlatform(const Load& load, Shared& shared) -> void {
  const auto parent = getppid();
  auto* loop = uv_default_loop();
  PlatformEmulator platform(loop);
  platform.SetHeartbeat(kHeartbeatMs);
  for (auto i = 0; i < load.workers_; ++i) {
    platform.AddWorker(fmt::format("i-{}", i), "s", kWorkerCpuMilli, 0);
  }
  platform.store().Put(
      "op/config",
      R"({"version":1,"routes":[{"name":"q","host":"h","prefix":"/q/",)"
      R"("service":"s","priority":1,"max_attempts":3,"stretch":2.0,)"
      R"("target_duration_ms":300,"public":true}],"services":[],)"
      R"("limits":{},"tenants":[]})");
  const auto jobs = static_cast<int>(load.jobs_per_s_) * (load.seconds_ + 1);
  for (auto i = 0; i < jobs; ++i) {
    platform.SetDemand(JobId(i), kTaskCpuMilli, 0);
  }
  const auto copy = [](const std::string& address, auto& into) {
    std::strncpy(into.data(), address.c_str(), into.size() - 1);
  };
  copy(platform.store().address(), shared.store_address_);
  copy(platform.advice_address(), shared.advice_address_);
  shared.is_up_ = true;
  RepeatingTimer waker(loop, 5, [] {});
  while (!shared.is_over_ && getppid() == parent) {
    uv_run(loop, UV_RUN_ONCE);
    shared.starts_ = platform.starts();
  }
  for (const auto& violation : platform.violations()) {
    fmt::print("broken: {}\n", violation);
  }
}

class Benchmark {
 public:
  Benchmark(const Load& load, Shared* shared)
      : load_(load), loop_(uv_default_loop()), shared_(shared) {
    owner_ = MakeNode("node-0");
    client_ = std::make_unique<HttpClient>(loop_, HttpClient::Options{});
  }

  auto Run() -> void {
    RunFor(kSettleMs);
    if (load_.has_take_over_) {
      successor_ = MakeNode("node-1");
      RunFor(kSettleMs);
    }
    const auto cpu_before = ProcessorMs();
    const auto starts_before = shared_->starts_.load();
    const auto begun = MonotonicMs();
    auto submitted = 0;
    auto monitor = std::make_unique<LoopMonitor>(loop_);
    RepeatingTimer submit(loop_, 5, [&] {
      const auto due =
          static_cast<int>(static_cast<double>(MonotonicMs() - begun) /
                           kMsPerSecond * load_.jobs_per_s_);
      for (; submitted < due; ++submitted) {
        Submit(submitted);
      }
    });
    const auto duration_ms = static_cast<Millis>(load_.seconds_ * kMsPerSecond);
    if (load_.has_take_over_) {
      RunFor(duration_ms / 2);
      SetLogLevel(LogLevel::kInfo);
      owner_.reset();
      monitor = std::make_unique<LoopMonitor>(loop_);
      RunFor(duration_ms - duration_ms / 2);
    } else {
      RunFor(duration_ms);
    }
    const auto cpu = ProcessorMs() - cpu_before;
    const auto starts = shared_->starts_ - starts_before;
    const auto& turns = monitor->turns();
    fmt::print(
        "workers {} jobs/s {} submitted {} accepted {} starts {} "
        "cpu_ms_per_start {:.3f} cpu_share {:.2f} longest_turn_ms {}",
        load_.workers_, load_.jobs_per_s_, submitted, accepted_, starts,
        cpu / std::max(1, starts),
        cpu / kMsPerSecond / static_cast<double>(load_.seconds_),
        turns.longest_turn_ms());
    for (const auto bound_ms : LoopTurnHistogram::kBoundsMs) {
      fmt::print(" above_{}_ms {}", bound_ms, turns.CountAbove(bound_ms));
    }
    fmt::print("\n");
  }

 private:
  // The client uses the address of the last instance.
  auto MakeNode(const std::string& name)
      -> std::unique_ptr<platform::PlatformNode> {
    platform::BootFile boot;
    boot.node_name_ = name;
    boot.client_address_ = FreeAddress();
    boot.readiness_address_ = FreeAddress();
    boot.peer_address_ = FreeAddress();
    boot.store_address_ = shared_->store_address_.data();
    boot.advice_address_ = shared_->advice_address_.data();
    address_ = boot.client_address_;
    auto node = platform::PlatformNode::Create(loop_, boot);
    if (!node.ok()) {
      fmt::print(stderr, "{}\n", node.status().ToString());
      std::exit(1);
    }
    return *std::move(node);
  }

  auto Submit(int number) -> void {
    const auto id = JobId(number);
    client_->Send(
        {address_,
         "POST",
         "/q/" + id,
         fmt::format(R"({{"spec":"ms={}","steps":[{{"count":{},"cpu":{},)"
                     R"("mem_mb":10,"estimate_ms":{}}}]}})",
                     load_.task_ms_, load_.tasks_per_job_, kTaskCpuMilli,
                     load_.task_ms_),
         "",
         3000,
         {},
         "h"},
        [this](const HttpResult& result) {
          accepted_ += result.status_ == 200 ? 1 : 0;
        });
  }

  auto RunFor(Millis ms) -> void {
    const auto until = MonotonicMs() + ms;
    RepeatingTimer waker(loop_, 5, [] {});
    while (MonotonicMs() < until) {
      uv_run(loop_, UV_RUN_ONCE);
    }
  }

  Load load_;
  uv_loop_t* loop_;
  Shared* shared_;
  std::string address_;
  std::unique_ptr<platform::PlatformNode> owner_;
  // Only with a take-over.
  std::unique_ptr<platform::PlatformNode> successor_;
  std::unique_ptr<HttpClient> client_;
  int accepted_ = 0;
};

}  // namespace
}  // namespace lentilscale::testing

auto main(int argc, char** argv) -> int {
  lentilscale::testing::Load load;
  if (argc > 1 && std::string(argv[1]) == "--take-over") {
    load.has_take_over_ = true;
    --argc;
    ++argv;
  }
  if (argc < 4) {
    fmt::print(stderr,
               "usage: fleet_benchmark [--take-over] WORKERS JOBS_PER_S "
               "SECONDS [TASKS_PER_JOB [TASK_MS]]\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  lentilscale::SetLogLevel(std::getenv("LENTIL_LOG") == nullptr
                               ? lentilscale::LogLevel::kError
                               : lentilscale::LogLevel::kInfo);
  load.workers_ = std::stoi(argv[1]);
  load.jobs_per_s_ = std::stod(argv[2]);
  load.seconds_ = std::stoi(argv[3]);
  load.tasks_per_job_ = argc > 4 ? std::stoi(argv[4]) : load.tasks_per_job_;
  load.task_ms_ = argc > 5 ? std::stoi(argv[5]) : load.task_ms_;
  auto* shared = lentilscale::testing::NewShared();
  const auto child = shared == nullptr ? -1 : fork();
  if (child < 0) {
    fmt::print(stderr, "the platform's process cannot be started\n");
    return 1;
  }
  if (child == 0) {
    lentilscale::testing::RunPlatform(load, *shared);
    fflush(stdout);
    _exit(0);
  }
  auto status = 0;
  while (!shared->is_up_) {
    if (waitpid(child, &status, WNOHANG) == child) {
      fmt::print(stderr, "the platform's process has ended\n");
      return 1;
    }
    usleep(1000);
  }
  lentilscale::testing::Benchmark(load, shared).Run();
  fflush(stdout);
  shared->is_over_ = true;
  waitpid(child, &status, 0);
  return 0;
}
