#include "main/daemon/api/request_codec.h"

#include <array>
#include <limits>
#include <utility>

namespace quetzalshelf {

namespace {

constexpr size_t kMaxPayloadBytes = size_t{1} << 20;

struct OutcomeName {
  routing::Outcome outcome;
  std::string_view name;
};

constexpr std::array<OutcomeName, 3> kOutcomeNames = {{
    {routing::Outcome::kAnswered, "answered"},
    {routing::Outcome::kNotRun, "not_run"},
    {routing::Outcome::kUnknown, "unknown"},
}};

}  // namespace

std::optional<RequestMessage> DecodeRequest(std::string_view body,
                                            Duration max_timeout,
                                            Findings& findings) {
  const auto json = ParseJson(body, findings);
  if (!json)
    return std::nullopt;
  JsonReader reader(*json, "", findings);
  RequestMessage message;
  message.request.workspace = reader.RequireId<WorkspaceId>("workspace");
  message.request.kind = reader.RequireString("kind", 64);
  message.request.idempotent = reader.RequireBool("idempotent");
  message.timeout =
      Duration(reader.OptionalInt("deadline_ms", 1, max_timeout.count(), 0));
  message.request.ticket = TicketId(reader.OptionalString("ticket"));
  message.request.payload = reader.RequireString("payload", kMaxPayloadBytes);
  reader.Finish();
  if (!findings.empty())
    return std::nullopt;
  return message;
}

Json EncodeReply(const routing::CallerReply& reply) {
  return {{"outcome", ToString(reply.outcome)},
          {"request", reply.request.value()},
          {"payload", reply.payload},
          {"reason", reply.reason},
          {"retry_after_ms", reply.retry_after.count()}};
}

std::optional<routing::CallerReply> DecodeReplyMessage(const Json& json,
                                                       const std::string& path,
                                                       Findings& findings) {
  const size_t before = findings.items().size();
  JsonReader reader(json, path, findings);
  routing::CallerReply reply;
  const std::string outcome = reader.RequireString("outcome");
  bool known = false;
  for (const auto& [value, name] : kOutcomeNames) {
    if (outcome != name)
      continue;
    reply.outcome = value;
    known = true;
  }
  if (!known)
    reader.AddFinding("outcome", "must be answered, not_run or unknown");
  reply.request = RequestId(reader.RequireString("request"));
  reply.payload = reader.RequireString("payload", kMaxPayloadBytes);
  reply.reason = reader.RequireString("reason", kMaxPayloadBytes);
  reply.retry_after = Duration(reader.RequireInt(
      "retry_after_ms", 0, std::numeric_limits<int32_t>::max()));
  reader.Finish();
  if (findings.items().size() != before)
    return std::nullopt;
  return reply;
}

std::string_view ToString(routing::Outcome outcome) {
  for (const auto& [value, name] : kOutcomeNames) {
    if (value == outcome)
      return name;
  }
  return "unknown";
}

}  // namespace quetzalshelf
