// The state that a new owner reads from the store before it schedules, and the
// watch that delivers later jobs.
//
// The reads are sent in parallel, since no task is placed after a take-over
// until all of them have completed.
//
// The jobs that were read are decoded in batches, between which the loop reads
// its sockets: with the jobs of the last minutes in the store, all at once
// would take longer than the rights of an owner last that does not renew them.
// Until the last batch, nothing is placed and no worker is claimed.

#include <algorithm>
#include <utility>

#include "fleet/dispatcher.h"
#include "fleet/lease_bound.h"
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
// Jobs, ended ones among them, that are recovered in one turn of the loop.
constexpr std::size_t kJobsPerBatch = 256;
// Time until the next batch: the least after which the loop has read its
// sockets.
constexpr Millis kBatchPauseMs = 1;
// As for a lease that this instance grants.
constexpr Millis kLeaseExpiryMarginMs = 50;

// Returns true if a worker's entry in the workers record says which service it
// belongs to and, if it restricts what can be running there, to which tasks.
auto IsWorkerReadable(const Json::Value& entry) -> bool {
  if (!entry.isObject() || !entry["service"].isString()) {
    return false;
  }
  const auto& tasks = entry["tasks"];
  return !entry.isMember("tasks") ||
         (tasks.isArray() &&
          std::all_of(tasks.begin(), tasks.end(),
                      [](const auto& task) { return task.isString(); }));
}

}  // namespace

auto Dispatcher::LeaseDurationMs() const -> Millis {
  return LatestLeaseEndMs(0, options_.lease_ms_);
}

auto Dispatcher::DefaultLeaseExpiryMs() const -> Millis {
  return std::max(claim_.claimed_ms_, rights_bound_.EndMs()) +
         LeaseDurationMs() + kLeaseExpiryMarginMs;
}

auto Dispatcher::LowerRightsBound(const RightsBound& bound) -> void {
  if (bound.EndMs() >= rights_bound_.EndMs()) {
    rights_bound_ = bound;
    return;
  }
  rights_bound_ = bound;
  const auto now = BootMs();
  LogEvent(Event::kFleetRightsLimited,
           {{"epoch", std::to_string(claim_.epoch_)},
            {"predecessor_rights_left_ms",
             std::to_string(bound.predecessor_end_ms_ - now)},
            {"older_rights_left_ms", std::to_string(bound.older_end_ms_ - now)},
            {"unconfirmed_rights_left_ms",
             std::to_string(bound.unconfirmed_end_ms_ - now)}});
  for (auto& [id, worker] : unclaimed_workers_) {
    // What the previous owner said may rightly be longer.
    if (!worker.is_expiry_reported_) {
      worker.lease_expiry_ms_ =
          std::min(worker.lease_expiry_ms_,
                   DefaultLeaseExpiryMs() +
                       (worker.young_life_ == 0 ? 0 : YoungLeaseExtensionMs()));
      UpdateUnreachedLease(worker);
    }
  }
  // The bound may be this very moment, which has to pass first.
  RunAfter(loop_, 1, [this, alive = is_alive_] {
    if (*alive) {
      OnPreviousRightsEnded(BootMs());
    }
  });
}

auto Dispatcher::OnResigned(std::int64_t epoch) -> void {
  if (!resigned_epochs_.insert(epoch).second) {
    return;
  }
  const auto now = BootMs();
  auto bound = rights_bound_;
  if (epoch + 1 == claim_.epoch_) {
    bound.predecessor_end_ms_ = std::min(bound.predecessor_end_ms_, now);
  }
  if (epoch != 0 && epoch == last_sole_owner_.epoch_) {
    bound.unconfirmed_end_ms_ = std::min(bound.unconfirmed_end_ms_, now);
  }
  LowerRightsBound(bound);
}

auto Dispatcher::LimitUnconfirmedRights(std::int64_t epoch, Millis end_ms)
    -> void {
  if (epoch != 0 && epoch == last_sole_owner_.epoch_) {
    auto bound = rights_bound_;
    bound.unconfirmed_end_ms_ = std::min(bound.unconfirmed_end_ms_, end_ms);
    LowerRightsBound(bound);
  }
}

