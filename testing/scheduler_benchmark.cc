// Times decisions of the scheduler on a nearly full fleet:
//
//   scheduler_benchmark WORKERS TEAMS RUNNING DECISIONS
//
// Each round ends one random task, queues one new item of a random team and
// places. It prints the quantiles of the time per round in microseconds.

#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <random>

#include "lentilscale/load_report.h"
#include "lentilscale/scheduler.h"

namespace lentilscale {
namespace {

constexpr Resources kCapacity{8, 24000, 49152, 1};
constexpr Resources kNeed{1, 1000, 1024, 0};

auto Run(int workers, int teams, int running, int decisions) -> void {
  Scheduler scheduler({});
  std::mt19937_64 random(1);
  const auto shards = std::max(1, workers / 18);
  for (auto i = 0; i < workers; ++i) {
    const auto id = fmt::format("w{}", i);
    scheduler.AddWorker({id, fmt::format("s/a/{}", i % shards),
                         fmt::format("rack{}", i / 5), "a", kCapacity});
    scheduler.SetOpen(id, true);
  }
  for (auto t = 0; t < teams; ++t) {
    for (auto s = 0; s < shards; ++s) {
      scheduler.SetTeamLimit(fmt::format("t{}", t), fmt::format("s/a/{}", s),
                             1000);
    }
  }
  auto next = 0;
  std::vector<std::string> keys;
  const auto enqueue = [&](Millis now) {
    const auto team =
        fmt::format("t{}", random() % static_cast<unsigned>(teams));
    const auto lane = static_cast<Lane>(random() % kLaneCount);
    scheduler.Enqueue(
        {fmt::format("k{}", next++), lane, team, kNeed, team, now, 0});
  };
  for (auto i = 0; i < running; ++i) {
    enqueue(0);
  }
  while (true) {
    const auto placed = scheduler.Place(1, 1000);
    for (const auto& placement : placed) {
      keys.push_back(placement.item_.key_);
    }
    if (placed.empty()) {
      break;
    }
  }
  std::vector<double> times;
  for (auto i = 0; i < decisions; ++i) {
    const auto now = static_cast<Millis>(2 + i);
    const auto victim = random() % keys.size();
    std::swap(keys[victim], keys.back());
    enqueue(now);
    const auto start = std::chrono::steady_clock::now();
    scheduler.Release(keys.back(), now);
    const auto placed = scheduler.Place(now, 1);
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - start;
    times.push_back(spent.count());
    keys.pop_back();
    for (const auto& placement : placed) {
      keys.push_back(placement.item_.key_);
    }
  }
  fmt::print(
      "{{\"workers\":{},\"teams\":{},\"running\":{},\"p50_us\":{:.1f},"
      "\"p99_us\":{:.1f},\"max_us\":{:.1f}}}\n",
      workers, teams, keys.size(), QuantileOf(times, 0.5),
      QuantileOf(times, 0.99), QuantileOf(times, 1.0));
}

}  // namespace
}  // namespace lentilscale

auto main(int argc, char** argv) -> int {
  const auto arg = [argc, argv](int index, int fallback) {
    return argc > index ? std::atoi(argv[index]) : fallback;
  };
  lentilscale::Run(arg(1, 48), arg(2, 6), arg(3, 300), arg(4, 20000));
  return 0;
}
