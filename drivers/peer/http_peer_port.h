// Other nodes over HTTP.

#ifndef DRIVERS_PEER_HTTP_PEER_PORT_H_
#define DRIVERS_PEER_HTTP_PEER_PORT_H_

#include "core/platform/peer_port.h"
#include "core/task_runner.h"
#include "drivers/http/http_caller.h"

namespace quetzalshelf {

// Forwarded calls other than GET use a fresh connection each.
class HttpPeerPort : public PeerPort {
 public:
  // `self` is named in the header of forwarded calls. `caller` and `runner`,
  // which share one io_context, must outlive the port.
  HttpPeerPort(HttpCaller& caller,
               TaskRunner& runner,
               NodeId self,
               Duration timeout);

  // Sent with heartbeats and reads of settings; empty for none.
  void SetNodeSecret(std::string secret) { node_secret_ = std::move(secret); }

  void Heartbeat(const PeerAddress& peer,
                 const PeerHeartbeat& heartbeat,
                 HeartbeatCallback done) override;
  void FetchSettings(const PeerAddress& peer, SettingsCallback done) override;
  // kUnavailable as well for a call that MayForward forbids.
  void Forward(const PeerAddress& peer,
               const ForwardedCall& call,
               ForwardCallback done) override;

 private:
  HttpCall MakeCall(const PeerAddress& peer) const;
  // A call of the interface between nodes.
  HttpCall MakeInternalCall(const PeerAddress& peer) const;

  HttpCaller& caller_;
  TaskRunner& runner_;
  const NodeId self_;
  const Duration timeout_;
  std::string node_secret_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_PEER_HTTP_PEER_PORT_H_