auto Dispatcher::RecoverSoleOwner(const Json::Value& owner) -> void {
  auto bound = rights_bound_;
  if (owner.isNull()) {
    bound.unconfirmed_end_ms_ = 0;
    LowerRightsBound(bound);
    return;
  }
  // Unless the record names it, any earlier owner may be the one.
  is_sole_owner_unknown_ = true;
  try {
    last_sole_owner_ = {RequireInt(owner, "epoch", 0, INT64_MAX),
                        GetString(owner, "instance", ""),
                        GetString(owner, "address", "")};
  } catch (const std::exception& e) {
    LogEvent(Event::kBadRecord, {{"key", kWorkersKey}, {"problem", e.what()}});
  }
  if (last_sole_owner_.epoch_ == 0) {
    return;
  }
  is_sole_owner_unknown_ = false;
  if (resigned_epochs_.contains(last_sole_owner_.epoch_)) {
    bound.unconfirmed_end_ms_ = BootMs();
  } else {
    bound.unconfirmed_end_ms_ =
        hooks_.bound_unconfirmed_rights_
            ? hooks_.bound_unconfirmed_rights_(last_sole_owner_)
            : 0;
  }
  LowerRightsBound(bound);
}

auto Dispatcher::LeaseExpiries() const -> std::map<std::string, Millis> {
  std::map<std::string, Millis> expiries;
  if (!is_state_read_) {
    return expiries;
  }
  // The stored record still names these, but nothing runs there.
  for (const auto& [id, version] : dropped_workers_) {
    expiries[id] = BootMs();
  }
  for (const auto& [id, worker] : unclaimed_workers_) {
    expiries[id] = worker.lease_expiry_ms_;
  }
  for (const auto& [id, worker] : workers_) {
    // Before the first grant, the worker may hold a lease of an earlier owner.
    if (worker.is_claimed_ && worker.latest_lease_expiry_ms_ != 0) {
      expiries[id] = worker.latest_lease_expiry_ms_;
    }
  }
  return expiries;
}

auto Dispatcher::ApplyLeaseExpiries(
    const std::map<std::string, Millis>& expiries) -> void {
  OnResigned(claim_.epoch_ - 1);
  if (!is_state_read_) {
    early_lease_expiries_ = expiries;
    return;
  }
  for (const auto& [id, expiry_ms] : expiries) {
    if (const auto it = unclaimed_workers_.find(id);
        it != unclaimed_workers_.end()) {
      it->second.lease_expiry_ms_ = expiry_ms;
      it->second.is_expiry_reported_ = true;
      UpdateUnreachedLease(it->second);
    }
  }
}

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
        OnRecoveryReads(reads);
      }
    };
  };
  store_->ReadPrefix(kInboxPrefix, store_in(&RecoveryReads::inbox_));
  store_->ReadPrefix(kProgressPrefix, store_in(&RecoveryReads::progress_));
  store_->Read(kWorkersKey, store_in(&RecoveryReads::previous_workers_));
  store_->ReadPrefix(options_.worker_prefix_,
                     store_in(&RecoveryReads::worker_entries_));
}

auto Dispatcher::OnRecoveryReads(const std::shared_ptr<RecoveryReads>& result)
    -> void {
  auto& reads = *result;
  const auto is_read = [](const ReadResult& result) {
    return result.status_ == StoreStatus::kOk ||
           result.status_ == StoreStatus::kAbsent;
  };
  // Without a configuration no queue's policy is known, not even how often a
  // failed task may be repeated.
  if (!is_read(reads.inbox_) || !is_read(reads.progress_) ||
      !is_read(reads.previous_workers_) || !is_read(reads.worker_entries_) ||
      hooks_.config_() == nullptr) {
    LogEvent(
        Event::kFleetStateNotRead,
        {{"epoch", std::to_string(claim_.epoch_)},
         {"inbox", StoreStatusName(reads.inbox_.status_)},
         {"progress", StoreStatusName(reads.progress_.status_)},
         {"workers_record", StoreStatusName(reads.previous_workers_.status_)},
         {"worker_entries", StoreStatusName(reads.worker_entries_.status_)},
         {"has_configuration",
          hooks_.config_() == nullptr ? "false" : "true"}});
    ScheduleReadRetry();
    return;
  }
  ReadQueueServices(reads.previous_workers_);
  inbox_revision_ = reads.inbox_.revision_;
  // Jobs are added first, as the keys of cancellations sort before theirs.
  std::stable_partition(
      reads.inbox_.records_.begin(), reads.inbox_.records_.end(),
      [](const Record& record) { return record.key_.starts_with(kJobPrefix); });
  for (auto& record : reads.progress_.records_) {
    recovered_progress_.emplace_hint(recovered_progress_.end(), record.key_,
                                     std::move(record));
  }
  if (reads.previous_workers_.records_.empty()) {
    RecoverSoleOwner(Json::Value());
  } else {
    const auto& record = reads.previous_workers_.records_[0];
    recorder_.SetRevision(kWorkersKey, record.revision_);
    AddUnclaimedWorkers(record.value_);
  }
  RecoverJobs(result, 0);
}

