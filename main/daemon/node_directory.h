// The nodes of the system as one of them sees them.

#ifndef MAIN_DAEMON_NODE_DIRECTORY_H_
#define MAIN_DAEMON_NODE_DIRECTORY_H_

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/platform/peer_port.h"

namespace quetzalshelf {

struct KnownNode {
  PeerAddress address;
  IncarnationId incarnation;
  RegionId region;
  DomainId domain;
  bool leaving = false;
  bool is_self = false;
  // Nullopt for a peer that was not heard lately.
  std::optional<SettingsVersion> settings;
  std::optional<bool> store_reachable;
};

// Live nodes only, this one included. Single-threaded.
class NodeDirectory {
 public:
  void Replace(std::vector<KnownNode> nodes);

  const std::vector<KnownNode>& nodes() const { return nodes_; }
  // Null when there is no live node of that name.
  const KnownNode* Find(const NodeId& node) const;
  // Whether the node was live once and no longer is.
  bool HasGone(const NodeId& node) const;
  // The addresses of all nodes but this one.
  std::vector<PeerAddress> Peers() const;

 private:
  std::vector<KnownNode> nodes_;
  // Every node that was ever live. Node names are few and used again.
  std::set<NodeId> seen_;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_NODE_DIRECTORY_H_
