// Which share of the jobs that are offered to a class of steps is let in, so
// that those let in can be started in time.
//
// While starts of the class are held back and those that wait take a good part
// of the jobs' slack, tasks are let in at the rate at which its steps in time
// are started, less by how long the wait is. The share is that rate divided by
// the rate at which tasks are offered. So nothing is refused but what is
// offered beyond the class's own part of the starts, whatever late work waits
// beside it: a bound on the wait would let nothing in until that work is gone,
// although most starts could go to new jobs.
//
// Where there is so much late work that it might not end, as more of what is
// let in becomes late than late work's own part of the starts is enough for,
// the rate is lowered in proportion, but never to nothing.
//
//   share.OnAdmitted(tasks, BootMs());          // for each new job
//   share.Update({is_held_back, per_s, tasks_ahead, slack_ms}, BootMs());
//   share.value();                              // 0 to 1
//
// The owner doesn't see what is refused. It counts each job that was let in as
// many times as jobs were offered for it, by the share that was in force.

#ifndef LENTILSCALE_FLEET_ADMITTED_SHARE_H_
#define LENTILSCALE_FLEET_ADMITTED_SHARE_H_

#include <cstdint>
#include <deque>

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

class AdmittedShare {
 public:
  struct Sample {
    // True if starts of the class are held back.
    bool is_held_back_ = false;
    // Tasks in time that are started a second while they are held back; 0 if
    // that is not known yet.
    double per_s_ = 0;
    // Tasks in time that wait for their starts.
    std::int64_t tasks_ahead_ = 0;
    // Time that a job of the class can wait without being late.
    Millis slack_ms_ = 0;
    // Time in which the late tasks beside it could be started.
    Millis drain_ms_ = 0;
  };

  // Counts the tasks of a job that was let in.
  auto OnAdmitted(int tasks, Millis now_ms) -> void;
  // Updates the share; to be called several times a second.
  auto Update(const Sample& sample, Millis now_ms) -> void;
  // Returns the share as of the last update, more than 0 and at most 1.
  auto value() const -> double { return value_; }

 private:
  struct Offer {
    Millis at_ms_;
    double tasks_;
  };
  struct Change {
    Millis at_ms_;
    double value_;
  };
  // Returns the share by which jobs were let in that arrive now.
  auto ValueInForce(Millis now_ms) -> double;
  // Returns the tasks that were offered a second.
  auto OfferedPerS(Millis now_ms) -> double;

  double value_ = 1;
  Millis updated_ms_ = 0;
  // Of the last kOfferWindowMs.
  std::deque<Offer> offers_;
  double offered_tasks_ = 0;
  // Mean of the latest jobs.
  double job_tasks_ = 0;
  // The share since each of these times; the first is the one in force.
  std::deque<Change> changes_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_ADMITTED_SHARE_H_
