// Random early refusal, as in RED (Floyd and Jacobson, 1993): the share that is
// refused rises with the wait. A threshold would make all instances refuse
// everything until the next answer of the owner and then nothing, so that the
// backlog would swing between empty and too long.

#include "fleet/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lentilscale::fleet {
namespace {

// Share of a job's slack up to which no wait is a reason to refuse it, and from
// which on it is refused for certain.
constexpr double kFreeSlackShare = 0.5;
constexpr double kFullSlackShare = 1.0;
// Jobs with less slack are treated as if they had this much: shorter waits
// can't be told from none.
constexpr Millis kMinSlackMs = 200;
constexpr Millis kMsPerS = 1000;
// The rate of starts may have recovered by then.
constexpr int kMaxRetryAfterS = 10;
constexpr double kMinKnownShare = 0.01;

// Returns the wait that takes up the share of the slack.
auto WaitAtShare(double share, Millis slack_ms) -> double {
  return share * static_cast<double>(std::max(slack_ms, kMinSlackMs));
}

}  // namespace

auto RefusalProbability(Millis wait_ms, Millis slack_ms) -> double {
  const auto free_ms = WaitAtShare(kFreeSlackShare, slack_ms);
  const auto full_ms = WaitAtShare(kFullSlackShare, slack_ms);
  return std::clamp(
      (static_cast<double>(wait_ms) - free_ms) / (full_ms - free_ms), 0.0, 1.0);
}

auto RetryAfterS(Millis wait_ms, Millis slack_ms) -> int {
  const auto excess_ms =
      wait_ms - static_cast<Millis>(WaitAtShare(kFreeSlackShare, slack_ms));
  return static_cast<int>(std::clamp<Millis>(
      (excess_ms + kMsPerS - 1) / kMsPerS, 1, kMaxRetryAfterS));
}

auto RetryAfterS(double admitted_share) -> int {
  return static_cast<int>(
      std::clamp(std::ceil(1 / std::max(admitted_share, kMinKnownShare)), 1.0,
                 static_cast<double>(kMaxRetryAfterS)));
}

auto Admission::Update(std::map<std::string, Millis> waits, Millis known_ms,
                       std::map<std::string, double> shares) -> void {
  waits_ = std::move(waits);
  shares_ = std::move(shares);
  known_ms_ = known_ms;
}

auto Admission::Forget() -> void {
  waits_.clear();
  shares_.clear();
}

auto Admission::OnOwnerAbsent(Millis now_ms) -> void {
  if (absent_since_ms_ == 0 && known_ms_ != 0) {
    absent_since_ms_ = now_ms;
  }
}

auto Admission::AbsenceMs(Millis now_ms) const -> Millis {
  return absent_since_ms_ == 0 ? 0 : now_ms - absent_since_ms_;
}

auto Admission::WaitMs(const std::string& queue, Millis now_ms) const
    -> Millis {
  const auto it = waits_.find(queue);
  const auto known =
      it == waits_.end() || !IsKnown(now_ms) ? Millis{0} : it->second;
  return std::max(known, AbsenceMs(now_ms));
}

auto Admission::LongestWaitMs(Millis now_ms) const -> Millis {
  auto longest = AbsenceMs(now_ms);
  for (const auto& [queue, wait_ms] : waits_) {
    longest = std::max(longest, WaitMs(queue, now_ms));
  }
  return longest;
}

auto Admission::ShareOf(const std::string& queue, Millis now_ms) const
    -> double {
  const auto it = shares_.find(queue);
  return it == shares_.end() || !IsKnown(now_ms) ? 1 : it->second;
}

auto Admission::SmallestShare(Millis now_ms) const -> double {
  auto smallest = 1.0;
  for (const auto& [queue, share] : shares_) {
    smallest = std::min(smallest, share);
  }
  return IsKnown(now_ms) ? smallest : 1;
}

auto Admission::MayRefuse(const std::string& queue, Millis now_ms) const
    -> bool {
  return WaitMs(queue, now_ms) > 0 || ShareOf(queue, now_ms) < 1;
}

auto Admission::Draw(double probability) -> bool {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

auto Admission::Refuse(const std::string& queue, Millis slack_ms, Millis now_ms)
    -> std::optional<int> {
  const auto share = ShareOf(queue, now_ms);
  return Draw(1 - share) ? std::optional(RetryAfterS(share))
                         : RefuseFor(WaitMs(queue, now_ms), slack_ms);
}

auto Admission::RefuseFor(Millis wait_ms, Millis slack_ms)
    -> std::optional<int> {
  return Draw(RefusalProbability(wait_ms, slack_ms))
             ? std::optional(RetryAfterS(wait_ms, slack_ms))
             : std::nullopt;
}

}  // namespace lentilscale::fleet
