// Limits retries to a fraction of the first attempts.
//
//   RetryBudget budget({.retry_percent_ = 10});
//   budget.OnFirstAttempt();
//   if (budget.TryTake()) { ... retry ... }
//
// If a back end fails all requests, unlimited retries multiply its load and
// keep it from recovering. The budget permits immediate retries of isolated
// failures and stops retries when most requests fail.

#ifndef LENTILSCALE_RETRY_BUDGET_H_
#define LENTILSCALE_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace lentilscale {

// A token bucket that first attempts fill and retries empty. Tokens are counted
// in hundredths.
class RetryBudget {
 public:
  struct Options {
    // Retries allowed per 100 first attempts.
    std::int64_t retry_percent_ = 10;
    // Capacity of the bucket in retries; it starts full.
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

  // Takes one retry from the budget, or returns false if none is left.
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
