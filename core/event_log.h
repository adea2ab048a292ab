// The timeline of one process: structured events under a hybrid logical clock,
// so that the events of all processes can be merged in causal order.

#ifndef CORE_EVENT_LOG_H_
#define CORE_EVENT_LOG_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/ids.h"
#include "core/time.h"

namespace quetzalshelf {

// A hybrid logical time: wall milliseconds and a counter within them.
struct HybridTime {
  int64_t wall_millis = 0;
  uint32_t counter = 0;

  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

// Text form `<wall>.<counter>`, as carried in the X-Hybrid-Time header.
std::string ToString(const HybridTime& time);
// The zero time when the text is malformed.
HybridTime ParseHybridTime(const std::string& text);

// One event. Empty fields do not apply. Never holds access tokens or payloads.
struct Event {
  HybridTime time;
  NodeId node;
  std::string kind;  // For example `job.submitted`.
  JobId job;
  WorkspaceId workspace;
  DomainId domain;
  RequestId request;
  Epoch epoch;
  SettingsVersion settings;
  std::string text;
};

void to_json(nlohmann::json& json, const Event& event);

// A bounded ring of events. Thread-safe.
class EventLog {
 public:
  // `clock` must outlive the log.
  EventLog(NodeId node, const Clock& clock, size_t capacity);

  // Stamps the event with the node and the next hybrid time, and keeps it.
  void Add(Event event);
  // The next hybrid time, to send along with a message.
  HybridTime Send();
  // Advances the clock past a time received with a message. Times more than a
  // minute ahead of the local clock are ignored.
  void Receive(HybridTime remote);

  // Events after `after`, oldest first, at most `limit`.
  std::vector<Event> Read(HybridTime after, size_t limit) const;

 private:
  HybridTime Advance();

  const NodeId node_;
  const Clock& clock_;
  const size_t capacity_;
  mutable std::mutex mutex_;
  HybridTime last_;
  std::deque<Event> events_;
};

}  // namespace quetzalshelf

#endif  // CORE_EVENT_LOG_H_
