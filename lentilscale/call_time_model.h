// Estimates how long calls take from their start on a worker to the answer.
//
// A call that is started too late to be answered before its deadline takes a
// worker's time from one that could be. For each team and class of work, the
// model follows the times of past calls:
//
//   model.OnAnswered("acme", "search", answer_ms);
//   latest_start_ms = deadline_ms - model.ExpectedMs("acme", "search");
//
// The estimate is an upper one: most calls take less. It may be too high after
// a disturbance, and only calls that are started correct it, so that no call
// may be refused by it alone (WorkItem::LatestStartMs).

#ifndef LENTILSCALE_CALL_TIME_MODEL_H_
#define LENTILSCALE_CALL_TIME_MODEL_H_

#include <map>
#include <string>

#include "lentilscale/clock.h"

namespace lentilscale {

// Learns the times of calls by team and class of work.
class CallTimeModel {
 public:
  // Records that a call was answered after `answer_ms`.
  auto OnAnswered(const std::string& team, const std::string& work_class,
                  Millis answer_ms) -> void;

  // Records that a call was given up after `waited_ms`. If that was as long as
  // expected, the expected time doubles until the next answer.
  auto OnUnanswered(const std::string& team, const std::string& work_class,
                    Millis waited_ms) -> void;

  // Returns the time within which a call of the class is expected to be
  // answered; 0 if nothing is known.
  auto ExpectedMs(const std::string& team, const std::string& work_class) const
      -> Millis;

 private:
  struct CallTime {
    bool has_answer_ = false;
    double mean_ms_ = 0;
    double deviation_ms_ = 0;
    // What a call without an answer raised the estimate to; 0 after an answer.
    double raised_ms_ = 0;
  };

  static auto UpperEstimateMs(const CallTime& time) -> double;
  auto GetOrAdd(const std::string& team, const std::string& work_class)
      -> CallTime&;

  std::map<std::string, CallTime, std::less<>> classes_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_CALL_TIME_MODEL_H_
