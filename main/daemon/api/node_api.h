// HTTP interface of a node itself: health, metrics, timeline, peers.

#ifndef MAIN_DAEMON_API_NODE_API_H_
#define MAIN_DAEMON_API_NODE_API_H_

#include <functional>
#include <string>

#include "core/event_log.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "core/time.h"
#include "drivers/http/http_server.h"
#include "main/daemon/node_directory.h"
#include "main/daemon/shard_host.h"
#include "servers/settings/access_control.h"
#include "servers/settings/settings_service.h"

namespace quetzalshelf {

// What the interface works with; everything must outlive the server.
struct NodeApiDeps {
  NodeId node;
  const NodeDirectory& nodes;
  const ShardHost& shard;
  const settings::SettingsService& settings;
  const settings::AccessControl& access;
  EventLog& events;
  MetricsRegistry& metrics;
  // The reasons for which the node takes no calls, empty when it does.
  std::function<std::string()> not_ready;
  std::function<bool()> store_reachable;
};

// GET /healthz, /readyz, /metrics, /v1/nodes, /v1/timeline and /v1/status.
class NodeApi {
 public:
  explicit NodeApi(NodeApiDeps deps) : deps_(std::move(deps)) {}

  void Register(HttpServer& server);

 private:
  // Whether the call has a valid token and no parameters; answers it if not.
  bool AcceptsPlain(const HttpRequest& request, const Responder& respond) const;
  HttpResponse Ready() const;
  HttpResponse Metrics() const;
  HttpResponse Nodes() const;
  HttpResponse Status() const;
  HttpResponse Timeline(const HttpRequest& request) const;

  NodeApiDeps deps_;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_API_NODE_API_H_
