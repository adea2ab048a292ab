// Data of the request router: what callers send and what they are told.

#ifndef SERVERS_ROUTING_TYPES_H_
#define SERVERS_ROUTING_TYPES_H_

#include <functional>
#include <string>

#include <absl/status/statusor.h>

#include "core/ids.h"
#include "core/time.h"

namespace quetzalshelf::routing {

// Limits of one workspace at one node.
struct WorkspaceLimits {
  WorkspaceId workspace;
  int max_in_flight = 64;
  int max_queued = 256;
  int weight = 1;  // Share of the free slots, relative.
};

struct CallerRequest {
  WorkspaceId workspace;
  std::string kind;
  bool idempotent = false;
  TimePoint deadline;
  TicketId ticket;  // Empty when the caller has none.
  std::string payload;
};

enum class Outcome {
  kAnswered,
  kNotRun,   // Proved: no backend server ran the request.
  kUnknown,  // It may have run; it is not run again.
};

struct CallerReply {
  Outcome outcome = Outcome::kUnknown;
  RequestId request;
  std::string payload;      // Set when answered.
  std::string reason;       // Set otherwise.
  Duration retry_after{0};  // When a new try makes sense; 0 when it does not.
};

// Errors: kInvalidArgument (the request itself is wrong; nothing ran),
// kNotFound (unknown workspace; nothing ran).
using ReplyCallback = std::function<void(absl::StatusOr<CallerReply>)>;

}  // namespace quetzalshelf::routing

#endif  // SERVERS_ROUTING_TYPES_H_
