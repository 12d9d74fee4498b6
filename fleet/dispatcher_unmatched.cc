// Runs and ends that workers report before their job is known.
//
// A worker may report on a task before the watch delivers its job: the previous
// owner goes on until it learns of the claim. A job is in the store before
// any owner starts its tasks, so a read that is sent after the report either
// returns the job or proves that it was removed.

#include <algorithm>
#include <utility>

#include "fleet/dispatcher.h"
#include "fleet/store_keys.h"

namespace lentilscale::fleet {
namespace {

// Pause before an unmatched job is read again.
constexpr Millis kReadRetryMs = 150;
// Limit on concurrent reads of unmatched jobs.
constexpr int kMaxUnmatchedReads = 8;

}  // namespace

auto Dispatcher::IsUnmatched(const TaskId& id) -> bool {
  const auto* job = FindJob(id.job_);
  return job == nullptr || job->IsUpcoming(id.occurrence_);
}

auto Dispatcher::AddUnmatchedJob(const std::string& id) -> void {
  unmatched_jobs_[id].is_reported_again_ = true;
}

auto Dispatcher::CheckUnmatchedJobs(Millis now_ms) -> void {
  auto reads =
      std::count_if(unmatched_jobs_.begin(), unmatched_jobs_.end(),
                    [](const auto& entry) { return entry.second.is_reading_; });
  std::vector<std::string> known;
  for (auto& [id, job] : unmatched_jobs_) {
    if (FindJob(id) != nullptr) {
      known.push_back(id);
    } else if (!job.is_reading_ && now_ms >= job.next_read_ms_ &&
               reads < kMaxUnmatchedReads) {
      ++reads;
      ReadUnmatchedJob(id, job);
    }
  }
  // Drops the entries of jobs without unmatched reports.
  for (const auto& id : known) {
    MatchReports(id, false);
  }
}

auto Dispatcher::ReadUnmatchedJob(const std::string& id, UnmatchedJob& job)
    -> void {
  job.is_reading_ = true;
  job.is_reported_again_ = false;
  store_->Read(JobKey(id),
               [this, id, alive = is_alive_](const ReadResult& result) {
                 if (!*alive) {
                   return;
                 }
                 auto& unmatched = unmatched_jobs_.at(id);
                 unmatched.is_reading_ = false;
                 unmatched.next_read_ms_ = BootMs() + kReadRetryMs;
                 const auto is_reported_again = unmatched.is_reported_again_;
                 if (result.status_ == StoreStatus::kOk) {
                   for (const auto& record : result.records_) {
                     ApplyInboxRecord(record, true);
                   }
                 } else if (result.status_ != StoreStatus::kAbsent) {
                   return;
                 }
                 // A record that cannot be decoded names no job either.
                 MatchReports(id, FindJob(id) == nullptr && !is_reported_again);
               });
}

auto Dispatcher::MatchReports(const std::string& job_id, bool is_absent)
    -> void {
  const auto entry = unmatched_jobs_.find(job_id);
  if (entry == unmatched_jobs_.end()) {
    return;
  }
  const auto now = BootMs();
  auto is_any_left = false;
  // Ends go first, as in a Hold answer: they may be of earlier runs of a task.
  for (auto& [worker_id, worker] : workers_) {
    for (auto& unrecorded : worker.unrecorded_ends_) {
      if (!unrecorded.unmatched_.has_value()) {
        continue;
      }
      const auto id = TaskId::FromString(unrecorded.unmatched_->run_.task_);
      if (id->job_ != job_id) {
        continue;
      }
      if (!is_absent && IsUnmatched(*id)) {
        is_any_left = true;
        continue;
      }
      const auto end = *std::exchange(unrecorded.unmatched_, std::nullopt);
      RecordRunEnd(worker, end, unrecorded, now);
    }
  }
  for (auto& [worker_id, worker] : workers_) {
    std::vector<RunRef> matched;
    for (auto& [key, run] : worker.runs_) {
      if (run.phase_ != PlacedRun::Phase::kUnmatched ||
          run.task_.job_ != job_id) {
        continue;
      }
      if (is_absent) {
        MarkStopping(run);
      } else if (IsUnmatched(run.task_)) {
        is_any_left = true;
      } else {
        matched.push_back({key.first, key.second});
      }
    }
    for (const auto& run : matched) {
      RemoveRun(worker, run.task_, run.run_);
      HandleRunningTask(worker, {run, "", 0, 0}, now);
    }
    AdvanceDurableEnds(worker);
  }
  if (!is_any_left && !entry->second.is_reading_) {
    unmatched_jobs_.erase(entry);
  }
}

}  // namespace lentilscale::fleet
