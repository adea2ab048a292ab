#include "drivers/http/event_http_server.h"

#include <array>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "core/logging.h"
#include "drivers/http/http_status.h"
#include "drivers/http/http_text.h"

namespace quetzalshelf {

namespace {

using asio::ip::tcp;

constexpr size_t kReadBytes = 8192;
// Connections beyond the limit whose callers are told to come back; more are
// closed without an answer.
constexpr int kRefusalConnections = 32;
constexpr char kRefusalRetryAfter[] = "1";  // Seconds.
// Time between two log lines on requests that are refused for lack of memory.
constexpr Duration kMemoryLogInterval{1'000};
// Pause of accepting after a failure such as a lack of descriptors.
constexpr Duration kAcceptRetry{100};

int StatusOf(HttpStreamParser::Error error) {
  switch (error) {
    case HttpStreamParser::Error::kHeaderTooLarge:
      return http_status::kHeaderTooLarge;
    case HttpStreamParser::Error::kBodyTooLarge:
      return http_status::kPayloadTooLarge;
    case HttpStreamParser::Error::kMalformed:
    case HttpStreamParser::Error::kNone:
      break;
  }
  return http_status::kBadRequest;
}

}  // namespace

class EventHttpServer::Impl
    : public std::enable_shared_from_this<EventHttpServer::Impl> {
 public:
  Impl(asio::io_context& io, EventHttpServerOptions options, Handler handler)
      : io_(io),
        options_(std::move(options)),
        handler_(std::move(handler)),
        acceptor_(io),
        accept_timer_(io) {}

  absl::Status Start();
  void Shutdown();
  void BeginDrain(Duration linger);

  int port() const { return port_; }
  int in_flight() const { return in_flight_; }
  int connections() const { return static_cast<int>(connections_.size()); }
  size_t held_bytes() const { return held_bytes_; }
  int64_t refused_for_memory() const { return refused_for_memory_; }

 private:
  class Connection;

  bool IsOverLimit() const {
    return options_.held_bytes_limit > 0 &&
           held_bytes_ > options_.held_bytes_limit;
  }
  // Refuses unfinished requests, the largest first, until the rest is within
  // the limit.
  void MakeRoom();
  void RecordRefusal();

  void Accept();
  // Logs when the limit is reached, and when there is room again.
  void LogLimit(bool full);

  asio::io_context& io_;
  EventHttpServerOptions options_;
  Handler handler_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  std::set<std::shared_ptr<Connection>> connections_;
  int port_ = 0;
  int in_flight_ = 0;
  bool draining_ = false;
  bool full_ = false;
  size_t held_bytes_ = 0;
  int64_t refused_for_memory_ = 0;
  int64_t logged_refusals_ = 0;
  std::optional<std::chrono::steady_clock::time_point> logged_at_;
};

// One connection: reads a request, waits for its answer, writes it, and reads
// the next one.
class EventHttpServer::Impl::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  // With `refuse`, the first request is answered with 503 and not handled.
  Connection(Impl& server, tcp::socket socket, bool refuse)
      : server_(server.weak_from_this()),
        refuse_(refuse),
        socket_(std::move(socket)),
        timer_(server.io_),
        parser_(HttpMessageKind::kRequest, server.options_.limits),
        idle_timeout_(server.options_.idle_timeout),
        request_timeout_(server.options_.request_timeout) {}

  void Run() {
    Arm(idle_timeout_);
    Read();
  }

  void Close() {
    if (closed_)
      return;
    closed_ = true;
    asio::error_code ec;
    timer_.cancel();
    socket_.close(ec);
    ReleaseMemory();
    Charge(0);
    if (const auto server = server_.lock())
      server->connections_.erase(shared_from_this());
  }

  size_t charged() const { return charged_; }
  // Whether a part of a request has come, and none of it was handled.
  bool has_unfinished_request() const {
    return !busy_ && !closed_ && parser_.started();
  }

  // Answers with 503 a request that was not handled, and closes the connection,
  // since the rest of the request may still come.
  void Refuse() {
    ReleaseMemory();
    Write({.status = http_status::kServiceUnavailable,
           .headers = {{"Retry-After", kRefusalRetryAfter}}},
          false);
  }

  // Closes an idle connection after `linger`.
  void BeginDrain(Duration linger) {
    idle_timeout_ = linger;
    if (!busy_ && !parser_.started())
      Arm(linger);
  }

