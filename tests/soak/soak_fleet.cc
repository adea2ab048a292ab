#include "tests/soak/soak_fleet.h"

#include <cstdlib>
#include <functional>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "servers/batch/leader_lease.h"
#include "standins/fleet/fleet_codec.h"

namespace quetzalshelf::soak {

namespace {

constexpr Duration kAnswerTime{2};
constexpr int kWorkersPerRack = 4;
constexpr int kAcceleratorsPerWorker = 8;
// Share of all accelerators that the workspace may have running.
constexpr int kCapNumerator = 3;
constexpr int kCapDenominator = 4;
constexpr int64_t kShortestRunMs = 300;
constexpr uint64_t kRunSpreadMs = 1'200;
constexpr char kService[] = "desk";
constexpr char kGangPrefix[] = "gang ";
constexpr const char* kDomains[] = {"cartago", "heredia"};

// The members of a step run equally long.
Duration RunTime(const batch::TaskId& task, uint64_t seed) {
  const size_t hash = std::hash<std::string>()(task.job.value() + "." +
                                               std::to_string(task.step) + "." +
                                               std::to_string(seed));
  return Duration(kShortestRunMs + static_cast<int64_t>(hash % kRunSpreadMs));
}

batch::QueueConfig MakeQueue(const std::string& name, int priority) {
  batch::QueueConfig queue;
  queue.name = batch::QueueName(name);
  queue.host = kHost;
  queue.prefix = "/" + name + "/";
  queue.service = batch::ServiceName(kService);
  queue.priority = priority;
  queue.attempts = kAttempts;
  queue.slack_factor = 3.0;
  queue.target_latency = Duration(250);
  return queue;
}

StoreKey WorkerKey(const batch::WorkerEntry& entry) {
  return {"servers", "", entry.id.value()};
}

int DecodeGang(const batch::StartOrder& order) {
  return order.payload.starts_with(kGangPrefix)
             ? std::atoi(order.payload.c_str() + sizeof(kGangPrefix) - 1)
             : 0;
}

}  // namespace

std::string EncodeGang(int members) {
  return kGangPrefix + std::to_string(members);
}

SoakFleet::SoakFleet(asio::io_context& io, int racks, uint64_t seed)
    : io_(io),
      racks_(racks),
      runner_(io),
      store_(runner_, kAnswerTime),
      workers_(
          runner_,
          clock_,
          kAnswerTime,
          [seed](const batch::TaskId& task) { return RunTime(task, seed); }),
      store_server_(io, store_) {
  workers_.set_gang_size(&DecodeGang);
}

absl::Status SoakFleet::Start() {
  if (absl::Status status = store_server_.Start(); !status.ok())
    return status;
  ChangeConfig();
  for (int rack = 0; rack < racks_; ++rack) {
    for (int n = 0; n < kWorkersPerRack; ++n) {
      if (absl::Status status = AddWorker(rack, n); !status.ok())
        return status;
    }
  }
  return absl::OkStatus();
}

absl::Status SoakFleet::AddWorker(int rack, int n) {
  Slot slot;
  batch::WorkerEntry& entry = slot.entry;
  entry.id = WorkerId("w" + std::to_string(rack) + "-" + std::to_string(n));
  entry.service = batch::ServiceName(kService);
  entry.host = "127.0.0.1";
  entry.domain = DomainId(kDomains[rack % 2]);
  entry.rack = RackId("r1-" + std::to_string(rack));
  entry.labels = {"a", entry.rack.value()};
  entry.capacity = {Accelerators(kAcceleratorsPerWorker), MilliCores(64'000),
                    Mebibytes(131'072)};
  entry.incarnation_start_wall_ms = clock_.WallMillis();
  slot.server = std::make_unique<WorkerServer>(io_, workers_, entry.id);
  if (absl::Status status = slot.server->Start(); !status.ok())
    return status;
  slot.proxy =
      std::make_unique<FaultProxy>(io_, entry.host, slot.server->port());
  if (absl::Status status = slot.proxy->Start(); !status.ok())
    return status;
  entry.port = slot.proxy->port();
  workers_.Add(entry);
  slots_.push_back(std::move(slot));
  SetListed(slots_.size() - 1, true);
  return absl::OkStatus();
}

std::string SoakFleet::Leader() const {
  const std::optional<StoreRow> row = store_.Find(batch::EpochRowKey());
  if (!row)
    return "";
  const auto value = nlohmann::json::parse(row->value, nullptr, false);
  return value.is_object() ? value.value("node", "") : "";
}

ModelWorkerFaults& SoakFleet::worker_faults(size_t n) {
  return workers_.faults(slots_[n].entry.id);
}

void SoakFleet::RestartWorker(size_t n) {
  batch::WorkerEntry& entry = slots_[n].entry;
  entry.incarnation_start_wall_ms = clock_.WallMillis();
  workers_.Restart(entry.id, entry.incarnation_start_wall_ms);
  slots_[n].proxy->ResetConnections();
  SetListed(n, true);
}

void SoakFleet::SetListed(size_t n, bool listed) {
  const batch::WorkerEntry& entry = slots_[n].entry;
  if (listed)
    store_.Put(WorkerKey(entry), EncodeWorkerEntry(entry));
  else
    store_.Delete(WorkerKey(entry));
}

void SoakFleet::SetDraining(size_t n, bool draining, Duration remaining) {
  slots_[n].entry.draining = draining;
  slots_[n].entry.remaining = remaining;
  SetListed(n, true);
}

void SoakFleet::SetEvacuated(const std::string& domain, bool evacuated) {
  const StoreKey key{"op", "", "evacuate/" + domain};
  if (evacuated)
    store_.Put(key, "{}");
  else
    store_.Delete(key);
}

Accelerators SoakFleet::cap() const {
  return Accelerators(racks_ * kWorkersPerRack * kAcceleratorsPerWorker *
                      kCapNumerator / kCapDenominator);
}

void SoakFleet::ChangeConfig() {
  batch::SiteConfig config;
  config.version = ++config_version_;
  int priority = 0;
  for (const char* name : kQueues)
    config.queues.push_back(MakeQueue(name, priority++));
  if (config_version_ % 2 == 0)
    config.queues.push_back(MakeQueue("visits", 1));
  config.services = {{batch::ServiceName(kService), false}};
  config.workspaces = {{.name = WorkspaceId("plaza"),
                        .keys = {kKey},
                        .guaranteed = Accelerators(16),
                        .weight = 1,
                        .cap = {.accelerators = cap()}}};
  store_.Put({"op", "", "config"}, EncodeSiteConfig(config));
}

}  // namespace quetzalshelf::soak
