// How many starts one placement pass sends.
//
// A pass is one turn of the loop, and nothing else is handled meanwhile: a turn
// that sends thousands of orders reads no answers, and the renewal of the
// owner's own lease comes too late. A new job takes several turns until it is
// started: to be looked at, to get its tickets, to have its turn. A pass is
// therefore bounded by the time that its starts take, so that a slow owner
// starts as few of them a turn as a fast one in the same time.
//
//   shares.BeginPass(std::min(budget.starts(), ...), ...);
//   ...
//   budget.OnPass(starts, ns);
//
// The time is the owner's own for the starts alone. Were the rest of a pass
// counted, a long pass would send fewer starts, and more of them be needed.

#ifndef LENTILSCALE_FLEET_PASS_BUDGET_H_
#define LENTILSCALE_FLEET_PASS_BUDGET_H_

#include <cstdint>

namespace lentilscale::fleet {

class PassBudget {
 public:
  // Bounds of a budget, in starts.
  static constexpr int kMinStarts = 4;
  static constexpr int kMaxStarts = 64;

  // Notes that the starts of a pass have taken `ns` nanoseconds.
  auto OnPass(int starts, std::int64_t ns) -> void;
  // Returns how many starts the next pass may send.
  auto starts() const -> int;

 private:
  // Smoothed time of a start; 0 if none was sent.
  double start_ns_ = 0;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_PASS_BUDGET_H_
