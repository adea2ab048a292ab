// HTTP server whose handlers run on one io_context.

#ifndef DRIVERS_HTTP_HTTP_SERVER_H_
#define DRIVERS_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <asio/io_context.hpp>

#include "core/metrics.h"
#include "core/time.h"
#include "drivers/http/http_message.h"
#include "drivers/http/responder.h"

namespace quetzalshelf {

struct HttpServerOptions {
  std::string host = "127.0.0.1";
  int port = 0;  // 0 lets the system choose; see HttpServer::port().
  // Connections served at once; further ones wait. Each holds a thread for as
  // long as it is kept alive.
  int connection_limit = 64;
  size_t max_body_bytes = size_t{1} << 20;
  // How long an idle connection is kept, in whole seconds, at least 1.
  Duration keep_alive{2'000};
  // After this a request without an answer gets 504 `deadline_exceeded`.
  Duration answer_limit{10'000};
};

// Requests are posted to the io_context; the connection's thread waits for the
// Responder. Counts calls and the bytes of
// the HTTP messages in the registry.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, Responder)>;

  HttpServer(asio::io_context& io,
             MetricsRegistry& metrics,
             HttpServerOptions options);
  // Answers requests in flight with 504 unless Stop finished first.
  ~HttpServer();

  // Patterns as in Router. Register before Start. `answer_limit` 0 takes the
  // one of the options.
  void Handle(std::string_view method,
              std::string_view pattern,
              Handler handler,
              Duration answer_limit = Duration{0});

  // Errors: kAlreadyExists (address in use), kUnavailable (any other failure
  // to bind).
  absl::Status Start();
  // The bound port; valid after Start.
  int port() const;

  // Accepts no further connections, lets requests in flight finish and idle
  // connections lapse, then runs `done` on the io_context, which must go on
  // running until then. Announce the stop some time before: a connection made
  // at this very moment may be closed without an answer.
  void Stop(std::function<void()> done);

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_HTTP_SERVER_H_
