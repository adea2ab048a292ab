#include "drivers/http/http_connection.h"

#include <algorithm>
#include <utility>

#include <httplib.h>

namespace quetzalshelf {

namespace {

using SteadyClock = std::chrono::steady_clock;

// The library rounds time-outs down, so that a read could end just before the
// deadline and look like a failure of the peer.
constexpr std::chrono::milliseconds kIoSlack{100};

std::chrono::microseconds Remaining(HttpConnection::Deadline deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
      deadline - SteadyClock::now());
  return std::max(left, std::chrono::microseconds(1'000));
}

// `  HTTP/1.1` and the line end of a request, and `HTTP/1.1 200 OK` with it.
constexpr size_t kRequestLineBytes = 12;
constexpr size_t kStatusLineBytes = 17;

// Bytes of `name: value` lines and of the empty line after them.
size_t HeaderBytes(const httplib::Headers& headers) {
  size_t n = 2;
  for (const auto& [name, value] : headers)
    n += name.size() + value.size() + 4;
  return n;
}

httplib::Request ToLibrary(const HttpCall& call) {
  httplib::Request req;
  req.method = call.method;
  req.path = call.target;
  for (const HttpField& it : call.headers)
    req.headers.emplace(it.name, it.value);
  if (!call.body.empty())
    req.headers.emplace("Content-Type", call.content_type);
  req.body = call.body;
  return req;
}

HttpResponse FromLibrary(const httplib::Response& res, std::string body) {
  HttpResponse response;
  response.status = res.status;
  response.content_type = res.get_header_value("Content-Type");
  for (const auto& [name, value] : res.headers)
    response.headers.push_back({name, value});
  response.body = std::move(body);
  return response;
}

}  // namespace

// Notes whether a call got as far as a connection.
class HttpConnection::Client : public httplib::ClientImpl {
 public:
  Client(const std::string& host, int port) : ClientImpl(host, port) {
    set_keep_alive(true);
    set_tcp_nodelay(true);
    set_follow_location(false);
    set_url_encode(false);
  }

  void Begin(Deadline deadline) {
    deadline_ = deadline;
    connect_failed_ = false;
    // A connect that ends well before the deadline proves that nothing was
    // sent; at the deadline the outcome would be reported as open.
    set_connection_timeout(Remaining(deadline) * 3 / 4);
    LimitIo();
  }
  bool connect_failed() const { return connect_failed_; }

 protected:
  bool create_and_connect_socket(Socket& socket,
                                 httplib::Error& error) override {
    const bool ok = ClientImpl::create_and_connect_socket(socket, error);
    connect_failed_ = !ok;
    LimitIo();
    return ok;
  }

 private:
  void LimitIo() {
    set_read_timeout(Remaining(deadline_) + kIoSlack);
    set_write_timeout(Remaining(deadline_) + kIoSlack);
  }

  Deadline deadline_;
  bool connect_failed_ = false;
};

HttpConnection::HttpConnection(const std::string& host, int port)
    : client_(std::make_unique<Client>(host, port)) {}

HttpConnection::~HttpConnection() = default;

absl::StatusOr<HttpResponse> HttpConnection::Send(const HttpCall& call,
                                                  Deadline deadline) {
  std::string body;
  bool too_large = false;
  httplib::Request req = ToLibrary(call);
  req.content_receiver = [&](const char* data, size_t n, uint64_t, uint64_t) {
    too_large = body.size() + n > call.max_reply_bytes;
    if (too_large || SteadyClock::now() >= deadline)
      return false;
    body.append(data, n);
    return true;
  };
  client_->Begin(deadline);
  httplib::Response res;
  auto error = httplib::Error::Success;
  const bool ok = client_->send(req, res, error);
  // The library has added its own headers to the request.
  bytes_sent_ = client_->connect_failed()
                    ? 0
                    : kRequestLineBytes + req.method.size() + req.path.size() +
                          HeaderBytes(req.headers) + req.body.size();
  bytes_received_ =
      ok ? kStatusLineBytes + HeaderBytes(res.headers) + body.size() : 0;
  if (ok)
    return FromLibrary(res, std::move(body));
  const std::string peer = call.host + ":" + std::to_string(call.port);
  if (client_->connect_failed())
    return absl::UnavailableError("cannot connect to " + peer);
  if (too_large)
    return absl::UnknownError("the answer of " + peer + " is too large");
  if (SteadyClock::now() >= deadline)
    return absl::DeadlineExceededError("no whole answer in time from " + peer);
  return absl::UnknownError("the connection to " + peer +
                            " failed: " + httplib::to_string(error));
}

bool HttpConnection::reusable() const {
  return client_->is_socket_open() != 0;
}

void HttpConnection::Abort() {
  client_->stop();
}

}  // namespace quetzalshelf
