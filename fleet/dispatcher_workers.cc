// Tracks the registered workers, decides which of them may be used, and removes
// the runs of a worker that does not answer once its lease has expired.
//
// The entries are polled rather than watched. Every worker changes its entry at
// each heartbeat, so a watch would return as often and prove less.

#include <algorithm>
#include <set>

#include "fleet/dispatcher.h"
#include "fleet/lease_bound.h"
#include "fleet/store_keys.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// How often the workers' entries are read: a worker that leaves must get no
// tasks later than 2.5 s after the store shows it.
constexpr Millis kListPeriodMs = 600;
// A worker shows a smaller capacity in its entry within a heartbeat, and must
// not be filled beyond it 3 s later. A read therefore allows starts for 3 s
// from its sending, of which the delivery of the start order may take half a
// second.
constexpr Millis kEntryValidityMs = 2500;
constexpr Millis kStartDeliveryMs = 500;
// Workers whose entries expired during an outage of the store register again
// within 2 s of its return.
constexpr Millis kUnlistedGraceMs = 2500;
// An entry expires after three heartbeats without an update. One that vanishes
// within this many heartbeats of a time before its last update was deleted by
// the worker.
constexpr Millis kFreshHeartbeats = 2;
// Wait for the last answer of a worker that has left. Beyond it, the worker's
// machine is presumed gone with its connections. Where answers take long, the
// wait is a multiple of the time that they have taken lately.
constexpr Millis kMinLastAnswerGraceMs = 1500;
constexpr Millis kLastAnswerGracePeaks = 2;
// Time for which a lapse is kept for log lines; a worker that is silent for
// longer has left the list.
constexpr Millis kLapseMemoryMs = 60000;

}  // namespace

auto Dispatcher::ReadWorkers() -> void {
  is_reading_workers_ = true;
  store_->ReadPrefix(options_.worker_prefix_,
                     [this, alive = is_alive_](const ReadResult& result) {
                       if (*alive) {
                         is_reading_workers_ = false;
                         next_worker_read_ms_ = BootMs() + kListPeriodMs;
                         OnWorkersRead(result);
                       }
                     });
}

auto Dispatcher::OnWorkersRead(const ReadResult& result) -> void {
  if (result.status_ != StoreStatus::kOk) {
    // Entries may expire during an outage of the store, however fresh they are.
    last_worker_read_ms_ = 0;
    for (auto& [id, worker] : workers_) {
      worker.entry_written_after_ms_ = 0;
    }
    return;
  }
  const auto now = BootMs();
  std::set<std::string> listed;
  std::set<std::string> keys;
  for (const auto& record : result.records_) {
    keys.insert(record.key_);
    const auto entry = ParseWorkerRecord(record);
    if (entry.ok()) {
      listed.insert(entry->id_);
      HandleWorkerEntry(*entry, record.revision_, now);
      workers_[entry->id_].entry_valid_until_ms_ =
          result.sent_ms_ + kEntryValidityMs;
    }
  }
  for (auto& [id, worker] : workers_) {
    if (listed.contains(id) || !worker.is_listed_) {
      continue;
    }
    worker.is_listed_ = false;
    worker.unlisted_since_ms_ = now;
    // A draining worker that deletes its entry has shut down, and all its runs
    // have ended. An entry that expired or was overwritten does not prove that.
    const auto age = now - worker.entry_written_after_ms_;
    worker.has_deleted_entry_ = worker.entry_.is_draining_ &&
                                !keys.contains(options_.worker_prefix_ + id) &&
                                worker.entry_written_after_ms_ != 0 &&
                                age < kFreshHeartbeats * options_.heartbeat_ms_;
    LogEvent(Event::kFleetWorkerUnlisted,
             {{"worker", id},
              {"max_entry_age_ms", worker.entry_written_after_ms_ == 0
                                       ? "unknown"
                                       : std::to_string(age)},
              {"has_left", worker.has_deleted_entry_ ? "true" : "false"}});
  }
  last_worker_read_ms_ = result.sent_ms_;
  listed_ms_ = result.sent_ms_;
  is_worker_list_read_ = true;
  RequestPlacementPass();
}

auto Dispatcher::ParseWorkerRecord(const Record& record) const
    -> absl::StatusOr<WorkerEntry> {
  if (record.key_.starts_with(options_.worker_prefix_)) {
    const auto it =
        workers_.find(record.key_.substr(options_.worker_prefix_.size()));
    if (it != workers_.end() && record.revision_ != 0 &&
        it->second.entry_revision_ == record.revision_) {
      return it->second.entry_;
    }
  }
  return hooks_.parse_worker_(record.key_, record.value_);
}

