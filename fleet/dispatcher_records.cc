// The dispatcher's records in the store: what they say, what follows once they
// are durable, and when those of ended jobs are deleted.
//
// Jobs and workers that wait for a record are found by its key, and ended jobs
// in the order of their ends: a day brings many more jobs than a batch of
// records or a purge concerns.

#include "fleet/dispatcher.h"
#include "fleet/store_keys.h"
#include "lentilscale/json.h"

namespace lentilscale::fleet {
namespace {

// Jobs in a batch; three keys for each stay within the limit of a transaction.
constexpr std::size_t kPurgeBatchSize = 10;

}  // namespace

auto Dispatcher::SerializeRecord(const std::string& key) -> std::string {
  if (key == kWorkersKey) {
    Json::Value body(Json::objectValue);
    body["workers"] = Json::Value(Json::objectValue);
    const auto owner =
        has_sole_rights_
            ? OwnerIdentity{claim_.epoch_, claim_.instance_, claim_.address_}
            : last_sole_owner_;
    // Epoch 0 stands for an owner that this instance could not read.
    if (owner.epoch_ != 0 || is_sole_owner_unknown_) {
      body["sole_owner"]["epoch"] = Json::Int64{owner.epoch_};
      body["sole_owner"]["instance"] = owner.instance_;
      body["sole_owner"]["address"] = owner.address_;
    }
    for (const auto& [id, worker] : unclaimed_workers_) {
      auto& entry = body["workers"][id];
      entry["service"] = worker.service_;
      if (worker.is_draining_) {
        entry["tasks"] = Json::Value(Json::arrayValue);
      }
      for (const auto& task : worker.tasks_) {
        entry["tasks"].append(task);
      }
      if (worker.unreached_.has_value()) {
        entry["unreached"] = EncodeUnreachedLease(*worker.unreached_);
      }
    }
    for (const auto& [id, worker] : workers_) {
      if (worker.is_omitted_from_record_) {
        continue;
      }
      auto& entry = body["workers"][id];
      const auto unclaimed = unclaimed_workers_.find(id);
      const auto is_any_task_possible =
          worker.has_changed_service_ ||
          (unclaimed != unclaimed_workers_.end() &&
           unclaimed->second.service_ != worker.entry_.service_);
      entry = Json::Value(Json::objectValue);
      entry["service"] = is_any_task_possible ? "" : worker.entry_.service_;
      if (unclaimed != unclaimed_workers_.end() &&
          unclaimed->second.unreached_.has_value()) {
        entry["unreached"] =
            EncodeUnreachedLease(*unclaimed->second.unreached_);
      }
      if (worker.is_claimed_ && worker.entry_.is_draining_ &&
          unclaimed == unclaimed_workers_.end()) {
        entry["tasks"] = Json::Value(Json::arrayValue);
        for (const auto& [key, run] : worker.runs_) {
          entry["tasks"].append(key.first);
        }
        // To a successor these tasks have not ended.
        for (const auto& end : worker.unrecorded_ends_) {
          entry["tasks"].append(end.task_);
        }
      }
    }
    if (are_queue_services_known_) {
      body["queues"] = Json::Value(Json::objectValue);
      for (const auto& [queue, services] : queue_services_) {
        for (const auto& [service, version] : services) {
          body["queues"][queue].append(service);
        }
      }
    }
    return DumpJson(body);
  }
  auto* job = FindJob(key.substr(std::string(kProgressPrefix).size()));
  return job == nullptr ? "{}" : EncodeProgress(job->Progress());
}

auto Dispatcher::OnRecordsDurable(const std::vector<std::string>& keys)
    -> void {
  const auto now = BootMs();
  for (const auto& key : keys) {
    if (key == kWorkersKey) {
      for (auto& [id, worker] : workers_) {
        if (!worker.is_omitted_from_record_ &&
            recorder_.IsDurable(kWorkersKey, worker.workers_record_version_)) {
          worker.is_in_workers_record_ = true;
          worker.is_lease_withheld_ = false;
        }
      }
      if (has_sole_rights_ && !is_sole_owner_recorded_ &&
          recorder_.IsDurable(kWorkersKey, sole_rights_version_)) {
        is_sole_owner_recorded_ = true;
        if (hooks_.on_sole_rights_recorded_) {
          hooks_.on_sole_rights_recorded_();
        }
      }
      std::erase_if(dropped_workers_, [this](const auto& dropped) {
        return recorder_.IsDurable(kWorkersKey, dropped.second);
      });
      RequestPlacementPass();
      continue;
    }
    auto* job = FindJob(key.substr(std::string(kProgressPrefix).size()));
    if (job != nullptr && !job->is_end_recorded_ && job->IsEnded() &&
        recorder_.IsDurable(key, job->end_version_)) {
      OnEndRecorded(*job, now);
      metrics_->Record(
          FleetLatency::kJob, job->record().queue_,
          static_cast<double>(WallMs() - job->record().accepted_ms_));
    }
  }
  std::set<std::string> waiting_workers;
  for (const auto& key : keys) {
    const auto first = awaited_records_.lower_bound({key, ""});
    auto it = first;
    for (; it != awaited_records_.end() && it->first == key; ++it) {
      waiting_workers.insert(it->second);
    }
    awaited_records_.erase(first, it);
  }
  for (const auto& id : waiting_workers) {
    const auto it = workers_.find(id);
    if (it == workers_.end()) {
      continue;
    }
    auto& worker = it->second;
    if (!worker.unrecorded_ends_.empty() && AdvanceDurableEnds(worker) &&
        has_sole_rights_) {
      worker.next_hold_ms_ = now;
      RequestHold(worker, now);
    }
  }
}

auto Dispatcher::OnEndRecorded(Job& job, Millis now_ms) -> void {
  job.is_end_recorded_ = true;
  job.end_recorded_ms_ = now_ms;
  recorded_ends_.emplace_back(now_ms, job.record().id_);
}

auto Dispatcher::AdvanceDurableEnds(FleetWorker& worker) -> bool {
  while (!worker.unrecorded_ends_.empty()) {
    const auto& end = worker.unrecorded_ends_.front();
    if (end.unmatched_.has_value()) {
      return false;
    }
    if (!end.record_key_.empty() &&
        !recorder_.IsDurable(end.record_key_, end.record_version_)) {
      awaited_records_.insert({end.record_key_, worker.entry_.id_});
      return false;
    }
    worker.last_recorded_end_ = end.number_;
    worker.unrecorded_ends_.pop_front();
  }
  return true;
}

auto Dispatcher::PurgeEndedJobs(Millis now_ms) -> bool {
  Transaction transaction;
  std::vector<std::string> purged;
  const auto is_purged = [this](const auto& end) {
    const auto* job = FindJob(end.second);
    return job == nullptr || job->end_recorded_ms_ != end.first;
  };
  while (!recorded_ends_.empty() && is_purged(recorded_ends_.front())) {
    recorded_ends_.pop_front();
  }
  for (const auto& end : recorded_ends_) {
    const auto& [recorded_ms, id] = end;
    if (purged.size() == kPurgeBatchSize ||
        now_ms - recorded_ms <= options_.status_retention_ms_) {
      break;
    }
    if (!is_purged(end)) {
      purged.push_back(id);
      transaction.deletes_.push_back(JobKey(id));
      transaction.deletes_.push_back(CancelKey(id));
      transaction.deletes_.push_back(ProgressKey(id));
    }
  }
  if (purged.empty()) {
    return false;
  }
  transaction.conditions_.push_back({kOwnerKey, claim_.owner_revision_});
  store_->Commit(transaction,
                 [this, purged, alive = is_alive_](const CommitResult& result) {
                   if (!*alive || result.status_ != StoreStatus::kOk) {
                     return;
                   }
                   for (const auto& id : purged) {
                     jobs_.erase(id);
                     recorder_.Forget(ProgressKey(id));
                   }
                 });
  return purged.size() == kPurgeBatchSize;
}

}  // namespace lentilscale::fleet
