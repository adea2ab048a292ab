// HTTP interface of the platform stand-in.

#ifndef STANDINS_PLATFORM_PLATFORM_SERVICE_H_
#define STANDINS_PLATFORM_PLATFORM_SERVICE_H_

#include "core/task_runner.h"
#include "core/time.h"
#include "drivers/http/http_server.h"
#include "drivers/platform/memory_object_store.h"
#include "drivers/platform/memory_table.h"
#include "drivers/platform/memory_vm_list.h"

namespace quetzalshelf {

// Serves a table, an object store and a VM list:
//   POST /table/commit, GET /table/read?key=, GET /table/scan?prefix=&after=&
//   limit=, GET|PUT /objects/<name>, GET|POST /vms, POST /vms/<name>/state,
//   DELETE /vms/<name>, POST /control/faults, GET /control/counts.
class PlatformService {
 public:
  // `runner` and `clock` share one time.
  PlatformService(TaskRunner& runner, const Clock& clock);

  // The service must outlive the server's use of the handlers.
  void Install(HttpServer& server);

  MemoryTable& table() { return table_; }
  MemoryObjectStore& objects() { return objects_; }
  MemoryVmList& vms() { return vms_; }

 private:
  void InstallTable(HttpServer& server);
  void InstallObjects(HttpServer& server);
  void InstallVms(HttpServer& server);

  void Commit(const HttpRequest& request, const Responder& respond);
  void Scan(const HttpRequest& request, const Responder& respond);
  void PutVm(const HttpRequest& request, const Responder& respond);
  void SetVmState(const HttpRequest& request, const Responder& respond);
  // Fields `service` (`store`, `table`, `objects` or `vms`; `store` is the
  // first two), down, slow_ms, lose_answers, late_commits, late_ms and
  // list_lag_ms. A field that is left out keeps its value.
  void SetFaults(const HttpRequest& request, const Responder& respond);
  HttpResponse Counts() const;

  MemoryTable table_;
  MemoryObjectStore objects_;
  MemoryVmList vms_;
};

}  // namespace quetzalshelf

#endif  // STANDINS_PLATFORM_PLATFORM_SERVICE_H_
