// Rendezvous hashing: which node is named for a key. When a node leaves, only
// its keys move.

#ifndef SERVERS_CLUSTER_RENDEZVOUS_H_
#define SERVERS_CLUSTER_RENDEZVOUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"

namespace quetzalshelf::cluster {

// The same on every platform.
uint64_t RendezvousWeight(const std::string& key, const NodeId& node);

// The node with the largest weight, ties going to the smaller id; nullopt for
// an empty list. The order of `nodes` does not matter.
std::optional<NodeId> RendezvousOwner(const std::string& key,
                                      const std::vector<NodeId>& nodes);

}  // namespace quetzalshelf::cluster

#endif  // SERVERS_CLUSTER_RENDEZVOUS_H_
