#include "drivers/peer/http_peer_port.h"

#include <utility>

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "drivers/peer/peer_codec.h"

namespace quetzalshelf {

namespace {

// kUnavailable or kUnknown for a call without a response.
absl::Status PeerError(const absl::Status& status) {
  if (absl::IsUnavailable(status))
    return status;
  return absl::UnknownError(status.message());
}

absl::Status PeerStatus(const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok())
    return PeerError(response.status());
  const absl::Status status = StatusOf(*response);
  return status.ok() ? status : absl::UnknownError(status.message());
}

absl::StatusOr<PeerHeartbeat> ToHeartbeat(
    const absl::StatusOr<HttpResponse>& response) {
  if (absl::Status status = PeerStatus(response); !status.ok())
    return status;
  Findings findings;
  std::optional<PeerHeartbeat> heartbeat =
      DecodePeerHeartbeat(response->body, findings);
  if (!heartbeat) {
    return absl::UnknownError("the peer's heartbeat cannot be read: " +
                              findings.ToString());
  }
  return *std::move(heartbeat);
}

// Whether the text can stand in a request line.
bool IsTarget(const std::string& text) {
  if (text.empty() || text.front() != '/')
    return false;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte <= ' ' || byte >= 0x7F)
      return false;
  }
  return true;
}

}  // namespace

HttpPeerPort::HttpPeerPort(HttpCaller& caller,
                           TaskRunner& runner,
                           NodeId self,
                           Duration timeout)
    : caller_(caller),
      runner_(runner),
      self_(std::move(self)),
      timeout_(timeout) {}

void HttpPeerPort::Heartbeat(const PeerAddress& peer,
                             const PeerHeartbeat& heartbeat,
                             HeartbeatCallback done) {
  HttpCall call = MakeInternalCall(peer);
  call.method = "POST";
  call.target = kPeerHeartbeatPath;
  absl::StatusOr<std::string> body = EncodeJson(EncodePeerHeartbeat(heartbeat));
  if (!body.ok()) {
    runner_.Post([status = absl::UnavailableError(body.status().message()),
                  done = std::move(done)] { done(status); });
    return;
  }
  call.body = *std::move(body);
  caller_.Call(
      std::move(call),
      [done = std::move(done)](const absl::StatusOr<HttpResponse>& response) {
        done(ToHeartbeat(response));
      });
}

void HttpPeerPort::FetchSettings(const PeerAddress& peer,
                                 SettingsCallback done) {
  HttpCall call = MakeInternalCall(peer);
  call.target = kPeerSettingsPath;
  caller_.Call(std::move(call),
               [done = std::move(done)](absl::StatusOr<HttpResponse> response) {
                 if (absl::Status status = PeerStatus(response); !status.ok())
                   done(status);
                 else
                   done(std::move(response->body));
               });
}

void HttpPeerPort::Forward(const PeerAddress& peer,
                           const ForwardedCall& forwarded,
                           ForwardCallback done) {
  if (!MayForward(forwarded.forwarded_by, self_) || !IsTarget(forwarded.path)) {
    runner_.Post([done = std::move(done)] {
      done(absl::UnavailableError(
          "the call was forwarded too often or has a bad path; not sent"));
    });
    return;
  }
  std::vector<NodeId> nodes = forwarded.forwarded_by;
  nodes.push_back(self_);
  HttpCall call = MakeCall(peer);
  call.method = forwarded.method;
  call.target = forwarded.path;
  call.body = forwarded.body;
  call.headers.push_back({kForwardedNodeHeader, EncodeForwardedNodes(nodes)});
  if (!forwarded.authorization.empty())
    call.headers.push_back({"Authorization", forwarded.authorization});
  if (forwarded.timeout > Duration{0})
    call.timeout = forwarded.timeout;
  if (forwarded.method != "GET")
    call.connection = ConnectionUse::kFresh;
  caller_.Call(std::move(call), [done = std::move(done)](
                                    absl::StatusOr<HttpResponse> response) {
    if (!response.ok()) {
      done(PeerError(response.status()));
      return;
    }
    done(ForwardedReply{response->status, std::move(response->body)});
  });
}

HttpCall HttpPeerPort::MakeInternalCall(const PeerAddress& peer) const {
  HttpCall call = MakeCall(peer);
  if (!node_secret_.empty())
    call.headers.push_back({kNodeSecretHeader, node_secret_});
  return call;
}

HttpCall HttpPeerPort::MakeCall(const PeerAddress& peer) const {
  HttpCall call;
  call.host = peer.host;
  call.port = peer.port;
  call.timeout = timeout_;
  return call;
}

}  // namespace quetzalshelf
