// The epoch is stored under a key without a lease, so it outlives the owner
// record; a claim updates both keys in one transaction.
//
// It is safe to claim while the previous owner is still running: workers then
// refuse its orders, it grants no leases without rights, and the claimant knows
// when these end (owner_rights.h).

#include "fleet/election.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <optional>
#include <tuple>

#include "fleet/store_keys.h"
#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

constexpr Millis kWatchWaitMs = 2000;
constexpr Millis kRetryMs = 200;
// Once the store has not answered the owner for this long, instances find out
// whether it answers them, as the owner's rights may come to depend on that.
constexpr Millis kProbeStoreAgeMs = 700;
// Pause before a claim is repeated whose calls the store did not answer.
constexpr Millis kClaimRetryMs = 500;
// Spreads claims over this range, so that usually one instance claims first.
constexpr Millis kClaimJitterMs = 40;
// Claim delay per unit of round-trip time to the store.
constexpr Millis kRoundTripDelayFactor = 5;
constexpr Millis kMaxRoundTripDelayMs = 150;
// The claim delay grows by 1 ms for each such span of process age.
constexpr Millis kProcessAgePerDelayMs = 500;
constexpr Millis kMaxProcessAgeDelayMs = 80;
// The owner of about 350 workers needs a quarter of a core (docs/CAPACITY.md).
constexpr double kRequiredOwnerCores = 0.25;
// An instance with less CPU claims later, in proportion to its shortfall. The
// maximum is about half an owner lease, so that one with enough claims first.
constexpr double kMaxCpuShortfallDelayMs = 600;

auto ParseOwner(const Record& record) -> Owner {
  const auto body = ParseJson(record.value_);
  return {RequireString(body, "instance"), RequireString(body, "address"),
          RequireInt(body, "epoch", 0, INT64_MAX), record.revision_,
          record.lease_};
}

// Returns nullopt unless `text` is an epoch that another can follow.
auto ParseEpoch(const std::string& text) -> std::optional<std::int64_t> {
  std::int64_t epoch = 0;
  if (!absl::SimpleAtoi(text, &epoch) || epoch < 0 || epoch == INT64_MAX) {
    return std::nullopt;
  }
  return epoch;
}

}  // namespace

Election::Election(uv_loop_t* loop, RecordStore* store, Options options,
                   Hooks hooks)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      predecessor_rights_(options_.ttl_ms_) {
  renew_timer_ = std::make_unique<RepeatingTimer>(
      loop, LeaseRenewal::CheckPeriodMs(options_.ttl_ms_),
      [this] { RenewLease(); });
  ReadOwner();
}

auto Election::UpdateStoreAnswered(StoreStatus status, Millis sent_ms) -> void {
  is_store_failing_ =
      status == StoreStatus::kUnknown || status == StoreStatus::kRefused;
  if (!is_store_failing_) {
    store_answered_ms_ = std::max(store_answered_ms_, sent_ms);
  }
}

auto Election::StoreAgeMs() const -> Millis {
  return BootMs() - store_answered_ms_;
}

auto Election::HasRights() -> bool {
  if (!IsOwner()) {
    return false;
  }
  const auto now = BootMs();
  const auto has_rights = now < rights_.EndMs();
  const auto confirmed_ago_ms = std::to_string(now - rights_.confirmed_ms());
  if (has_rights != had_rights_) {
    had_rights_ = has_rights;
    LogEvent(has_rights ? Event::kAuthorityBack : Event::kAuthorityLost,
             {{"epoch", std::to_string(claim_.epoch_)},
              {"confirmed_ago_ms", confirmed_ago_ms},
              {"renewal_sent_ago_ms", std::to_string(now - renewal_.sent_ms())},
              {"renewal_took_ms", std::to_string(renewal_took_ms_)}});
  }
  const auto is_unconfirmed = has_rights && rights_.IsUnconfirmed(now);
  if (is_unconfirmed && !was_unconfirmed_) {
    LogEvent(Event::kFleetRightsUnconfirmed,
             {{"epoch", std::to_string(claim_.epoch_)},
              {"confirmed_ago_ms", confirmed_ago_ms},
              {"members", std::to_string(rights_.CountMembers())}});
  }
  was_unconfirmed_ = is_unconfirmed;
  return has_rights;
}