 private:
  void Arm(Duration timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& ec) {
      if (!ec && (!self->busy_ || self->writing_))
        self->Close();
    });
  }

  // Counts what the connection holds by now.
  void Charge() {
    Charge(pending_.capacity() + parser_.held_bytes() + text_.capacity() +
           handled_bytes_);
  }

  void Charge(size_t held) {
    if (const auto server = server_.lock())
      server->held_bytes_ += held - charged_;
    charged_ = held;
  }

  void ReleaseMemory() {
    parser_.ReleaseMemory();
    std::string().swap(pending_);
    handled_bytes_ = 0;
    // A write under way needs its text.
    if (!writing_)
      std::string().swap(text_);
    Charge();
  }

  void Read() {
    socket_.async_read_some(
        asio::buffer(buf_),
        [self = shared_from_this()](const asio::error_code& ec, size_t n) {
          self->OnRead(ec, n);
        });
  }

  void OnRead(const asio::error_code& ec, size_t n) {
    if (closed_)
      return;
    if (ec) {
      Close();
      return;
    }
    pending_.append(buf_.data(), n);
    if (!busy_)
      Parse();
  }

  void Parse() {
    const bool was_started = parser_.started();
    pending_.erase(0, parser_.Feed(pending_));
    if (parser_.error() != HttpStreamParser::Error::kNone) {
      Write({.status = StatusOf(parser_.error())}, false);
      return;
    }
    if (!parser_.done()) {
      if (!was_started && parser_.started())
        Arm(request_timeout_);
      Charge();
      if (const auto server = server_.lock())
        server->MakeRoom();
      // It may be the one that was refused.
      if (!busy_ && !closed_)
        Read();
      return;
    }
    Dispatch();
  }

  void Dispatch() {
    const auto server = server_.lock();
    if (!server) {
      Close();
      return;
    }
    if (refuse_) {
      Refuse();
      return;
    }
    Charge();
    // Requests that are being handled count first.
    server->MakeRoom();
    if (busy_ || closed_)
      return;
    if (server->IsOverLimit()) {
      server->RecordRefusal();
      Refuse();
      return;
    }
    const size_t held = parser_.held_bytes();
    HttpRequest request;
    request.method = parser_.method();
    ParseTarget(parser_.target(), request);
    request.headers = std::move(parser_.headers());
    request.body = std::move(parser_.body());
    const bool keep_alive = parser_.keep_alive();
    parser_.ReleaseMemory();
    handled_bytes_ = held;
    Charge();
    busy_ = true;
    ++server->in_flight_;
    server->handler_(std::move(request),
                     [self = shared_from_this(), keep_alive,
                      answered = false](const HttpResponse& response) mutable {
                       if (std::exchange(answered, true))
                         return;
                       self->OnAnswer(response, keep_alive);
                     });
  }

  void OnAnswer(const HttpResponse& response, bool keep_alive) {
    const auto server = server_.lock();
    if (server)
      --server->in_flight_;
    if (!server || closed_)
      return;
    handled_bytes_ = 0;
    Write(response, keep_alive && !server->draining_);
  }

  void Write(const HttpResponse& response, bool keep_alive) {
    busy_ = true;
    writing_ = true;
    text_ = SerializeResponse(response, keep_alive);
    Charge();
    Arm(request_timeout_);
    asio::async_write(socket_, asio::buffer(text_),
                      [self = shared_from_this(), keep_alive](
                          const asio::error_code& ec, size_t) {
                        self->OnWritten(ec, keep_alive);
                      });
  }

  void OnWritten(const asio::error_code& ec, bool keep_alive) {
    writing_ = false;
    if (closed_)
      return;
    std::string().swap(text_);
    Charge();
    if (ec || !keep_alive) {
      asio::error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      Close();
      return;
    }
    busy_ = false;
    Arm(idle_timeout_);
    Parse();
  }

  std::weak_ptr<Impl> server_;
  bool refuse_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  HttpStreamParser parser_;
  std::array<char, kReadBytes> buf_;
  std::string pending_;
  std::string text_;
  Duration idle_timeout_;
  Duration request_timeout_;
  bool busy_ = false;
  bool writing_ = false;
  bool closed_ = false;
  size_t handled_bytes_ = 0;  // Of the request that is being handled.
  size_t charged_ = 0;        // Of the server's `held_bytes_`.
};

