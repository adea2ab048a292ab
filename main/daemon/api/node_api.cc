#include "main/daemon/api/node_api.h"

#include <charconv>
#include <utility>

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "main/daemon/api/access.h"

namespace quetzalshelf {

namespace {

constexpr size_t kDefaultTimelineEvents = 1'000;
constexpr size_t kMaxTimelineEvents = 10'000;

HttpResponse TextResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  response.content_type = "text/plain; charset=utf-8";
  return response;
}

// The limit of the query, or 0 when it is not valid.
size_t TimelineLimit(const std::string& text) {
  if (text.empty())
    return kDefaultTimelineEvents;
  size_t n = 0;
  const char* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, n);
  const bool valid =
      ec == std::errc() && last == end && n <= kMaxTimelineEvents;
  return valid ? n : 0;
}

Json EncodeUnheld(const std::vector<scheduling::UnheldGuarantee>& unheld) {
  Json items = Json::array();
  for (const auto& it : unheld) {
    items.push_back({{"workspace", it.workspace.value()},
                     {"guarantee", it.guarantee},
                     {"missing", it.missing},
                     {"reason", it.reason}});
  }
  return items;
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
    if (RequireToken(deps_.access, request, respond))
      respond(Nodes());
  });
  server.Handle("GET", "/v1/status", [this](auto request, auto respond) {
    if (RequireToken(deps_.access, request, respond))
      respond(Status());
  });
  server.Handle("GET", "/v1/timeline", [this](auto request, auto respond) {
    if (RequireToken(deps_.access, request, respond))
      respond(Timeline(request));
  });
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
  Json nodes = Json::array();
  for (const KnownNode& it : deps_.nodes.nodes()) {
    nodes.push_back({{"node", it.address.node.value()},
                     {"host", it.address.host},
                     {"port", it.address.port},
                     {"incarnation", it.incarnation.value()},
                     {"region", it.region.value()},
                     {"domain", it.domain.value()},
                     {"state", it.leaving ? "leaving" : "live"},
                     {"self", it.is_self}});
  }
  return JsonResponse({{"nodes", std::move(nodes)}});
}

HttpResponse NodeApi::Status() const {
  Json domains = Json::object();
  for (const auto& it : deps_.settings.tree().Domains())
    domains[it.domain.value()] = it.in_service ? "in" : "out";
  const auto owner = deps_.shard.Owner();
  return JsonResponse(
      {{"ready", deps_.not_ready().empty()},
       {"reason", deps_.not_ready()},
       {"settings_version", deps_.settings.version().value()},
       {"shard",
        {{"region", deps_.shard.region().value()},
         {"owner", owner ? owner->node.value() : ""},
         {"epoch", deps_.shard.epoch().value()},
         {"owned_here", deps_.shard.IsOwner()}}},
       {"domains", std::move(domains)},
       {"unheld_guarantees", EncodeUnheld(deps_.shard.UnheldGuarantees())}});
}

HttpResponse NodeApi::Timeline(const HttpRequest& request) const {
  const size_t limit = TimelineLimit(request.Query("limit"));
  if (limit == 0) {
    return ErrorResponse(absl::InvalidArgumentError(
        "limit: must be from 1 to " + std::to_string(kMaxTimelineEvents)));
  }
  Json events = Json::array();
  const HybridTime after = ParseHybridTime(request.Query("after"));
  for (const Event& it : deps_.events.Read(after, limit))
    events.push_back(it);
  return JsonResponse({{"events", std::move(events)}});
}

}  // namespace quetzalshelf
