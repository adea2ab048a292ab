// HTTP/1.1 server that serves all connections on the thread of one io_context.

#ifndef DRIVERS_HTTP_EVENT_HTTP_SERVER_H_
#define DRIVERS_HTTP_EVENT_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <asio/io_context.hpp>

#include "core/time.h"
#include "drivers/http/http_message.h"
#include "drivers/http/http_stream_parser.h"

namespace quetzalshelf {

struct EventHttpServerOptions {
  std::string host;
  int port = 0;  // 0 lets the system choose; see port().
  // Requests on further connections are answered with 503 and not handled; a
  // few dozen more descriptors are taken for that.
  int connection_limit = 0;
  HttpMessageLimits limits;
  // A connection without a request for this long is closed.
  Duration idle_timeout{0};
  // Time for a request to arrive completely after its first byte, and for an
  // answer to be taken.
  Duration request_timeout{0};
  // Most that requests and answers of all connections may hold together, in
  // bytes; 0: no limit. Beyond it the largest unfinished requests are refused
  // with 503, which have not been handled.
  size_t held_bytes_limit = 0;
};

// A connection costs one descriptor and its buffers, not a thread.
class EventHttpServer {
 public:
  // Answers the request; call it once, at any later time. It has no effect
  // after the peer has closed the connection.
  using Reply = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Reply)>;

  EventHttpServer(asio::io_context& io,
                  EventHttpServerOptions options,
                  Handler handler);
  // Closes all connections.
  ~EventHttpServer();

  // Errors: kAlreadyExists (address in use), kInvalidArgument (not an IP
  // number), kUnavailable (any other failure to bind).
  absl::Status Start();
  int port() const;

  // From now on each answer closes its connection, and idle connections are
  // closed after `linger`. New connections are still accepted, since callers
  // may hold an address for a while.
  void BeginDrain(Duration linger);
  // Requests that were read and have no answer yet.
  int requests_in_flight() const;
  int connections() const;
  // Held by requests and answers of all connections.
  size_t held_bytes() const;
  // Requests that were refused for `held_bytes_limit` so far.
  int64_t refused_for_memory() const;

 private:
  class Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_EVENT_HTTP_SERVER_H_
