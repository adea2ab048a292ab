#include "core/retry_budget.h"

#include <algorithm>

namespace quetzalshelf {

namespace {

constexpr int64_t kHundredthsPerRetry = 100;

}  // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options), hundredths_(options.burst * kHundredthsPerRetry) {}

void RetryBudget::RecordFirstTry() {
  hundredths_ = std::min(hundredths_ + options_.percent,
                         options_.burst * kHundredthsPerRetry);
}

bool RetryBudget::TryTakeRetry() {
  if (hundredths_ < kHundredthsPerRetry)
    return false;
  hundredths_ -= kHundredthsPerRetry;
  return true;
}

}  // namespace quetzalshelf
