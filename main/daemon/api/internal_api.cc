#include "main/daemon/api/internal_api.h"

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "drivers/peer/peer_codec.h"

namespace quetzalshelf {

void InternalApi::Register(HttpServer& server) {
  server.Handle("POST", kPeerHeartbeatPath, [this](auto request, auto respond) {
    Heartbeat(request, respond);
  });
  server.Handle("GET", kPeerSettingsPath, [this](auto request, auto respond) {
    if (!LetIn(request, respond))
      return;
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

bool InternalApi::LetIn(const HttpRequest& request,
                        const Responder& respond) const {
  if (secret_.size() == 0 || secret_.Matches(request.Header(kNodeSecretHeader)))
    return true;
  respond(ErrorResponse(
      absl::UnauthenticatedError("the secret of the nodes is required")));
  return false;
}

void InternalApi::Heartbeat(const HttpRequest& request,
                            const Responder& respond) {
  if (!LetIn(request, respond))
    return;
  Findings findings;
  const auto heartbeat = DecodePeerHeartbeat(request.body, findings);
  if (!heartbeat) {
    respond(ErrorResponse(findings));
    return;
  }
  respond(JsonResponse(EncodePeerHeartbeat(on_heartbeat_(*heartbeat))));
}

}  // namespace quetzalshelf
