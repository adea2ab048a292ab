// JSON codec of the backend protocol, shared by client and stand-in.

#ifndef DRIVERS_BACKEND_BACKEND_CODEC_H_
#define DRIVERS_BACKEND_BACKEND_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/finding.h"
#include "core/json_reader.h"
#include "core/platform/backend_port.h"

namespace quetzalshelf {

constexpr char kBackendRunPath[] = "/run";
// Every answer echoes the request id in this header, refusals as well.
constexpr char kRequestIdHeader[] = "X-Request-Id";

constexpr size_t kMaxRequestPayloadBytes = size_t{1} << 20;
constexpr size_t kMaxReplyPayloadBytes = size_t{4} << 20;

// `{"request","workspace","kind","idempotent","payload"}`.
Json EncodeBackendRequest(const BackendRequest& request);
// `{"request","length","payload","leaving","free_slots"}`; `length` is the
// number of bytes of the payload.
Json EncodeBackendReply(const BackendReply& reply);

// Each gives nullopt and at least one finding for a bad message. The timeout is
// not part of the message.
std::optional<BackendRequest> DecodeBackendRequest(std::string_view body,
                                                   Findings& findings);
// A payload that differs from the stated length is a finding.
std::optional<BackendReply> DecodeBackendReply(std::string_view body,
                                               Findings& findings);

}  // namespace quetzalshelf

#endif  // DRIVERS_BACKEND_BACKEND_CODEC_H_
