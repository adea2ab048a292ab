// Backend servers over HTTP.

#ifndef DRIVERS_BACKEND_HTTP_BACKEND_PORT_H_
#define DRIVERS_BACKEND_HTTP_BACKEND_PORT_H_

#include "core/platform/backend_port.h"
#include "core/task_runner.h"
#include "drivers/http/http_caller.h"

namespace quetzalshelf {

// Non-idempotent requests use a fresh connection each, idempotent ones pooled
// connections; neither is ever sent twice. A refusal counts as a proof that the
// request did not run only when it echoes the request id.
class HttpBackendPort : public BackendPort {
 public:
  // `caller` and `runner`, which share one io_context, must outlive the port.
  HttpBackendPort(HttpCaller& caller, TaskRunner& runner);

  void Send(const BackendAddress& backend,
            const BackendRequest& request,
            Callback done) override;

 private:
  HttpCaller& caller_;
  TaskRunner& runner_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_BACKEND_HTTP_BACKEND_PORT_H_
