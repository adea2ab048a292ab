#include "main/daemon/call_forwarder.h"

#include <string>
#include <utility>

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

HttpResponse FailureResponse(const PeerAddress& peer,
                             const absl::Status& status) {
  const std::string node = "node `" + peer.node.value() + "`";
  if (absl::IsUnavailable(status)) {
    return ErrorResponse(absl::UnavailableError(
        "the call had no effect: " + node + " cannot be reached; try again"));
  }
  return ErrorResponse(absl::DeadlineExceededError(
      "outcome unknown: the answer of " + node + " was lost"));
}

}  // namespace

HttpResponse ToHttpResponse(const ForwardedReply& reply) {
  HttpResponse response;
  response.status = reply.http_status;
  response.body = reply.body;
  return response;
}

bool IsForwarded(const HttpRequest& request) {
  return !request.Header(kForwardedNodeHeader).empty();
}

void CallForwarder::Send(const PeerAddress& peer,
                         const HttpRequest& request,
                         Duration timeout,
                         ReplyCallback done) {
  ForwardedCall call;
  call.method = request.method;
  call.path = TargetOf(request);
  call.body = request.body;
  call.authorization = request.Header("Authorization");
  call.timeout = timeout;
  peers_.Forward(peer, call, std::move(done));
}

void CallForwarder::Forward(const PeerAddress& peer,
                            const HttpRequest& request,
                            const Responder& respond) {
  Send(peer, request, Duration(0), [peer, respond](auto reply) {
    respond(reply.ok() ? ToHttpResponse(*reply)
                       : FailureResponse(peer, reply.status()));
  });
}

}  // namespace quetzalshelf
