#include "main/daemon/api/internal_api.h"

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "drivers/peer/peer_codec.h"

namespace quetzalshelf {

void InternalApi::Register(HttpServer& server) {
  server.Handle("POST", kPeerHeartbeatPath, [this](auto request, auto respond) {
    Heartbeat(request, respond);
  });
  server.Handle("GET", kPeerSettingsPath, [this](auto, auto respond) {
    auto text = settings_.ExportForPeer();
    if (!text.ok()) {
      respond(ErrorResponse(text.status()));
      return;
    }
    HttpResponse response;
    response.body = *std::move(text);
    respond(std::move(response));
  });
}

void InternalApi::Heartbeat(const HttpRequest& request,
                            const Responder& respond) {
  Findings findings;
  const auto heartbeat = DecodePeerHeartbeat(request.body, findings);
  if (!heartbeat) {
    respond(ErrorResponse(findings));
    return;
  }
  respond(JsonResponse(EncodePeerHeartbeat(on_heartbeat_(*heartbeat))));
}

}  // namespace quetzalshelf
