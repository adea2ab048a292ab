// One node of the system: builds the servers, drives them, stops gracefully.

#ifndef MAIN_DAEMON_DAEMON_H_
#define MAIN_DAEMON_DAEMON_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "core/event_log.h"
#include "core/metrics.h"
#include "drivers/clock/system_clock.h"
#include "drivers/http/asio_task_runner.h"
#include "drivers/http/http_caller.h"
#include "drivers/http/http_server.h"
#include "drivers/peer/http_peer_port.h"
#include "main/daemon/api/internal_api.h"
#include "main/daemon/api/job_api.h"
#include "main/daemon/api/node_api.h"
#include "main/daemon/api/request_api.h"
#include "main/daemon/api/settings_api.h"
#include "main/daemon/call_forwarder.h"
#include "main/daemon/daemon_config.h"
#include "main/daemon/node_directory.h"
#include "main/daemon/platform_ports.h"
#include "main/daemon/shard_host.h"
#include "main/daemon/stop_sequence.h"
#include "main/daemon/ticket_archive.h"
#include "main/daemon/vm_watch.h"
#include "servers/cluster/committer.h"
#include "servers/cluster/membership.h"
#include "servers/cluster/store_gate.h"
#include "servers/routing/request_router.h"
#include "servers/settings/settings_service.h"

namespace quetzalshelf {

// All servers run on the thread that runs the io_context.
class Daemon {
 public:
  Daemon(asio::io_context& io, DaemonConfig config, IncarnationId incarnation);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Errors: those of HttpServer::Start.
  absl::Status Start();
  int port() const { return server_.port(); }
  // Takes no more work, hands the shard over, finishes what is in flight,
  // records the tickets and then runs `done`. Gives up waiting after the drain
  // time of the configuration.
  void Stop(std::function<void()> done);

 private:
  void ScheduleTick();
  void Tick(TimePoint now);
  void OnVms(const std::vector<Vm>& vms);
  void OnSettings(const settings::SettingsTree& tree);
  PeerHeartbeat OnHeartbeat(const PeerHeartbeat& heartbeat);
  void RefreshNodes(TimePoint now);
  void RecordMetrics();
  std::string NotReadyReason() const;

  asio::io_context& io_;
  const DaemonConfig config_;
  const IncarnationId incarnation_;
  SystemClock clock_;
  MetricsRegistry metrics_;
  EventLog events_;
  AsioTaskRunner runner_;
  // Callers of their own, so that peers, workers or backend servers that do not
  // answer use up no threads of the others.
  HttpCaller store_caller_;
  HttpCaller worker_caller_;
  HttpCaller backend_caller_;
  HttpCaller peer_caller_;
  std::unique_ptr<PlatformPorts> ports_;
  HttpPeerPort peers_;
  cluster::StoreGate gate_;
  cluster::Committer committer_;
  cluster::Membership membership_;
  NodeDirectory nodes_;
  settings::SettingsService settings_;
  settings::AccessControl access_;
  ShardHost shard_;
  routing::RequestRouter router_;
  TicketArchive archive_;
  CallForwarder forwarder_;
  VmWatch vm_watch_;
  HttpServer server_;
  RequestApi request_api_;
  JobApi job_api_;
  SettingsApi settings_api_;
  NodeApi node_api_;
  InternalApi internal_api_;
  asio::steady_timer tick_timer_;
  TimePoint next_refresh_;
  std::unique_ptr<StopSequence> stop_;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_DAEMON_H_
