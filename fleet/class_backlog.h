// How long new work of one class of steps (start_shares.h) would wait because
// the owner sends no more starts for now.
//
//   // After a placement pass:
//   backlog.Update({is_held_back, starts_so_far, tasks_ahead, share_per_s},
//                  BootMs());
//   backlog.WaitMs();  // 0 unless starts have been held back for a while
//
// The rate at which the owner starts tasks of the class is measured only while
// it holds some back: otherwise it says how much work there is, and not how
// much the owner can send. So a short burst has no expected wait yet. Where the
// class has started less than its share of all starts, it waited for something
// else, and its share is taken for its rate.

#ifndef LENTILSCALE_FLEET_CLASS_BACKLOG_H_
#define LENTILSCALE_FLEET_CLASS_BACKLOG_H_

#include <cstdint>
#include <deque>
#include <initializer_list>

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

class ClassBacklog {
 public:
  struct Sample {
    // True if starts of the class are held back.
    bool is_held_back_ = false;
    // Tasks of the class that have been started so far.
    std::int64_t started_ = 0;
    // Tasks that wait and would be started before those of a new job.
    std::int64_t tasks_ahead_ = 0;
    // Starts a second that the class may have whatever others wait for.
    double share_per_s_ = 0;
  };

  auto Update(const Sample& sample, Millis now_ms) -> void;
  // Returns the expected wait as of the last update.
  auto WaitMs() const -> Millis { return WaitMs({this}); }
  // Returns the tasks ahead as of the last update.
  auto tasks_ahead() const -> std::int64_t { return tasks_ahead_; }
  // Returns the starts a second on which the wait is based; 0 if not known.
  auto StartsPerS() const -> double;
  // Returns the wait for all work of classes that are started side by side.
  static auto WaitMs(std::initializer_list<const ClassBacklog*> classes)
      -> Millis;

 private:
  struct Count {
    Millis at_ms_;
    std::int64_t started_;
  };
  // Since starts have been held back, at most for the last kRateWindowMs.
  std::deque<Count> counts_;
  // As of the last update; the rate is 0 if it is not known.
  std::int64_t tasks_ahead_ = 0;
  double per_ms_ = 0;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_CLASS_BACKLOG_H_
