// The state that a new owner reads from the store before it schedules, and the
// watch that delivers later jobs.
//
// The reads are sent in parallel, since no task is placed after a take-over
// until all of them have completed.

#include "fleet/dispatcher.h"
#include "fleet/store_keys.h"
#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// Delay before the reads are repeated after a failure.
constexpr Millis kReadRetryMs = 150;
// Pause between two watches, so that a burst of jobs costs few calls. New jobs
// usually arrive directly from the instance that accepted them.
constexpr Millis kWatchPauseMs = 250;
// Time for which the store holds a watch open without changes.
constexpr Millis kWatchWaitMs = 2000;

}  // namespace

auto Dispatcher::ScheduleReadRetry() -> void {
  RunAfter(loop_, kReadRetryMs, [this, alive = is_alive_] {
    if (*alive) {
      ReadRecoveryState();
    }
  });
}

// The reads may run in parallel: no other instance writes progress any more,
// and the watch delivers jobs that are accepted meanwhile.
auto Dispatcher::ReadRecoveryState() -> void {
  auto reads = std::make_shared<RecoveryReads>();
  const auto store_in = [this, reads,
                         alive = is_alive_](ReadResult RecoveryReads::*field) {
    return [this, reads, alive, field](const ReadResult& result) {
      if (!*alive) {
        return;
      }
      (*reads).*field = result;
      if (--reads->pending_ == 0) {
        OnRecoveryReads(*reads);
      }
    };
  };
  store_->ReadPrefix(kInboxPrefix, store_in(&RecoveryReads::inbox_));
  store_->ReadPrefix(kProgressPrefix, store_in(&RecoveryReads::progress_));
  store_->Read(kWorkersKey, store_in(&RecoveryReads::previous_workers_));
  store_->ReadPrefix(options_.worker_prefix_,
                     store_in(&RecoveryReads::worker_entries_));
}

auto Dispatcher::OnRecoveryReads(const RecoveryReads& reads) -> void {
  const auto is_read = [](const ReadResult& result) {
    return result.status_ == StoreStatus::kOk ||
           result.status_ == StoreStatus::kAbsent;
  };
  // Without a configuration no queue's policy is known, not even how often a
  // failed task may be repeated.
  if (!is_read(reads.inbox_) || !is_read(reads.progress_) ||
      !is_read(reads.previous_workers_) || !is_read(reads.worker_entries_) ||
      hooks_.config_() == nullptr) {
    ScheduleReadRetry();
    return;
  }
  recovered_inbox_ = reads.inbox_.records_;
  inbox_revision_ = reads.inbox_.revision_;
  for (const auto& record : reads.progress_.records_) {
    recovered_progress_[record.key_] = record;
  }
  if (!reads.previous_workers_.records_.empty()) {
    const auto& record = reads.previous_workers_.records_[0];
    recorder_.SetRevision(kWorkersKey, record.revision_);
    try {
      const auto body = ParseJson(record.value_);
      for (const auto& id : body["workers"].getMemberNames()) {
        const auto& entry = body["workers"][id];
        auto& worker = unclaimed_workers_[id];
        worker.service_ = entry["service"].asString();
        worker.is_draining_ = entry["tasks"].isArray();
        for (const auto& task : entry["tasks"]) {
          worker.tasks_.insert(task.asString());
        }
      }
    } catch (const Error& e) {
      LogEvent(Event::kBadRecord,
               {{"key", kWorkersKey}, {"problem", e.what()}});
    }
  }
  RecoverJobs();
  OnWorkersRead(reads.worker_entries_);
}

auto Dispatcher::RecoverJobs() -> void {
  // Jobs are added first, as the keys of cancellations sort before theirs.
  for (const auto& record : recovered_inbox_) {
    if (record.key_.starts_with(kJobPrefix)) {
      ApplyInboxRecord(record, true);
    }
  }
  for (const auto& record : recovered_inbox_) {
    if (record.key_.starts_with(kCancelPrefix)) {
      ApplyInboxRecord(record, true);
    }
  }
  recovered_inbox_.clear();
  recovered_progress_.clear();
  is_state_read_ = true;
  metrics_->Increment(FleetCounter::kTakeOvers);
  LogEvent(Event::kFleetStateRead,
           {{"epoch", std::to_string(claim_.epoch_)},
            {"jobs", std::to_string(jobs_.size())},
            {"revision", std::to_string(inbox_revision_)},
            {"unclaimed_workers", std::to_string(unclaimed_workers_.size())},
            {"age_ms", std::to_string(BootMs() - claim_.claimed_ms_)}});
  WatchInbox();
}

auto Dispatcher::WatchInbox() -> void {
  store_->Watch(
      kInboxPrefix, inbox_revision_, kWatchWaitMs,
      [this, alive = is_alive_](const ReadResult& result) {
        if (!*alive) {
          return;
        }
        if (result.status_ == StoreStatus::kOk) {
          for (const auto& record : result.records_) {
            ApplyInboxRecord(record, false);
          }
          inbox_revision_ = std::max(inbox_revision_, result.revision_);
        } else if (result.status_ == StoreStatus::kCompacted) {
          store_->ReadPrefix(
              kInboxPrefix, [this, alive](const ReadResult& all) {
                if (!*alive || all.status_ != StoreStatus::kOk) {
                  return;
                }
                // Earlier records have been applied. One of them may have been
                // deleted since it was read, and must not be added again.
                for (const auto& record : all.records_) {
                  if (record.revision_ > inbox_revision_) {
                    ApplyInboxRecord(record, false);
                  }
                }
                inbox_revision_ = std::max(inbox_revision_, all.revision_);
              });
        }
        RunAfter(loop_, kWatchPauseMs, [this, alive] {
          if (*alive) {
            WatchInbox();
          }
        });
      });
}

auto Dispatcher::ApplyInboxRecord(const Record& record, bool is_recovered)
    -> void {
  if (record.is_removed_) {
    return;
  }
  if (record.key_.starts_with(kCancelPrefix)) {
    CancelJob(record.key_.substr(std::string(kCancelPrefix).size()));
    return;
  }
  const auto job = DecodeJob(record.value_);
  if (!job.ok()) {
    LogEvent(Event::kBadRecord,
             {{"key", record.key_}, {"problem", job.status().ToString()}});
    return;
  }
  InsertJob(*job, is_recovered);
}

}  // namespace lentilscale::fleet
