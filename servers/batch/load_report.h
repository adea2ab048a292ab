// Load per queue, which the leader reports to all nodes with each heartbeat.

#ifndef SERVERS_BATCH_LOAD_REPORT_H_
#define SERVERS_BATCH_LOAD_REPORT_H_

#include <map>
#include <optional>
#include <string>

#include "core/time.h"
#include "servers/batch/store_clock.h"
#include "servers/batch/types.h"

namespace quetzalshelf::batch {

struct QueueLoad {
  int64_t pending = 0;  // Jobs of which no task has started.
  // Expected wait of a job that is accepted now.
  Duration wait{0};
};

struct LoadReport {
  // All jobs that were accepted up to then are counted.
  StoreTime as_of;
  // Queues without waiting jobs are left out.
  std::map<QueueName, QueueLoad> queues;
};

std::string EncodeLoadReport(const LoadReport& report);
// nullopt for text that cannot be read.
std::optional<LoadReport> DecodeLoadReport(const std::string& text);

// The newest readable report that this node has seen. Reports may arrive in any
// order and late: a store may carry out a write seconds after it was sent.
class LoadView {
 public:
  // `store_clock` is that of the store from which the reports are read.
  explicit LoadView(const StoreClock& store_clock)
      : store_clock_(store_clock) {}

  void Update(const std::string& text, TimePoint now);
  // nullopt while no report is known or the newest one is too old to answer
  // callers with.
  std::optional<QueueLoad> Find(const QueueName& queue, TimePoint now) const;
  // Jobs that were accepted longer ago than this are counted in the newest
  // report; nullopt without a report, or if the store's clock has gone back.
  std::optional<Duration> Age(TimePoint now) const;

 private:
  const StoreClock& store_clock_;
  std::string text_;  // As last read, readable or not.
  std::optional<LoadReport> report_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_LOAD_REPORT_H_
