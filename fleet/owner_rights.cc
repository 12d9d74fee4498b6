// Safety rests on the reports of failing stores being sent, not on what is true
// of the store: a claimant sends none to its predecessor. An instance whose
// calls succeed sends none either, so a claim while the store works needs no
// wait for reports.
//
// Spans that another instance measures are taken as the longest that they can
// be by the local clock, see kMinClockRate.

#include "fleet/owner_rights.h"

#include <algorithm>

namespace lentilscale::fleet {
namespace {

// Slowest rate of an instance's clock relative to that of another one.
constexpr double kMinClockRate = 0.98;
constexpr std::size_t kMaxSeenOwners = 16;

auto ShortestMs(Millis span_ms) -> Millis {
  return static_cast<Millis>(static_cast<double>(span_ms) * kMinClockRate);
}

}  // namespace

auto LongestMs(Millis span_ms) -> Millis {
  return static_cast<Millis>(static_cast<double>(span_ms) / kMinClockRate) + 1;
}

auto OwnerRights::Confirm(Millis sent_ms) -> void {
  confirmed_ms_ = std::max(confirmed_ms_, sent_ms);
  end_ms_.reset();
}

auto OwnerRights::ApplyReport(const std::string& peer,
                              const StoreReport& report, Millis now_ms)
    -> void {
  // The echo is a time of this clock, so a later one is not from this instance.
  const auto counts = report.is_store_failing_ && report.echo_ms_ <= now_ms;
  reports_[peer] = {now_ms, counts ? report.echo_ms_ : 0,
                    now_ms - report.store_age_ms_};
  end_ms_.reset();
}

auto OwnerRights::ConfirmedEndMs() const -> Millis {
  return confirmed_ms_ + ttl_ms_ - kLeaseSafetyMarginMs;
}

auto OwnerRights::IsMember(const Report& report) const -> bool {
  return report.received_ms_ >= confirmed_ms_ - kMembershipMs;
}

auto OwnerRights::CountMembers() const -> int {
  return static_cast<int>(
      std::count_if(reports_.begin(), reports_.end(),
                    [&](const auto& entry) { return IsMember(entry.second); }));
}

auto OwnerRights::EndMs() const -> Millis {
  if (!end_ms_.has_value()) {
    end_ms_ = ComputeEndMs();
  }
  return *end_ms_;
}

auto OwnerRights::ComputeEndMs() const -> Millis {
  const auto confirmed_end_ms = ConfirmedEndMs();
  auto end_ms = confirmed_ms_ + kMaxUnconfirmedMs;
  auto has_member = false;
  if (!may_be_unconfirmed_) {
    return confirmed_end_ms;
  }
  for (const auto& [peer, report] : reports_) {
    if (!IsMember(report)) {
      continue;
    }
    has_member = true;
    if (report.store_answered_ms_ > confirmed_end_ms) {
      return confirmed_end_ms;
    }
    end_ms = std::min(end_ms, report.echo_ms_ + kReportValidityMs);
  }
  return has_member ? std::max(confirmed_end_ms, end_ms) : confirmed_end_ms;
}

auto OwnerRights::HasStoreAnsweredPeers(Millis since_ms) const -> bool {
  return std::any_of(reports_.begin(), reports_.end(), [&](const auto& entry) {
    return entry.second.store_answered_ms_ > since_ms;
  });
}

auto PredecessorRights::ConfirmedEndBefore(std::int64_t epoch,
                                           bool has_lease_ended,
                                           Millis now_ms) const -> RightsBound {
  if (epoch <= 1) {
    return {};
  }
  const auto replaced_end_ms =
      now_ms + LongestMs(ttl_ms_ - kLeaseSafetyMarginMs);
  const auto predecessor = owners_.find(epoch - 1);
  if (predecessor == owners_.end()) {
    return {replaced_end_ms, replaced_end_ms, 0};
  }
  const auto has_ended = has_lease_ended || predecessor->second.is_own_;
  return {has_ended ? now_ms : replaced_end_ms,
          predecessor->second.older_end_ms_, 0};
}

auto PredecessorRights::OnOwnerSeen(std::int64_t epoch, bool is_own,
                                    bool has_lease_ended, Millis now_ms)
    -> void {
  if (!owners_.empty() && epoch <= owners_.rbegin()->first) {
    return;
  }
  owners_[epoch] = {is_own,
                    ConfirmedEndBefore(epoch, has_lease_ended, now_ms).EndMs(),
                    0, 0, now_ms};
  if (owners_.size() > kMaxSeenOwners) {
    owners_.erase(owners_.begin());
  }
}

auto PredecessorRights::OnFailureReported(std::int64_t epoch, Millis now_ms)
    -> void {
  if (const auto it = owners_.find(epoch); it != owners_.end()) {
    it->second.last_failing_ms_ = now_ms;
  }
}

auto PredecessorRights::OnReportAnswered(std::int64_t epoch, Millis sent_ms)
    -> void {
  if (const auto it = owners_.find(epoch); it != owners_.end()) {
    it->second.last_answered_ms_ =
        std::max(it->second.last_answered_ms_, sent_ms);
  }
}

auto PredecessorRights::AddFormerOwner(std::int64_t epoch, StoreReport& report,
                                       Millis now_ms) const -> void {
  const auto it = owners_.find(epoch);
  if (it == owners_.end() || it->second.last_answered_ms_ == 0) {
    return;
  }
  report.former_epoch_ = epoch;
  report.former_failing_age_ms_ =
      std::min<Millis>(now_ms - it->second.last_failing_ms_, INT32_MAX);
  report.former_answered_age_ms_ = now_ms - it->second.last_answered_ms_;
}

auto PredecessorRights::BoundAtClaim(std::int64_t epoch, bool has_lease_ended,
                                     Millis now_ms) const -> RightsBound {
  auto bound = ConfirmedEndBefore(epoch, has_lease_ended, now_ms);
  bound.unconfirmed_end_ms_ =
      epoch <= 1 ? 0 : now_ms + LongestMs(kMaxUnconfirmedMs);
  return bound;
}

auto PredecessorRights::SeenOwnersMs() const -> std::map<std::int64_t, Millis> {
  std::map<std::int64_t, Millis> seen_ms;
  for (const auto& [epoch, owner] : owners_) {
    seen_ms[epoch] = owner.seen_ms_;
  }
  return seen_ms;
}

auto PredecessorRights::UnconfirmedEndMs(std::int64_t epoch,
                                         Millis replaced_ms) const -> Millis {
  const auto it = owners_.find(epoch);
  if (epoch == 0 || (it != owners_.end() && it->second.is_own_)) {
    return 0;
  }
  if (it == owners_.end() || it->second.last_answered_ms_ == 0 ||
      replaced_ms - it->second.last_answered_ms_ > ShortestMs(kMembershipMs)) {
    return replaced_ms + LongestMs(kMaxUnconfirmedMs);
  }
  return it->second.last_failing_ms_ + LongestMs(kReportValidityMs);
}

auto PredecessorRights::UnconfirmedEndByReport(std::int64_t epoch,
                                               Millis replaced_ms,
                                               const StoreReport& report,
                                               Millis now_ms)
    -> std::optional<Millis> {
  // The report was sent between the echoed time stamp and now.
  const auto answered_ms =
      report.echo_ms_ - LongestMs(report.former_answered_age_ms_);
  if (epoch == 0 || report.former_epoch_ != epoch || report.echo_ms_ == 0 ||
      replaced_ms - answered_ms > ShortestMs(kMembershipMs)) {
    return std::nullopt;
  }
  return now_ms - ShortestMs(report.former_failing_age_ms_) +
         LongestMs(kReportValidityMs);
}

}  // namespace lentilscale::fleet
