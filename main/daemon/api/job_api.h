// HTTP interface of the jobs. The owner of the shard answers; any other node
// passes the call on to it.

#ifndef MAIN_DAEMON_API_JOB_API_H_
#define MAIN_DAEMON_API_JOB_API_H_

#include <optional>

#include "core/time.h"
#include "drivers/http/http_server.h"
#include "main/daemon/call_forwarder.h"
#include "main/daemon/shard_host.h"
#include "servers/settings/access_control.h"
#include "servers/settings/settings_service.h"

namespace quetzalshelf {

// POST and GET /v1/jobs, and GET and DELETE below it. All arguments must
// outlive the server.
class JobApi {
 public:
  JobApi(ShardHost& shard,
         CallForwarder& forwarder,
         const settings::SettingsService& settings,
         const settings::AccessControl& access,
         const Clock& clock)
      : shard_(shard),
        forwarder_(forwarder),
        settings_(settings),
        access_(access),
        clock_(clock) {}

  void Register(HttpServer& server);

 private:
  using Method = void (JobApi::*)(jobs::JobService&,
                                  const HttpRequest&,
                                  const Responder&);
  struct Route;

  // Calls the method when this node owns the shard, else passes the call on.
  void Dispatch(Method method,
                const HttpRequest& request,
                const Responder& respond);
  // The view of the job of the path, or nullopt after having answered.
  std::optional<jobs::JobView> Find(jobs::JobService& service,
                                    const HttpRequest& request,
                                    const Responder& respond);

  // Findings on the workspace and on the limits that the settings give.
  void CheckAgainstSettings(const jobs::JobSpec& spec,
                            Findings& findings) const;

  void Submit(jobs::JobService& service,
              const HttpRequest& request,
              const Responder& respond);
  void List(jobs::JobService& service,
            const HttpRequest& request,
            const Responder& respond);
  void Get(jobs::JobService& service,
           const HttpRequest& request,
           const Responder& respond);
  void Why(jobs::JobService& service,
           const HttpRequest& request,
           const Responder& respond);
  void Result(jobs::JobService& service,
              const HttpRequest& request,
              const Responder& respond);
  void Cancel(jobs::JobService& service,
              const HttpRequest& request,
              const Responder& respond);

  ShardHost& shard_;
  CallForwarder& forwarder_;
  const settings::SettingsService& settings_;
  const settings::AccessControl& access_;
  const Clock& clock_;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_API_JOB_API_H_
