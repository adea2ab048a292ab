#include "drivers/backend/http_backend_port.h"
#include "drivers/platform/http_object_store.h"
#include "drivers/platform/http_table.h"
#include "drivers/platform/http_vm_list.h"
#include "drivers/worker/http_worker_port.h"
#include "main/daemon/platform_ports.h"

namespace quetzalshelf {

namespace {

// Of one call to the platform or to a worker. Shorter than the start time-out,
// so that one lost message does not use it up.
constexpr Duration kCallTimeout{1'500};

class HttpPorts : public PlatformPorts {
 public:
  HttpPorts(const PlatformAddress& platform,
            const OutsideCallers& callers,
            TaskRunner& runner)
      : table_(callers.store, runner, platform),
        objects_(callers.store, platform),
        vms_(callers.store, platform),
        workers_(callers.workers, runner, kCallTimeout),
        backends_(callers.backends, runner) {}

  Table& table() override { return table_; }
  ObjectStore& objects() override { return objects_; }
  VmList& vms() override { return vms_; }
  WorkerPort& workers() override { return workers_; }
  BackendPort& backends() override { return backends_; }

 private:
  HttpTable table_;
  HttpObjectStore objects_;
  HttpVmList vms_;
  HttpWorkerPort workers_;
  HttpBackendPort backends_;
};

}  // namespace

std::unique_ptr<PlatformPorts> MakeHttpPorts(const DaemonConfig& config,
                                             const OutsideCallers& callers,
                                             TaskRunner& runner) {
  PlatformAddress address;
  address.host = config.platform.host;
  address.port = config.platform.port;
  address.timeout = kCallTimeout;
  return std::make_unique<HttpPorts>(address, callers, runner);
}

}  // namespace quetzalshelf
