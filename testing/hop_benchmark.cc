// Compares a call through an entry instance with a bare exchange with a worker:
//
//   hop_benchmark ENTRY WORKER KEY SERVICE CALLS
//
// The two alternate in one run, one at a time. The bare exchange is a call that
// the worker refuses at once; calls through the entry instance take no run
// time.

#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <vector>

#include "lentilscale/http_sync.h"
#include "lentilscale/load_report.h"

namespace lentilscale {
namespace {

auto TimedUs(SyncClient& client, const HttpCall& call, int expected) -> double {
  const auto start = std::chrono::steady_clock::now();
  const auto result = client.Send(call);
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - start;
  if (result.status_ != expected) {
    fmt::print(stderr, "unexpected answer {}: {}\n", result.status_,
               result.body_);
    std::exit(1);
  }
  return spent.count();
}

}  // namespace
}  // namespace lentilscale

auto main(int argc, char** argv) -> int {
  if (argc < 6) {
    return 2;
  }
  using lentilscale::HttpCall;
  using lentilscale::QuantileOf;
  const HttpCall through{argv[1],
                         "POST",
                         "/v1/services/" + std::string(argv[4]) + "/calls",
                         R"({"work":{"run_ms":0}})",
                         argv[3],
                         5000};
  const HttpCall bare{
      argv[2],
      "POST",
      "/v1/call",
      R"({"key":"bare","epoch":999,"need":{"slots":1},"tag":{},"work":{}})",
      "",
      5000};
  lentilscale::SyncClient client;
  std::vector<double> through_us;
  std::vector<double> bare_us;
  constexpr auto kOk = 200;
  constexpr auto kConflict = 409;
  for (auto i = 0; i < std::atoi(argv[5]); ++i) {
    through_us.push_back(lentilscale::TimedUs(client, through, kOk));
    bare_us.push_back(lentilscale::TimedUs(client, bare, kConflict));
  }
  fmt::print(
      "{{\"through_us\":{{\"p50\":{:.0f},\"p99\":{:.0f}}},"
      "\"bare_us\":{{\"p50\":{:.0f},\"p99\":{:.0f}}},"
      "\"ratio\":{{\"p50\":{:.2f},\"p99\":{:.2f}}}}}\n",
      QuantileOf(through_us, 0.5), QuantileOf(through_us, 0.99),
      QuantileOf(bare_us, 0.5), QuantileOf(bare_us, 0.99),
      QuantileOf(through_us, 0.5) / QuantileOf(bare_us, 0.5),
      QuantileOf(through_us, 0.99) / QuantileOf(bare_us, 0.99));
  return 0;
}