auto Election::ApplyReport(const std::string& peer, const StoreReport& report)
    -> void {
  rights_.ApplyReport(peer, report, BootMs());
}

auto Election::MakeReport() -> StoreReport {
  const auto now = BootMs();
  StoreReport report;
  report.epoch_ = owner_.epoch_;
  if (owner_stamp_epoch_ == owner_.epoch_) {
    report.echo_ms_ = owner_stamp_ms_;
  }
  report.store_age_ms_ = StoreAgeMs();
  report.is_store_failing_ = is_store_failing_;
  if (is_store_failing_) {
    predecessor_rights_.OnFailureReported(owner_.epoch_, now);
  }
  predecessor_rights_.AddFormerOwner(asked_epoch_, report, now);
  return report;
}

auto Election::OnReportAnswered(const ReportAnswer& answer) -> void {
  predecessor_rights_.OnReportAnswered(answer.epoch_, answer.sent_ms_);
  asked_epoch_ = answer.former_epoch_;
  if (std::tie(answer.epoch_, answer.stamp_ms_) >
      std::tie(owner_stamp_epoch_, owner_stamp_ms_)) {
    owner_stamp_epoch_ = answer.epoch_;
    owner_stamp_ms_ = answer.stamp_ms_;
  }
  if (answer.store_age_ms_ > kProbeStoreAgeMs && !is_probing_) {
    is_probing_ = true;
    store_->ReadAwaitingLate(
        kOwnerKey, [this, alive = is_alive_](const ReadResult& read) {
          if (*alive) {
            is_probing_ = is_probing_ && read.is_late_;
            UpdateStoreAnswered(read.status_, read.sent_ms_);
            ApplyOwnerRead(read);
          }
        });
  }
}

auto Election::HasStoreAnsweredPeers(Millis since_ms) const -> bool {
  return rights_.HasStoreAnsweredPeers(since_ms);
}

auto Election::ReadOwner() -> void {
  if (is_watching_ || is_reading_owner_) {
    return;
  }
  is_reading_owner_ = true;
  store_->ReadAwaitingLate(
      kOwnerKey, [this, alive = is_alive_](const ReadResult& result) {
        if (!*alive) {
          return;
        }
        is_reading_owner_ = is_reading_owner_ && result.is_late_;
        UpdateStoreAnswered(result.status_, result.sent_ms_);
        if (ApplyOwnerRead(result)) {
          if (!is_watching_) {
            is_watching_ = true;
            watch_revision_ = result.revision_;
            WatchOwner();
          }
          return;
        }
        ScheduleReadOwner();
      });
}

auto Election::ScheduleReadOwner() -> void {
  RunAfter(loop_, kRetryMs, [this, alive = is_alive_] {
    if (*alive) {
      ReadOwner();
    }
  });
}

auto Election::WatchOwner() -> void {
  store_->Watch(
      kOwnerKey, watch_revision_, kWatchWaitMs,
      [this, alive = is_alive_](const ReadResult& result) {
        if (!*alive) {
          return;
        }
        UpdateStoreAnswered(result.status_, result.sent_ms_);
        if (result.status_ != StoreStatus::kOk || watch_revision_ == 0) {
          // The history was compacted or the connection broke: read again.
          is_watching_ = false;
          ScheduleReadOwner();
          return;
        }
        watch_revision_ = std::max(watch_revision_, result.revision_);
        for (const auto& record : result.records_) {
          if (record.key_ == kOwnerKey) {
            ApplyOwnerRecord(record, record.revision_);
          }
        }
        if (result.records_.empty() && owner_.address_.empty()) {
          ScheduleClaim(0);
        }
        WatchOwner();
      });
}

auto Election::ApplyOwnerRead(const ReadResult& result) -> bool {
  if (result.status_ != StoreStatus::kOk &&
      result.status_ != StoreStatus::kAbsent) {
    return false;
  }
  if (!result.is_late_) {
    round_trip_ms_ = BootMs() - result.sent_ms_;
  }
  Record record;
  record.is_removed_ = true;
  if (!result.records_.empty()) {
    record = result.records_[0];
  }
  ApplyOwnerRecord(record, result.revision_);
  return true;
}

