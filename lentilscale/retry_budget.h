// A bound on retries as a fraction of fresh requests.
//
//   RetryBudget budget({.percent_ = 10});
//   budget.OnFresh();
//   if (budget.TryTake()) { ... retry ... }
//
// When a back end fails for everybody, each request would otherwise be sent
// several times and hold the back end down. The budget lets isolated failures
// be retried at once and stops retries when they become the rule.

#ifndef LENTILSCALE_RETRY_BUDGET_H_
#define LENTILSCALE_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace lentilscale {

// A token bucket that fresh requests fill. Tokens are counted in hundredths.
class RetryBudget {
 public:
  struct Options {
    // Retries per 100 fresh requests.
    std::int64_t percent_ = 10;
    // Retries that may be saved up in quiet times.
    std::int64_t burst_ = 20;
  };

  explicit RetryBudget(const Options& options)
      : options_(options), hundredths_(options.burst_ * kToken) {}

  auto OnFresh() -> void {
    hundredths_ =
        std::min(hundredths_ + options_.percent_, options_.burst_ * kToken);
  }

  // Takes one retry from the budget; returns false if it is used up.
  auto TryTake() -> bool {
    if (hundredths_ < kToken) {
      return false;
    }
    hundredths_ -= kToken;
    return true;
  }

 private:
  static constexpr std::int64_t kToken = 100;
  Options options_;
  std::int64_t hundredths_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_RETRY_BUDGET_H_
