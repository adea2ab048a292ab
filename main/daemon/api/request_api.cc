#include "main/daemon/api/request_api.h"

#include <string>
#include <utility>

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "main/daemon/api/access.h"

namespace quetzalshelf {

namespace {

// Added to the longest deadline, so that the router's own outcome is told
// rather than a time-out of the HTTP layer.
constexpr Duration kAnswerMargin{5'000};
constexpr Duration kLongestDeadline{120'000};
constexpr Duration kAskAgainAfter{1'000};

// 200 for an answer, 503 for "not run" and 504 for an unknown outcome, each
// with the same body.
HttpResponse ReplyResponse(const routing::CallerReply& reply) {
  HttpResponse response = JsonResponse(EncodeReply(reply));
  if (reply.outcome == routing::Outcome::kNotRun)
    response.status = 503;
  if (reply.outcome == routing::Outcome::kUnknown)
    response.status = 504;
  if (reply.retry_after > Duration(0)) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(reply.retry_after);
    response.headers.push_back(
        {"Retry-After", std::to_string(seconds.count())});
  }
  return response;
}

routing::CallerReply AskAgain() {
  routing::CallerReply reply;
  reply.reason =
      "the node that issued the ticket does not answer; ask again with the "
      "same ticket";
  reply.retry_after = kAskAgainAfter;
  return reply;
}

// The router refuses a request that does not name an existing workspace.
HttpResponse RefusedResponse(const absl::Status& status) {
  if (status.code() != absl::StatusCode::kNotFound)
    return ErrorResponse(status);
  Findings findings;
  findings.Add({"", 0, "workspace"}, std::string(status.message()),
               "create it, or name an existing one");
  return ErrorResponse(findings);
}

}  // namespace

void RequestApi::Register(HttpServer& server) {
  server.Handle("POST", "/v1/tickets", [this](auto request, auto respond) {
    IssueTicket(request, respond);
  });
  server.Handle(
      "POST", "/v1/requests",
      [this](auto request, auto respond) { Submit(request, respond); },
      kLongestDeadline + kAnswerMargin);
}

void RequestApi::IssueTicket(const HttpRequest& request,
                             const Responder& respond) {
  if (!RequireToken(deps_.access, request, respond))
    return;
  Findings findings;
  if (!request.body.empty()) {
    if (const auto json = ParseJson(request.body, findings))
      JsonReader(*json, "", findings).Finish();
  }
  if (!findings.empty()) {
    respond(ErrorResponse(findings));
    return;
  }
  const TicketId ticket = deps_.router.IssueTicket(deps_.clock.Now());
  respond(JsonResponse({{"ticket", ticket.value()}}));
}

void RequestApi::Submit(const HttpRequest& request, const Responder& respond) {
  const Duration max_deadline =
      deps_.settings.tree().Limits().max_request_deadline;
  Findings findings;
  auto message = DecodeRequest(request.body, max_deadline, findings);
  if (!message) {
    respond(ErrorResponse(findings));
    return;
  }
  const WorkspaceId& workspace = message->request.workspace;
  if (!RequireUse(deps_.access, request, workspace, respond))
    return;
  if (message->timeout == Duration(0)) {
    message->timeout =
        deps_.settings.tree().RequestLimitsOf(workspace).default_deadline;
  }
  if (message->request.ticket.empty())
    SubmitHere(*std::move(message), respond);
  else
    SubmitForTicket(*std::move(message), request, respond);
}

void RequestApi::SubmitHere(RequestMessage message, const Responder& respond) {
  const TimePoint now = deps_.clock.Now();
  message.request.deadline = now + message.timeout;
  deps_.router.Submit(std::move(message.request), now, [respond](auto reply) {
    respond(reply.ok() ? ReplyResponse(*reply)
                       : RefusedResponse(reply.status()));
  });
}

void RequestApi::SubmitForTicket(RequestMessage message,
                                 const HttpRequest& request,
                                 const Responder& respond) {
  const TicketId ticket = message.request.ticket;
  const auto parts = routing::ParseTicket(ticket);
  if (!parts.ok()) {
    Findings findings;
    findings.Add({"", 0, "ticket"}, std::string(parts.status().message()),
                 "get one from POST /v1/tickets");
    respond(ErrorResponse(findings));
    return;
  }
  const KnownNode* issuer = deps_.nodes.Find(parts->node);
  const bool is_here = issuer != nullptr && issuer->is_self;
  if (is_here && issuer->incarnation == parts->incarnation) {
    SubmitHere(std::move(message), respond);
  } else if (is_here || deps_.nodes.HasGone(parts->node)) {
    deps_.archive.Find(*parts, ticket, [respond](const auto& reply) {
      respond(ReplyResponse(reply));
    });
  } else if (issuer != nullptr && !IsForwarded(request)) {
    // The node itself knows best whether the incarnation is its own: what this
    // node has read about it may be older than the ticket.
    AskIssuer(*issuer, message.timeout, request, respond);
  } else {
    respond(ReplyResponse(AskAgain()));
  }
}

// Whatever becomes of this call, an earlier one with the same ticket may have
// run, so a failure to ask is never "not run".
void RequestApi::AskIssuer(const KnownNode& issuer,
                           Duration timeout,
                           const HttpRequest& request,
                           const Responder& respond) {
  deps_.forwarder.Send(issuer.address, request, timeout + kAnswerMargin,
                       [respond](auto reply) {
                         if (reply.ok()) {
                           respond(ToHttpResponse(*reply));
                           return;
                         }
                         respond(ReplyResponse(AskAgain()));
                       });
}

}  // namespace quetzalshelf
