// HTTP interface of the worker stand-in.

#ifndef STANDINS_WORKER_WORKER_SERVICE_H_
#define STANDINS_WORKER_WORKER_SERVICE_H_

#include <functional>
#include <vector>

#include "core/time.h"
#include "drivers/http/http_server.h"
#include "drivers/worker/worker_model.h"

namespace quetzalshelf {

// Serves the paths of drivers/worker/worker_codec.h, `POST /control/faults` and
// `GET /control/tasks`.
class WorkerService {
 public:
  // `vanish` ends the process at once.
  WorkerService(WorkerModelOptions options,
                const Clock& clock,
                std::function<void()> vanish);

  // The service must outlive the server's use of the handlers.
  void Install(HttpServer& server);
  // Drops commands held by a pause, so that they do not hold up the stop.
  void Leave() { waiting_.clear(); }

 private:
  // Runs `work` now, or when the worker answers again.
  void WhenAnswering(std::function<void()> work);
  // Fields fail_tasks, refuse_starts, pause and vanish, all optional booleans.
  // Commands that come in during a pause are carried out after it.
  void SetFaults(const HttpRequest& request, const Responder& respond);
  HttpResponse Tasks();

  WorkerModel model_;
  const Clock& clock_;
  const std::function<void()> vanish_;
  bool paused_ = false;
  std::vector<std::function<void()>> waiting_;
};

}  // namespace quetzalshelf

#endif  // STANDINS_WORKER_WORKER_SERVICE_H_
