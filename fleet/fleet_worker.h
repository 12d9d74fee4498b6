// One worker as the dispatcher knows it: its room, its runs and its lease.
//
// The worker's own clock is known only from its answers and may run up to 2 %
// slow. LatestLapseMs is the time by which everything that ever got a lease
// there must have ended, also if no answer comes any more.

#ifndef LENTILSCALE_FLEET_FLEET_WORKER_H_
#define LENTILSCALE_FLEET_FLEET_WORKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "fleet/job.h"
#include "fleet/worker_gateway.h"

namespace lentilscale::fleet {

// A worker's clock may run this much slower than ours, by the platform's word.
inline constexpr double kMinWorkerClockRate = 0.98;

// Later than any run that has an end.
inline constexpr Millis kNeverMs = 1000000000000;

// A run that takes room on a worker.
struct PlacedRun {
  enum class Phase {
    // The start was sent and not answered yet.
    kStarting,
    kRunning,
    // A stop must be sent until the run is known to be gone.
    kStopping,
  };
  Phase phase_ = Phase::kStarting;
  TaskId task_;
  std::int64_t run_ = 0;
  // What it takes of the worker's capacity, and of its team's limit.
  Resources demand_;
  Resources team_demand_;
  std::string team_;
  // Bounds for the tail of a serving task; 0 for other tasks.
  Millis tail_target_ms_ = 0;
  bool fills_ = false;
  bool is_long_running_ = false;
  // A list of runs that was asked for after this time is complete with regard
  // to this run; 0 while an order is unanswered.
  Millis order_effective_ms_ = 0;
  Millis next_stop_ms_ = 0;
  bool is_stop_sent_ = false;
  Millis started_ms_ = 0;
  // How long the run should take; 0 if unknown.
  Millis estimate_ms_ = 0;
  // Share that it was told to use.
  int cpu_share_percent_ = 100;
  Millis next_throttle_ms_ = 0;

  // Returns the time until the run should end, by its estimate; kNeverMs for a
  // run without an end.
  auto TimeUntilEndMs(Millis now_ms) const -> Millis;
};

// Room that is kept for a step while its ticket is asked for.
struct Reservation {
  Resources amount_;
  int priority_ = 0;
};

// An end that was taken in and is not recorded yet.
struct UnrecordedEnd {
  std::int64_t number_ = 0;
  // The record that must hold it, and in which version; empty if none must.
  std::string record_key_;
  std::uint64_t record_version_ = 0;
};

struct FleetWorker {
  WorkerEntry entry_;
  // False if the entry has left the list.
  bool is_listed_ = true;
  Millis unlisted_since_ms_ = 0;
  // The entry's revision in the store, and when it was first seen.
  std::int64_t entry_revision_ = 0;
  Millis entry_changed_ms_ = 0;
  // True once the store names the worker as one on which tasks may run, and
  // the version of the record that does.
  bool is_in_workers_record_ = false;
  std::uint64_t workers_record_version_ = 0;
  // True while the worker is left out of that record: it is silent and nothing
  // can be running there, so that a new owner need not wait for it.
  bool is_omitted_from_record_ = false;
  // True once the worker has answered a Hold with this dispatcher's token.
  bool is_claimed_ = false;
  // The life that the runs belong to.
  std::int64_t incarnation_ = 0;

  // The worker's clock at the time its last answer arrived, or earlier.
  Millis worker_clock_ms_ = 0;
  Millis clock_updated_ms_ = 0;
  Millis latest_lease_expiry_ms_ = 0;

  // Ends up to this number were taken in; up to the other one, recorded.
  std::int64_t last_received_end_ = 0;
  std::int64_t last_recorded_end_ = 0;
  std::deque<UnrecordedEnd> unrecorded_ends_;

  bool is_hold_pending_ = false;
  Millis next_hold_ms_ = 0;
  int hold_failures_ = 0;
  // No new starts before this time.
  Millis no_starts_until_ms_ = 0;
  // Failed runs in a row, and the jobs that they belong to.
  std::set<std::string> failed_jobs_;
  Millis quarantined_until_ms_ = 0;
  Millis quarantine_ms_ = 0;

  // By task name and run number.
  std::map<std::pair<std::string, std::int64_t>, PlacedRun> runs_;
  Resources used_;
  // By the step's name.
  std::map<std::string, Reservation> reservations_;
  // The step whose large tasks wait for the room here, by name; only more
  // urgent steps may use the worker meanwhile.
  std::string exclusive_for_;
  int exclusive_priority_ = 0;
  int filling_runs_ = 0;
  int serving_runs_ = 0;

  // Returns the lease's end on the worker's clock for `lease_ms` from now, and
  // notes it for LatestLapseMs.
  auto GrantLease(Millis now_ms, Millis lease_ms) -> Millis;
  // Takes in a reading of the worker's clock.
  auto UpdateClock(Millis worker_clock_ms, Millis now_ms) -> void;
  auto LatestLeaseExpiryMs() const -> Millis { return latest_lease_expiry_ms_; }

  auto Add(const PlacedRun& run) -> PlacedRun&;
  auto Remove(const std::string& task, std::int64_t run) -> void;
  auto Find(const std::string& task, std::int64_t run) -> PlacedRun*;

  // Returns true if new runs may be started there.
  auto IsUsable(Millis now_ms) const -> bool;
  // Returns what is free for the step named `step_name` of the given priority:
  // room that is reserved for equal or more urgent steps is not.
  auto FreeCapacityFor(const std::string& step_name, int priority) const
      -> Resources;
  // Returns the time until `demand` should fit, by the estimates of what runs.
  auto TimeUntilFitsMs(const Resources& demand, Millis now_ms) const -> Millis;
  // Returns the time until a run should end, by the estimates; kNeverMs if none
  // has an end.
  auto TimeUntilNextEndMs(Millis now_ms) const -> Millis;
  auto HasLabel(const std::string& label) const -> bool;
  // Returns the rack, the worker's second label; empty if it has none.
  auto Rack() const -> std::string;
};

// Returns what a task of `step` takes of a worker's capacity.
auto CapacityDemand(const Step& step) -> Resources;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_FLEET_WORKER_H_
