// Counters and latency histograms of one instance, in Prometheus text format.
//
//   metrics.Increment(FleetCounter::kStarts);
//   metrics.Record(FleetLatency::kStartWait, queue, waited_ms);
//
// Latencies are labelled by queue or by service. The number of label values per
// histogram is bounded; further ones are recorded as "other".

#ifndef LENTILSCALE_FLEET_FLEET_METRICS_H_
#define LENTILSCALE_FLEET_FLEET_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lentilscale::fleet {

// Events counted since the start of the process.
enum class FleetCounter {
  kRequestsRefused,
  // Of these, submissions for which too much work waits.
  kRequestsRefusedForLoad,
  kJobsAccepted,
  kJobsEnded,
  kStarts,
  kStartsFailed,
  kStartsOverdue,
  kEndsDone,
  kEndsFailed,
  kEndsOther,
  kRunsGone,
  kAdviceCalls,
  kTakeOvers,
  kWorkersSilent,
  kStallsReported,
  kWorkersCrashed,
  kTasksGivenUp,
  kCount,
};

// Durations recorded in milliseconds.
enum class FleetLatency {
  // From a client's request until the job is stored, by queue.
  kAccept,
  // From when a task is ready to its start order, by queue.
  kStartWait,
  // From a job's acceptance until its end is stored, by queue.
  kJob,
  // A call to the advice service, by queue.
  kAdvice,
  // From a start order to the worker's answer, by service.
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
  // Returns all metrics in Prometheus text format, with `gauges` by name.
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
