// HTTP client calls that do not block the io_context.

#ifndef DRIVERS_HTTP_HTTP_CALLER_H_
#define DRIVERS_HTTP_HTTP_CALLER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <asio/io_context.hpp>

#include "core/metrics.h"
#include "core/time.h"
#include "drivers/http/http_message.h"

namespace quetzalshelf {

// A fresh connection serves one call, so that no bytes of it can have been
// sent before the connection was made. Pooled connections are kept alive and
// are for idempotent calls.
enum class ConnectionUse { kPooled, kFresh };

struct HttpCall {
  std::string host;
  int port = 0;
  std::string method = "GET";
  std::string target;  // Path and query, percent-encoded.
  HttpFields headers;  // A Host field here replaces that of the destination.
  std::string body;
  std::string content_type = "application/json";
  // From Call to the callback. Connecting may take three quarters of it.
  Duration timeout{2'000};
  // Longest time without a byte of the answer, within `timeout`; 0: no limit of
  // its own. Only EventHttpClient keeps it.
  Duration stall_timeout{0};
  ConnectionUse connection = ConnectionUse::kPooled;
  size_t max_reply_bytes = size_t{16} << 20;
};

struct HttpCallerOptions {
  int threads = 16;       // Calls in progress at once.
  int max_pending = 512;  // Calls in progress and waiting for a thread.
  // Below the keep-alive time of the servers, so that a pooled connection is
  // not closed by the peer while a call is being written.
  Duration max_idle{1'000};
  int max_idle_per_destination = 4;
};

// Runs blocking calls on a bounded set of threads and the callbacks on the
// io_context. No call is ever sent twice. Counts calls and the bytes of the
// HTTP messages in the registry.
class HttpCaller {
 public:
  using Callback = std::function<void(absl::StatusOr<HttpResponse>)>;

  HttpCaller(asio::io_context& io,
             MetricsRegistry& metrics,
             HttpCallerOptions options);
  // Closes the connections of calls in progress; their callbacks do not run.
  ~HttpCaller();

  // Any response is a success, whatever its HTTP status. Errors: kUnavailable
  // (not connected, or too many calls are pending: nothing was sent), kUnknown
  // (failed after bytes may have been sent), kDeadlineExceeded (as kUnknown,
  // after the time-out). Call from the thread of the io_context.
  void Call(HttpCall call, Callback done);

 private:
  class Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_HTTP_CALLER_H_
