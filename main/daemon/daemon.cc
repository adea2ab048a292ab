#include "main/daemon/daemon.h"

#include <utility>

#include "core/logging.h"
#include "main/daemon/site_view.h"
#include "main/daemon/stop_sequence.h"

namespace quetzalshelf {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{50};
constexpr Duration kRefreshPeriod{500};
constexpr Duration kVmListPeriod{2'000};
constexpr Duration kPeerTimeout{2'000};
constexpr int kStoreThreads = 8;
constexpr int kWorkerThreads = 16;
constexpr int kBackendThreads = 64;
constexpr int kPeerThreads = 16;
constexpr int kMaxPendingCalls = 4'096;

HttpServerOptions ServerOptions(const DaemonConfig& config) {
  HttpServerOptions options;
  options.host = config.listen.host;
  options.port = config.listen.port;
  options.connection_limit = config.limits.max_connections;
  options.max_body_bytes = static_cast<size_t>(config.limits.max_body_bytes);
  options.keep_alive = config.timings.keep_alive;
  return options;
}

HttpCallerOptions CallerOptions(int threads) {
  HttpCallerOptions options;
  options.threads = threads;
  options.max_pending = kMaxPendingCalls;
  return options;
}

cluster::MemberRow SelfRow(const DaemonConfig& config,
                           const IncarnationId& incarnation) {
  cluster::MemberRow row;
  row.address = {config.node, config.listen.host, config.listen.port};
  row.incarnation = incarnation;
  row.region = config.region;
  row.domain = config.domain;
  return row;
}

cluster::MembershipOptions MemberOptions(const DaemonTimings& timings) {
  cluster::MembershipOptions options;
  options.beat_period = timings.member_heartbeat;
  options.dead_after = 3 * timings.member_heartbeat;
  options.heartbeat_period = timings.peer_heartbeat;
  return options;
}

ShardHostOptions ShardOptions(const DaemonConfig& config) {
  const DaemonTimings& timings = config.timings;
  ShardHostOptions options;
  options.region = config.region;
  options.lease.lease = timings.shard_lease;
  options.lease.renew_period = timings.shard_renew;
  options.lease.take_after = timings.shard_lease + timings.takeover_margin;
  options.jobs.workers.session.sync_period = timings.worker_sync;
  options.jobs.workers.session.task_lease = timings.task_lease;
  options.jobs.gangs.start_timeout = timings.start_timeout;
  options.jobs.gangs.start_window = timings.start_deadline;
  return options;
}

routing::RouterOptions RouterOptionsOf(const DaemonConfig& config,
                                       const IncarnationId& incarnation,
                                       uint64_t seed) {
  routing::RouterOptions options;
  options.node = config.node;
  options.incarnation = incarnation;
  options.seed = seed;
  return options;
}

uint64_t SeedOf(const IncarnationId& incarnation) {
  return std::hash<IncarnationId>()(incarnation);
}

std::unique_ptr<PlatformPorts> MakePorts(const DaemonConfig& config,
                                         const OutsideCallers& callers,
                                         TaskRunner& runner,
                                         const Clock& clock) {
  if (config.standalone)
    return MakeEmbeddedPorts(config, runner, clock);
  return MakeHttpPorts(config, callers, runner);
}

}  // namespace

Daemon::Daemon(asio::io_context& io,
               DaemonConfig config,
               IncarnationId incarnation)
    : io_(io),
      config_(std::move(config)),
      incarnation_(std::move(incarnation)),
      events_(config_.node,
              clock_,
              static_cast<size_t>(config_.limits.timeline_events)),
      runner_(io),
      store_caller_(io, metrics_, CallerOptions(kStoreThreads)),
      worker_caller_(io, metrics_, CallerOptions(kWorkerThreads)),
      backend_caller_(io, metrics_, CallerOptions(kBackendThreads)),
      peer_caller_(io, metrics_, CallerOptions(kPeerThreads)),
      ports_(MakePorts(config_,
                       {store_caller_, worker_caller_, backend_caller_},
                       runner_,
                       clock_)),
      peers_(peer_caller_, runner_, config_.node, kPeerTimeout),
      gate_(ports_->table(), clock_, {}, SeedOf(incarnation_)),
      committer_(gate_, clock_, incarnation_, {}, SeedOf(incarnation_)),
      membership_(gate_,
                  committer_,
                  peers_,
                  clock_,
                  SelfRow(config_, incarnation_),
                  MemberOptions(config_.timings),
                  SeedOf(incarnation_)),
      settings_({incarnation_, SeedOf(incarnation_)}, gate_, peers_, &events_),
      access_(config_.tokens, config_.allow_anonymous),
      shard_(
          {gate_, ports_->objects(), ports_->workers(), committer_, membership_,
           nodes_, clock_, events_, [this] { return gate_.reachable(); }},
          ShardOptions(config_)),
      router_(RouterOptionsOf(config_, incarnation_, SeedOf(incarnation_)),
              ports_->backends(),
              clock_,
              metrics_),
      archive_(ports_->objects()),
      forwarder_(peers_),
      vm_watch_(ports_->vms(),
                kVmListPeriod,
                [this](const auto& vms) { OnVms(vms); }),
      server_(io, metrics_, ServerOptions(config_)),
      request_api_(
          {router_, nodes_, forwarder_, archive_, settings_, access_, clock_}),
      job_api_(shard_, forwarder_, settings_, access_, clock_),
      settings_api_(settings_, access_, clock_),
      node_api_({config_.node, nodes_, shard_, settings_, access_, events_,
                 metrics_, [this] { return NotReadyReason(); },
                 [this] { return gate_.reachable(); }}),
      internal_api_(
          settings_,
          config_.node_secret,
          [this](const auto& heartbeat) { return OnHeartbeat(heartbeat); }),
      tick_timer_(io) {
  peers_.SetNodeSecret(config_.node_secret.Reveal());
  settings_.set_on_in_force([this](const auto& tree) { OnSettings(tree); });
  request_api_.Register(server_);
  job_api_.Register(server_);
  settings_api_.Register(server_);
  node_api_.Register(server_);
  internal_api_.Register(server_);
}

Daemon::~Daemon() = default;

absl::Status Daemon::Start() {
  if (absl::Status status = server_.Start(); !status.ok())
    return status;
  membership_.SetPort(server_.port());
  OnSettings(settings_.tree());
  Event event;
  event.kind = "node.started";
  event.text = "incarnation " + incarnation_.value();
  events_.Add(std::move(event));
  ScheduleTick();
  return absl::OkStatus();
}

void Daemon::Stop(std::function<void()> done) {
  if (stop_ != nullptr)
    return;
  LOG(INFO) << "stopping";
  StopSteps steps;
  steps.leave = [this](std::function<void()> handed_over) {
    const TimePoint now = clock_.Now();
    membership_.Leave(now);
    router_.BeginStop();
    shard_.HandOver(std::move(handed_over), now);
  };
  steps.is_idle = [this] { return router_.IsIdle(); };
  steps.record_tickets = [this](std::function<void()> recorded) {
    archive_.Store(
        incarnation_, router_.ExportTickets(),
        [recorded = std::move(recorded)](const absl::Status& status) {
          if (!status.ok())
            LOG(ERROR) << "ticket record: " << status.message();
          recorded();
        });
  };
  steps.close_server = [this](std::function<void()> closed) {
    server_.Stop(std::move(closed));
  };
  stop_ = std::make_unique<StopSequence>(
      std::move(steps), clock_.Now(), config_.timings.drain, std::move(done));
}

void Daemon::ScheduleTick() {
  tick_timer_.expires_after(kTickPeriod);
  tick_timer_.async_wait([this](const asio::error_code& ec) {
    if (ec)
      return;
    Tick(clock_.Now());
    ScheduleTick();
  });
}

void Daemon::Tick(TimePoint now) {
  gate_.Tick(now);
  committer_.Tick(now);
  membership_.SetStoreReachable(gate_.reachable());
  membership_.SetSettings(settings_.version());
  membership_.Tick(now);
  if (now >= next_refresh_) {
    next_refresh_ = now + kRefreshPeriod;
    RefreshNodes(now);
    RecordMetrics();
  }
  vm_watch_.Tick(now);
  settings_.Tick(now);
  shard_.Tick(now);
  router_.Tick(now);
  if (stop_ != nullptr)
    stop_->Tick(now);
}

void Daemon::OnVms(const std::vector<Vm>& vms) {
  const TimePoint now = clock_.Now();
  shard_.SetWorkers(WorkersOf(vms, config_.region), now);
  router_.SetServers(BackendsOf(vms), now);
  settings_.SetSite(SiteOf(vms));
}

void Daemon::OnSettings(const settings::SettingsTree& tree) {
  const TimePoint now = clock_.Now();
  std::vector<scheduling::Workspace> workspaces = tree.Workspaces();
  std::vector<routing::WorkspaceLimits> limits;
  limits.reserve(workspaces.size());
  for (const auto& it : workspaces) {
    const auto requests = tree.RequestLimitsOf(it.id);
    limits.push_back(
        {it.id, requests.max_in_flight, requests.max_queued, it.weight});
  }
  router_.SetLimits(limits, now);
  shard_.SetWorkspaces(std::move(workspaces), now);
}

PeerHeartbeat Daemon::OnHeartbeat(const PeerHeartbeat& heartbeat) {
  const TimePoint now = clock_.Now();
  if (const KnownNode* peer = nodes_.Find(heartbeat.node))
    settings_.PeerVersion(peer->address, heartbeat.settings, now);
  return membership_.OnHeartbeat(heartbeat, now);
}

void Daemon::RefreshNodes(TimePoint now) {
  std::vector<KnownNode> nodes;
  for (const cluster::MemberRow& it : membership_.Live(now)) {
    const bool is_self = it.address.node == config_.node;
    KnownNode node{it.address, it.incarnation, it.region,
                   it.domain,  it.leaving,     is_self};
    if (is_self) {
      node.settings = settings_.version();
      node.store_reachable = gate_.reachable();
    } else if (const auto heard = membership_.LastHeard(it.address.node, now)) {
      node.settings = heard->settings;
      node.store_reachable = heard->store_reachable;
    }
    nodes.push_back(std::move(node));
  }
  nodes_.Replace(std::move(nodes));
  settings_.SetPeers(nodes_.Peers());
}

void Daemon::RecordMetrics() {
  const auto& store = gate_.counters();
  metrics_.GetGauge("store_reachable").Set(gate_.reachable() ? 1 : 0);
  metrics_.GetGauge("store_reads").Set(store.reads);
  metrics_.GetGauge("store_commits").Set(store.commits);
  metrics_.GetGauge("store_retries").Set(store.retries);
  metrics_.GetGauge("settings_version")
      .Set(static_cast<int64_t>(settings_.version().value()));
  metrics_.GetGauge("shard_owned").Set(shard_.IsOwner() ? 1 : 0);
  metrics_.GetGauge("shard_epoch")
      .Set(static_cast<int64_t>(shard_.epoch().value()));
  metrics_.GetGauge("nodes_live")
      .Set(static_cast<int64_t>(nodes_.nodes().size()));
}

std::string Daemon::NotReadyReason() const {
  if (stop_ != nullptr)
    return "the node is stopping";
  if (!membership_.observed())
    return "the nodes have not been read from the table";
  if (!settings_.ready())
    return settings_.NotReadyReason();
  if (!vm_watch_.loaded())
    return "the list of VMs has not been read";
  return "";
}

}  // namespace quetzalshelf