auto Dispatcher::HandleWorkerEntry(const WorkerEntry& entry,
                                   std::int64_t revision, Millis now_ms)
    -> void {
  are_addresses_current_ = false;
  AllowForYoungLife(entry);
  if (entry.is_draining_) {
    crash_detector_.OnDraining({entry.id_, entry.incarnation_, entry.address_},
                               now_ms);
  }
  const auto it = workers_.find(entry.id_);
  if (it == workers_.end()) {
    auto& worker = workers_[entry.id_];
    are_groups_current_ = false;
    worker.entry_ = entry;
    worker.entry_revision_ = revision;
    worker.entry_written_after_ms_ = last_worker_read_ms_;
    worker.next_hold_ms_ = now_ms;
    worker.fencing_token_ = NextToken();
    worker.workers_record_version_ = recorder_.MarkDirty(kWorkersKey);
    // The stored record may still say how long its leases last.
    worker.is_lease_withheld_ = dropped_workers_.contains(entry.id_);
    LogEvent(Event::kFleetWorkerListed,
             {{"worker", entry.id_},
              {"service", entry.service_},
              {"address", entry.address_},
              {"born", std::to_string(entry.incarnation_)}});
    RequestHold(worker, now_ms);
    return;
  }
  auto& worker = it->second;
  if (entry.is_draining_ && !worker.entry_.is_draining_) {
    LogEvent(Event::kFleetWorkerDraining, {{"worker", entry.id_}});
    recorder_.MarkDirty(kWorkersKey);
  }
  const auto has_changed_service = entry.service_ != worker.entry_.service_;
  if (has_changed_service || entry.capacity_ != worker.entry_.capacity_) {
    are_groups_current_ = false;
  }
  worker.has_changed_service_ |= has_changed_service;
  if (has_changed_service ||
      (!entry.is_draining_ && worker.entry_.is_draining_)) {
    // The stored record may restrict the worker to tasks of its former service,
    // or to those that it ran while it was draining.
    worker.is_in_workers_record_ = false;
    worker.workers_record_version_ = recorder_.MarkDirty(kWorkersKey);
  }
  if (revision != worker.entry_revision_) {
    worker.entry_revision_ = revision;
    worker.entry_written_after_ms_ = last_worker_read_ms_;
  }
  worker.is_listed_ = true;
  worker.has_deleted_entry_ = false;
  const auto known_life =
      std::max(worker.incarnation_, worker.entry_.incarnation_);
  worker.entry_ = entry;
  if (worker.incarnation_ != 0 && entry.incarnation_ > known_life) {
    OnNewLifeListed(worker, now_ms);
  }
}

auto Dispatcher::StartTimeoutMs(const FleetWorker& worker, Millis now_ms) const
    -> Millis {
  return std::max(kMinAnswerTimeoutMs, std::min(AnswerTimeoutMsOf(worker),
                                                worker.entry_valid_until_ms_ +
                                                    kStartDeliveryMs - now_ms));
}

auto Dispatcher::UpdateQuarantine(FleetWorker& worker, const std::string& job,
                                  RunEnd end, Millis now_ms) -> void {
  if (end == RunEnd::kDone) {
    worker.ForgetFailures();
  } else if (end == RunEnd::kFailed && worker.CountFailure(job, now_ms)) {
    LogEvent(Event::kFleetWorkerQuarantined,
             {{"worker", worker.entry_.id_},
              {"failed_jobs", std::to_string(worker.failed_jobs_.size())},
              {"for_ms", std::to_string(worker.quarantine_ms_)}});
  }
}

auto Dispatcher::OnAllRunsLost(FleetWorker& worker) -> void {
  std::vector<PlacedRun> lost;
  for (const auto& [key, run] : worker.runs_) {
    lost.push_back(run);
  }
  OnRunsLost(worker, lost, RunLoss::kDeparted);
}

// A worker that the store lists lives, or has not been dead for long, so that
// only the way to it is bad, and the list that says how its runs have ended may
// still arrive. A read that fails says nothing about the worker.
auto Dispatcher::LatestEvidenceMs(const FleetWorker& worker,
                                  const PlacedRun& run, Millis now_ms)
    -> Millis {
  const auto end_ms = worker.LatestRunEndMs(run);
  const auto is_alive = worker.is_listed_ && worker.IsEntryCurrent() &&
                        now_ms - listed_ms_ < kUnlistedGraceMs;
  return is_alive && !CannotBeDone(run)
             ? std::max(end_ms,
                        worker.LatestLeaseExpiryMs() + options_.lease_ms_)
             : end_ms;
}

