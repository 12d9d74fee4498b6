// What a new owner reads from the store before it schedules, and the watch that
// brings it later jobs.
//
// The reads go out together: each take-over leaves the fleet without placement
// until they are there.

#include "fleet/dispatcher.h"
#include "fleet/store_keys.h"
#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// Pause before a failed read is repeated.
constexpr Millis kRetryMs = 150;
// Time between two watches, so that a burst of jobs costs few calls; new jobs
// usually come from their instance directly.
constexpr Millis kWatchPauseMs = 250;
constexpr Millis kWatchWaitMs = 2000;

}  // namespace

auto Dispatcher::RetryReadState() -> void {
  RunAfter(loop_, kRetryMs, [this, alive = is_alive_] {
    if (*alive) {
      ReadState();
    }
  });
}

// The reads go out together: nobody else writes progress any more, and a job
// that is accepted meanwhile comes by the watch.
auto Dispatcher::ReadState() -> void {
  auto reads = std::make_shared<StateReads>();
  const auto take = [this, reads,
                     alive = is_alive_](ReadResult StateReads::*part) {
    return [this, reads, alive, part](const ReadResult& result) {
      if (!*alive) {
        return;
      }
      (*reads).*part = result;
      if (--reads->open_ == 0) {
        TakeStateReads(*reads);
      }
    };
  };
  store_->ReadPrefix(kInboxPrefix, take(&StateReads::inbox_));
  store_->ReadPrefix(kProgressPrefix, take(&StateReads::progress_));
  store_->Read(kWorkersKey, take(&StateReads::workers_));
  store_->ReadPrefix(options_.worker_prefix_, take(&StateReads::entries_));
}

auto Dispatcher::TakeStateReads(const StateReads& reads) -> void {
  const auto is_read = [](const ReadResult& result) {
    return result.status_ == StoreStatus::kOk ||
           result.status_ == StoreStatus::kAbsent;
  };
  // Without a configuration nothing can be judged, not even a failed run.
  if (!is_read(reads.inbox_) || !is_read(reads.progress_) ||
      !is_read(reads.workers_) || !is_read(reads.entries_) ||
      hooks_.config_() == nullptr) {
    RetryReadState();
    return;
  }
  inbox_ = reads.inbox_.records_;
  inbox_revision_ = reads.inbox_.revision_;
  for (const auto& record : reads.progress_.records_) {
    progress_[record.key_] = record;
  }
  if (!reads.workers_.records_.empty()) {
    const auto& record = reads.workers_.records_[0];
    recorder_.SetRevision(kWorkersKey, record.revision_);
    try {
      const auto body = ParseJson(record.value_);
      for (const auto& id : body["workers"].getMemberNames()) {
        const auto& entry = body["workers"][id];
        auto& worker = unclaimed_[id];
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
  OnStateRead();
  OnWorkersRead(reads.entries_);
}

auto Dispatcher::OnStateRead() -> void {
  // Jobs first: a cancellation sorts before its job.
  for (const auto& record : inbox_) {
    if (record.key_.starts_with(kJobPrefix)) {
      TakeInboxRecord(record, true);
    }
  }
  for (const auto& record : inbox_) {
    if (record.key_.starts_with(kCancelPrefix)) {
      TakeInboxRecord(record, true);
    }
  }
  inbox_.clear();
  progress_.clear();
  is_state_read_ = true;
  metrics_->Increment(FleetCounter::kTakeOvers);
  LogEvent(Event::kFleetStateRead,
           {{"epoch", std::to_string(rights_.epoch_)},
            {"jobs", std::to_string(jobs_.size())},
            {"revision", std::to_string(inbox_revision_)},
            {"unclaimed_workers", std::to_string(unclaimed_.size())},
            {"age_ms", std::to_string(BootMs() - rights_.claimed_ms_)}});
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
            TakeInboxRecord(record, false);
          }
          inbox_revision_ = std::max(inbox_revision_, result.revision_);
        } else if (result.status_ == StoreStatus::kCompacted) {
          store_->ReadPrefix(
              kInboxPrefix, [this, alive](const ReadResult& all) {
                if (!*alive || all.status_ != StoreStatus::kOk) {
                  return;
                }
                for (const auto& record : all.records_) {
                  TakeInboxRecord(record, false);
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

auto Dispatcher::TakeInboxRecord(const Record& record, bool is_recovered)
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
  Insert(*job, is_recovered);
}

}  // namespace lentilscale::fleet
