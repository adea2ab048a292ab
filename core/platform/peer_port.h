// Interface to the other nodes.

#ifndef CORE_PLATFORM_PEER_PORT_H_
#define CORE_PLATFORM_PEER_PORT_H_

#include <functional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "core/ids.h"
#include "core/time.h"

namespace quetzalshelf {

struct PeerAddress {
  NodeId node;
  std::string host;
  int port = 0;
};

// The largest epoch of a shard that a node has seen.
struct ShardEpoch {
  RegionId region;
  Epoch epoch;
};

// What nodes tell each other; small and sent often.
struct PeerHeartbeat {
  NodeId node;
  IncarnationId incarnation;
  bool leaving = false;
  bool store_reachable = true;
  SettingsVersion settings;
  std::vector<ShardEpoch> shards;
};

// A call forwarded to another node's HTTP interface.
struct ForwardedCall {
  std::string method;
  std::string path;  // With the query, percent-encoded as received.
  std::string body;
  std::string authorization;
  std::vector<NodeId> forwarded_by;  // Nodes that forwarded the call so far.
  Duration timeout{0};               // 0 takes the port's default.
};

struct ForwardedReply {
  int http_status = 0;
  std::string body;
};

// Errors: kUnavailable (not reached; the call had no effect), kUnknown (the
// call may have had an effect). Nothing is sent twice.
class PeerPort {
 public:
  using HeartbeatCallback = std::function<void(absl::StatusOr<PeerHeartbeat>)>;
  using SettingsCallback = std::function<void(absl::StatusOr<std::string>)>;
  using ForwardCallback = std::function<void(absl::StatusOr<ForwardedReply>)>;

  virtual ~PeerPort() = default;

  virtual void Heartbeat(const PeerAddress& peer,
                         const PeerHeartbeat& heartbeat,
                         HeartbeatCallback done) = 0;
  // The peer's whole settings tree as JSON text.
  virtual void FetchSettings(const PeerAddress& peer,
                             SettingsCallback done) = 0;
  virtual void Forward(const PeerAddress& peer,
                       const ForwardedCall& call,
                       ForwardCallback done) = 0;
};

}  // namespace quetzalshelf

#endif  // CORE_PLATFORM_PEER_PORT_H_
