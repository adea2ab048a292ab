#include "main/daemon/node_directory.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf {

void NodeDirectory::Replace(std::vector<KnownNode> nodes) {
  nodes_ = std::move(nodes);
  for (const KnownNode& it : nodes_)
    seen_.insert(it.address.node);
}

bool NodeDirectory::HasGone(const NodeId& node) const {
  return seen_.contains(node) && Find(node) == nullptr;
}

const KnownNode* NodeDirectory::Find(const NodeId& node) const {
  const auto it = std::find_if(
      nodes_.begin(), nodes_.end(),
      [&node](const auto& known) { return known.address.node == node; });
  return it == nodes_.end() ? nullptr : &*it;
}

std::vector<PeerAddress> NodeDirectory::Peers() const {
  std::vector<PeerAddress> peers;
  for (const KnownNode& it : nodes_) {
    if (!it.is_self)
      peers.push_back(it.address);
  }
  return peers;
}

}  // namespace quetzalshelf
