#include "main/daemon/call_forwarder.h"

#include <string>

#include "drivers/http/api_error.h"
#include "drivers/peer/peer_codec.h"

namespace quetzalshelf {

namespace {

std::string TargetOf(const HttpRequest& request) {
  std::string target = PercentEncode(request.path, /*keep_slash=*/true);
  char separator = '?';
  for (const HttpField& it : request.query) {
    target += separator + PercentEncode(it.name, /*keep_slash=*/false) + "=" +
              PercentEncode(it.value, /*keep_slash=*/false);
    separator = '&';
  }
  return target;
}

HttpResponse ToResponse(const PeerAddress& peer,
                        const absl::StatusOr<ForwardedReply>& reply) {
  if (reply.ok()) {
    HttpResponse response;
    response.status = reply->http_status;
    response.body = reply->body;
    return response;
  }
  const std::string node = "node `" + peer.node.value() + "`";
  if (absl::IsUnavailable(reply.status())) {
    return ErrorResponse(absl::UnavailableError(
        "not run: " + node + " cannot be reached; try again"));
  }
  return ErrorResponse(absl::DeadlineExceededError(
      "outcome unknown: the answer of " + node + " was lost"));
}

}  // namespace

bool IsForwarded(const HttpRequest& request) {
  return !request.Header(kForwardedNodeHeader).empty();
}

void CallForwarder::Forward(const PeerAddress& peer,
                            const HttpRequest& request,
                            const Responder& respond,
                            Duration timeout) {
  ForwardedCall call;
  call.timeout = timeout;
  call.method = request.method;
  call.path = TargetOf(request);
  call.body = request.body;
  call.authorization = request.Header("Authorization");
  peers_.Forward(peer, call, [peer, respond](auto reply) {
    respond(ToResponse(peer, reply));
  });
}

}  // namespace quetzalshelf
