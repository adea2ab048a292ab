// The backend servers that a node knows, with their load as far as it is known.

#ifndef SERVERS_ROUTING_BACKEND_DIRECTORY_H_
#define SERVERS_ROUTING_BACKEND_DIRECTORY_H_

#include <map>
#include <vector>

#include "core/ids.h"
#include "core/platform/backend_port.h"
#include "core/time.h"
#include "servers/routing/outlier_tracker.h"

namespace quetzalshelf::routing {

struct BackendEntry {
  BackendAddress address;
  int slots = 8;
  bool leaving = false;
};

// What a policy may look at when it picks a server.
struct Candidate {
  BackendId backend;
  int slots = 0;
  int load = 0;  // Own requests in flight and the estimate of other nodes'.
  // Moving average of the time that answers took; 0 before the first one.
  double answer_ms = 0;
};

struct DirectoryOptions {
  OutlierOptions outliers;
  // How long the load that other nodes put on a server is believed.
  Duration load_report_lifetime{1'000};
  // How long a server that refused a request for want of a slot is left alone.
  Duration full_pause{20};
  // How long a server's own word that it leaves outweighs the list of VMs,
  // which lags behind it.
  Duration leaving_hold{60'000};
};

// Merges the lagging list of VMs with what servers and peers say themselves.
class BackendDirectory {
 public:
  explicit BackendDirectory(DirectoryOptions options);

  // Replaces the list. Servers that are missing get nothing new; requests that
  // they are running go on.
  void SetServers(const std::vector<BackendEntry>& servers, TimePoint now);
  // The server or a peer said that the server is leaving.
  void MarkLeaving(const BackendId& backend, TimePoint now);

  void RecordSent(const BackendId& backend);
  // `took` is the time from sending the request to its answer.
  void RecordAnswer(const BackendId& backend,
                    int free_slots,
                    Duration took,
                    TimePoint now);
  void RecordFull(const BackendId& backend, TimePoint now);
  void RecordFailure(const BackendId& backend, TimePoint now);

  // Servers that may get a request now, in order of id. `except` is left out
  // when another server is there.
  std::vector<Candidate> Candidates(const BackendId& except,
                                    TimePoint now) const;
  // Null when the server is not known.
  const BackendAddress* Find(const BackendId& backend) const;
  std::vector<BackendId> LeavingServers(TimePoint now) const;
  int CountEjected(TimePoint now) const { return outliers_.CountEjected(now); }

 private:
  struct Server {
    BackendEntry entry;
    bool listed = true;
    int in_flight = 0;
    int foreign_load = 0;
    double answer_ms = 0;
    TimePoint load_reported;
    TimePoint full_until;
    TimePoint leaving_until;
  };

  bool IsLeaving(const Server& server, TimePoint now) const;
  bool MayTake(const Server& server, TimePoint now) const;
  int LoadOf(const Server& server, TimePoint now) const;
  void Finish(Server& server);
  int CountListed() const;

  DirectoryOptions options_;
  OutlierTracker outliers_;
  std::map<BackendId, Server> servers_;
};

}  // namespace quetzalshelf::routing

#endif  // SERVERS_ROUTING_BACKEND_DIRECTORY_H_
