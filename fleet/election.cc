// The epoch lives in a key without a lease, so that it survives the owner; a
// claim is one transaction on both keys. Ownership may be claimed over a living
// owner without harm, since workers refuse its orders from then on and it
// grants no leases without its rights.

#include "fleet/election.h"

#include <algorithm>

#include "fleet/store_keys.h"
#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

constexpr Millis kWatchWaitMs = 2000;
constexpr Millis kRetryMs = 200;
// Renewals per time to live of the lease.
constexpr Millis kRenewalsPerTtl = 4;
// The lease counts as ended this much before the store ends it.
constexpr Millis kRightsMarginMs = 150;
// Spread of claims, so that one instance is usually alone.
constexpr Millis kClaimSpreadMs = 40;
constexpr Millis kDelayPerRoundTrip = 5;
constexpr Millis kMaxDistanceDelayMs = 150;
// One millisecond later for each of these of the process's age.
constexpr Millis kAgePerDelayMs = 500;
constexpr Millis kMaxAgeDelayMs = 80;
// The owner of some 350 workers was measured to need a quarter of a core (see
// docs/CAPACITY.md). An instance with less claims later, by its lack's share of
// the delay: about half of a lease, so that one with enough comes first.
constexpr double kOwnerCores = 0.25;
constexpr double kMaxWeaknessDelayMs = 600;
// A peer's report counts for this long.
constexpr Millis kReportValidMs = 1800;

}  // namespace

Election::Election(uv_loop_t* loop, RecordStore* store, Options options,
                   Hooks hooks)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      hooks_(std::move(hooks)) {
  keep_timer_ = std::make_unique<RepeatingTimer>(
      loop, options_.ttl_ms_ / kRenewalsPerTtl, [this] { Keep(); });
  ReadOwner();
}

auto Election::NoteAnswer(StoreStatus status, Millis sent_ms) -> void {
  if (status != StoreStatus::kUnknown && status != StoreStatus::kRefused) {
    store_seen_ms_ = std::max(store_seen_ms_, sent_ms);
  }
}

auto Election::StoreAgeMs() const -> Millis {
  return BootMs() - store_seen_ms_;
}

auto Election::HasRights() -> bool {
  if (!IsOwner()) {
    return false;
  }
  const auto now = BootMs();
  auto has = now < confirmed_ms_ + options_.ttl_ms_ - kRightsMarginMs;
  if (!has) {
    // Nobody can have claimed if all instances that report lack the store since
    // before the lease could end.
    auto reports = 0;
    auto seen_by_any = false;
    for (const auto& [peer, report] : peers_) {
      if (now - report.received_ms_ < kReportValidMs) {
        ++reports;
        seen_by_any |= report.store_seen_ms_ >
                       confirmed_ms_ + options_.ttl_ms_ - kRightsMarginMs;
      }
    }
    has = reports > 0 && 2 * reports >= static_cast<int>(peers_.size()) &&
          !seen_by_any;
  }
  if (has != had_rights_) {
    had_rights_ = has;
    LogEvent(has ? Event::kAuthorityBack : Event::kAuthorityLost,
             {{"epoch", std::to_string(rights_.epoch_)},
              {"confirmed_ago_ms", std::to_string(now - confirmed_ms_)}});
  }
  return has;
}

auto Election::NotePeerStoreAge(const std::string& peer, Millis age_ms)
    -> void {
  const auto now = BootMs();
  peers_[peer] = {now, now - age_ms};
}

auto Election::HasStoreAnsweredPeers(Millis since_ms) const -> bool {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return entry.second.store_seen_ms_ > since_ms;
  });
}

auto Election::ReadOwner() -> void {
  store_->Read(kOwnerKey, [this, alive = is_alive_](const ReadResult& result) {
    if (!*alive) {
      return;
    }
    NoteAnswer(result.status_, result.sent_ms_);
    if (result.status_ == StoreStatus::kOk ||
        result.status_ == StoreStatus::kAbsent) {
      round_trip_ms_ = BootMs() - result.sent_ms_;
      watch_revision_ = result.revision_;
      Record record;
      record.is_removed_ = true;
      if (!result.records_.empty()) {
        record = result.records_[0];
      }
      TakeOwner(record);
      WatchOwner();
      return;
    }
    RunAfter(loop_, kRetryMs, [this, alive] {
      if (*alive) {
        ReadOwner();
      }
    });
  });
}

