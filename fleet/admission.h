// Decides whether a new job is accepted although much work waits for its start.
//
// The owner of the fleet says how long a new job of each queue is expected to
// wait for its starts (dispatcher_backlog.cc); it reaches all instances in the
// answers to their reports. The more of a job's slack, the time that its
// objective leaves beside its own work, that wait takes up, the likelier the
// job is refused before anything of it is stored; its client is told when the
// queue is expected to have room.
//
//   admission.Update(answer.expected_waits_, answer.sent_ms_);
//   const auto wait_ms = admission.WaitMs(queue, BootMs());
//   if (const auto retry_s = admission.RefuseFor(wait_ms, slack_ms)) {
//     ...  // 503, Retry-After: *retry_s
//   }
//
// Nothing is refused by what is old: an owner that has not answered for
// kMaxAgeMs, or that is being replaced, is no reason to refuse.
//
// All times are BootMs of this instance.

#ifndef LENTILSCALE_FLEET_ADMISSION_H_
#define LENTILSCALE_FLEET_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

// Returns the probability with which a job is refused whose starts are expected
// to wait for `wait_ms` and can wait for `slack_ms` without making it late.
auto RefusalProbability(Millis wait_ms, Millis slack_ms) -> double;

// Returns after how many seconds, at least 1, the wait is expected to be so
// short that no such job is refused.
auto RetryAfterS(Millis wait_ms, Millis slack_ms) -> int;

class Admission {
 public:
  // How long an expected wait is believed.
  static constexpr Millis kMaxAgeMs = 1500;

  // Instances should have different seeds.
  explicit Admission(std::uint64_t seed) : random_(seed) {}

  // Replaces the expected waits, in ms by queue, by those that the owner knew
  // at `known_ms` or later. Queues that are not named have none.
  auto Update(std::map<std::string, Millis> waits, Millis known_ms) -> void;
  // Forgets them, as the owner changes.
  auto Forget() -> void { waits_.clear(); }

  // Returns how long a new job of the queue waits for its starts; 0 if that is
  // not known.
  auto WaitMs(const std::string& queue, Millis now_ms) const -> Millis;
  // Returns the longest wait of any queue; 0 if none is known.
  auto LongestWaitMs(Millis now_ms) const -> Millis;

  // Decides at random by RefusalProbability: returns nullopt if the job is
  // admitted, else after how many seconds it should be submitted again.
  auto RefuseFor(Millis wait_ms, Millis slack_ms) -> std::optional<int>;

 private:
  auto IsKnown(Millis now_ms) const -> bool {
    return now_ms - known_ms_ <= kMaxAgeMs;
  }

  std::map<std::string, Millis> waits_;
  Millis known_ms_ = 0;
  std::mt19937_64 random_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_ADMISSION_H_
