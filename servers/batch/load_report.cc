#include "servers/batch/load_report.h"

#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/json_reader.h"
#include "core/logging.h"

namespace quetzalshelf::batch {

using nlohmann::json;

namespace {

constexpr int64_t kMaxCount = std::numeric_limits<int32_t>::max();
// Far from the ends of the range, so that ages can be computed.
constexpr int64_t kMaxMillis = std::numeric_limits<int64_t>::max() / 4;
// Callers are promised counts that are no older than this.
constexpr Duration kMaxReportAge{2'000};

}  // namespace

std::string EncodeLoadReport(const LoadReport& report) {
  json queues = json::object();
  for (const auto& [name, load] : report.queues) {
    queues[name.value()] = {{"pending", load.pending},
                            {"wait_ms", load.wait.count()}};
  }
  return json{{"as_of_ms", report.as_of.time_since_epoch().count()},
              {"queues", std::move(queues)}}
      .dump();
}

std::optional<LoadReport> DecodeLoadReport(const std::string& text) {
  Findings findings;
  const std::optional<json> body = ParseJson(text, findings);
  if (!body) {
    LOG(WARNING) << "load report cannot be read and is not used: "
                 << findings.ToString();
    return std::nullopt;
  }
  LoadReport report;
  JsonReader root(*body, "report", findings);
  report.as_of =
      StoreTime(Duration(root.RequireInt("as_of_ms", -kMaxMillis, kMaxMillis)));
  for (const auto& [name, load] : root.RequireObject("queues").items()) {
    JsonReader reader(load, name, findings);
    QueueLoad& queue = report.queues[QueueName(name)];
    queue.pending = reader.RequireInt("pending", 0, kMaxCount);
    queue.wait = Duration(reader.OptionalInt("wait_ms", 0, kMaxCount, 0));
  }
  if (!findings.empty()) {
    LOG(WARNING) << "load report has bad fields and is not used: "
                 << findings.ToString();
    return std::nullopt;
  }
  return report;
}

void LoadView::Update(const std::string& text, TimePoint now) {
  if (text == text_)
    return;
  text_ = text;
  std::optional<LoadReport> report = DecodeLoadReport(text);
  if (!report)
    return;
  // A report of a time to come is from before the store's clock went back.
  const bool may_keep = Age(now).has_value();
  if (may_keep && report->as_of < report_->as_of) {
    LOG(INFO) << "load report is older than the one before and is not used: "
              << "older_by_ms=" << (report_->as_of - report->as_of).count();
    return;
  }
  report_ = std::move(report);
}

std::optional<Duration> LoadView::Age(TimePoint now) const {
  const std::optional<StoreTime> latest = store_clock_.Latest(now);
  if (!report_ || !latest || report_->as_of > *latest)
    return std::nullopt;
  return *latest - report_->as_of;
}

std::optional<QueueLoad> LoadView::Find(const QueueName& queue,
                                        TimePoint now) const {
  if (const std::optional<Duration> age = Age(now);
      !age || *age > kMaxReportAge)
    return std::nullopt;
  const auto it = report_->queues.find(queue);
  return it == report_->queues.end() ? QueueLoad() : it->second;
}

}  // namespace quetzalshelf::batch
