// Protects the table service, and the callers from its outages.

#ifndef SERVERS_CLUSTER_STORE_GATE_H_
#define SERVERS_CLUSTER_STORE_GATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/backoff.h"
#include "core/circuit_breaker.h"
#include "core/platform/table.h"
#include "core/retry_budget.h"
#include "core/time.h"

namespace quetzalshelf::cluster {

struct StoreGateOptions {
  CircuitBreakerOptions breaker;
  RetryBudgetOptions retries;
  BackoffOptions backoff{Duration(100), Duration(2'000)};
  int max_in_flight = 32;
  int max_queued = 1'000;
  int max_read_tries = 3;
  // Of one call at the store, and of the wait in the queue.
  Duration time_limit{2'000};
};

struct StoreGateCounters {
  int64_t reads = 0;          // Calls sent, with retries.
  int64_t commits = 0;        // Transactions sent.
  int64_t rows_written = 0;   // Writes in them.
  int64_t bytes_written = 0;  // Keys and values in them.
  int64_t bytes_read = 0;     // Keys and values in answers.
  int64_t retries = 0;
  int64_t timeouts = 0;
  int64_t rejected = 0;  // Answered kUnavailable without a call.
};

// A Table in front of another one. Reads are tried again within a budget;
// transactions never are, that is the Committer's work. A call that the gate
// rejects has no effect and is answered kUnavailable from the next Tick. A call
// that runs into the time limit is answered kDeadlineExceeded.
class StoreGate : public Table {
 public:
  // `table` and `clock` must outlive the gate.
  StoreGate(Table& table,
            const Clock& clock,
            StoreGateOptions options,
            uint64_t seed);

  void Read(const std::string& key, ReadCallback done) override;
  void ReadPrefix(const std::string& prefix,
                  const std::string& after,
                  int limit,
                  ScanCallback done) override;
  void Commit(Transaction transaction, CommitCallback done) override;

  // Sends retries that are due and gives up calls past the time limit; call at
  // least every 100 ms.
  void Tick(TimePoint now);

  // False from the opening of the circuit breaker until a probe succeeds.
  bool reachable() const {
    return breaker_.state() == CircuitBreaker::State::kClosed;
  }
  int in_flight() const { return in_flight_; }
  const StoreGateCounters& counters() const { return counters_; }

 private:
  struct Call {
    std::function<void(int attempt)> send;
    std::function<void(const absl::Status&)> fail;
    bool read = false;
    bool sent = false;
    int tries = 0;
    TimePoint deadline;
    TimePoint next_try;
    Backoff backoff;
  };

  template <typename Result>
  void Begin(bool read,
             std::function<void(std::function<void(Result)>)> send,
             std::function<void(Result)> done);
  // Accounts for an answer; false when the call waits for another try.
  bool Settles(uint64_t id, const absl::Status& status);
  void Pump(TimePoint now);
  void Send(Call& call, TimePoint now);
  // Whether the failed call waits for another try.
  bool MayRetry(Call& call, TimePoint now);
  void Reject(uint64_t id, const char* reason);
  void Expire(TimePoint now);

  Table& table_;
  const Clock& clock_;
  const StoreGateOptions options_;
  Random random_;
  CircuitBreaker breaker_;
  RetryBudget budget_;
  uint64_t last_id_ = 0;
  int in_flight_ = 0;
  std::map<uint64_t, Call> calls_;
  std::deque<uint64_t> queue_;
  std::vector<std::pair<std::function<void(const absl::Status&)>, std::string>>
      rejected_;
  StoreGateCounters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::cluster

#endif  // SERVERS_CLUSTER_STORE_GATE_H_