// The members of a gang end `done` together.
auto Dispatcher::CannotBeDone(const PlacedRun& run) -> bool {
  if (run.is_long_running_) {
    return true;
  }
  auto* job = FindJob(run.task_.job_);
  const auto* step =
      job == nullptr ? nullptr
                     : job->FindStep(run.task_.occurrence_, run.task_.step_);
  return step != nullptr && step->step_->is_gang_ &&
         step->broken_run_ == run.run_;
}

auto Dispatcher::RemoveLapsedRuns(FleetWorker& worker, Millis now_ms) -> void {
  std::vector<PlacedRun> lost;
  for (auto& [key, run] : worker.runs_) {
    if (now_ms > LatestEvidenceMs(worker, run, now_ms)) {
      lost.push_back(run);
    } else if (now_ms > worker.LatestRunEndMs(run)) {
      // Only its end is waited for.
      team_usage_[run.team_] -= run.team_demand_;
      run.team_demand_ = {};
    }
  }
  OnRunsLost(worker, lost, RunLoss::kLapsed);
}

auto Dispatcher::OnRunsLost(FleetWorker& worker,
                            const std::vector<PlacedRun>& lost, RunLoss loss)
    -> void {
  if (lost.empty()) {
    return;
  }
  const auto now = BootMs();
  std::erase_if(lapsed_ms_, [&](const auto& entry) {
    return now - entry.second > kLapseMemoryMs;
  });
  lapsed_ms_[worker.entry_.id_] = now;
  LogEvent(Event::kFleetWorkerLapsed,
           {{"worker", worker.entry_.id_},
            {"runs", std::to_string(lost.size())},
            {"reason", RunLossName(loss)},
            {"lapse_in_ms", std::to_string(worker.LatestLeaseExpiryMs() - now)},
            {"hold_failures", std::to_string(worker.hold_failures_)},
            {"last_answer_ago_ms", worker.LastAnswerAge(now)}});
  if (loss == RunLoss::kLapsed) {
    AddCrashSuspects(worker, lost);
  }
  for (const auto& run : lost) {
    OnRunLost(worker, run, loss);
  }
}

auto Dispatcher::UpdateWorkerClock(FleetWorker& worker, Millis worker_clock_ms,
                                   Millis sent_ms) -> void {
  if (worker.UpdateClock(worker_clock_ms, sent_ms, BootMs(),
                         options_.max_lease_ms_)) {
    ChangeToken(worker);
    LogEvent(Event::kFleetWorkerClockRestarted,
             {{"worker", worker.entry_.id_},
              {"clock_ms", std::to_string(worker_clock_ms)}});
  }
}

auto Dispatcher::SendDueStops(FleetWorker& worker, Millis now_ms) -> void {
  for (auto& [key, run] : worker.runs_) {
    if (run.phase_ == PlacedRun::Phase::kStopping && !run.is_stop_sent_ &&
        run.order_effective_ms_ == 0 && now_ms >= run.next_stop_ms_) {
      SendStop(worker, run, now_ms);
    }
  }
}

auto Dispatcher::LastAnswerGraceMs(const FleetWorker& worker) -> Millis {
  return std::max(kMinLastAnswerGraceMs,
                  kLastAnswerGracePeaks * worker.answer_time_.RecentPeakMs());
}

// A worker that still answers has not left, whatever the store shows, and the
// last answer of one that has may list ends. The connections of a process that
// has exited end after that answer, and the wait with them; if the machine is
// gone, they may stay. The end of the lease bounds the wait for the runs'
// ends, however slow the worker's answers are.
auto Dispatcher::HasLeft(const FleetWorker& worker, Millis now_ms) -> bool {
  if (!worker.has_deleted_entry_ || worker.hold_failures_ == 0) {
    return false;
  }
  const auto silent_since_ms =
      std::max(worker.failing_since_ms_, worker.unlisted_since_ms_);
  const auto is_answer_awaited =
      worker.hold_calls_.IsAwaitingAnswer(now_ms) ||
      worker.hold_calls_.IsCallPending(worker.unlisted_since_ms_);
  return !is_answer_awaited ||
         now_ms >= silent_since_ms + LastAnswerGraceMs(worker);
}

