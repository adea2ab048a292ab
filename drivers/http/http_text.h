// Serialization of HTTP/1.1 messages.

#ifndef DRIVERS_HTTP_HTTP_TEXT_H_
#define DRIVERS_HTTP_HTTP_TEXT_H_

#include <string>
#include <string_view>

#include "drivers/http/http_caller.h"
#include "drivers/http/http_message.h"

namespace quetzalshelf {

// A response with its length, and `Connection: close` unless `keep_alive`.
std::string SerializeResponse(const HttpResponse& response, bool keep_alive);
std::string SerializeRequest(const HttpCall& call);

// Splits `target` into the decoded path and query of `request`.
void ParseTarget(std::string_view target, HttpRequest& request);

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_HTTP_TEXT_H_
