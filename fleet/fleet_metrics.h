// Counters and latency histograms of one instance, in Prometheus text format.
//
//   metrics.Increment(FleetCounter::kStarts);
//   metrics.Record(FleetLatency::kFirstStart, queue, waited_ms);
//
// Latencies are labelled by queue or by dependency; the number of labels is
// bounded, and what exceeds it is recorded under "other".

#ifndef LENTILSCALE_FLEET_FLEET_METRICS_H_
#define LENTILSCALE_FLEET_FLEET_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lentilscale::fleet {

// Things that are counted since the start of the process.
enum class FleetCounter {
  kRequestsRefused,
  kJobsAccepted,
  kJobsEnded,
  kStarts,
  kStartsFailed,
  kEndsDone,
  kEndsFailed,
  kEndsOther,
  kRunsGone,
  kAdviceCalls,
  kTakeOvers,
  kWorkersSilent,
  kCount,
};

// Times that are recorded, in milliseconds.
enum class FleetLatency {
  // From a client's request to the store's acceptance, by queue.
  kAccept,
  // From a task's readiness to its start order, by queue.
  kStartWait,
  // From a job's acceptance to the record of its end, by queue.
  kJob,
  // A call to the advice service, by queue.
  kAdvice,
  // From a start order to its answer, by service.
  kStartOrder,
  kCount,
};

class FleetMetrics {
 public:
  FleetMetrics();
  ~FleetMetrics();
  FleetMetrics(const FleetMetrics&) = delete;
  auto operator=(const FleetMetrics&) -> FleetMetrics& = delete;

  auto Increment(FleetCounter counter) -> void;
  auto Get(FleetCounter counter) const -> std::int64_t;
  auto Record(FleetLatency latency, const std::string& label,
              double milliseconds) -> void;
  // Returns all metrics; `gauges` are added by name.
  auto ToPrometheusText(const std::map<std::string, std::int64_t>& gauges) const
      -> std::string;

 private:
  struct Histograms;

  std::array<std::int64_t, static_cast<std::size_t>(FleetCounter::kCount)>
      counters_{};
  std::unique_ptr<Histograms> histograms_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_FLEET_METRICS_H_
