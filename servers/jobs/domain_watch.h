// Follows the rows that take failure domains in and out of service.

#ifndef SERVERS_JOBS_DOMAIN_WATCH_H_
#define SERVERS_JOBS_DOMAIN_WATCH_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/platform/table.h"
#include "core/time.h"

namespace quetzalshelf::jobs {

// One row `domain/<name>`. An absent row means in service.
struct DomainRow {
  bool in_service = true;
  SettingsVersion settings;
  RowVersion version;
};

// The copy lags by up to a period. Starts are safe all the same, because their
// transactions carry the versions of the rows as conditions.
class DomainWatch {
 public:
  using OnChange = std::function<void(const DomainId&, bool in_service)>;

  // `table` must outlive the watch. `on_change` runs in a callback of the
  // table.
  DomainWatch(Table& table, Duration period, OnChange on_change);

  // Reads all rows when the period has passed.
  void Tick(TimePoint now);
  // Makes the next Tick read.
  void ReadSoon() { next_read_ = TimePoint(); }

  // Whether the rows have been read at least once.
  bool loaded() const { return loaded_; }
  bool InService(const DomainId& domain) const;
  // Holds while the domain's row is as last read.
  Condition ConditionFor(const DomainId& domain) const;
  const std::map<DomainId, DomainRow>& rows() const { return rows_; }

 private:
  void OnRows(const absl::StatusOr<std::vector<Row>>& rows);

  Table& table_;
  const Duration period_;
  const OnChange on_change_;
  std::map<DomainId, DomainRow> rows_;
  bool loaded_ = false;
  bool in_flight_ = false;
  TimePoint next_read_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

std::string DomainKey(const DomainId& domain);
std::string EncodeDomainRow(const DomainRow& row);
// Errors: kFailedPrecondition (a newer format), kInvalidArgument.
absl::StatusOr<DomainRow> DecodeDomainRow(const std::string& text);

}  // namespace quetzalshelf::jobs

#endif  // SERVERS_JOBS_DOMAIN_WATCH_H_
