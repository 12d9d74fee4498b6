// Decides whether a new job is accepted although much work waits for its start.
//
// The owner of the fleet says which share of the jobs of each queue is let in
// (admitted_share.h), and how long a new one is expected to wait for its starts
// (dispatcher_backlog.cc); both reach all instances in the answers to their
// reports. The share keeps the wait short. Where it can't, as a single job has
// more tasks than are started in its slack, the wait decides: the more of a
// job's slack, the time that its objective leaves beside its own work, it takes
// up, the likelier the job is refused. Nothing of a refused job is stored; its
// client is told when to come back.
//
//   admission.Update(answer.expected_waits_, answer.sent_ms_,
//                    answer.admitted_shares_);
//   if (const auto retry_s = admission.Refuse(queue, slack_ms, BootMs())) {
//     ...  // 503, Retry-After: *retry_s
//   }
//
// Nothing is refused by what is old: an owner that has not answered for
// kMaxAgeMs may still start what it finds in the store. While the store names
// no owner, nobody does. How long that lasts isn't known; the time that has
// passed is the best guess, and jobs that can't wait for it are refused.
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

// Returns after how many seconds, at least 1, a client should come back of
// whose jobs the share is let in: after as many tries as one takes on average.
auto RetryAfterS(double admitted_share) -> int;

class Admission {
 public:
  // How long an expected wait is believed.
  static constexpr Millis kMaxAgeMs = 1500;

  // Instances should have different seeds.
  explicit Admission(std::uint64_t seed) : random_(seed) {}

  // Replaces the expected waits, in ms by queue, and the shares that are let in
  // by those that the owner knew at `known_ms` or later. Queues that are not
  // named have no wait, and are let in.
  auto Update(std::map<std::string, Millis> waits, Millis known_ms,
              std::map<std::string, double> shares = {}) -> void;
  // Forgets them, as the owner changes.
  auto Forget() -> void;
  // Notes that the store names no owner, or names one. A new job is expected to
  // wait for as long again as there has been none.
  auto OnOwnerAbsent(Millis now_ms) -> void;
  auto OnOwnerPresent() -> void { absent_since_ms_ = 0; }

  // Returns how long a new job of the queue waits for its starts; 0 if that is
  // not known.
  auto WaitMs(const std::string& queue, Millis now_ms) const -> Millis;
  // Returns the longest wait of any queue; 0 if none is known.
  auto LongestWaitMs(Millis now_ms) const -> Millis;

  // Returns the share of the queue's jobs that is let in; 1 if that is not
  // known.
  auto ShareOf(const std::string& queue, Millis now_ms) const -> double;
  // Returns the smallest share of any queue; 1 if none is known.
  auto SmallestShare(Millis now_ms) const -> double;
  // Returns true if a job of the queue might be refused.
  auto MayRefuse(const std::string& queue, Millis now_ms) const -> bool;

  // Decides at random by the queue's share and wait: returns nullopt if a job
  // with that slack is admitted, else after how many seconds it should be
  // submitted again.
  auto Refuse(const std::string& queue, Millis slack_ms, Millis now_ms)
      -> std::optional<int>;
  // Decides in the same way by RefusalProbability alone.
  auto RefuseFor(Millis wait_ms, Millis slack_ms) -> std::optional<int>;

 private:
  auto IsKnown(Millis now_ms) const -> bool {
    return now_ms - known_ms_ <= kMaxAgeMs;
  }

  // Returns how long the fleet is expected to be without an owner.
  auto AbsenceMs(Millis now_ms) const -> Millis;
  // Returns true with the given probability.
  auto Draw(double probability) -> bool;

  // By queue.
  std::map<std::string, Millis> waits_;
  std::map<std::string, double> shares_;
  Millis known_ms_ = 0;
  // 0 if the fleet has an owner, or has had none yet.
  Millis absent_since_ms_ = 0;
  std::mt19937_64 random_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_ADMISSION_H_
