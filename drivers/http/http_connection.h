// One HTTP client connection, used by one thread at a time.

#ifndef DRIVERS_HTTP_HTTP_CONNECTION_H_
#define DRIVERS_HTTP_HTTP_CONNECTION_H_

#include <chrono>
#include <memory>

#include <absl/status/statusor.h>

#include "drivers/http/http_caller.h"
#include "drivers/http/http_message.h"

namespace quetzalshelf {

// Blocking. Sends each call at most once and tells whether a failed call can
// have reached the peer.
class HttpConnection {
 public:
  using Deadline = std::chrono::steady_clock::time_point;

  HttpConnection(const std::string& host, int port);
  ~HttpConnection();

  // Errors as in HttpCaller::Call.
  absl::StatusOr<HttpResponse> Send(const HttpCall& call, Deadline deadline);
  // Bytes of the HTTP messages of the last Send. Of a failed one, the request
  // counts as sent whole once there was a connection.
  size_t bytes_sent() const { return bytes_sent_; }
  size_t bytes_received() const { return bytes_received_; }
  // Whether the connection can serve a further call.
  bool reusable() const;
  // Makes a Send on another thread fail soon. Waits while it connects.
  void Abort();

 private:
  class Client;

  std::unique_ptr<Client> client_;
  size_t bytes_sent_ = 0;
  size_t bytes_received_ = 0;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_HTTP_CONNECTION_H_
