#include <string>
#include <utility>

#include "drivers/platform/memory_object_store.h"
#include "drivers/platform/memory_table.h"
#include "drivers/platform/memory_vm_list.h"
#include "drivers/worker/in_process_workers.h"
#include "main/daemon/platform_ports.h"

namespace quetzalshelf {

namespace {

constexpr int kWorkers = 6;
constexpr int kWorkersPerRack = 3;
constexpr Resources kWorkerCapacity{Accelerators(8), MilliCores(64'000),
                                    Mebibytes(131'072)};
constexpr Duration kWorkerTimeout{1'500};
constexpr int kBackendSlots = 8;
constexpr Duration kBackendDelay{20};

// Answers each request with its own payload.
class EchoBackend : public BackendPort {
 public:
  explicit EchoBackend(TaskRunner& runner) : runner_(runner) {}

  void Send(const BackendAddress&,
            const BackendRequest& request,
            Callback done) override {
    BackendReply reply;
    reply.request = request.id;
    reply.payload = request.payload;
    reply.free_slots = kBackendSlots;
    runner_.PostAfter(kBackendDelay,
                      [reply, done = std::move(done)] { done(reply); });
  }

 private:
  TaskRunner& runner_;
};

class EmbeddedPorts : public PlatformPorts {
 public:
  EmbeddedPorts(const DaemonConfig& config,
                TaskRunner& runner,
                const Clock& clock)
      : table_(runner),
        objects_(runner),
        vms_(runner, clock),
        workers_(runner, clock, kWorkerTimeout),
        backends_(runner) {
    for (int n = 0; n < kWorkers; ++n)
      AddWorker(config, n);
    Vm backend;
    backend.name = "embedded-backend";
    backend.role = VmRole::kBackend;
    backend.region = config.region;
    backend.domain = config.domain;
    backend.slots = kBackendSlots;
    vms_.Put(backend);
  }

  Table& table() override { return table_; }
  ObjectStore& objects() override { return objects_; }
  VmList& vms() override { return vms_; }
  WorkerPort& workers() override { return workers_; }
  BackendPort& backends() override { return backends_; }

 private:
  // Half of the workers are in the node's own failure domain and half in
  // another one, so that a domain can be taken out.
  void AddWorker(const DaemonConfig& config, int n) {
    const std::string name = "embedded-worker-" + std::to_string(n + 1);
    const bool own_domain = n < kWorkersPerRack;
    WorkerModelOptions options;
    options.worker = WorkerId(name);
    options.incarnation = IncarnationId(name + "-1");
    options.capacity = kWorkerCapacity;
    workers_.AddWorker(options);
    Vm vm;
    vm.name = name;
    vm.role = VmRole::kWorker;
    vm.region = config.region;
    vm.domain =
        own_domain ? config.domain : DomainId(config.domain.value() + "-2");
    vm.rack = RackId(own_domain ? "rack-1" : "rack-2");
    vm.capacity = kWorkerCapacity;
    vms_.Put(vm);
  }

  MemoryTable table_;
  MemoryObjectStore objects_;
  MemoryVmList vms_;
  InProcessWorkers workers_;
  EchoBackend backends_;
};

}  // namespace

std::unique_ptr<PlatformPorts> MakeEmbeddedPorts(const DaemonConfig& config,
                                                 TaskRunner& runner,
                                                 const Clock& clock) {
  return std::make_unique<EmbeddedPorts>(config, runner, clock);
}

}  // namespace quetzalshelf
