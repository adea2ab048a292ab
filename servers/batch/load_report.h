// Load per queue, which the leader reports to all nodes with each heartbeat.

#ifndef SERVERS_BATCH_LOAD_REPORT_H_
#define SERVERS_BATCH_LOAD_REPORT_H_

#include <map>
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
// An empty report for text that cannot be read.
LoadReport DecodeLoadReport(const std::string& text);

// The newest report that this node has seen.
class LoadView {
 public:
  void Update(const std::string& text);
  QueueLoad Find(const QueueName& queue) const;

 private:
  std::string text_;
  LoadReport report_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_LOAD_REPORT_H_
