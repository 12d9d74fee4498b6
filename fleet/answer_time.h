// Estimates how long answers to calls take, and from that how long to wait for
// the next one.
//
// There is one estimate per worker, which follows its last few answers, and one
// for all workers, which follows the answers of many. A single slow worker
// hardly moves the latter, but a loaded link of this instance does, and is then
// known for the workers whose answers have not come yet:
//
//   worker.AddSample(now_ms - sent_ms);
//   fleet.AddSample(now_ms - sent_ms);
//   timeout_ms = AnswerTimeoutMs(worker, fleet);

#ifndef LENTILSCALE_FLEET_ANSWER_TIME_H_
#define LENTILSCALE_FLEET_ANSWER_TIME_H_

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

// Bounds on the time for which an answer is waited for. An undisturbed round
// trip takes at most 18 ms, and a worker that has not answered by the upper
// bound is presumed dead.
inline constexpr Millis kMinAnswerTimeoutMs = 500;
inline constexpr Millis kMaxAnswerTimeoutMs = 2000;

class AnswerTime {
 public:
  // Returns an estimate without samples for one worker, or for all.
  static auto ForWorker() -> AnswerTime;
  static auto ForFleet() -> AnswerTime;

  // Adds the time that an answer took, whether it came in time or late. One
  // beyond kMaxAnswerTimeoutMs counts as that.
  auto AddSample(Millis answer_ms) -> void;
  // Adds the answer to a call that lets the worker wait for up to `wait_ms`
  // before it answers. If it answered for another reason than that the time was
  // over, there is only a lower bound, which counts if it is longer than
  // expected.
  auto AddWaitingCall(Millis answer_ms, Millis wait_ms, bool is_wait_over)
      -> void;

  // Returns the time by which nearly all answers have arrived.
  auto UpperEstimateMs() const -> Millis;
  // Returns the longest time that one of the latest answers took, beyond
  // kMaxAnswerTimeoutMs too. It is halved with each further answer.
  auto RecentPeakMs() const -> Millis { return recent_peak_ms_; }

 private:
  AnswerTime(double mean_gain, double deviation_gain, bool has_sample);

  auto UpdateRecentPeak(Millis answer_ms) -> void;
  auto UpdateMean(Millis answer_ms) -> void;

  double mean_gain_;
  double deviation_gain_;
  bool has_sample_;
  double mean_ms_ = 0;
  double deviation_ms_ = 0;
  Millis recent_peak_ms_ = 0;
};

// Returns the time after which a call to the worker is given up.
auto AnswerTimeoutMs(const AnswerTime& worker, const AnswerTime& fleet)
    -> Millis;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_ANSWER_TIME_H_
