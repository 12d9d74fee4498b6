// Recording is an array index or one histogram fill; text is made only when
// it is asked for.

#include "lentilscale/metrics.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/histogram.hpp>
#include <fstream>
#include <string_view>
#include <vector>

namespace lentilscale {
namespace {

namespace bh = boost::histogram;

constexpr auto kCounterNames = std::to_array<std::string_view>({
    "calls_accepted",    "calls_answered",     "calls_not_run",
    "calls_unknown",     "calls_repeated",     "calls_forwarded",
    "retries",           "retries_denied",     "late_answers",
    "tasks_started",     "tasks_ended",        "tasks_failed",
    "tasks_lost",        "tasks_preempted",    "holdings_moved",
    "heartbeats_sent",   "peer_bytes_out",     "peer_bytes_in",
    "worker_bytes_out",  "worker_bytes_in",    "store_reads",
    "store_writes",      "store_lease_calls",  "store_relayed",
    "shards_taken_over", "shards_handed_over", "cross_region_bytes",
    "client_bytes_out",  "client_bytes_in",
});
static_assert(kCounterNames.size() ==
              static_cast<std::size_t>(Counter::kCount));

constexpr auto kGaugeNames = std::to_array<std::string_view>({
    "members",
    "shards_owned",
    "workers_open",
    "queued",
    "running",
    "ticket",
    "rights_left_ms",
    "configuration_age_ms",
    "requests_remembered",
});
static_assert(kGaugeNames.size() == static_cast<std::size_t>(Gauge::kCount));

constexpr auto kBins = 120;
constexpr double kLowest = 0.01;
constexpr double kHighest = 1.0e7;
constexpr auto kQuantiles = std::to_array<double>({0.5, 0.9, 0.99});

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram =
    decltype(bh::make_histogram(LogAxis(kBins, kLowest, kHighest)));

auto MakeHistogram() -> Histogram {
  return bh::make_histogram(LogAxis(kBins, kLowest, kHighest));
}

// Returns the upper edge of the bin in which the quantile lies.
auto Quantile(const Histogram& histogram, double fraction) -> double {
  double total = 0;
  for (const auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
    total += *bin;
  }
  double sum = 0;
  for (const auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
    sum += *bin;
    if (total > 0 && sum >= fraction * total) {
      return std::min(bin.bin().upper(), kHighest);
    }
  }
  return 0;
}

auto Seconds(const timeval& time) -> double {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / 1.0e6;
}

auto ResidentBytes() -> std::int64_t {
  std::ifstream file("/proc/self/statm");
  std::int64_t total = 0;
  std::int64_t resident = 0;
  file >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

}  // namespace

struct Metrics::Histograms {
  std::vector<Histogram> waits_;
  Histogram decision_ = MakeHistogram();
};

Metrics::Metrics() : histograms_(std::make_unique<Histograms>()) {
  for (std::size_t i = 0; i < kLaneCount; ++i) {
    histograms_->waits_.push_back(MakeHistogram());
  }
}

Metrics::~Metrics() = default;

auto Metrics::Add(Counter counter, std::int64_t amount) -> void {
  counters_.at(static_cast<std::size_t>(counter)) += amount;
}

auto Metrics::Set(Counter counter, std::int64_t value) -> void {
  counters_.at(static_cast<std::size_t>(counter)) = value;
}

auto Metrics::Set(Gauge gauge, std::int64_t value) -> void {
  gauges_.at(static_cast<std::size_t>(gauge)) = value;
}

auto Metrics::Get(Counter counter) const -> std::int64_t {
  return counters_.at(static_cast<std::size_t>(counter));
}

auto Metrics::RecordWait(Lane lane, double milliseconds) -> void {
  histograms_->waits_.at(static_cast<std::size_t>(lane))(milliseconds);
}

auto Metrics::RecordDecision(double microseconds) -> void {
  histograms_->decision_(microseconds);
}

auto Metrics::WaitQuantile(Lane lane, double fraction) const -> double {
  return Quantile(histograms_->waits_.at(static_cast<std::size_t>(lane)),
                  fraction);
}

auto Metrics::DecisionQuantile(double fraction) const -> double {
  return Quantile(histograms_->decision_, fraction);
}

auto Metrics::Text() const -> std::string {
  std::string out;
  for (std::size_t i = 0; i < counters_.size(); ++i) {
    out += fmt::format(
        "# TYPE lentilscale_{0}_total counter\n"
        "lentilscale_{0}_total {1}\n",
        kCounterNames[i], counters_[i]);
  }
  for (std::size_t i = 0; i < gauges_.size(); ++i) {
    out += fmt::format("# TYPE lentilscale_{0} gauge\nlentilscale_{0} {1}\n",
                       kGaugeNames[i], gauges_[i]);
  }
  out += "# TYPE lentilscale_wait_ms summary\n";
  for (std::size_t i = 0; i < kLaneCount; ++i) {
    const auto lane = static_cast<Lane>(i);
    for (const auto fraction : kQuantiles) {
      out += fmt::format(
          "lentilscale_wait_ms{{lane=\"{}\",quantile=\"{}\"}} {:.3f}\n",
          LaneName(lane), fraction, WaitQuantile(lane, fraction));
    }
  }
  out += "# TYPE lentilscale_decision_us summary\n";
  for (const auto fraction : kQuantiles) {
    out += fmt::format("lentilscale_decision_us{{quantile=\"{}\"}} {:.3f}\n",
                       fraction, DecisionQuantile(fraction));
  }
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  out += fmt::format(
      "# TYPE lentilscale_cpu_seconds_total counter\n"
      "lentilscale_cpu_seconds_total {:.3f}\n"
      "# TYPE lentilscale_resident_bytes gauge\n"
      "lentilscale_resident_bytes {}\n",
      Seconds(usage.ru_utime) + Seconds(usage.ru_stime), ResidentBytes());
  return out;
}

}  // namespace lentilscale