auto Dispatcher::CheckWorkers(Millis now_ms) -> void {
  if (!hooks_.has_rights_()) {
    return;
  }
  std::vector<std::string> removed;
  for (auto& [id, worker] : workers_) {
    const auto is_lease_expired = now_ms > worker.latest_lease_expiry_ms_;
    const auto is_answer_awaited = worker.hold_calls_.IsAwaitingAnswer(now_ms);
    const auto has_left = HasLeft(worker, now_ms);
    RemoveOverRuns(worker);
    if (has_left || (is_lease_expired && worker.hold_failures_ > 0)) {
      if (has_left && !worker.runs_.empty()) {
        OnAllRunsLost(worker);
      }
      RemoveLapsedRuns(worker, now_ms);
      if (worker.is_in_workers_record_ && worker.runs_.empty()) {
        worker.is_in_workers_record_ = false;
        worker.is_omitted_from_record_ = true;
        recorder_.MarkDirty(kWorkersKey);
      }
    }
    if (!stopping_runs_.empty()) {
      SendDueStops(worker, now_ms);
    }
    const auto is_departed =
        has_left ||
        (!worker.is_listed_ && worker.hold_failures_ > 0 && is_lease_expired &&
         now_ms - worker.unlisted_since_ms_ > kUnlistedGraceMs);
    if (is_departed && worker.runs_.empty() && !worker.is_hold_pending_ &&
        !is_answer_awaited && !worker.HasUnmatchedEnd()) {
      removed.push_back(id);
      continue;
    }
    RequestHold(worker, now_ms);
  }
  for (const auto& id : removed) {
    LogEvent(Event::kFleetWorkerRemoved, {{"worker", id}});
    workers_.erase(id);
    are_groups_current_ = false;
    DropFromWorkersRecord(id);
  }
  ForgetExpiredUnclaimedWorkers(now_ms);
  RecordUnreachedWorkers(now_ms);
}

auto Dispatcher::ForgetExpiredUnclaimedWorkers(Millis now_ms) -> void {
  if (!is_worker_list_read_) {
    return;
  }
  const auto expired =
      std::erase_if(unclaimed_workers_, [&](const auto& entry) {
        const auto& [id, worker] = entry;
        // A worker that has answered holds a lease of this instance, but may
        // have ends that it has not listed yet.
        const auto it = workers_.find(id);
        const auto own_expiry_ms =
            it == workers_.end() ? 0 : it->second.latest_lease_expiry_ms_;
        if (now_ms <= std::max(worker.lease_expiry_ms_, own_expiry_ms)) {
          return false;
        }
        LogEvent(Event::kFleetWorkerForgotten,
                 {{"worker", id},
                  {"epoch", std::to_string(claim_.epoch_)},
                  {"waited_ms", std::to_string(now_ms - claim_.claimed_ms_)},
                  {"expiry_ms", std::to_string(worker.lease_expiry_ms_ -
                                               claim_.claimed_ms_)}});
        DropFromWorkersRecord(id);
        if (worker.unreached_.has_value() && it != workers_.end()) {
          WithholdLease(it->second);
        }
        return true;
      });
  if (expired == 0) {
    return;
  }
  if (unclaimed_workers_.empty()) {
    LogEvent(Event::kFleetTakenOver,
             {{"epoch", std::to_string(claim_.epoch_)},
              {"age_ms", std::to_string(now_ms - claim_.claimed_ms_)},
              {"unclaimed_workers", std::to_string(expired)}});
  }
  RequestPlacementPass();
}

auto Dispatcher::DropFromWorkersRecord(const std::string& id) -> void {
  dropped_workers_[id] = recorder_.MarkDirty(kWorkersKey);
}

auto Dispatcher::TakeOverEndMs() const -> Millis {
  auto end_ms = has_sole_rights_ ? Millis{0} : rights_bound_.EndMs();
  for (const auto& [id, worker] : unclaimed_workers_) {
    end_ms = std::max(end_ms, worker.lease_expiry_ms_);
  }
  return end_ms;
}

auto Dispatcher::IsKnownNotRunning(const std::string& queue,
                                   const std::string& task) const -> bool {
  return is_worker_list_read_ && has_sole_rights_ &&
         std::none_of(unclaimed_workers_.begin(), unclaimed_workers_.end(),
                      [&](const auto& entry) {
                        const auto& worker = entry.second;
                        return worker.is_draining_
                                   ? worker.tasks_.contains(task)
                                   : MayHaveBeenStartedOn(queue,
                                                          worker.service_);
                      });
}

}  // namespace lentilscale::fleet
