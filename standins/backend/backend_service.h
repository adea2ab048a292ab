// HTTP interface of the backend server stand-in.

#ifndef STANDINS_BACKEND_BACKEND_SERVICE_H_
#define STANDINS_BACKEND_BACKEND_SERVICE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/platform/backend_port.h"
#include "core/task_runner.h"
#include "drivers/http/http_server.h"

namespace quetzalshelf {

// The next so many requests get the fault; each is executed and counted, but
// for `refuse`.
struct BackendFaults {
  Duration delay{0};  // How long every request runs.
  int late = 0;       // Answered `late_by` after the run.
  Duration late_by{0};
  int crossed = 0;  // Answered with another request's id and answer.
  int cut = 0;      // Answered with half of the stated length.
  int no_answer = 0;
  int refuse = 0;  // Refused for lack of a slot; not executed.
};

// Serves `POST /run`, `GET /counts` and `POST /control/faults`. A run is
// counted when the request has got a slot and is executed.
class BackendService {
 public:
  BackendService(TaskRunner& runner, int slots);

  // The service must outlive the server's use of the handlers.
  void Install(HttpServer& server);
  // Answers say from now on that the server is leaving. Requests under the
  // no-answer fault are dropped, so that they do not hold up the stop.
  void Leave();

  BackendFaults& faults() { return faults_; }
  // How often the request was executed.
  int runs(const RequestId& request) const;

 private:
  struct RunRecord {
    int runs = 0;
    std::string payload;
  };

  void Run(const HttpRequest& request, const Responder& respond);
  void Answer(const BackendRequest& request, const Responder& respond);
  HttpResponse Reply(const BackendRequest& request);
  // Fields delay_ms, late, late_ms, crossed, cut, no_answer, refuse and
  // leaving. A field that is left out keeps its value.
  void SetFaults(const HttpRequest& request, const Responder& respond);
  HttpResponse Counts() const;

  TaskRunner& runner_;
  const int slots_;
  int used_slots_ = 0;
  bool leaving_ = false;
  BackendFaults faults_;
  std::map<RequestId, RunRecord> runs_;
  std::optional<BackendRequest> previous_;
  std::vector<Responder> unanswered_;
};

}  // namespace quetzalshelf

#endif  // STANDINS_BACKEND_BACKEND_SERVICE_H_
