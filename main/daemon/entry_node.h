// An entry node on the users' platform: serves callers, and schedules when it
// leads.

#ifndef MAIN_DAEMON_ENTRY_NODE_H_
#define MAIN_DAEMON_ENTRY_NODE_H_

#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "core/metrics.h"
#include "core/time.h"
#include "drivers/clock/system_clock.h"
#include "drivers/http/asio_task_runner.h"
#include "drivers/http/event_http_client.h"
#include "drivers/http/event_http_server.h"
#include "platform/caller_api.h"
#include "platform/entry_settings.h"
#include "platform/platform_store.h"
#include "platform/site_watch.h"
#include "platform/worker_client.h"
#include "servers/batch/dispatcher.h"
#include "servers/batch/job_frontend.h"
#include "servers/batch/leader_lease.h"
#include "servers/batch/leadership.h"
#include "servers/batch/load_report.h"
#include "servers/batch/observed_store.h"
#include "servers/batch/site_view.h"
#include "servers/batch/table_follower.h"

namespace quetzalshelf {

class EntryNode : public platform::WorkerListener {
 public:
  EntryNode(asio::io_context& io,
            const platform::EntrySettings& settings,
            uint64_t seed);
  ~EntryNode() override;

  // Errors as of EventHttpServer::Start.
  absl::Status Start();
  // Hands leadership over, answers what was read, and runs `done` once callers
  // are gone or the grace ends.
  void Stop(std::function<void()> done);
  // Gives up leadership, whose state may be inconsistent after an error.
  void OnUnexpectedError();

 private:
  void OnTick();
  void TickStop(TimePoint now);
  void TickLeadership(TimePoint now);
  void HandleReadiness(const EventHttpServer::Reply& reply);
  void HandleMetrics(const EventHttpServer::Reply& reply);
  void HandleStatus(const EventHttpServer::Reply& reply);
  void ArmTimer();

  void OnWorkers(const std::vector<batch::WorkerEntry>& entries) override;
  void OnWorker(const batch::WorkerEntry& entry) override;
  void OnWorkerUnlisted(const WorkerId& id) override;

  asio::io_context& io_;
  AsioTaskRunner runner_;
  platform::EntrySettings settings_;
  uint64_t seed_;
  SystemClock clock_;
  MetricsRegistry metrics_;
  EventHttpClient store_client_;
  EventHttpClient worker_client_;
  platform::PlatformStore platform_store_;
  batch::ObservedStore store_;
  platform::WorkerClient workers_;
  batch::SiteView site_;
  batch::LoadView load_;
  platform::OperatorWatch operator_watch_;
  batch::LeaderLease lease_;
  batch::TableFollower control_;
  batch::JobFrontend frontend_;
  platform::CallerApi caller_api_;
  EventHttpServer caller_server_;
  EventHttpServer readiness_server_;
  EventHttpServer metrics_server_;
  asio::steady_timer timer_;
  batch::Leadership leadership_;
  // Of the leader; null on other nodes.
  std::unique_ptr<platform::WorkerWatch> worker_watch_;
  Epoch watched_epoch_;  // In which the list of workers was first read.
  std::function<void()> stopped_;
  TimePoint stop_began_;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_ENTRY_NODE_H_
