// Callers that send holds, which must not run twice, through any node.

#ifndef BENCH_PROCESSES_HOLD_LOAD_H_
#define BENCH_PROCESSES_HOLD_LOAD_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace quetzalshelf::bench {

enum class HoldOutcome { kAnswered, kNotRun, kUnknown };

// What a caller was told in the end about one hold.
struct HoldRecord {
  std::string payload;
  HoldOutcome outcome = HoldOutcome::kUnknown;
  bool wrong_answer = false;  // The answer was not to this hold.
  int calls = 0;
  double seconds = 0;
};

// Each caller sends one hold after the other. A caller whose call fails asks
// again with the same ticket through another node.
class HoldLoad {
 public:
  HoldLoad(std::vector<int> node_ports, int callers, uint64_t seed);
  ~HoldLoad();

  void Start();
  void Stop();
  // The records so far, and empties them.
  std::vector<HoldRecord> TakeRecords();

 private:
  void RunCaller(int caller);
  HoldRecord SendHold(const std::string& payload, uint64_t& random) const;
  std::string GetTicket(uint64_t& random) const;

  const std::vector<int> node_ports_;
  const int callers_;
  const uint64_t seed_;
  // Makes the holds of each start different from those of the others.
  int starts_ = 0;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::vector<HoldRecord> records_;
};

}  // namespace quetzalshelf::bench

#endif  // BENCH_PROCESSES_HOLD_LOAD_H_