auto Election::WatchOwner() -> void {
  store_->Watch(
      kOwnerKey, watch_revision_, kWatchWaitMs,
      [this, alive = is_alive_](const ReadResult& result) {
        if (!*alive) {
          return;
        }
        NoteAnswer(result.status_, result.sent_ms_);
        if (result.status_ != StoreStatus::kOk || watch_revision_ == 0) {
          // Missed history or a broken connection: read anew.
          RunAfter(loop_, kRetryMs, [this, alive] {
            if (*alive) {
              ReadOwner();
            }
          });
          return;
        }
        watch_revision_ = std::max(watch_revision_, result.revision_);
        for (const auto& record : result.records_) {
          if (record.key_ == kOwnerKey) {
            TakeOwner(record);
          }
        }
        if (result.records_.empty() && owner_.address_.empty()) {
          ConsiderClaim(0);
        }
        WatchOwner();
      });
}

auto Election::TakeOwner(const Record& record) -> void {
  Owner owner;
  if (!record.is_removed_) {
    try {
      const auto body = ParseJson(record.value_);
      owner.instance_ = RequireString(body, "instance");
      owner.address_ = RequireString(body, "address");
      owner.epoch_ = RequireInt(body, "epoch", 0, INT64_MAX);
      owner.revision_ = record.revision_;
      owner.lease_ = record.lease_;
    } catch (const Error& e) {
      LogEvent(Event::kBadRecord, {{"key", kOwnerKey}, {"problem", e.what()}});
    }
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
  if (IsOwner() && owner.revision_ != rights_.owner_revision_) {
    StepDown("the store names another owner");
  }
  const auto is_own_past =
      !IsOwner() && !is_claiming_ && owner.instance_ == options_.instance_;
  if (owner.address_.empty() || is_own_past) {
    // An earlier process of this instance cannot come back.
    ConsiderClaim(ClaimDelayMs());
  }
}

// Instances near the store claim first: every record of progress and every
// renewal takes the owner's way to it. Among those the youngest: where machines
// are restarted in turn, it has its turn behind it. Instances with too little
// processor time for a whole fleet come last.
auto Election::ClaimDelayMs() const -> Millis {
  const auto cores = options_.processor_cores_;
  const auto weakness =
      cores == 0 ? 0.0 : std::max(0.0, 1 - cores / kOwnerCores);
  return static_cast<Millis>(weakness * kMaxWeaknessDelayMs) +
         static_cast<Millis>(std::hash<std::string>{}(options_.instance_) %
                             kClaimSpreadMs) +
         std::min(kMaxDistanceDelayMs, kDelayPerRoundTrip * round_trip_ms_) +
         std::min(kMaxAgeDelayMs, (BootMs() - started_ms_) / kAgePerDelayMs);
}

auto Election::ClaimFrom(std::int64_t owner_revision) -> void {
  if (owner_revision == owner_.revision_) {
    ConsiderClaim(0);
  }
}

auto Election::NoteOwnerRefuses() -> void {
  if (!IsOwner() && !owner_.address_.empty()) {
    ConsiderClaim(ClaimDelayMs());
  }
}

auto Election::ConsiderClaim(Millis delay_ms) -> void {
  if (is_claiming_ || is_retired_ || IsOwner()) {
    return;
  }
  is_claiming_ = true;
  // The claim replaces just the owner that was seen now; a newer one stays.
  claimed_from_revision_ = owner_.revision_;
  RunAfter(loop_, delay_ms, [this, alive = is_alive_] {
    if (*alive) {
      Claim();
    }
  });
}

auto Election::Claim() -> void {
  if (owner_.revision_ != claimed_from_revision_) {
    is_claiming_ = false;
    return;
  }
  // Both answers are needed; asked together they cost one round trip.
  struct Answers {
    LeaseResult lease_;
    ReadResult epoch_;
    int open_ = 2;
  };
  auto answers = std::make_shared<Answers>();
  const auto on_both = [this, answers] {
    const auto& epoch = answers->epoch_;
    const auto is_epoch_read = epoch.status_ == StoreStatus::kOk ||
                               epoch.status_ == StoreStatus::kAbsent;
    if (answers->lease_.status_ != StoreStatus::kOk || !is_epoch_read ||
        is_retired_) {
      is_claiming_ = false;
      return;
    }
    std::int64_t number = 0;
    std::int64_t revision = 0;
    if (!epoch.records_.empty()) {
      number = std::stoll(epoch.records_[0].value_);
      revision = epoch.records_[0].revision_;
    }
    CommitClaim(answers->lease_, number + 1, revision);
  };
  store_->GrantLease(
      options_.ttl_ms_,
      [this, answers, on_both, alive = is_alive_](const LeaseResult& result) {
        if (!*alive) {
          return;
        }
        NoteAnswer(result.status_, result.sent_ms_);
        answers->lease_ = result;
        if (--answers->open_ == 0) {
          on_both();
        }
      });
  store_->Read(kEpochKey,
               [answers, on_both, alive = is_alive_](const ReadResult& result) {
                 if (!*alive) {
                   return;
                 }
                 answers->epoch_ = result;
                 if (--answers->open_ == 0) {
                   on_both();
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
                             {kOwnerKey, claimed_from_revision_}};
  transaction.puts_ = {{kEpochKey, std::to_string(epoch), 0},
                       {kOwnerKey, DumpJson(body), lease}};
  store_->Commit(transaction, [this, lease, lease_sent_ms, epoch,
                               alive = is_alive_](const CommitResult& result) {
    if (!*alive) {
      return;
    }
    is_claiming_ = false;
    if (result.status_ != StoreStatus::kOk || is_retired_) {
      // Lost to another instance, or unknown: the lease ends by itself, and a
      // claim that was carried out unseen is read as this instance's past.
      store_->EndLease(lease);
      ReadOwnerSoon();
      return;
    }
    lease_ = lease;
    confirmed_ms_ = lease_sent_ms;
    had_rights_ = true;
    rights_ = {epoch, result.revision_, BootMs()};
    owner_ = {options_.instance_, options_.address_, epoch, result.revision_,
              lease};
    LogEvent(Event::kFleetElected,
             {{"epoch", std::to_string(epoch)},
              {"revision", std::to_string(result.revision_)}});
    hooks_.on_owner_changed_();
    hooks_.on_elected_(rights_);
  });
}

auto Election::ReadOwnerSoon() -> void {
  RunAfter(loop_, kRetryMs, [this, alive = is_alive_] {
    if (!*alive) {
      return;
    }
    store_->Read(kOwnerKey, [this, alive](const ReadResult& result) {
      if (!*alive || (result.status_ != StoreStatus::kOk &&
                      result.status_ != StoreStatus::kAbsent)) {
        return;
      }
      Record record;
      record.is_removed_ = true;
      if (!result.records_.empty()) {
        record = result.records_[0];
      }
      TakeOwner(record);
    });
  });
}

auto Election::Keep() -> void {
  if (!IsOwner() || is_keeping_) {
    return;
  }
  is_keeping_ = true;
  store_->KeepLease(lease_, [this, lease = lease_,
                             alive = is_alive_](const LeaseResult& result) {
    if (!*alive) {
      return;
    }
    is_keeping_ = false;
    NoteAnswer(result.status_, result.sent_ms_);
    if (!IsOwner() || lease != lease_) {
      return;
    }
    if (result.status_ == StoreStatus::kOk) {
      confirmed_ms_ = std::max(confirmed_ms_, result.sent_ms_);
    } else if (result.status_ == StoreStatus::kAbsent) {
      StepDown("the lease has ended");
    }
  });
}

auto Election::StepDown(const std::string& reason) -> void {
  if (!IsOwner()) {
    return;
  }
  LogEvent(Event::kFleetDeposed,
           {{"epoch", std::to_string(rights_.epoch_)}, {"reason", reason}});
  rights_ = OwnerClaim{};
  store_->EndLease(lease_);
  lease_ = 0;
  // The dispatcher may be in the middle of a callback.
  RunAfter(loop_, 0, [this, reason, alive = is_alive_] {
    if (*alive) {
      hooks_.on_deposed_(reason);
      ReadOwnerSoon();
    }
  });
}

}  // namespace lentilscale::fleet
