#include "main/daemon/entry_node.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/logging.h"
#include "drivers/http/http_status.h"

namespace quetzalshelf {

namespace {

// Period of the timers of a node; a leader's orders go out without waiting.
constexpr Duration kTick{40};
// A peer in the same region answers a connection within milliseconds; the
// first packet of a connection is repeated after a second.
constexpr Duration kConnectTimeout{300};
constexpr Duration kMaxIdle{20'000};
constexpr int kIdleStoreConnections = 8;
constexpr int kIdleWorkerConnections = 4;
// Far below the descriptors that are kept for workers, which calls need too.
constexpr size_t kMaxIdleConnections = 600;
constexpr size_t kHeaderBytes = 16'384;
constexpr size_t kBodyBytes = 262'144;
// Share of the descriptors that are for callers, as a divisor; the others are
// for files, the store and workers.
constexpr int kCallerShare = 2;
// Descriptors that no poll of a worker may take: files, the store, idle
// connections and orders.
constexpr int kReservedDescriptors = 1'000;
constexpr int kMinConnections = 100;
// Share of the VM's memory that requests and answers of callers may hold, as a
// divisor. The rest is for the node itself: its rows while it leads, calls to
// workers and the store, and memory between buffers.
constexpr size_t kCallerMemoryShare = 4;
constexpr size_t kMegabyte = size_t{1} << 20;
constexpr Duration kIdleTimeout{15'000};
constexpr Duration kRequestTimeout{3'000};
constexpr int kInternalConnections = 16;
// After a stop signal: callers are sent elsewhere after two probes, one second
// apart, have failed.
constexpr Duration kStopLinger{2'500};
// Left of the grace for the end of the process.
constexpr Duration kStopMargin{1'200};
// Served beside the metrics, for operators.
constexpr char kStatusPath[] = "/status";

EventHttpClientOptions ClientOptions(int idle_per_destination) {
  return {.connect_timeout = kConnectTimeout,
          .max_idle = kMaxIdle,
          .max_idle_per_destination = idle_per_destination,
          .max_idle_total = kMaxIdleConnections,
          .max_header_bytes = kHeaderBytes};
}

int CallerLimit(int descriptors) {
  return std::max(kMinConnections, descriptors / kCallerShare);
}

int PollLimit(int descriptors) {
  return std::max(kMinConnections, descriptors - CallerLimit(descriptors) -
                                       kReservedDescriptors);
}

// What a workspace uses of its cap and of its share; without a cap or a weight
// those fields are left out.
nlohmann::json DescribeUse(const batch::WorkspaceUse& use) {
  const auto describe = [](const Resources& amount) {
    return nlohmann::json{{"accelerators", amount.accelerators.value()},
                          {"millicores", amount.cpu.value()},
                          {"memory_mb", amount.memory.value()}};
  };
  nlohmann::json status = {{"used", describe(use.used)},
                           {"share", use.share},
                           {"steps_at_cap", use.waiting_at_cap}};
  if (use.cap != Resources())
    status["cap"] = describe(use.cap);
  if (use.weight > 0) {
    status["weight"] = use.weight;
    status["due_share"] = use.due_share;
  }
  return status;
}

EventHttpServerOptions ServerOptions(const std::string& host,
                                     int port,
                                     int connections) {
  return {.host = host,
          .port = port,
          .connection_limit = connections,
          .limits = {kHeaderBytes, kBodyBytes},
          .idle_timeout = kIdleTimeout,
          .request_timeout = kRequestTimeout};
}

EventHttpServerOptions CallerOptions(const platform::EntrySettings& settings) {
  EventHttpServerOptions options =
      ServerOptions(settings.callers.host, settings.callers.port,
                    CallerLimit(settings.max_descriptors));
  options.held_bytes_limit =
      static_cast<size_t>(settings.memory_mb) * kMegabyte / kCallerMemoryShare;
  return options;
}

}  // namespace

EntryNode::EntryNode(asio::io_context& io,
                     const platform::EntrySettings& settings,
                     uint64_t seed)
    : io_(io),
      runner_(io),
      settings_(settings),
      seed_(seed),
      store_client_(io, ClientOptions(kIdleStoreConnections)),
      worker_client_(io, ClientOptions(kIdleWorkerConnections)),
      platform_store_(store_client_, settings.store),
      store_(platform_store_, clock_),
      workers_(worker_client_),
      load_(store_.store_clock()),
      operator_watch_(store_, clock_, site_, seed),
      lease_(store_,
             clock_,
             {.node = settings.node,
              .incarnation = IncarnationId(settings.node.value() + "-" +
                                           std::to_string(seed)),
              .cpu_share = settings.cpu_share},
             seed + 1),
      control_(
          store_,
          clock_,
          {.table = batch::kControlTable,
           .partitions = {batch::kLeaderPartition},
           .poll = batch::kControlPoll},
          [this](const std::vector<StoreRow>& rows) {
            lease_.OnRows(rows, clock_.Now());
          },
          [this](const std::vector<StoreRow>& rows) {
            lease_.OnRows(rows, clock_.Now());
          },
          seed + 2),
      frontend_(store_,
                runner_,
                clock_,
                site_,
                load_,
                {.max_config_age = settings.revoke_limit * 56 / 100}),
      caller_api_(frontend_, clock_, metrics_),
      caller_server_(io,
                     CallerOptions(settings),
                     [this](const HttpRequest& request,
                            const EventHttpServer::Reply& reply) {
                       caller_api_.Handle(request, reply);
                     }),
      readiness_server_(
          io,
          ServerOptions(settings.readiness.host,
                        settings.readiness.port,
                        kInternalConnections),
          [this](const HttpRequest&, const EventHttpServer::Reply& reply) {
            HandleReadiness(reply);
          }),
      metrics_server_(io,
                      ServerOptions(settings.callers.host,
                                    settings.metrics_port,
                                    kInternalConnections),
                      [this](const HttpRequest& request,
                             const EventHttpServer::Reply& reply) {
                        if (request.path == kStatusPath)
                          HandleStatus(reply);
                        else
                          HandleMetrics(reply);
                      }),
      timer_(io),
      leadership_(store_,
                  workers_,
                  clock_,
                  site_,
                  metrics_,
                  lease_,
                  {.max_polls = PollLimit(settings.max_descriptors),
                   .lease_limits = {.longest = settings.longest_lease}},
                  seed) {}

EntryNode::~EntryNode() = default;

absl::Status EntryNode::Start() {
  for (EventHttpServer* const it :
       {&caller_server_, &readiness_server_, &metrics_server_}) {
    if (absl::Status status = it->Start(); !status.ok())
      return status;
  }
  LOG(INFO) << "node started: domain=" << settings_.domain;
  OnTick();
  return absl::OkStatus();
}

void EntryNode::Stop(std::function<void()> done) {
  if (stopped_)
    return;
  LOG(INFO) << "stop requested: in_flight="
            << caller_server_.requests_in_flight();
  stopped_ = std::move(done);
  stop_began_ = clock_.Now();
  caller_server_.BeginDrain(kStopLinger);
  leadership_.Resign(stop_began_);
}

void EntryNode::OnUnexpectedError() {
  worker_watch_.reset();
  leadership_.Abandon("an unexpected error");
}

void EntryNode::ArmTimer() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec)
      OnTick();
  });
}

void EntryNode::OnTick() {
  // Armed first, so that an error below does not stop the ticks.
  ArmTimer();
  const TimePoint now = clock_.Now();
  operator_watch_.Tick(now);
  control_.set_spacing(lease_.is_small_vm() ? batch::kSmallVmPollSpacing
                                            : Duration(0));
  control_.Tick(now);
  lease_.Tick(now, control_.answering_since(), control_.answered_at());
  load_.Update(lease_.report(), now);
  TickLeadership(now);
  if (stopped_)
    TickStop(now);
}

void EntryNode::TickLeadership(TimePoint now) {
  leadership_.Update(now);
  batch::Dispatcher* const dispatcher = leadership_.dispatcher();
  if (!dispatcher) {
    worker_watch_.reset();
  } else {
    // Each dispatcher reads the list of workers anew.
    if (!worker_watch_ || watched_epoch_ != leadership_.epoch()) {
      watched_epoch_ = leadership_.epoch();
      worker_watch_ = std::make_unique<platform::WorkerWatch>(store_, clock_,
                                                              *this, seed_ + 3);
    }
    worker_watch_->Tick(now);
    dispatcher->ConfirmWorkers(worker_watch_->confirmed_at());
  }
  leadership_.Tick(now);
}

void EntryNode::TickStop(TimePoint now) {
  const Duration waited = now - stop_began_;
  const bool idle = caller_server_.requests_in_flight() == 0 &&
                    caller_server_.connections() == 0;
  const bool over = waited >= settings_.stop_grace - kStopMargin;
  const bool needed = !idle || leadership_.KeepsLeases(now);
  if (!over && (needed || waited < kStopLinger))
    return;
  LOG(INFO) << "node stopped: after_ms=" << waited.count()
            << " in_flight=" << caller_server_.requests_in_flight();
  stopped_();
}

void EntryNode::HandleReadiness(const EventHttpServer::Reply& reply) {
  HttpResponse response;
  const bool ready = !stopped_ && frontend_.IsReady(clock_.Now());
  response.status = ready ? http_status::kOk : http_status::kServiceUnavailable;
  reply(response);
}

void EntryNode::HandleMetrics(const EventHttpServer::Reply& reply) {
  HttpResponse response;
  response.content_type = "text/plain";
  metrics_.GetGauge("quetzalshelf_caller_held_bytes")
      .Set(static_cast<int64_t>(caller_server_.held_bytes()));
  metrics_.GetGauge("quetzalshelf_caller_refused_for_memory")
      .Set(caller_server_.refused_for_memory());
  response.body = metrics_.Expose();
  reply(response);
}

void EntryNode::HandleStatus(const EventHttpServer::Reply& reply) {
  const TimePoint now = clock_.Now();
  const batch::SiteConfig* const config = site_.config();
  const std::optional<Duration> load_age = load_.Age(now);
  nlohmann::json status = {
      {"node", settings_.node.value()},
      {"failure_domain", settings_.domain.value()},
      {"stopping", static_cast<bool>(stopped_)},
      {"leader_epoch",
       leadership_.dispatcher() ? leadership_.epoch().value() : 0},
      {"config_version", config ? config->version : 0},
      {"config_age_ms", (now - site_.confirmed_at()).count()},
      {"load", nlohmann::json::parse(lease_.report(), nullptr, false)},
      {"load_age_ms", load_age ? load_age->count() : -1},
      {"requests_in_flight", caller_server_.requests_in_flight()}};
  if (const batch::Dispatcher* const it = leadership_.dispatcher()) {
    const batch::DispatcherStatus view = it->Status(now);
    status["leader"] = {{"states_read", view.states_read},
                        {"jobs_read", view.jobs_read},
                        {"workers_read", view.workers_read},
                        {"may_start", view.may_start},
                        {"jobs_age_ms", view.jobs_age.count()},
                        {"workers_age_ms", view.workers_age.count()}};
    for (const auto& [id, use] : it->workspaces())
      status["workspaces"][id.value()] = DescribeUse(use);
  }
  HttpResponse response;
  response.body = status.dump();
  reply(response);
}

void EntryNode::OnWorkers(const std::vector<batch::WorkerEntry>& entries) {
  if (batch::Dispatcher* const it = leadership_.dispatcher())
    it->OnWorkers(entries, clock_.Now());
}

void EntryNode::OnWorker(const batch::WorkerEntry& entry) {
  if (batch::Dispatcher* const it = leadership_.dispatcher())
    it->OnWorker(entry, clock_.Now());
}

void EntryNode::OnWorkerUnlisted(const WorkerId& id) {
  if (batch::Dispatcher* const it = leadership_.dispatcher())
    it->OnWorkerUnlisted(id);
}

}  // namespace quetzalshelf
