// HTTP/1.1 client that runs all calls on the thread of one io_context.

#ifndef DRIVERS_HTTP_EVENT_HTTP_CLIENT_H_
#define DRIVERS_HTTP_EVENT_HTTP_CLIENT_H_

#include <functional>
#include <memory>

#include <absl/status/statusor.h>
#include <asio/io_context.hpp>

#include "core/time.h"
#include "drivers/http/http_caller.h"

namespace quetzalshelf {

struct EventHttpClientOptions {
  // Longest time to make a connection; a silent peer counts as unreachable.
  Duration connect_timeout{0};
  // Longer idle connections are not used again.
  Duration max_idle{0};
  int max_idle_per_destination = 0;
  // Idle connections to all destinations together. Beyond it the one that was
  // used least recently is closed.
  size_t max_idle_total = 1'000;
  size_t max_header_bytes = 0;
};

// Keeps connections alive, one call at a time on each. A connection whose call
// failed or ran out of time is closed. No call is ever sent twice.
class EventHttpClient {
 public:
  using Callback = std::function<void(absl::StatusOr<HttpResponse>)>;

  EventHttpClient(asio::io_context& io, EventHttpClientOptions options);
  // Callbacks of calls in progress do not run.
  ~EventHttpClient();

  // Errors as of HttpCaller::Call. `call.connection` is kFresh to make a
  // connection for this call.
  void Call(HttpCall call, Callback done);

 private:
  class Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_EVENT_HTTP_CLIENT_H_
