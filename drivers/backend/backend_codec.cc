#include "drivers/backend/backend_codec.h"

namespace quetzalshelf {

namespace {

constexpr int kMaxSlots = 1'000'000;

}  // namespace

Json EncodeBackendRequest(const BackendRequest& request) {
  return {{"request", request.id.value()},
          {"workspace", request.workspace.value()},
          {"kind", request.kind},
          {"idempotent", request.idempotent},
          {"payload", request.payload}};
}

Json EncodeBackendReply(const BackendReply& reply) {
  return {{"request", reply.request.value()},
          {"length", reply.payload.size()},
          {"payload", reply.payload},
          {"leaving", reply.leaving},
          {"free_slots", reply.free_slots}};
}

std::optional<BackendRequest> DecodeBackendRequest(std::string_view body,
                                                   Findings& findings) {
  const std::optional<Json> json = ParseJson(body, findings);
  if (!json)
    return std::nullopt;
  JsonReader reader(*json, "", findings);
  BackendRequest request;
  request.id = reader.RequireId<RequestId>("request");
  request.workspace = WorkspaceId(reader.RequireString("workspace"));
  request.kind = reader.RequireString("kind");
  request.idempotent = reader.RequireBool("idempotent");
  request.payload = reader.RequireString("payload", kMaxRequestPayloadBytes);
  reader.Finish();
  if (!findings.empty())
    return std::nullopt;
  return request;
}

std::optional<BackendReply> DecodeBackendReply(std::string_view body,
                                               Findings& findings) {
  const std::optional<Json> json = ParseJson(body, findings);
  if (!json)
    return std::nullopt;
  JsonReader reader(*json, "", findings);
  BackendReply reply;
  reply.request = reader.RequireId<RequestId>("request");
  const int64_t length = reader.RequireInt(
      "length", 0, static_cast<int64_t>(kMaxReplyPayloadBytes));
  reply.payload = reader.RequireString("payload", kMaxReplyPayloadBytes);
  if (reply.payload.size() != static_cast<size_t>(length))
    reader.AddFinding("payload", "does not have the stated length");
  reply.leaving = reader.OptionalBool("leaving", false);
  reply.free_slots =
      static_cast<int>(reader.OptionalInt("free_slots", 0, kMaxSlots, 0));
  reader.Finish();
  if (!findings.empty())
    return std::nullopt;
  return reply;
}

}  // namespace quetzalshelf
