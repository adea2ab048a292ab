// Steps common to the HTTP clients of the platform's services.

#ifndef DRIVERS_PLATFORM_PLATFORM_CALL_H_
#define DRIVERS_PLATFORM_PLATFORM_CALL_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <absl/status/statusor.h>

#include "core/finding.h"
#include "drivers/http/http_caller.h"
#include "drivers/platform/platform_address.h"

namespace quetzalshelf {

HttpCall MakePlatformCall(const PlatformAddress& address,
                          std::string method,
                          std::string target);

// The status of a call. Errors that the platform interfaces do not have become
// kDeadlineExceeded (unknown outcome).
absl::Status PlatformStatus(const absl::StatusOr<HttpResponse>& response);

// The decoded body of a call without effects; a body that cannot be read is
// kUnavailable.
template <typename Message>
absl::StatusOr<Message> DecodeReply(
    const absl::StatusOr<HttpResponse>& response,
    std::optional<Message> (*decode)(std::string_view, Findings&)) {
  if (absl::Status status = PlatformStatus(response); !status.ok())
    return status;
  Findings findings;
  std::optional<Message> message = decode(response->body, findings);
  if (!message) {
    return absl::UnavailableError("the answer cannot be read: " +
                                  findings.ToString());
  }
  return *std::move(message);
}

}  // namespace quetzalshelf

#endif  // DRIVERS_PLATFORM_PLATFORM_CALL_H_
