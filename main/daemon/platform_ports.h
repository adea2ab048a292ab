// The services outside of the daemon, reached over HTTP or embedded in memory.

#ifndef MAIN_DAEMON_PLATFORM_PORTS_H_
#define MAIN_DAEMON_PLATFORM_PORTS_H_

#include <memory>

#include "core/platform/backend_port.h"
#include "core/platform/object_store.h"
#include "core/platform/table.h"
#include "core/platform/vm_list.h"
#include "core/platform/worker_port.h"
#include "core/task_runner.h"
#include "core/time.h"
#include "drivers/http/http_caller.h"
#include "main/daemon/daemon_config.h"

namespace quetzalshelf {

// One implementation of each interface.
class PlatformPorts {
 public:
  virtual ~PlatformPorts() = default;

  virtual Table& table() = 0;
  virtual ObjectStore& objects() = 0;
  virtual VmList& vms() = 0;
  virtual WorkerPort& workers() = 0;
  virtual BackendPort& backends() = 0;
};

// The callers of the services; all share one io_context.
struct OutsideCallers {
  HttpCaller& store;
  HttpCaller& workers;
  HttpCaller& backends;
};

// The platform, workers and backend servers over HTTP. The callers and
// `runner`, which share one io_context, must outlive the ports.
std::unique_ptr<PlatformPorts> MakeHttpPorts(const DaemonConfig& config,
                                             const OutsideCallers& callers,
                                             TaskRunner& runner);

// A platform, a few workers and a backend server in this process, so that the
// daemon can be tried alone. Nothing lasts beyond the process.
std::unique_ptr<PlatformPorts> MakeEmbeddedPorts(const DaemonConfig& config,
                                                 TaskRunner& runner,
                                                 const Clock& clock);

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_PLATFORM_PORTS_H_
