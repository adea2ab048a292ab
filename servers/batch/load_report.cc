#include "servers/batch/load_report.h"

#include <limits>

#include <nlohmann/json.hpp>

#include "core/json_reader.h"
#include "core/logging.h"

namespace quetzalshelf::batch {

using nlohmann::json;

namespace {

constexpr int64_t kMaxCount = std::numeric_limits<int32_t>::max();
// Callers are promised counts that are no older than this.
constexpr Duration kMaxReportAge{2'000};

}  // namespace

std::string EncodeLoadReport(const LoadReport& report) {
  json queues = json::object();
  for (const auto& [name, load] : report.queues) {
    queues[name.value()] = {{"pending", load.pending},
                            {"wait_ms", load.wait.count()}};
  }
  return queues.dump();
}

std::optional<LoadReport> DecodeLoadReport(const std::string& text) {
  const json queues = json::parse(text, nullptr, false);
  if (!queues.is_object()) {
    LOG(WARNING) << "load report cannot be read and is not used";
    return std::nullopt;
  }
  LoadReport report;
  Findings findings;
  for (const auto& [name, load] : queues.items()) {
    JsonReader reader(load, name, findings);
    QueueLoad& queue = report.queues[QueueName(name)];
    queue.pending = reader.OptionalInt("pending", 0, kMaxCount, 0);
    queue.wait = Duration(reader.OptionalInt("wait_ms", 0, kMaxCount, 0));
  }
  if (!findings.empty()) {
    LOG(WARNING) << "load report has bad fields and is not used: "
                 << findings.ToString();
    return std::nullopt;
  }
  return report;
}

void LoadView::Update(const std::string& text, TimePoint received) {
  if (received == received_)
    return;
  received_ = received;
  if (text == text_)
    return;
  text_ = text;
  report_ = DecodeLoadReport(text);
}

std::optional<QueueLoad> LoadView::Find(const QueueName& queue,
                                        TimePoint now) const {
  if (!report_ || Age(now) > kMaxReportAge)
    return std::nullopt;
  const auto it = report_->queues.find(queue);
  return it == report_->queues.end() ? QueueLoad() : it->second;
}

}  // namespace quetzalshelf::batch
