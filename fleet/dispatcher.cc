// Plain maps on a single event loop suffice: with a few hundred jobs and 48
// workers, a pass over all waiting steps takes well under a millisecond, and
// passes are coalesced.
//
// A previous owner may have started tasks of any job that is inserted while one
// of its workers has not answered, also of a job that was accepted after the
// claim: it goes on until its rights end. Each of these tasks is placed only
// once that has happened, since a worker that restarts forgets this owner's
// token, and once every worker that may be running it has answered or its lease
// must have expired.

#include "fleet/dispatcher.h"

#include <fmt/format.h>

#include <algorithm>

#include "fleet/store_keys.h"
#include "lentilscale/error.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// Interval at which stops, expired leases and due times are checked.
constexpr Millis kTickMs = 50;
constexpr Millis kPurgeIntervalMs = 5000;
// Pause after a full batch. It bounds the purge to 100 jobs/s, twice the rate
// that the fleet is designed for.
constexpr Millis kPurgeBatchPauseMs = 100;

}  // namespace

Dispatcher::Dispatcher(uv_loop_t* loop, RecordStore* store,
                       WorkerGateway* gateway, AdviceBalancer* advice,
                       FleetMetrics* metrics, const OwnerClaim& claim,
                       const DispatcherOptions& options, DispatcherHooks hooks)
    : loop_(loop),
      store_(store),
      gateway_(gateway),
      advice_(advice),
      metrics_(metrics),
      claim_(claim),
      options_(options),
      hooks_(std::move(hooks)),
      rights_bound_(claim.rights_bound_),
      recorder_(
          loop, store, claim.owner_revision_,
          {[this](const std::string& key) { return SerializeRecord(key); },
           [this](const std::vector<std::string>& keys) {
             OnRecordsDurable(keys);
           },
           [this] { hooks_.step_down_("another instance owns the fleet"); }}) {
  tick_timer_ =
      std::make_unique<RepeatingTimer>(loop, kTickMs, [this] { Tick(); });
  ReadRecoveryState();
}

Dispatcher::~Dispatcher() { *is_alive_ = false; }

auto Dispatcher::running_count() const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [id, worker] : workers_) {
    count += worker.runs_.size();
  }
  return count;
}

auto Dispatcher::AddJob(const JobRecord& record, std::int64_t revision)
    -> void {
  // Until the state is read the job's progress is unknown; the watch of the
  // inbox delivers the job afterwards.
  if (is_state_read_) {
    InsertJob(record, revision, false);
  }
}

auto Dispatcher::MayBeRunning(std::int64_t revision) const -> bool {
  return (!has_sole_rights_ || !unclaimed_workers_.empty()) &&
         (!rights_end_revision_.has_value() ||
          revision <= *rights_end_revision_);
}

auto Dispatcher::InsertJob(const JobRecord& record, std::int64_t job_revision,
                           bool is_recovered) -> void {
  if (jobs_.contains(record.id_)) {
    return;
  }
  ProgressRecord progress;
  std::int64_t revision = 0;
  if (const auto it = recovered_progress_.find(ProgressKey(record.id_));
      it != recovered_progress_.end()) {
    const auto decoded = DecodeProgress(it->second.value_);
    if (decoded.ok()) {
      progress = *decoded;
    } else {
      LogEvent(Event::kBadRecord,
               {{"key", it->first}, {"problem", decoded.status().ToString()}});
    }
    revision = it->second.revision_;
  }
  auto job = std::make_unique<Job>(record, progress,
                                   is_recovered || MayBeRunning(job_revision));
  recorder_.SetRevision(ProgressKey(record.id_), revision);
  if (job->IsEnded()) {
    OnEndRecorded(*job, BootMs());
  }
  job->EnterQueue(queue_lengths_);
  auto& inserted = jobs_[record.id_] = std::move(job);
  FindQueuePolicy(record.queue_);
  if (!is_recovered) {
    CountAdmitted(*inserted);
  }
  LogEvent(Event::kFleetJobTaken,
           {{"job", record.id_},
            {"queue", record.queue_},
            {"state", JobStateName(inserted->state())},
            {"recovered", is_recovered ? "true" : "false"},
            {"epoch", std::to_string(claim_.epoch_)}});
  if (unmatched_cancels_.erase(record.id_) > 0) {
    CancelJob(record.id_);
  }
  for (auto* step : inserted->CreateDueOccurrences(WallMs(), BootMs())) {
    EnqueueStep(*step);
  }
  if (!inserted->IsEnded()) {
    AddRecoveredSuspects(*inserted);
  }
  AddDueTime(*inserted);
  MatchReports(record.id_, false);
}

auto Dispatcher::CancelJob(const std::string& id) -> void {
  auto* job = FindJob(id);
  if (job == nullptr) {
    unmatched_cancels_.insert(id);
    return;
  }
  if (job->IsEnded()) {
    return;
  }
  job->Cancel();
  OnJobEnded(*job);
}

