#include "main/daemon/api/node_api.h"

#include <string>
#include <utility>

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "main/daemon/api/access.h"
#include "main/daemon/api/query_reader.h"
#include "main/daemon/api/status_report.h"

namespace quetzalshelf {

namespace {

constexpr int64_t kDefaultTimelineEvents = 1'000;
constexpr int64_t kMaxTimelineEvents = 10'000;

HttpResponse TextResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  response.content_type = "text/plain; charset=utf-8";
  return response;
}

// `settings_version` and `store_reachable` are null for a node that was not
// heard lately.
Json EncodeNode(const KnownNode& node) {
  const PeerAddress& address = node.address;
  Json json = {{"node", address.node.value()},
               {"address", address.host + ":" + std::to_string(address.port)},
               {"incarnation", node.incarnation.value()},
               {"region", node.region.value()},
               {"domain", node.domain.value()},
               {"state", node.leaving ? "leaving" : "live"},
               {"self", node.is_self},
               {"settings_version", nullptr},
               {"store_reachable", nullptr},
               {"shards", Json::array()}};
  if (node.settings)
    json["settings_version"] = node.settings->value();
  if (node.store_reachable)
    json["store_reachable"] = *node.store_reachable;
  return json;
}

}  // namespace

void NodeApi::Register(HttpServer& server) {
  server.Handle("GET", "/healthz",
                [](auto, auto respond) { respond(TextResponse(200, "ok\n")); });
  server.Handle("GET", "/readyz",
                [this](auto, auto respond) { respond(Ready()); });
  server.Handle("GET", "/metrics",
                [this](auto, auto respond) { respond(Metrics()); });
  server.Handle("GET", "/v1/nodes", [this](auto request, auto respond) {
    if (AcceptsPlain(request, respond))
      respond(Nodes());
  });
  server.Handle("GET", "/v1/status", [this](auto request, auto respond) {
    if (AcceptsPlain(request, respond))
      respond(Status());
  });
  server.Handle("GET", "/v1/timeline", [this](auto request, auto respond) {
    if (RequireToken(deps_.access, request, respond))
      respond(Timeline(request));
  });
}

bool NodeApi::AcceptsPlain(const HttpRequest& request,
                           const Responder& respond) const {
  if (!RequireToken(deps_.access, request, respond))
    return false;
  const Findings findings = QueryReader(request).Finish();
  if (!findings.empty())
    respond(ErrorResponse(findings));
  return findings.empty();
}

HttpResponse NodeApi::Ready() const {
  const std::string reason = deps_.not_ready();
  return reason.empty() ? TextResponse(200, "ready\n")
                        : TextResponse(503, "not ready: " + reason + "\n");
}

HttpResponse NodeApi::Metrics() const {
  return TextResponse(200, deps_.metrics.Expose());
}

HttpResponse NodeApi::Nodes() const {
  const auto owner = deps_.shard.Owner();
  Json nodes = Json::array();
  for (const KnownNode& it : deps_.nodes.nodes()) {
    Json node = EncodeNode(it);
    if (owner && owner->node == it.address.node) {
      node["shards"].push_back({{"region", deps_.shard.region().value()},
                                {"epoch", deps_.shard.epoch().value()}});
    }
    nodes.push_back(std::move(node));
  }
  return JsonResponse({{"nodes", std::move(nodes)}});
}

HttpResponse NodeApi::Status() const {
  const std::string reason = deps_.not_ready();
  return JsonResponse(
      {{"node", deps_.node.value()},
       {"ready", reason.empty()},
       {"reason", reason},
       {"settings_version", deps_.settings.version().value()},
       {"store_reachable", deps_.store_reachable()},
       {"shards", Json::array({EncodeShard(deps_.shard)})},
       {"domains", EncodeDomains(deps_.shard, deps_.settings.tree())},
       {"guarantees", EncodeUnheld(deps_.shard)}});
}

HttpResponse NodeApi::Timeline(const HttpRequest& request) const {
  QueryReader query(request);
  const int64_t limit = query.Number("limit", 1, kMaxTimelineEvents)
                            .value_or(kDefaultTimelineEvents);
  const std::string after_text = query.Text("after");
  const HybridTime after = ParseHybridTime(after_text);
  if (!after_text.empty() && ToString(after) != after_text) {
    query.AddFinding("after", "must be the `hlc` of an event or 0.0");
  }
  if (const Findings& findings = query.Finish(); !findings.empty())
    return ErrorResponse(findings);
  Json events = Json::array();
  for (const Event& it : deps_.events.Read(after, static_cast<size_t>(limit)))
    events.push_back(it);
  return JsonResponse({{"events", std::move(events)}});
}

}  // namespace quetzalshelf