auto Election::ApplyOwnerRecord(const Record& record, std::int64_t revision)
    -> void {
  if (revision != 0 && revision < owner_known_revision_) {
    return;
  }
  owner_known_revision_ = std::max(owner_known_revision_, revision);
  Owner owner;
  if (!record.is_removed_) {
    try {
      owner = ParseOwner(record);
    } catch (const Error& e) {
      LogEvent(Event::kBadRecord, {{"key", kOwnerKey}, {"problem", e.what()}});
      // It names no owner, but a claim has to replace it.
      owner.revision_ = record.revision_;
      owner.lease_ = record.lease_;
    }
  }
  if (!owner.address_.empty() && owner.epoch_ != last_owners_.back().epoch_) {
    last_owners_ = {last_owners_.back(), owner};
    predecessor_rights_.OnOwnerSeen(owner.epoch_,
                                    owner.instance_ == options_.instance_,
                                    owner_.revision_ == 0, BootMs());
  }
  const auto is_changed = owner.revision_ != owner_.revision_;
  owner_ = owner;
  if (is_changed) {
    LogEvent(Event::kFleetOwner,
             {{"instance", owner.instance_},
              {"epoch", std::to_string(owner.epoch_)},
              {"revision", std::to_string(owner.revision_)}});
    hooks_.on_owner_changed_();
  }
  if (IsOwner() && owner.revision_ != claim_.owner_revision_) {
    StepDown("another instance holds the owner record");
  }
  const auto is_stale_own_record =
      !IsOwner() && !is_claiming_ && owner.instance_ == options_.instance_;
  if (owner.address_.empty() || is_stale_own_record) {
    // A record with this instance's name that this process does not hold is
    // from an earlier process, which cannot come back, or from a claim of this
    // process whose outcome was unknown.
    ScheduleClaim(ClaimDelayMs());
  }
}

// Instances with a short round trip to the store claim first, because the owner
// makes it for every progress record and every lease renewal. Among those, the
// most recently started claims first: a rolling restart has already passed it.
// Instances with too little CPU to schedule the whole fleet claim last.
auto Election::ClaimDelayMs() const -> Millis {
  const auto cores = options_.processor_cores_;
  const auto cpu_shortfall =
      cores == 0 ? 0.0 : std::max(0.0, 1 - cores / kRequiredOwnerCores);
  return static_cast<Millis>(cpu_shortfall * kMaxCpuShortfallDelayMs) +
         static_cast<Millis>(std::hash<std::string>{}(options_.instance_) %
                             kClaimJitterMs) +
         std::min(kMaxRoundTripDelayMs,
                  kRoundTripDelayFactor * round_trip_ms_) +
         std::min(kMaxProcessAgeDelayMs,
                  (BootMs() - started_ms_) / kProcessAgePerDelayMs);
}

auto Election::ClaimFrom(std::int64_t owner_revision) -> void {
  if (owner_revision == owner_.revision_) {
    ScheduleClaim(0);
  }
}

auto Election::OnOwnerConnectionRefused() -> void {
  if (!IsOwner() && !owner_.address_.empty()) {
    ScheduleClaim(ClaimDelayMs());
  }
}

auto Election::ScheduleClaim(Millis delay_ms) -> void {
  if (is_claiming_ || is_claiming_disabled_ || IsOwner()) {
    return;
  }
  is_claiming_ = true;
  // The claim replaces only the owner known now. Without this, a delayed claim
  // would also replace an owner elected in the meantime.
  expected_owner_revision_ = owner_.revision_;
  RunAfter(loop_, delay_ms, [this, alive = is_alive_] {
    if (*alive) {
      Claim();
    }
  });
}

auto Election::AbandonClaim(Millis retry_ms) -> void {
  is_claiming_ = false;
  if (owner_.address_.empty()) {
    ScheduleClaim(retry_ms);
  }
}

