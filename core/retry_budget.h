// Limits retries to a share of the first tries.

#ifndef CORE_RETRY_BUDGET_H_
#define CORE_RETRY_BUDGET_H_

#include <cstdint>

namespace quetzalshelf {

struct RetryBudgetOptions {
  int percent = 20;  // Retries per 100 first tries.
  int burst = 10;    // Retries allowed at rest.
};

// A token bucket in hundredths of a retry, filled by first tries.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  void RecordFirstTry();
  // Takes one retry from the budget; false when it is spent.
  bool TryTakeRetry();

 private:
  RetryBudgetOptions options_;
  int64_t hundredths_;
};

}  // namespace quetzalshelf

#endif  // CORE_RETRY_BUDGET_H_
