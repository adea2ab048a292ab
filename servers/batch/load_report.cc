#include "servers/batch/load_report.h"

#include <nlohmann/json.hpp>

#include "core/logging.h"

namespace quetzalshelf::batch {

using nlohmann::json;

std::string EncodeLoadReport(const LoadReport& report) {
  json queues = json::object();
  for (const auto& [name, load] : report.queues) {
    queues[name.value()] = {{"pending", load.pending},
                            {"wait_ms", load.wait.count()}};
  }
  return queues.dump();
}

LoadReport DecodeLoadReport(const std::string& text) {
  LoadReport report;
  if (text.empty())
    return report;
  const json queues = json::parse(text, nullptr, false);
  if (!queues.is_object()) {
    LOG(WARNING) << "load report cannot be read and counts as empty";
    return report;
  }
  for (const auto& [name, load] : queues.items()) {
    QueueLoad& queue = report.queues[QueueName(name)];
    queue.pending = load.value("pending", int64_t{0});
    queue.wait = Duration(load.value("wait_ms", int64_t{0}));
  }
  return report;
}

void LoadView::Update(const std::string& text) {
  if (text == text_)
    return;
  text_ = text;
  report_ = DecodeLoadReport(text);
}

QueueLoad LoadView::Find(const QueueName& queue) const {
  const auto it = report_.queues.find(queue);
  return it == report_.queues.end() ? QueueLoad() : it->second;
}

}  // namespace quetzalshelf::batch
