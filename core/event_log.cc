#include "core/event_log.h"

#include <charconv>
#include <utility>

namespace quetzalshelf {

namespace {

// Bounds how far a faulty remote clock can move the local one.
constexpr int64_t kMaxAheadMillis = 60'000;

}  // namespace

std::string ToString(const HybridTime& time) {
  return std::to_string(time.wall_millis) + "." + std::to_string(time.counter);
}

HybridTime ParseHybridTime(const std::string& text) {
  HybridTime time;
  const char* end = text.data() + text.size();
  auto [dot, ec] = std::from_chars(text.data(), end, time.wall_millis);
  if (ec != std::errc() || dot == end || *dot != '.')
    return {};
  auto [last, ec2] = std::from_chars(dot + 1, end, time.counter);
  if (ec2 != std::errc() || last != end)
    return {};
  return time;
}

void to_json(nlohmann::json& json, const Event& event) {
  json = {{"hlc", ToString(event.time)},
          {"time_ms", event.time.wall_millis},
          {"node", event.node.value()},
          {"kind", event.kind},
          {"text", event.text}};
  if (!event.job.empty())
    json["job"] = event.job.value();
  if (!event.workspace.empty())
    json["workspace"] = event.workspace.value();
  if (!event.domain.empty())
    json["domain"] = event.domain.value();
  if (!event.request.empty())
    json["request"] = event.request.value();
  if (event.epoch != Epoch())
    json["epoch"] = event.epoch.value();
  if (event.settings != SettingsVersion())
    json["settings"] = event.settings.value();
}

EventLog::EventLog(NodeId node, const Clock& clock, size_t capacity)
    : node_(std::move(node)), clock_(clock), capacity_(capacity) {}

void EventLog::Add(Event event) {
  std::lock_guard<std::mutex> lock(mutex_);
  event.node = node_;
  event.time = Advance();
  events_.push_back(std::move(event));
  if (events_.size() > capacity_)
    events_.pop_front();
}

HybridTime EventLog::Send() {
  std::lock_guard<std::mutex> lock(mutex_);
  return Advance();
}

void EventLog::Receive(HybridTime remote) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (remote.wall_millis > clock_.WallMillis() + kMaxAheadMillis)
    return;
  if (remote > last_)
    last_ = remote;
}

std::vector<Event> EventLog::Read(HybridTime after, size_t limit) const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Event> events;
  for (const Event& it : events_) {
    if (events.size() == limit)
      break;
    if (it.time > after)
      events.push_back(it);
  }
  return events;
}

HybridTime EventLog::Advance() {
  const int64_t wall = clock_.WallMillis();
  if (wall > last_.wall_millis)
    last_ = {wall, 0};
  else
    ++last_.counter;
  return last_;
}

}  // namespace quetzalshelf
