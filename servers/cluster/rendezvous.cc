#include "servers/cluster/rendezvous.h"

#include <xxhash.h>

namespace quetzalshelf::cluster {

uint64_t RendezvousWeight(const std::string& key, const NodeId& node) {
  const uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(node.value().data(), node.value().size(), seed);
}

std::optional<NodeId> RendezvousOwner(const std::string& key,
                                      const std::vector<NodeId>& nodes) {
  std::optional<NodeId> best;
  uint64_t best_weight = 0;
  for (const NodeId& node : nodes) {
    const uint64_t weight = RendezvousWeight(key, node);
    if (!best || weight > best_weight ||
        (weight == best_weight && node < *best)) {
      best = node;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace quetzalshelf::cluster
