// All instances use the same bucket bounds, so that Prometheus can sum their
// histograms.

#include "fleet/fleet_metrics.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <string_view>
#include <utility>
#include <vector>

namespace lentilscale::fleet {
namespace {

namespace bh = boost::histogram;

constexpr auto kCounterNames = std::to_array<std::string_view>(
    {"requests_refused", "requests_refused_for_load", "jobs_accepted",
     "jobs_ended", "starts", "starts_failed", "starts_overdue", "ends_done",
     "ends_failed", "ends_other", "runs_gone", "advice_calls", "take_overs",
     "workers_silent", "stalls_reported", "workers_crashed", "tasks_given_up"});
static_assert(kCounterNames.size() ==
              static_cast<std::size_t>(FleetCounter::kCount));

struct LatencyName {
  std::string_view name_;
  std::string_view label_;
};
constexpr auto kLatencyNames = std::to_array<LatencyName>({
    {"accept_ms", "queue"},
    {"start_wait_ms", "queue"},
    {"job_ms", "queue"},
    {"advice_ms", "queue"},
    {"start_order_ms", "service"},
});
static_assert(kLatencyNames.size() ==
              static_cast<std::size_t>(FleetLatency::kCount));

// Covers the latency objectives of the deployed queues, 300 ms to about 20 s.
// The first value is the lower bound of the first bucket.
const std::vector<double> kBucketBoundsMs = {
    0, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000, 50000};
constexpr std::size_t kMaxLabelValues = 64;
constexpr const char* kOtherLabelValue = "other";

using Axis = bh::axis::variable<double>;
using Histogram = decltype(bh::make_histogram(Axis(kBucketBoundsMs)));

struct Series {
  Histogram histogram_ = bh::make_histogram(Axis(kBucketBoundsMs));
  double sum_ = 0;
};

}  // namespace

struct FleetMetrics::Histograms {
  std::array<std::map<std::string, Series>,
             static_cast<std::size_t>(FleetLatency::kCount)>
      series_;
};

FleetMetrics::FleetMetrics() : histograms_(std::make_unique<Histograms>()) {}

FleetMetrics::~FleetMetrics() = default;

auto FleetMetrics::Increment(FleetCounter counter) -> void {
  ++counters_.at(static_cast<std::size_t>(counter));
}

auto FleetMetrics::Get(FleetCounter counter) const -> std::int64_t {
  return counters_.at(static_cast<std::size_t>(counter));
}

auto FleetMetrics::Record(FleetLatency latency, const std::string& label,
                          double milliseconds) -> void {
  auto& series_by_label =
      histograms_->series_.at(static_cast<std::size_t>(latency));
  const auto has_own_series = series_by_label.contains(label) ||
                              series_by_label.size() < kMaxLabelValues;
  auto& series = series_by_label[has_own_series ? label : kOtherLabelValue];
  series.histogram_(milliseconds);
  series.sum_ += milliseconds;
}

auto FleetMetrics::ToPrometheusText(
    const std::map<std::string, std::int64_t>& gauges) const -> std::string {
  std::string out;
  for (std::size_t i = 0; i < kCounterNames.size(); ++i) {
    out += fmt::format(
        "# TYPE lentilscale_{0}_total counter\nlentilscale_{0}_total {1}\n",
        kCounterNames[i], counters_[i]);
  }
  for (const auto& [name, value] : gauges) {
    out += fmt::format("# TYPE lentilscale_{0} gauge\nlentilscale_{0} {1}\n",
                       name, value);
  }
  for (std::size_t i = 0; i < kLatencyNames.size(); ++i) {
    const auto& [name, label_name] = kLatencyNames[i];
    out += fmt::format("# TYPE lentilscale_{} histogram\n", name);
    for (const auto& [label, series] : histograms_->series_[i]) {
      const auto& histogram = series.histogram_;
      // The underflow bin is omitted: no duration is negative.
      double total = 0;
      for (auto bin = 0; bin < histogram.axis(0).size(); ++bin) {
        total += histogram.at(bin);
        out += fmt::format("lentilscale_{}_bucket{{{}=\"{}\",le=\"{}\"}} {}\n",
                           name, label_name, label,
                           histogram.axis(0).bin(bin).upper(), total);
      }
      total += histogram.at(histogram.axis(0).size());
      out += fmt::format(
          "lentilscale_{0}_bucket{{{1}=\"{2}\",le=\"+Inf\"}} {3}\n"
          "lentilscale_{0}_sum{{{1}=\"{2}\"}} {4}\n"
          "lentilscale_{0}_count{{{1}=\"{2}\"}} {3}\n",
          name, label_name, label, total, series.sum_);
    }
  }
  return out;
}

}  // namespace lentilscale::fleet
