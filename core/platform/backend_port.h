// Interface to the backend servers.

#ifndef CORE_PLATFORM_BACKEND_PORT_H_
#define CORE_PLATFORM_BACKEND_PORT_H_

#include <functional>
#include <string>

#include <absl/status/statusor.h>

#include "core/ids.h"
#include "core/time.h"

namespace quetzalshelf {

struct BackendAddress {
  BackendId backend;
  std::string host;
  int port = 0;
};

// One request to a backend server.
struct BackendRequest {
  RequestId id;
  WorkspaceId workspace;
  std::string kind;
  bool idempotent = false;
  Duration timeout{0};
  std::string payload;
};

// A whole answer. `request` is the id that the server echoed; the caller of
// Send must compare it.
struct BackendReply {
  RequestId request;
  std::string payload;
  bool leaving = false;  // The server asks for no further requests.
  int free_slots = 0;
};

// Errors: kUnavailable (proved not run: the connection failed or the server
// refused the request before running it), kResourceExhausted (refused: no free
// slot; not run), kUnknown (bytes of the request may have reached the server
// and no whole answer came back), kDeadlineExceeded (as kUnknown, after the
// timeout). A request is sent at most once by each call of Send.
class BackendPort {
 public:
  using Callback = std::function<void(absl::StatusOr<BackendReply>)>;

  virtual ~BackendPort() = default;

  virtual void Send(const BackendAddress& backend,
                    const BackendRequest& request,
                    Callback done) = 0;
};

}  // namespace quetzalshelf

#endif  // CORE_PLATFORM_BACKEND_PORT_H_
