#include "servers/routing/outlier_tracker.h"

#include <algorithm>

namespace quetzalshelf::routing {

namespace {

// Doubling stops here, before the shift could overflow.
constexpr int kMaxDoublings = 16;

}  // namespace

OutlierTracker::OutlierTracker(OutlierOptions options) : options_(options) {}

void OutlierTracker::RecordSuccess(const BackendId& backend) {
  records_.erase(backend);
}

void OutlierTracker::RecordFailure(const BackendId& backend,
                                   int known_servers,
                                   TimePoint now) {
  Record& record = records_[backend];
  ++record.failures;
  if (record.failures < options_.failures_to_eject ||
      now < record.ejected_until)
    return;
  const int ejected = CountEjected(now) + 1;
  if (ejected * 100 > known_servers * options_.max_ejected_percent)
    return;
  const int doublings = std::min(record.ejections, kMaxDoublings);
  const Duration length(options_.first_ejection.count() << doublings);
  record.ejected_until = now + std::min(length, options_.max_ejection);
  ++record.ejections;
  // One failure after the return is enough for the next ejection.
  record.failures = options_.failures_to_eject - 1;
}

void OutlierTracker::Forget(const BackendId& backend) {
  records_.erase(backend);
}

bool OutlierTracker::IsEjected(const BackendId& backend, TimePoint now) const {
  const auto it = records_.find(backend);
  return it != records_.end() && now < it->second.ejected_until;
}

int OutlierTracker::CountEjected(TimePoint now) const {
  return static_cast<int>(std::count_if(
      records_.begin(), records_.end(),
      [now](const auto& it) { return now < it.second.ejected_until; }));
}

}  // namespace quetzalshelf::routing
