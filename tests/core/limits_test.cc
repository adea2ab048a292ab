#include <doctest/doctest.h>

#include "core/backoff.h"
#include "core/circuit_breaker.h"
#include "core/retry_budget.h"

namespace quetzalshelf {
namespace {

// Guards against retries in step and against delays beyond the limit.
TEST_CASE("Backoff doubles up to its limit and differs between seeds") {
  Backoff a({Duration(100), Duration(1'000)}, 1);
  Backoff b({Duration(100), Duration(1'000)}, 2);
  bool differ = false;
  for (int n = 0; n < 64; ++n) {
    const Duration delay = a.Next();
    differ = differ || delay != b.Next();
    const int64_t limit = n < 4 ? 100 << n : 1'000;
    CHECK(delay.count() >= limit / 2);
    CHECK(delay.count() <= limit);
  }
  CHECK(differ);
}

// Guards against a storm of probes when a service comes back.
TEST_CASE("CircuitBreaker lets one probe through and then decides") {
  CircuitBreaker breaker({2, {Duration(1'000), Duration(1'000)}}, 1);
  breaker.RecordFailure(FromMillis(0));
  CHECK(breaker.Allow(FromMillis(1)));
  breaker.RecordFailure(FromMillis(1));
  CHECK_FALSE(breaker.Allow(FromMillis(2)));
  const TimePoint probe = breaker.probe_time();
  CHECK(breaker.Allow(probe));
  CHECK_FALSE(breaker.Allow(probe));
  breaker.RecordFailure(probe);
  CHECK_FALSE(breaker.Allow(probe + Duration(1)));
  CHECK(breaker.Allow(breaker.probe_time()));
  breaker.RecordSuccess();
  CHECK(breaker.Allow(probe));
}

// Guards against retries multiplying the load of an outage.
TEST_CASE("RetryBudget allows its burst and then a share of first tries") {
  RetryBudget budget({20, 2});
  CHECK(budget.TryTakeRetry());
  CHECK(budget.TryTakeRetry());
  CHECK_FALSE(budget.TryTakeRetry());
  int retries = 0;
  for (int n = 0; n < 100; ++n) {
    budget.RecordFirstTry();
    retries += budget.TryTakeRetry() ? 1 : 0;
  }
  CHECK(retries == 20);
}

}  // namespace
}  // namespace quetzalshelf
