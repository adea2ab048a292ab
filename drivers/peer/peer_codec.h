// Codec of the protocol between nodes.

#ifndef DRIVERS_PEER_PEER_CODEC_H_
#define DRIVERS_PEER_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/finding.h"
#include "core/json_reader.h"
#include "core/platform/peer_port.h"

namespace quetzalshelf {

constexpr char kPeerHeartbeatPath[] = "/internal/heartbeat";  // POST
constexpr char kPeerSettingsPath[] = "/internal/settings";    // GET
// The secret that the nodes share, on calls of the two paths above.
constexpr char kNodeSecretHeader[] = "X-Node-Secret";
// The nodes that forwarded a call, separated by commas.
constexpr char kForwardedNodeHeader[] = "X-Forwarded-Node";

// A call passes through at most this many forwards: one to the node that was
// thought to own a shard and one more when the shard moved meanwhile.
constexpr size_t kMaxForwards = 2;

// `{"node","incarnation","leaving","store_reachable","settings","shards":
// [{"region","epoch"}]}`; the reply of a heartbeat has the same form.
Json EncodePeerHeartbeat(const PeerHeartbeat& heartbeat);
// nullopt and at least one finding for a bad message.
std::optional<PeerHeartbeat> DecodePeerHeartbeat(std::string_view body,
                                                 Findings& findings);

std::string EncodeForwardedNodes(const std::vector<NodeId>& nodes);
std::vector<NodeId> DecodeForwardedNodes(std::string_view header);
// Whether `self` may forward a call that came through `forwarded_by`.
bool MayForward(const std::vector<NodeId>& forwarded_by, const NodeId& self);

}  // namespace quetzalshelf

#endif  // DRIVERS_PEER_PEER_CODEC_H_
