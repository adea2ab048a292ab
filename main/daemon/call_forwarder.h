// Passes a call on to the node that can answer it.

#ifndef MAIN_DAEMON_CALL_FORWARDER_H_
#define MAIN_DAEMON_CALL_FORWARDER_H_

#include <functional>

#include <absl/status/statusor.h>

#include "core/platform/peer_port.h"
#include "core/time.h"
#include "drivers/http/http_message.h"
#include "drivers/http/responder.h"

namespace quetzalshelf {

// The answer of a peer, as it is passed back.
HttpResponse ToHttpResponse(const ForwardedReply& reply);

// Whether another node has passed this call on; it must not go further.
bool IsForwarded(const HttpRequest& request);

// Single-threaded. Sends each call at most once.
class CallForwarder {
 public:
  explicit CallForwarder(PeerPort& peers) : peers_(peers) {}

  using ReplyCallback = std::function<void(absl::StatusOr<ForwardedReply>)>;

  // Calls back with the peer's answer; errors as of PeerPort::Forward.
  // `timeout` 0 takes the default of the port.
  void Send(const PeerAddress& peer,
            const HttpRequest& request,
            Duration timeout,
            ReplyCallback done);
  // Answers with the peer's answer. A peer that is not reached gives 503: the
  // call had no effect. A lost answer gives 504: it may have had one.
  void Forward(const PeerAddress& peer,
               const HttpRequest& request,
               const Responder& respond);

 private:
  PeerPort& peers_;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_CALL_FORWARDER_H_
