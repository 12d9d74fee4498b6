// The sums over the runs are kept up to date, because placement checks the free
// capacity of every worker for each task.

#include "fleet/fleet_worker.h"

#include <algorithm>

namespace lentilscale::fleet {
namespace {

// Consecutive failed Hold calls after which a worker gets no new tasks.
constexpr int kHoldFailureLimit = 1;
// Number of jobs with a failed run, without a successful run in between, at
// which a worker is quarantined.
constexpr std::size_t kQuarantineFailures = 2;
constexpr Millis kMinQuarantineMs = 1500;
constexpr Millis kMaxQuarantineMs = 6000;
// Failures on a worker that are further apart have nothing to do with each
// other; those after the longest quarantine do.
constexpr Millis kFailureMemoryMs = 10000;
// A run that has lasted for this many times its estimate isn't expected to end
// soon.
constexpr Millis kOverrunFactor = 2;
// More than a worker accepts at a time.
constexpr std::size_t kMaxLifeConnections = 16;
// Readings of the worker's clock and the local times between them are rounded.
constexpr Millis kClockRoundingMs = 2;

}  // namespace

auto CapacityDemand(const Step& step) -> Resources {
  auto demand = step.demand_;
  if (step.uses_idle_cpu_) {
    demand.cpu_milli_ = 0;
  }
  return demand;
}

auto CountFitting(const Resources& demand, Resources free, int limit) -> int {
  auto count = 0;
  while (count < limit && demand.FitsIn(free)) {
    free -= demand;
    ++count;
  }
  return count;
}

auto TasksWithinWorkerLimit(const FleetWorker& worker, const StepRun& step,
                            int tasks) -> int {
  if (step.step_->max_per_worker_ == 0) {
    return tasks;
  }
  const auto it = step.runs_per_worker_.find(worker.entry_.id_);
  const auto runs = it == step.runs_per_worker_.end() ? 0 : it->second;
  return std::clamp(step.step_->max_per_worker_ - runs, 0, tasks);
}

auto FleetWorker::GrantLease(Millis now_ms, Millis lease_ms) -> Millis {
  latest_lease_expiry_ms_ =
      std::max(latest_lease_expiry_ms_, LatestLeaseEndMs(now_ms, lease_ms));
  return MinWorkerClockMs(now_ms) + lease_ms;
}

auto FleetWorker::MinWorkerClockMs(Millis now_ms) const -> Millis {
  return worker_clock_ms_ +
         static_cast<Millis>(static_cast<double>(now_ms - clock_updated_ms_) *
                             kMinWorkerClockRate);
}

auto FleetWorker::UpdateClock(Millis worker_clock_ms, Millis sent_ms,
                              Millis now_ms, Millis max_lease_ms) -> bool {
  if (worker_clock_ms <= 0 ||
      (clock_updated_ms_ != 0 && sent_ms < clock_updated_ms_)) {
    return false;
  }
  // The worker read its clock when the call had been sent.
  if (clock_updated_ms_ != 0 &&
      worker_clock_ms + kClockRoundingMs < MinWorkerClockMs(sent_ms)) {
    BeginClockLife(worker_clock_ms, now_ms, max_lease_ms);
    restart_proved_ms_ = now_ms;
    return true;
  }
  // The reading in a late answer may be older than what the last one allows to
  // conclude.
  worker_clock_ms_ = clock_updated_ms_ == 0
                         ? worker_clock_ms
                         : std::max(worker_clock_ms, MinWorkerClockMs(now_ms));
  clock_updated_ms_ = now_ms;
  return false;
}

auto FleetWorker::RestartClock(Millis worker_clock_ms, Millis now_ms,
                               Millis max_lease_ms) -> void {
  // If a reading has proved a restart already, it may be of this life or, as
  // answers may overtake each other, of a later one. The lower clock is safe.
  const auto is_reading_lower = worker_clock_ms < MinWorkerClockMs(now_ms);
  if (restart_proved_ms_ == 0 || is_reading_lower) {
    BeginClockLife(worker_clock_ms, now_ms, max_lease_ms);
  }
}

auto FleetWorker::BeginClockLife(Millis worker_clock_ms, Millis now_ms,
                                 Millis max_lease_ms) -> void {
  ++clock_life_;
  worker_clock_ms_ = worker_clock_ms;
  clock_updated_ms_ = now_ms;
  latest_lease_expiry_ms_ =
      std::max(latest_lease_expiry_ms_, LatestLeaseEndMs(now_ms, max_lease_ms));
}

auto FleetWorker::AddLifeConnection(std::int64_t connection) -> void {
  if (connection == 0) {
    return;
  }
  life_connections_.insert(connection);
  if (life_connections_.size() > kMaxLifeConnections) {
    life_connections_.erase(life_connections_.begin());
  }
}

auto FleetWorker::OnLeaseOrderEnded(int clock_life, WorkerStatus status,
                                    Millis now_ms, Millis max_lease_ms)
    -> void {
  if (status == WorkerStatus::kNotSent ||
      status == WorkerStatus::kWrongWorker) {
    return;
  }
  const auto expiry = LatestLeaseEndMs(now_ms, max_lease_ms);
  if (clock_life != clock_life_) {
    latest_lease_expiry_ms_ = std::max(latest_lease_expiry_ms_, expiry);
  } else if (status == WorkerStatus::kUnknown) {
    unanswered_expiry_ms_ = std::max(unanswered_expiry_ms_, expiry);
  }
}

auto FleetWorker::LatestRunEndMs(const PlacedRun& run) const -> Millis {
  return run.is_start_unanswered_
             ? std::max(latest_lease_expiry_ms_, unanswered_expiry_ms_)
             : latest_lease_expiry_ms_;
}

// A start without an answer may still be carried out by the new life, and one
// that was answered after the call was sent may have been.
auto FleetWorker::MarkRunsOver(const HoldResult& result) -> void {
  if (!result.IsComplete()) {
    return;
  }
  for (auto& [key, run] : runs_) {
    const RunRef ref{key.first, key.second};
    const auto is_ref = [&](const auto& other) { return other.run_ == ref; };
    const auto is_confirmed = !run.is_start_unanswered_ &&
                              (run.last_listed_ms_ != 0 ||
                               (run.order_effective_ms_ != 0 &&
                                run.order_effective_ms_ < result.sent_ms_));
    run.is_over_ |=
        is_confirmed &&
        std::none_of(result.running_.begin(), result.running_.end(), is_ref) &&
        std::none_of(result.ended_.begin(), result.ended_.end(), is_ref);
  }
}

auto FleetWorker::HasUnmatchedEnd() const -> bool {
  return std::any_of(
      unrecorded_ends_.begin(), unrecorded_ends_.end(),
      [](const auto& end) { return end.unmatched_.has_value(); });
}

auto FleetWorker::Add(const PlacedRun& run) -> PlacedRun& {
  used_ += run.demand_;
  filling_runs_ += run.fills_ ? 1 : 0;
  serving_runs_ += run.tail_target_ms_ > 0 ? 1 : 0;
  unknown_demand_runs_ += run.is_demand_known_ ? 0 : 1;
  return runs_[{run.task_.ToString(), run.run_}] = run;
}

auto FleetWorker::Remove(const std::string& task, std::int64_t run) -> void {
  const auto it = runs_.find({task, run});
  if (it == runs_.end()) {
    return;
  }
  used_ -= it->second.demand_;
  filling_runs_ -= it->second.fills_ ? 1 : 0;
  serving_runs_ -= it->second.tail_target_ms_ > 0 ? 1 : 0;
  unknown_demand_runs_ -= it->second.is_demand_known_ ? 0 : 1;
  ClearSuspect(it->second);
  ClearStartOverdue(it->second);
  runs_.erase(it);
}

auto FleetWorker::MarkSuspect(PlacedRun& run, bool is_alone) -> void {
  ClearSuspect(run);
  run.is_suspect_ = true;
  run.is_alone_ = is_alone;
  ++suspect_runs_;
  lone_runs_ += is_alone ? 1 : 0;
}

auto FleetWorker::ClearSuspect(PlacedRun& run) -> void {
  suspect_runs_ -= run.is_suspect_ ? 1 : 0;
  lone_runs_ -= run.is_alone_ ? 1 : 0;
  run.is_suspect_ = false;
  run.is_alone_ = false;
}

auto FleetWorker::MarkStartOverdue(PlacedRun& run, Millis now_ms) -> void {
  overdue_starts_ += run.overdue_since_ms_ == 0 ? 1 : 0;
  run.overdue_since_ms_ = now_ms;
}

auto FleetWorker::ClearStartOverdue(PlacedRun& run) -> void {
  overdue_starts_ -= run.overdue_since_ms_ == 0 ? 0 : 1;
  run.overdue_since_ms_ = 0;
}

auto FleetWorker::Find(const std::string& task, std::int64_t run)
    -> PlacedRun* {
  const auto it = runs_.find({task, run});
  return it == runs_.end() ? nullptr : &it->second;
}

auto FleetWorker::CountFailure(const std::string& job, Millis now_ms) -> bool {
  if (now_ms - last_failure_ms_ > kFailureMemoryMs) {
    ForgetFailures();
  }
  last_failure_ms_ = now_ms;
  const auto is_first_of_job = failed_jobs_.insert(job).second;
  if (failed_jobs_.size() < kQuarantineFailures ||
      (now_ms < quarantined_until_ms_ && !is_first_of_job)) {
    return false;
  }
  quarantine_ms_ =
      std::clamp(quarantine_ms_ * 2, kMinQuarantineMs, kMaxQuarantineMs);
  quarantined_until_ms_ = now_ms + quarantine_ms_;
  return true;
}

auto FleetWorker::ForgetFailures() -> void {
  failed_jobs_.clear();
  quarantine_ms_ = 0;
}

auto FleetWorker::IsEntryCurrent() const -> bool {
  return entry_.incarnation_ == 0 || entry_.incarnation_ == incarnation_;
}

auto FleetWorker::QuarantineEndMs(bool is_long_running) const -> Millis {
  return is_long_running ? std::min(quarantined_until_ms_,
                                    last_failure_ms_ + kMinQuarantineMs)
                         : quarantined_until_ms_;
}

auto FleetWorker::IsUsable(Millis now_ms, bool is_long_running) const -> bool {
  return is_listed_ && is_in_workers_record_ && is_claimed_ &&
         IsEntryCurrent() && !entry_.is_draining_ && clock_updated_ms_ != 0 &&
         restart_proved_ms_ == 0 && hold_failures_ < kHoldFailureLimit &&
         unknown_demand_runs_ == 0 && overdue_starts_ == 0 &&
         now_ms <= entry_valid_until_ms_ && now_ms >= no_starts_until_ms_ &&
         now_ms >= QuarantineEndMs(is_long_running);
}

auto FleetWorker::FreeCapacityFor(const std::string& step_name, int priority,
                                  bool ignores_exclusivity) const -> Resources {
  auto free = entry_.capacity_;
  if (!exclusive_for_.empty() && exclusive_for_ != step_name &&
      priority >= exclusive_priority_ && !ignores_exclusivity) {
    return {0, -1, -1, -1};
  }
  free -= used_;
  for (const auto& kept : kept_room_) {
    // If later claims counted, two steps could keep the same room from each
    // other for ever.
    if (kept.step_ == step_name) {
      break;
    }
    free -= kept.amount_;
  }
  for (const auto& [name, reservation] : reservations_) {
    if (name != step_name && reservation.priority_ <= priority &&
        !reservation.is_tentative_) {
      free -= reservation.amount_;
    }
  }
  return free;
}

auto FleetWorker::UsedOrKept(const std::string& step_name) const -> Resources {
  auto used = used_;
  for (const auto& [name, reservation] : reservations_) {
    if (name != step_name) {
      used += reservation.amount_;
    }
  }
  for (const auto& kept : kept_room_) {
    if (kept.step_ != step_name) {
      used += kept.amount_;
    }
  }
  return used;
}

auto PlacedRun::ProvedAgeMs() const -> Millis {
  return order_effective_ms_ == 0
             ? 0
             : std::max<Millis>(0, last_listed_ms_ - order_effective_ms_);
}

auto FleetWorker::KeepsRoomFor(const std::string& step_name) const -> bool {
  return std::any_of(
      kept_room_.begin(), kept_room_.end(),
      [&](const KeptRoom& kept) { return kept.step_ == step_name; });
}

auto PlacedRun::TimeUntilEndMs(Millis now_ms) const -> Millis {
  return is_long_running_
             ? kNeverMs
             : std::max<Millis>(0, started_ms_ + estimate_ms_ - now_ms);
}

auto FleetWorker::TimeUntilNextEndMs(Millis now_ms) const -> Millis {
  auto next = kNeverMs;
  for (const auto& [key, run] : runs_) {
    next = std::min(next, run.TimeUntilEndMs(now_ms));
  }
  return next;
}

auto FleetWorker::CapacityOnceEnded() const -> Resources {
  auto free = entry_.capacity_;
  for (const auto& [key, run] : runs_) {
    if (run.is_long_running_ && run.phase_ != PlacedRun::Phase::kStopping) {
      free -= run.demand_;
    }
  }
  return free;
}

auto FleetWorker::CapacityWithin(Millis time_ms, Millis now_ms) const
    -> Resources {
  auto free = entry_.capacity_;
  for (const auto& [key, run] : runs_) {
    const auto has_overrun =
        now_ms - run.started_ms_ >= kOverrunFactor * run.estimate_ms_;
    if (run.phase_ != PlacedRun::Phase::kStopping &&
        (has_overrun || run.TimeUntilEndMs(now_ms) > time_ms)) {
      free -= run.demand_;
    }
  }
  return free;
}

auto FleetWorker::TimeUntilFitsMs(const Resources& demand, Millis now_ms) const
    -> Millis {
  auto free = entry_.capacity_;
  free -= used_;
  if (demand.FitsIn(free)) {
    return 0;
  }
  std::multimap<Millis, const PlacedRun*> by_end;
  for (const auto& [key, run] : runs_) {
    by_end.emplace(run.TimeUntilEndMs(now_ms), &run);
  }
  for (const auto& [end, run] : by_end) {
    free += run->demand_;
    if (demand.FitsIn(free)) {
      return end;
    }
  }
  return kNeverMs;
}

auto FleetWorker::LastAnswerAge(Millis now_ms) const -> std::string {
  return hold_calls_.last_answer_ms() == 0
             ? "never"
             : std::to_string(now_ms - hold_calls_.last_answer_ms());
}

auto FleetWorker::Life() const -> WorkerLife {
  return {entry_.id_, incarnation_, entry_.address_};
}

auto FleetWorker::HasLabel(const std::string& label) const -> bool {
  return label.empty() ||
         std::find(entry_.labels_.begin(), entry_.labels_.end(), label) !=
             entry_.labels_.end();
}

auto FleetWorker::Rack() const -> std::string {
  return entry_.labels_.size() > 1 ? entry_.labels_[1] : "";
}

}  // namespace lentilscale::fleet
