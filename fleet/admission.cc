// Random early refusal, as in RED (Floyd and Jacobson, 1993): the share that is
// refused rises with the wait. A threshold would make all instances refuse
// everything until the next answer of the owner and then nothing, so that the
// backlog would swing between empty and too long.

#include "fleet/admission.h"

#include <algorithm>
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

auto Admission::Update(std::map<std::string, Millis> waits, Millis known_ms)
    -> void {
  waits_ = std::move(waits);
  known_ms_ = known_ms;
}

auto Admission::WaitMs(const std::string& queue, Millis now_ms) const
    -> Millis {
  const auto it = waits_.find(queue);
  return it == waits_.end() || !IsKnown(now_ms) ? 0 : it->second;
}

auto Admission::LongestWaitMs(Millis now_ms) const -> Millis {
  Millis longest = 0;
  for (const auto& [queue, wait_ms] : waits_) {
    longest = std::max(longest, wait_ms);
  }
  return IsKnown(now_ms) ? longest : 0;
}

auto Admission::RefuseFor(Millis wait_ms, Millis slack_ms)
    -> std::optional<int> {
  const auto probability = RefusalProbability(wait_ms, slack_ms);
  if (std::uniform_real_distribution<double>(0, 1)(random_) >= probability) {
    return std::nullopt;
  }
  return RetryAfterS(wait_ms, slack_ms);
}

}  // namespace lentilscale::fleet