auto Election::Claim() -> void {
  if (owner_.revision_ != expected_owner_revision_) {
    AbandonClaim(0);
    return;
  }
  // The lease and the epoch are requested in parallel to save a round trip.
  struct Answers {
    LeaseResult lease_;
    ReadResult epoch_;
    int pending_ = 2;
  };
  auto answers = std::make_shared<Answers>();
  const auto on_both_answered = [this, answers] {
    const auto& epoch = answers->epoch_;
    const auto is_epoch_read = epoch.status_ == StoreStatus::kOk ||
                               epoch.status_ == StoreStatus::kAbsent;
    if (answers->lease_.status_ != StoreStatus::kOk || !is_epoch_read ||
        is_claiming_disabled_) {
      AbandonClaim(kClaimRetryMs + ClaimDelayMs());
      return;
    }
    std::int64_t latest_epoch = 0;
    std::int64_t epoch_revision = 0;
    if (!epoch.records_.empty()) {
      const auto recorded = ParseEpoch(epoch.records_[0].value_);
      if (!recorded.has_value()) {
        // Workers refuse the orders of an epoch that is not higher than the
        // last one, which only the record tells.
        LogEvent(Event::kBadRecord,
                 {{"key", kEpochKey}, {"problem", "not an epoch"}});
        store_->RevokeLease(answers->lease_.lease_);
        AbandonClaim(kClaimRetryMs + ClaimDelayMs());
        return;
      }
      latest_epoch = *recorded;
      epoch_revision = epoch.records_[0].revision_;
    }
    CommitClaim(answers->lease_, latest_epoch + 1, epoch_revision);
  };
  store_->GrantLease(options_.ttl_ms_,
                     [this, answers, on_both_answered,
                      alive = is_alive_](const LeaseResult& result) {
                       if (!*alive) {
                         return;
                       }
                       UpdateStoreAnswered(result.status_, result.sent_ms_);
                       answers->lease_ = result;
                       if (--answers->pending_ == 0) {
                         on_both_answered();
                       }
                     });
  store_->Read(kEpochKey, [answers, on_both_answered,
                           alive = is_alive_](const ReadResult& result) {
    if (!*alive) {
      return;
    }
    answers->epoch_ = result;
    if (--answers->pending_ == 0) {
      on_both_answered();
    }
  });
}

auto Election::CommitClaim(const LeaseResult& granted, std::int64_t epoch,
                           std::int64_t epoch_revision) -> void {
  const auto lease = granted.lease_;
  const auto lease_sent_ms = granted.sent_ms_;
  Json::Value body(Json::objectValue);
  body["instance"] = options_.instance_;
  body["address"] = options_.address_;
  body["epoch"] = Json::Int64{epoch};
  Transaction transaction;
  transaction.conditions_ = {{kEpochKey, epoch_revision},
                             {kOwnerKey, expected_owner_revision_}};
  transaction.puts_ = {{kEpochKey, std::to_string(epoch), 0},
                       {kOwnerKey, DumpJson(body), lease}};
  store_->Commit(transaction, [this, lease, lease_sent_ms, epoch,
                               alive = is_alive_](const CommitResult& result) {
    if (!*alive) {
      return;
    }
    is_claiming_ = false;
    // A later state than that of the claim may be known by now.
    const auto is_replaced = (owner_known_revision_ > result.revision_ &&
                              owner_.revision_ != result.revision_) ||
                             epoch < resigned_before_epoch_;
    if (result.status_ != StoreStatus::kOk || is_claiming_disabled_ ||
        is_replaced) {
      // Another instance won, or the outcome is unknown. The lease expires even
      // if it cannot be revoked. A claim that the store did carry out is read
      // back as a stale record of this instance (see ApplyOwnerRecord).
      store_->RevokeLease(lease);
      ScheduleOwnerRead();
      return;
    }
    lease_ = lease;
    rights_ = OwnerRights(options_.ttl_ms_, lease_sent_ms);
    renewal_ = LeaseRenewal(options_.ttl_ms_, lease_sent_ms);
    had_rights_ = true;
    was_unconfirmed_ = false;
    const auto now = BootMs();
    const auto has_lease_ended = expected_owner_revision_ == 0;
    claim_ = {epoch,
              result.revision_,
              now,
              predecessor_rights_.BoundAtClaim(epoch, has_lease_ended, now),
              options_.instance_,
              options_.address_,
              lease_sent_ms,
              predecessor_rights_.SeenOwnersMs()};
    predecessor_rights_.OnOwnerSeen(epoch, true, has_lease_ended, now);
    // The watch may have shown this claim already.
    previous_owner_ = last_owners_.back().epoch_ == epoch ? last_owners_.front()
                                                          : last_owners_.back();
    owner_known_revision_ = std::max(owner_known_revision_, result.revision_);
    owner_ = {options_.instance_, options_.address_, epoch, result.revision_,
              lease};
    LogEvent(Event::kFleetElected,
             {{"epoch", std::to_string(epoch)},
              {"revision", std::to_string(result.revision_)},
              {"predecessor_rights_left_ms",
               std::to_string(claim_.rights_bound_.predecessor_end_ms_ - now)},
              {"older_rights_left_ms",
               std::to_string(claim_.rights_bound_.older_end_ms_ - now)}});
    hooks_.on_owner_changed_();
    hooks_.on_elected_(claim_);
  });
}

