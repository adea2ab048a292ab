// HTTP interface of callers' requests to backend servers.

#ifndef MAIN_DAEMON_API_REQUEST_API_H_
#define MAIN_DAEMON_API_REQUEST_API_H_

#include "core/event_log.h"
#include "core/time.h"
#include "drivers/http/http_server.h"
#include "main/daemon/api/request_codec.h"
#include "main/daemon/call_forwarder.h"
#include "main/daemon/node_directory.h"
#include "main/daemon/ticket_archive.h"
#include "servers/routing/request_router.h"
#include "servers/settings/access_control.h"
#include "servers/settings/settings_service.h"

namespace quetzalshelf {

// What the interface works with; everything must outlive the server.
struct RequestApiDeps {
  routing::RequestRouter& router;
  const NodeDirectory& nodes;
  CallForwarder& forwarder;
  TicketArchive& archive;
  const settings::SettingsService& settings;
  const settings::AccessControl& access;
  const Clock& clock;
};

// POST /v1/tickets and POST /v1/requests. A request with a ticket is answered
// by the incarnation that issued the ticket, or from its record.
class RequestApi {
 public:
  explicit RequestApi(RequestApiDeps deps) : deps_(deps) {}

  void Register(HttpServer& server);

 private:
  void IssueTicket(const HttpRequest& request, const Responder& respond);
  void Submit(const HttpRequest& request, const Responder& respond);
  void SubmitHere(RequestMessage message, const Responder& respond);
  void SubmitForTicket(RequestMessage message,
                       const HttpRequest& request,
                       const Responder& respond);
  void AskIssuer(const KnownNode& issuer,
                 Duration timeout,
                 const HttpRequest& request,
                 const Responder& respond);

  RequestApiDeps deps_;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_API_REQUEST_API_H_
