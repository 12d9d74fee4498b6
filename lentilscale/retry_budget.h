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
    std::int64_t retry_percent_ = 10;
    // Retries that may be saved up in quiet times.
    std::int64_t max_saved_retries_ = 20;
  };

  explicit RetryBudget(const Options& options)
      : options_(options),
        token_hundredths_(options.max_saved_retries_ * kHundredthsPerToken) {}

  auto OnFirstAttempt() -> void {
    token_hundredths_ =
        std::min(token_hundredths_ + options_.retry_percent_,
                 options_.max_saved_retries_ * kHundredthsPerToken);
  }

  // Takes one retry from the budget; returns false if it is used up.
  auto TryTake() -> bool {
    if (token_hundredths_ < kHundredthsPerToken) {
      return false;
    }
    token_hundredths_ -= kHundredthsPerToken;
    return true;
  }

 private:
  static constexpr std::int64_t kHundredthsPerToken = 100;
  Options options_;
  std::int64_t token_hundredths_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_RETRY_BUDGET_H_