absl::Status EventHttpServer::Impl::Start() {
  asio::error_code ec;
  const auto address = asio::ip::make_address(options_.host, ec);
  if (ec)
    return absl::InvalidArgumentError("not an IP number: " + options_.host);
  const tcp::endpoint endpoint(address,
                               static_cast<asio::ip::port_type>(options_.port));
  acceptor_.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor_.bind(endpoint, ec);
  if (!ec)
    acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  const std::string place =
      options_.host + ":" + std::to_string(options_.port) + ": ";
  if (ec == asio::error::address_in_use)
    return absl::AlreadyExistsError(place + ec.message());
  if (ec)
    return absl::UnavailableError(place + ec.message());
  port_ = acceptor_.local_endpoint().port();
  Accept();
  return absl::OkStatus();
}

void EventHttpServer::Impl::Accept() {
  acceptor_.async_accept([self = shared_from_this()](const asio::error_code& ec,
                                                     tcp::socket socket) {
    if (ec == asio::error::operation_aborted || !self->acceptor_.is_open())
      return;
    if (ec) {
      LOG(WARNING) << "cannot accept a connection: " << ec.message();
      self->accept_timer_.expires_after(kAcceptRetry);
      self->accept_timer_.async_wait([self](const asio::error_code& failed) {
        if (!failed)
          self->Accept();
      });
      return;
    }
    const int excess = self->connections() - self->options_.connection_limit;
    self->LogLimit(excess >= 0);
    if (excess < kRefusalConnections) {
      asio::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto connection = std::make_shared<Connection>(
          *self, std::move(socket), /*refuse=*/excess >= 0);
      self->connections_.insert(connection);
      connection->Run();
    }
    self->Accept();
  });
}

void EventHttpServer::Impl::LogLimit(bool full) {
  if (std::exchange(full_, full) == full)
    return;
  if (full) {
    LOG(WARNING) << "connection limit reached, refusing callers: limit="
                 << options_.connection_limit << " port=" << port_;
  } else {
    LOG(INFO) << "connections are accepted again: port=" << port_;
  }
}

void EventHttpServer::Impl::MakeRoom() {
  while (IsOverLimit()) {
    std::shared_ptr<Connection> largest;
    for (const auto& it : connections_) {
      if (it->has_unfinished_request() &&
          (!largest || it->charged() > largest->charged()))
        largest = it;
    }
    if (!largest)
      return;
    RecordRefusal();
    largest->Refuse();
  }
}

void EventHttpServer::Impl::RecordRefusal() {
  ++refused_for_memory_;
  const auto now = std::chrono::steady_clock::now();
  if (logged_at_ && now - *logged_at_ < kMemoryLogInterval)
    return;
  LOG(WARNING) << "memory for callers is full, refusing the largest requests: "
               << "refused=" << refused_for_memory_ - logged_refusals_
               << " held_bytes=" << held_bytes_
               << " limit=" << options_.held_bytes_limit << " port=" << port_;
  logged_at_ = now;
  logged_refusals_ = refused_for_memory_;
}

void EventHttpServer::Impl::BeginDrain(Duration linger) {
  draining_ = true;
  options_.idle_timeout = linger;
  for (const auto& it : connections_)
    it->BeginDrain(linger);
}

void EventHttpServer::Impl::Shutdown() {
  asio::error_code ec;
  acceptor_.close(ec);
  accept_timer_.cancel();
  const auto connections = std::exchange(connections_, {});
  for (const auto& it : connections)
    it->Close();
}

EventHttpServer::EventHttpServer(asio::io_context& io,
                                 EventHttpServerOptions options,
                                 Handler handler)
    : impl_(
          std::make_shared<Impl>(io, std::move(options), std::move(handler))) {}

EventHttpServer::~EventHttpServer() {
  impl_->Shutdown();
}

absl::Status EventHttpServer::Start() {
  return impl_->Start();
}

int EventHttpServer::port() const {
  return impl_->port();
}

void EventHttpServer::BeginDrain(Duration linger) {
  impl_->BeginDrain(linger);
}

int EventHttpServer::requests_in_flight() const {
  return impl_->in_flight();
}

size_t EventHttpServer::held_bytes() const {
  return impl_->held_bytes();
}

int64_t EventHttpServer::refused_for_memory() const {
  return impl_->refused_for_memory();
}

int EventHttpServer::connections() const {
  return impl_->connections();
}

}  // namespace quetzalshelf
