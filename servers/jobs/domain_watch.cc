#include "servers/jobs/domain_watch.h"

#include <utility>

#include "core/json_reader.h"
#include "core/logging.h"
#include "core/row_codec.h"

namespace quetzalshelf::jobs {

namespace {

constexpr char kPrefix[] = "domain/";
constexpr int kFormat = 1;
// Far more failure domains than any deployment has.
constexpr int kMaxRows = 1'000;

}  // namespace

std::string DomainKey(const DomainId& domain) {
  return kPrefix + domain.value();
}

std::string EncodeDomainRow(const DomainRow& row) {
  return Json{{"format", kFormat},
              {"in_service", row.in_service},
              {"settings", row.settings.value()}}
      .dump();
}

absl::StatusOr<DomainRow> DecodeDomainRow(const std::string& text) {
  return DecodeVersionedRow<DomainRow>(
      "domain row", text, kFormat, [](JsonReader& reader, Findings&) {
        DomainRow row;
        row.in_service = reader.RequireBool("in_service");
        row.settings = SettingsVersion(static_cast<uint64_t>(
            reader.RequireInt("settings", 0, kMaxRowNumber)));
        return row;
      });
}

DomainWatch::DomainWatch(Table& table, Duration period, OnChange on_change)
    : table_(table), period_(period), on_change_(std::move(on_change)) {}

bool DomainWatch::InService(const DomainId& domain) const {
  auto it = rows_.find(domain);
  return it == rows_.end() || it->second.in_service;
}

Condition DomainWatch::ConditionFor(const DomainId& domain) const {
  auto it = rows_.find(domain);
  return {DomainKey(domain),
          it == rows_.end() ? RowVersion(0) : it->second.version};
}

void DomainWatch::Tick(TimePoint now) {
  if (in_flight_ || now < next_read_)
    return;
  in_flight_ = true;
  next_read_ = now + period_;
  table_.ReadPrefix(kPrefix, "", kMaxRows,
                    [this, alive = std::weak_ptr(alive_)](
                        const absl::StatusOr<std::vector<Row>>& rows) {
                      if (!alive.expired())
                        OnRows(rows);
                    });
}

void DomainWatch::OnRows(const absl::StatusOr<std::vector<Row>>& rows) {
  in_flight_ = false;
  if (!rows.ok())
    return;
  std::map<DomainId, DomainRow> fresh;
  for (const Row& row : *rows) {
    const DomainId domain(row.key.substr(sizeof(kPrefix) - 1));
    absl::StatusOr<DomainRow> decoded = DecodeDomainRow(row.value);
    if (!decoded.ok()) {
      LOG(ERROR) << "row " << row.key << " is treated as out of service: "
                 << decoded.status().message();
      decoded = DomainRow{.in_service = false};
    }
    decoded->version = row.version;
    fresh[domain] = *decoded;
  }
  std::map<DomainId, DomainRow> old = std::exchange(rows_, std::move(fresh));
  loaded_ = true;
  for (const auto& [domain, row] : rows_) {
    auto it = old.find(domain);
    if ((it == old.end() || it->second.in_service) != row.in_service)
      on_change_(domain, row.in_service);
  }
  for (const auto& [domain, row] : old) {
    if (!row.in_service && !rows_.contains(domain))
      on_change_(domain, true);
  }
}

}  // namespace quetzalshelf::jobs