auto Dispatcher::OnJobEnded(Job& job) -> void {
  LogEvent(Event::kFleetJobEnded, {{"job", job.record().id_},
                                   {"state", JobStateName(job.state())},
                                   {"epoch", std::to_string(claim_.epoch_)}});
  std::set<std::string> workers_with_runs;
  for (auto* step : job.steps()) {
    waiting_.erase(WaitingKeyOf(*step));
    for (const auto& [id, runs] : step->runs_per_worker_) {
      if (runs > 0) {
        workers_with_runs.insert(id);
      }
    }
  }
  // Unmatched runs are not among those of the job's steps.
  if (unmatched_jobs_.contains(job.record().id_)) {
    for (const auto& [id, worker] : workers_) {
      workers_with_runs.insert(id);
    }
  }
  metrics_->Increment(FleetCounter::kJobsEnded);
  const auto now = BootMs();
  for (const auto& id : workers_with_runs) {
    const auto it = workers_.find(id);
    if (it == workers_.end()) {
      continue;
    }
    auto& worker = it->second;
    for (auto& [key, run] : worker.runs_) {
      if (run.task_.job_ != job.record().id_) {
        continue;
      }
      MarkStopping(run);
      if (!run.is_stop_sent_ && hooks_.has_rights_()) {
        SendStop(worker, run, now);
      }
    }
  }
  job.end_version_ = MarkJobDirty(job.record().id_);
}

auto Dispatcher::GetJobState(const std::string& id) const
    -> std::optional<JobState> {
  const auto it = jobs_.find(id);
  if (!is_state_read_ || it == jobs_.end()) {
    return std::nullopt;
  }
  const auto& job = *it->second;
  if (job.IsEnded() && !job.is_end_recorded_ &&
      job.state() != JobState::kCancelled) {
    return JobState::kRunning;
  }
  return job.state();
}

auto Dispatcher::CountQueuedJobs(const std::string& queue) const
    -> std::optional<std::int64_t> {
  if (!is_state_read_) {
    return std::nullopt;
  }
  return queue_lengths_.LengthOf(queue);
}

auto Dispatcher::FindJob(const std::string& id) -> Job* {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

auto Dispatcher::UpdateKnownQueues() -> void {
  const auto config = hooks_.config_();
  if (config == last_config_) {
    return;
  }
  last_config_ = config;
  ++policies_version_;
  if (config != nullptr) {
    for (const auto& queue : config->queues_) {
      known_queues_[queue.name_] = queue;
      AddQueueService(queue.name_, queue.service_);
    }
  }
}

auto Dispatcher::FindQueuePolicy(const std::string& queue) -> const Queue* {
  UpdateKnownQueues();
  const auto it = known_queues_.find(queue);
  return it == known_queues_.end() ? nullptr : &it->second;
}

auto Dispatcher::UpdateTurn(StepRun& step) -> void {
  auto& turn = step.turn_;
  if (turn.policies_version_ == policies_version_) {
    return;
  }
  turn.policy_ = FindQueuePolicy(step.job_->record().queue_);
  if (turn.policy_ != nullptr) {
    turn.lateness_ = step.job_->LatenessTimesOf(step, *turn.policy_);
  }
  turn.policies_version_ = policies_version_;
}

auto Dispatcher::WaitingKeyOf(StepRun& step) -> WaitingKey {
  const auto& record = step.job_->record();
  if (!step.priority_.has_value()) {
    const auto* queue = FindQueuePolicy(record.queue_);
    step.priority_ = queue == nullptr ? 0 : queue->priority_;
  }
  return {*step.priority_, record.accepted_ms_, record.id_, step.occurrence_,
          step.step_number_};
}

auto Dispatcher::EnqueueStep(StepRun& step) -> void {
  if (step.job_->IsEnded() || !step.is_ready_ || step.waiting_count_ == 0) {
    return;
  }
  waiting_[WaitingKeyOf(step)] = &step;
  RequestPlacementPass();
}

auto Dispatcher::RequeueTask(StepRun& step, int index) -> void {
  step.job_->MarkWaiting(step, index, BootMs());
  EnqueueStep(step);
}

auto Dispatcher::MarkJobDirty(const std::string& job_id) -> std::uint64_t {
  return recorder_.MarkDirty(ProgressKey(job_id));
}

auto Dispatcher::CreateDueOccurrences() -> void {
  const auto wall = WallMs();
  const auto now = BootMs();
  std::vector<std::string> due;
  while (!due_times_.empty() && due_times_.begin()->first <= wall) {
    due.push_back(due_times_.begin()->second);
    due_times_.erase(due_times_.begin());
  }
  for (const auto& id : due) {
    auto* job = FindJob(id);
    if (job == nullptr || job->IsEnded()) {
      continue;
    }
    for (auto* step : job->CreateDueOccurrences(wall, now)) {
      EnqueueStep(*step);
    }
    AddDueTime(*job);
    MatchReports(id, false);
  }
}

auto Dispatcher::AddDueTime(const Job& job) -> void {
  if (const auto due = job.NextDueMs(); due != 0) {
    due_times_.insert({due, job.record().id_});
  }
}

auto Dispatcher::Tick() -> void {
  if (!is_state_read_) {
    return;
  }
  const auto now = BootMs();
  UpdateKnownQueues();
  CheckQueueServicesKnown();
  CreateDueOccurrences();
  CheckWorkers(now);
  CheckSuspects(now);
  CheckUnmatchedJobs(now);
  OnPreviousRightsEnded(now);
  if (now >= next_worker_read_ms_ && !is_reading_workers_) {
    ReadWorkers();
  }
  if (now >= next_purge_ms_) {
    // After a full batch only a short pause is made: jobs may end faster than
    // one batch per interval.
    next_purge_ms_ =
        now + (PurgeEndedJobs(now) ? kPurgeBatchPauseMs : kPurgeIntervalMs);
  }
  ReportStalledSteps(now);
  RequestPlacementPass();
}

}  // namespace lentilscale::fleet
