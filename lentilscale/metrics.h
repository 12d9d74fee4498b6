// Counters, gauges and histograms of one process, as Prometheus text.
//
//   Metrics metrics;
//   metrics.Add(Counter::kCallsAnswered);
//   metrics.RecordWait(Lane::kCall, wait_ms);
//   reply->Send(200, metrics.Text(), "text/plain");
//
// Histograms are Boost.Histogram's with logarithmic bins, so that quantiles
// are read with a relative error of a few per cent at any scale.

#ifndef LENTILSCALE_METRICS_H_
#define LENTILSCALE_METRICS_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "lentilscale/scheduler.h"

namespace lentilscale {

// Things that are counted since the start of the process.
enum class Counter {
  kCallsAccepted,
  kCallsAnswered,
  kCallsNotRun,
  kCallsUnknown,
  kCallsRepeated,
  kCallsForwarded,
  kRetries,
  kRetriesDenied,
  kLateAnswers,
  kTasksStarted,
  kTasksEnded,
  kTasksFailed,
  kTasksLost,
  kTasksPreempted,
  kHoldingsMoved,
  kHeartbeatsSent,
  kPeerBytesOut,
  kPeerBytesIn,
  kWorkerBytesOut,
  kWorkerBytesIn,
  kStoreReads,
  kStoreWrites,
  kStoreLeaseCalls,
  kStoreRelayed,
  kShardsTakenOver,
  kShardsHandedOver,
  kCrossRegionBytes,
  // All that the HTTP client sent and received: headers of requests and bodies.
  kClientBytesOut,
  kClientBytesIn,
  kCount,
};

// Values that are set.
enum class Gauge {
  kMembers,
  kShardsOwned,
  kWorkersOpen,
  kQueued,
  kRunning,
  kTicket,
  kRightsLeftMs,
  kConfigurationAgeMs,
  kRequestsRemembered,
  kCount,
};

// The metrics of one process.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  auto operator=(const Metrics&) -> Metrics& = delete;

  auto Add(Counter counter, std::int64_t amount = 1) -> void;
  // Sets a counter that is kept elsewhere.
  auto Set(Counter counter, std::int64_t value) -> void;
  auto Set(Gauge gauge, std::int64_t value) -> void;
  auto Get(Counter counter) const -> std::int64_t;

  // Records how long an item waited from its arrival to its start.
  auto RecordWait(Lane lane, double milliseconds) -> void;
  // Records how long one decision took.
  auto RecordDecision(double microseconds) -> void;

  // Returns the value below which `fraction` of the recorded waits lie.
  auto WaitQuantile(Lane lane, double fraction) const -> double;
  auto DecisionQuantile(double fraction) const -> double;

  // Returns all metrics, with processor time and memory of the process, in
  // Prometheus text format.
  auto Text() const -> std::string;

 private:
  struct Histograms;

  std::array<std::int64_t, static_cast<std::size_t>(Counter::kCount)>
      counters_{};
  std::array<std::int64_t, static_cast<std::size_t>(Gauge::kCount)> gauges_{};
  std::unique_ptr<Histograms> histograms_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_METRICS_H_
