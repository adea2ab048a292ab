// Takes backend servers that keep failing out of rotation for a while.

#ifndef SERVERS_ROUTING_OUTLIER_TRACKER_H_
#define SERVERS_ROUTING_OUTLIER_TRACKER_H_

#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"

namespace quetzalshelf::routing {

struct OutlierOptions {
  int failures_to_eject = 3;  // In a row.
  Duration first_ejection{2'000};
  Duration max_ejection{60'000};
  // Never eject more than this share of the servers, since a fault that most
  // of them show is more likely outside of them.
  int max_ejected_percent = 50;
};

// Ejections double while a server fails again right after its return.
class OutlierTracker {
 public:
  explicit OutlierTracker(OutlierOptions options);

  void RecordSuccess(const BackendId& backend);
  // `known_servers` is the number of servers in rotation or ejected.
  void RecordFailure(const BackendId& backend,
                     int known_servers,
                     TimePoint now);
  void Forget(const BackendId& backend);

  bool IsEjected(const BackendId& backend, TimePoint now) const;
  int CountEjected(TimePoint now) const;

 private:
  struct Record {
    int failures = 0;
    int ejections = 0;
    TimePoint ejected_until;
  };

  OutlierOptions options_;
  std::unordered_map<BackendId, Record> records_;
};

}  // namespace quetzalshelf::routing

#endif  // SERVERS_ROUTING_OUTLIER_TRACKER_H_
