// Hands the bounds on the leases of workers that this owner does not reach on
// to its successors.
//
// The workers record is written once as an owner takes over, before any worker
// has answered. A worker is added as unreached when its first Hold call has
// failed or the store has no entry of it: nearly all workers answer, and one
// that is not in the record as unreached gets its lease without waiting for the
// store.

#include <algorithm>

#include "fleet/dispatcher.h"
#include "fleet/lease_bound.h"
#include "fleet/store_keys.h"
#include "lentilscale/error.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// Interval at which further unreached workers are added to the record, which
// names all workers.
constexpr Millis kUnreachedPeriodMs = 250;

}  // namespace

auto Dispatcher::RecoverUnreachedLease(const std::string& id,
                                       const Json::Value& entry,
                                       UnclaimedWorker& worker) -> void {
  if (!entry.isMember("unreached")) {
    return;
  }
  try {
    worker.unreached_ = DecodeUnreachedLease(entry["unreached"]);
  } catch (const Error& e) {
    LogEvent(Event::kBadRecord,
             {{"key", kWorkersKey}, {"worker", id}, {"problem", e.what()}});
    return;
  }
  if (const auto end_ms =
          UnreachedLeaseEndMs(*worker.unreached_, claim_.seen_owners_ms_);
      end_ms.has_value()) {
    worker.young_life_ = worker.unreached_->young_life_;
    worker.lease_expiry_ms_ =
        std::min(worker.lease_expiry_ms_ +
                     (worker.young_life_ == 0 ? 0 : YoungLeaseExtensionMs()),
                 *end_ms);
  }
}

auto Dispatcher::RecordUnreachedWorkers(Millis now_ms) -> void {
  if (now_ms < next_unreached_check_ms_ || claim_.sent_ms_ == 0 ||
      !is_worker_list_read_) {
    return;
  }
  next_unreached_check_ms_ = now_ms + kUnreachedPeriodMs;
  auto is_any_added = false;
  for (auto& [id, worker] : unclaimed_workers_) {
    if (worker.unreached_.has_value() || worker.has_answered_ ||
        id == kUnknownWorkers) {
      continue;
    }
    const auto it = workers_.find(id);
    if (it == workers_.end() || it->second.hold_failures_ > 0) {
      worker.unreached_ = {claim_.epoch_,
                           worker.lease_expiry_ms_ - claim_.sent_ms_,
                           worker.young_life_};
      is_any_added = true;
    }
  }
  if (is_any_added) {
    recorder_.MarkDirty(kWorkersKey);
  }
}

auto Dispatcher::UpdateUnreachedLease(UnclaimedWorker& worker) -> void {
  if (worker.unreached_.has_value() &&
      worker.unreached_->epoch_ == claim_.epoch_) {
    worker.unreached_->left_ms_ = worker.lease_expiry_ms_ - claim_.sent_ms_;
    worker.unreached_->young_life_ = worker.young_life_;
    recorder_.MarkDirty(kWorkersKey);
  }
}

auto Dispatcher::MayHoldLongestLease(std::int64_t incarnation) const -> bool {
  // An age below 0 proves that a time of day has jumped.
  const auto age_ms = WallMs() - (BootMs() - claim_.claimed_ms_) - incarnation;
  return incarnation != 0 &&
         age_ms < options_.max_lease_ms_ + options_.lease_ms_;
}

auto Dispatcher::YoungLeaseExtensionMs() const -> Millis {
  return LatestLeaseEndMs(0, options_.max_lease_ms_) - LeaseDurationMs();
}

// What the previous owner reports allows for the lives that it knew.
auto Dispatcher::AllowForYoungLife(const WorkerEntry& entry) -> void {
  const auto it = unclaimed_workers_.find(entry.id_);
  if (it == unclaimed_workers_.end() || it->second.is_expiry_reported_ ||
      it->second.young_life_ == entry.incarnation_ ||
      !MayHoldLongestLease(entry.incarnation_)) {
    return;
  }
  auto& worker = it->second;
  // A further life is allowed for from the claim, so that lives that follow
  // each other don't add up.
  const auto base_ms = worker.young_life_ == 0 ? worker.lease_expiry_ms_
                                               : DefaultLeaseExpiryMs();
  worker.lease_expiry_ms_ =
      std::max(worker.lease_expiry_ms_, base_ms + YoungLeaseExtensionMs());
  worker.young_life_ = entry.incarnation_;
  UpdateUnreachedLease(worker);
}

auto Dispatcher::OnUnclaimedWorkerAnswered(FleetWorker& worker,
                                           UnclaimedWorker& unclaimed) -> void {
  // Its runs may go on by an earlier owner's lease until the first grant.
  worker.latest_lease_expiry_ms_ =
      std::max(worker.latest_lease_expiry_ms_, unclaimed.lease_expiry_ms_);
  if (MayHoldLongestLease(worker.incarnation_)) {
    worker.latest_lease_expiry_ms_ =
        std::max(worker.latest_lease_expiry_ms_,
                 LatestLeaseEndMs(BootMs(), options_.max_lease_ms_));
  }
  unclaimed.has_answered_ = true;
  if (unclaimed.unreached_.has_value()) {
    unclaimed.unreached_.reset();
    WithholdLease(worker);
  }
}

auto Dispatcher::WithholdLease(FleetWorker& worker) -> void {
  worker.is_lease_withheld_ = true;
  worker.is_in_workers_record_ = false;
  worker.workers_record_version_ = recorder_.MarkDirty(kWorkersKey);
}

}  // namespace lentilscale::fleet
