// Share error: for each team with demand, the distance between its part of the
// used capacity and the part that progressive filling by share entitles it to,
// averaged over windows. Teams without demand are left out, and so are samples
// taken while the fleet was not full, when shares do not bind.

#include "lentilscale/load_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "lentilscale/json.h"

namespace lentilscale {
namespace {

// A sample counts as full from this part of the slots on.
constexpr double kFullFraction = 0.9;
constexpr double kWindowsS[] = {10, 60};
constexpr auto kPlotWidth = 760;
constexpr auto kPlotHeight = 180;
constexpr const char* kColours[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad",
                                    "#d68910", "#34495e", "#16a085", "#7f8c8d"};
constexpr auto kColourCount = 8;

auto DescribeWaits(std::vector<double> values) -> Json::Value {
  Json::Value out;
  out["p50"] = QuantileOf(values, 0.5);
  out["p90"] = QuantileOf(values, 0.9);
  out["p99"] = QuantileOf(values, 0.99);
  out["max"] = QuantileOf(values, 1.0);
  out["count"] = Json::UInt64(values.size());
  return out;
}

auto MetricSum(const LoadResult& result, const std::string& name) -> double {
  double sum = 0;
  for (const auto& [entry, values] : result.metrics_) {
    const auto it = values.find(name);
    sum += it == values.end() ? 0 : it->second;
  }
  return sum;
}

auto IsFull(const FleetSample& sample) -> bool {
  return sample.slots_ > 0 &&
         static_cast<double>(sample.used_slots_) >=
             kFullFraction * static_cast<double>(sample.slots_);
}

// Demand in slots of a plan, as its rate times its mean run time.
auto DemandOf(const TeamLoadPlan& plan) -> double {
  return plan.calls_per_s_ * plan.run_ms_ / 1000 +
         plan.jobs_per_s_ *
             static_cast<double>(plan.job_tasks_ * plan.job_slots_) *
             plan.job_run_ms_ / 1000;
}

struct Entitled {
  std::string team_;
  double part_ = 0;
};

// Progressive filling of `slots` by share.
auto EntitledParts(const LoadExperiment& experiment, double slots)
    -> std::vector<Entitled> {
  struct Item {
    std::string team_;
    double demand_;
    double share_;
  };
  std::vector<Item> items;
  double shares = 0;
  for (const auto& plan : experiment.teams_) {
    if (DemandOf(plan) > 0) {
      items.push_back(
          {plan.name_, DemandOf(plan), static_cast<double>(plan.share_)});
      shares += static_cast<double>(plan.share_);
    }
  }
  std::sort(items.begin(), items.end(), [](const auto& a, const auto& b) {
    return a.demand_ / a.share_ < b.demand_ / b.share_;
  });
  std::vector<Entitled> out;
  auto left = slots;
  for (const auto& item : items) {
    const auto part = std::min(item.demand_, left * item.share_ / shares);
    out.push_back({item.team_, part / slots});
    left -= part;
    shares -= item.share_;
  }
  return out;
}

// Returns the largest mean distance of a team from its part in any window.
auto ShareError(const LoadExperiment& experiment, const LoadResult& result,
                double window_s) -> double {
  double worst = 0;
  const auto& samples = result.samples_;
  if (samples.empty() || samples.front().slots_ == 0) {
    return 0;
  }
  const auto entitled =
      EntitledParts(experiment, static_cast<double>(samples.front().slots_));
  for (std::size_t first = 0; first < samples.size(); ++first) {
    std::size_t last = first;
    while (last < samples.size() &&
           samples[last].at_s_ < samples[first].at_s_ + window_s) {
      ++last;
    }
    const auto is_whole = last < samples.size() || first == 0;
    if (!is_whole) {
      break;
    }
    for (const auto& item : entitled) {
      double sum = 0;
      double count = 0;
      for (auto i = first; i < last; ++i) {
        if (!IsFull(samples[i])) {
          continue;
        }
        const auto it = samples[i].team_share_.find(item.team_);
        sum += it == samples[i].team_share_.end() ? 0 : it->second;
        ++count;
      }
      if (count > 0) {
        worst = std::max(worst, std::abs(sum / count - item.part_));
      }
    }
    first += 9;
  }
  return worst;
}

auto Packing(const LoadResult& result) -> double {
  double used = 0;
  double slots = 0;
  for (const auto& sample : result.samples_) {
    if (sample.queued_ > 0) {
      used += static_cast<double>(sample.used_slots_);
      slots += static_cast<double>(sample.slots_);
    }
  }
  return slots == 0 ? 0 : used / slots;
}

struct Series {
  std::string name_;
  std::vector<double> xs_;
  std::vector<double> ys_;
};

auto Plot(const std::string& title, const std::vector<Series>& all)
    -> std::string {
  double max_x = 1e-9;
  double max_y = 1e-9;
  for (const auto& series : all) {
    for (std::size_t i = 0; i < series.xs_.size(); ++i) {
      max_x = std::max(max_x, series.xs_[i]);
      max_y = std::max(max_y, series.ys_[i]);
    }
  }
  auto svg = fmt::format(
      "<h2>{}</h2><svg viewBox='0 0 {} {}' width='{}'>"
      "<rect width='100%' height='100%' fill='#fafafa'/>",
      title, kPlotWidth, kPlotHeight + 24, kPlotWidth);
  for (std::size_t n = 0; n < all.size(); ++n) {
    std::string points;
    for (std::size_t i = 0; i < all[n].xs_.size(); ++i) {
      points +=
          fmt::format("{:.1f},{:.1f} ", all[n].xs_[i] / max_x * kPlotWidth,
                      kPlotHeight - all[n].ys_[i] / max_y * (kPlotHeight - 10));
    }
    const auto* colour = kColours[n % kColourCount];
    svg += fmt::format(
        "<polyline fill='none' stroke='{}' stroke-width='1.5' points='{}'/>"
        "<text x='{}' y='{}' font-size='11' fill='{}'>{}</text>",
        colour, points, 8 + 110 * n, kPlotHeight + 18, colour, all[n].name_);
  }
  return svg + fmt::format(
                   "<text x='4' y='12' font-size='11'>{:.3g}</text>"
                   "<text x='{}' y='{}' font-size='11' "
                   "text-anchor='end'>{:.3g} s</text></svg>",
                   max_y, kPlotWidth - 4, kPlotHeight - 4, max_x);
}

}  // namespace

auto QuantileOf(std::vector<double> values, double fraction) -> double {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(
      std::ceil(fraction * static_cast<double>(values.size())));
  return values[std::min(std::max<std::size_t>(rank, 1), values.size()) - 1];
}

auto SummarizeLoad(const LoadExperiment& experiment, const LoadResult& result)
    -> Json::Value {
  Json::Value out;
  std::int64_t answered = 0;
  for (const auto& [name, item] : result.classes_) {
    out["wait_ms"][name] = DescribeWaits(item.waits_ms_);
    out["latency_ms"][name] = DescribeWaits(item.latencies_ms_);
    auto& outcomes = out["outcomes"][name];
    outcomes["sent"] = Json::Int64(item.sent_);
    outcomes["answered"] = Json::Int64(item.answered_);
    outcomes["not_run"] = Json::Int64(item.not_run_);
    outcomes["unknown"] = Json::Int64(item.unknown_);
    outcomes["cut"] = Json::Int64(item.cut_);
    answered += item.answered_;
  }
  out["answered_per_s"] = static_cast<double>(answered) / result.seconds_;
  out["tasks_started"] = MetricSum(result, "lentilscale_tasks_started_total");
  out["jobs"]["accepted"] = Json::Int64(result.jobs_accepted_);
  out["jobs"]["refused"] = Json::Int64(result.jobs_refused_);
  out["wrong_answers"] = Json::Int64(result.wrong_answers_);
  for (const auto& [code, count] : result.refusals_) {
    out["refusals"][code] = Json::Int64(count);
  }
  out["packing"] = Packing(result);
  for (const auto window : kWindowsS) {
    out["share_error"][fmt::format("{}s", static_cast<int>(window))] =
        ShareError(experiment, result, window);
  }
  for (const auto* name :
       {"store_reads", "store_writes", "store_lease_calls"}) {
    out["store_calls_per_s"][name] =
        MetricSum(result, fmt::format("lentilscale_{}_total", name)) /
        experiment.seconds_;
  }
  out["cross_region_bytes"] =
      MetricSum(result, "lentilscale_cross_region_bytes_total");
  for (const auto& item : result.metrics_) {
    const auto& entry = item.first;
    const auto value = [&values = item.second](const char* name) {
      const auto it = values.find(name);
      return it == values.end() ? 0.0 : it->second;
    };
    auto& control = out["control"][entry];
    control["cpu_seconds"] = value("lentilscale_cpu_seconds_total");
    control["rss_mb"] = value("lentilscale_resident_bytes") / 1048576;
    control["peer_bytes"] = value("lentilscale_peer_bytes_out_total") +
                            value("lentilscale_peer_bytes_in_total");
    control["worker_bytes"] = value("lentilscale_worker_bytes_out_total") +
                              value("lentilscale_worker_bytes_in_total");
    control["decision_p99_us"] =
        value("lentilscale_decision_us{quantile=\"0.99\"}");
  }
  for (const auto count : result.answered_by_second_) {
    out["answered_by_second"].append(Json::Int64(count));
  }
  return out;
}

auto RenderLoadReport(const LoadExperiment& experiment,
                      const LoadResult& result, const Json::Value& summary)
    -> std::string {
  Series use{"used part of slots", {}, {}};
  std::map<std::string, Series> teams;
  for (const auto& sample : result.samples_) {
    const auto slots =
        static_cast<double>(std::max<std::int64_t>(sample.slots_, 1));
    use.xs_.push_back(sample.at_s_);
    use.ys_.push_back(static_cast<double>(sample.used_slots_) / slots);
    for (const auto& plan : experiment.teams_) {
      const auto it = sample.team_share_.find(plan.name_);
      auto& series = teams[plan.name_];
      series.name_ = plan.name_;
      series.xs_.push_back(sample.at_s_);
      series.ys_.push_back(it == sample.team_share_.end() ? 0 : it->second);
    }
  }
  Series answered{"answered calls per second", {}, {}};
  for (std::size_t i = 0; i < result.answered_by_second_.size(); ++i) {
    answered.xs_.push_back(static_cast<double>(i));
    answered.ys_.push_back(static_cast<double>(result.answered_by_second_[i]));
  }
  std::vector<Series> shares;
  shares.reserve(teams.size());
  for (auto& [name, series] : teams) {
    shares.push_back(std::move(series));
  }
  Json::StreamWriterBuilder pretty;
  pretty["indentation"] = "  ";
  return "<!doctype html><meta charset='utf-8'><title>lentilload</title>"
         "<style>body{font:14px sans-serif;max-width:800px;margin:2em auto}"
         "pre{background:#f4f4f4;padding:1em;overflow:auto}</style>"
         "<h1>lentilload</h1>" +
         Plot("Use of the fleet", {use}) +
         Plot("Part of the slots by team", shares) +
         Plot("Answers", {answered}) + "<h2>Summary</h2><pre>" +
         Json::writeString(pretty, summary) + "</pre>";
}

}  // namespace lentilscale