auto Dispatcher::AddUnclaimedWorkers(const std::string& record) -> void {
  Json::Value body;
  std::string problem = "the record has no object 'workers'";
  try {
    body = ParseJson(record);
  } catch (const Error& e) {
    problem = e.what();
  }
  if (!body.isObject() || !body["workers"].isObject()) {
    LogEvent(Event::kBadRecord, {{"key", kWorkersKey}, {"problem", problem}});
    unclaimed_workers_[kUnknownWorkers].lease_expiry_ms_ =
        DefaultLeaseExpiryMs();
    is_sole_owner_unknown_ = true;
    return;
  }
  RecoverSoleOwner(body["sole_owner"]);
  for (const auto& id : body["workers"].getMemberNames()) {
    const auto& entry = body["workers"][id];
    auto& worker = unclaimed_workers_[id];
    worker.lease_expiry_ms_ = DefaultLeaseExpiryMs();
    if (!IsWorkerReadable(entry)) {
      LogEvent(Event::kBadRecord, {{"key", kWorkersKey},
                                   {"worker", id},
                                   {"problem", "the worker's entry"}});
      continue;
    }
    RecoverUnreachedLease(id, entry, worker);
    worker.service_ = entry["service"].asString();
    worker.is_draining_ = entry.isMember("tasks");
    for (const auto& task : entry["tasks"]) {
      worker.tasks_.insert(task.asString());
    }
  }
}

auto Dispatcher::RecoverJobs(const std::shared_ptr<RecoveryReads>& reads,
                             std::size_t first) -> void {
  const auto& records = reads->inbox_.records_;
  const auto end = std::min(records.size(), first + kJobsPerBatch);
  for (auto i = first; i < end; ++i) {
    ApplyInboxRecord(records[i], true);
  }
  if (end < records.size()) {
    RunAfter(loop_, kBatchPauseMs, [this, reads, end, alive = is_alive_] {
      if (*alive) {
        RecoverJobs(reads, end);
      }
    });
    return;
  }
  OnJobsRecovered();
  if (!early_lease_expiries_.empty()) {
    ApplyLeaseExpiries(std::exchange(early_lease_expiries_, {}));
  }
  OnPreviousRightsEnded(BootMs());
  OnWorkersRead(reads->worker_entries_);
}

auto Dispatcher::OnJobsRecovered() -> void {
  recovered_progress_.clear();
  is_state_read_ = true;
  metrics_->Increment(FleetCounter::kTakeOvers);
  LogEvent(Event::kFleetStateRead,
           {{"epoch", std::to_string(claim_.epoch_)},
            {"jobs", std::to_string(jobs_.size())},
            {"revision", std::to_string(inbox_revision_)},
            {"unclaimed_workers", std::to_string(unclaimed_workers_.size())},
            {"earlier_rights_left_ms",
             std::to_string(rights_bound_.EndMs() - BootMs())},
            {"sole_owner_epoch", std::to_string(last_sole_owner_.epoch_)},
            {"age_ms", std::to_string(BootMs() - claim_.claimed_ms_)}});
  WatchInbox();
}

auto Dispatcher::OnPreviousRightsEnded(Millis now_ms) -> void {
  if (!has_sole_rights_) {
    if (!is_state_read_ || now_ms <= rights_bound_.EndMs()) {
      return;
    }
    has_sole_rights_ = true;
    sole_rights_version_ = recorder_.MarkDirty(kWorkersKey);
    RenewAllLeases(now_ms);
    RequestPlacementPass();
  }
  if (!unclaimed_workers_.empty() && !rights_end_revision_.has_value() &&
      !is_reading_rights_end_) {
    ReadRightsEndRevision();
  }
}

auto Dispatcher::ReadRightsEndRevision() -> void {
  is_reading_rights_end_ = true;
  store_->Read(kOwnerKey, [this, alive = is_alive_](const ReadResult& result) {
    if (!*alive) {
      return;
    }
    is_reading_rights_end_ = false;
    if (result.status_ == StoreStatus::kOk) {
      rights_end_revision_ = result.revision_;
    }
  });
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
  InsertJob(*job, record.revision_, is_recovered);
}

}  // namespace lentilscale::fleet