auto Election::ScheduleOwnerRead() -> void {
  RunAfter(loop_, kRetryMs, [this, alive = is_alive_] {
    if (!*alive) {
      return;
    }
    store_->Read(kOwnerKey, [this, alive](const ReadResult& result) {
      if (*alive) {
        ApplyOwnerRead(result);
      }
    });
  });
}

auto Election::RenewLease() -> void {
  if (!IsOwner() || !renewal_.IsDue(BootMs())) {
    return;
  }
  renewal_.OnSent(BootMs());
  store_->RenewLease(lease_, [this, lease = lease_,
                              alive = is_alive_](const LeaseResult& result) {
    if (!*alive) {
      return;
    }
    UpdateStoreAnswered(result.status_, result.sent_ms_);
    if (!IsOwner() || lease != lease_) {
      return;
    }
    renewal_took_ms_ = BootMs() - result.sent_ms_;
    if (result.status_ == StoreStatus::kAbsent) {
      StepDown("the owner lease has expired");
    } else if (result.status_ == StoreStatus::kOk) {
      renewal_.OnLeaseRenewed(result.sent_ms_);
      rights_.Confirm(renewal_.confirmed_ms());
    }
  });
  store_->ReadAwaitingLate(kOwnerKey, [this, lease = lease_, alive = is_alive_](
                                          const ReadResult& result) {
    if (!*alive) {
      return;
    }
    UpdateStoreAnswered(result.status_, result.sent_ms_);
    ApplyOwnerRead(result);
    if (IsOwner() && lease == lease_ && !result.records_.empty() &&
        result.records_[0].revision_ == claim_.owner_revision_) {
      renewal_.OnRecordInPlace(result.sent_ms_);
      rights_.Confirm(renewal_.confirmed_ms());
    }
  });
}

auto Election::ResignBefore(std::int64_t epoch) -> void {
  resigned_before_epoch_ = std::max(resigned_before_epoch_, epoch);
  if (claim_.epoch_ < epoch) {
    StepDown("a later epoch has been claimed");
  }
}

auto Election::StepDown(const std::string& reason) -> void {
  if (!IsOwner()) {
    return;
  }
  LogEvent(
      Event::kFleetDeposed,
      {{"epoch", std::to_string(claim_.epoch_)},
       {"reason", reason},
       {"renewal_sent_ago_ms", std::to_string(BootMs() - renewal_.sent_ms())},
       {"renewal_took_ms", std::to_string(renewal_took_ms_)}});
  claim_ = OwnerClaim{};
  store_->RevokeLease(lease_);
  lease_ = 0;
  // Deferred because on_deposed_ destroys the dispatcher, which may be on the
  // call stack.
  RunAfter(loop_, 0, [this, reason, alive = is_alive_] {
    if (*alive) {
      hooks_.on_deposed_(reason);
      ScheduleOwnerRead();
    }
  });
}

}  // namespace lentilscale::fleet
