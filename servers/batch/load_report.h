// Load per queue, which the leader reports to all nodes with each heartbeat.

#ifndef SERVERS_BATCH_LOAD_REPORT_H_
#define SERVERS_BATCH_LOAD_REPORT_H_

#include <map>
#include <optional>
#include <string>

#include "core/time.h"
#include "servers/batch/types.h"

namespace quetzalshelf::batch {

struct QueueLoad {
  int64_t pending = 0;  // Jobs of which no task has started.
  // Expected wait of a job that is accepted now.
  Duration wait{0};
};

struct LoadReport {
  std::map<QueueName, QueueLoad> queues;
};

std::string EncodeLoadReport(const LoadReport& report);
// nullopt for text that cannot be read.
std::optional<LoadReport> DecodeLoadReport(const std::string& text);

// The newest readable report that this node has seen.
class LoadView {
 public:
  // `received` is when the report arrived.
  void Update(const std::string& text, TimePoint received);
  // nullopt while no report is known or the newest one is too old to answer
  // callers with.
  std::optional<QueueLoad> Find(const QueueName& queue, TimePoint now) const;
  // Time since the newest report arrived.
  Duration Age(TimePoint now) const { return now - received_; }

 private:
  std::string text_;
  TimePoint received_;
  std::optional<LoadReport> report_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_LOAD_REPORT_H_
