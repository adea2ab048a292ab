// JSON codec of callers' requests and their replies.

#ifndef MAIN_DAEMON_API_REQUEST_CODEC_H_
#define MAIN_DAEMON_API_REQUEST_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/finding.h"
#include "core/json_reader.h"
#include "core/time.h"
#include "servers/routing/types.h"

namespace quetzalshelf {

// A request as sent; its deadline still is relative to its arrival.
struct RequestMessage {
  routing::CallerRequest request;
  Duration timeout{0};  // 0 takes the default of the workspace.
};

// `{"workspace","kind","idempotent","deadline_ms","ticket","payload"}`. Gives
// nullopt and at least one finding for a bad message.
std::optional<RequestMessage> DecodeRequest(std::string_view body,
                                            Duration max_timeout,
                                            Findings& findings);

// `{"outcome","request","payload","reason","retry_after_ms"}`.
Json EncodeReply(const routing::CallerReply& reply);
std::optional<routing::CallerReply> DecodeReplyMessage(const Json& json,
                                                       const std::string& path,
                                                       Findings& findings);

std::string_view ToString(routing::Outcome outcome);

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_API_REQUEST_CODEC_H_
