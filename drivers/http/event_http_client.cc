#include "drivers/http/event_http_client.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <list>
#include <map>
#include <utility>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "drivers/http/http_stream_parser.h"
#include "drivers/http/http_text.h"

namespace quetzalshelf {

namespace {

using asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr size_t kReadBytes = 16384;

}  // namespace

class EventHttpClient::Impl
    : public std::enable_shared_from_this<EventHttpClient::Impl> {
 public:
  Impl(asio::io_context& io, EventHttpClientOptions options)
      : io_(io), options_(options) {}

  void Call(HttpCall call, Callback done);
  void Shutdown() {
    stopped_ = true;
    idle_.clear();
    idle_by_endpoint_.clear();
  }

 private:
  class Exchange;
  struct IdleConnection {
    tcp::endpoint endpoint;
    std::unique_ptr<tcp::socket> socket;
    SteadyTime since;
  };
  using IdleList = std::list<IdleConnection>;

  std::unique_ptr<tcp::socket> TakeIdle(const tcp::endpoint& endpoint);
  void PutIdle(const tcp::endpoint& endpoint,
               std::unique_ptr<tcp::socket> socket);
  // Closes the connection that became idle first.
  void CloseOldestIdle();

  asio::io_context& io_;
  EventHttpClientOptions options_;
  IdleList idle_;  // In the order in which they became idle.
  // The same connections, in the same order for each destination.
  std::map<tcp::endpoint, std::deque<IdleList::iterator>> idle_by_endpoint_;
  bool stopped_ = false;
};

// One call on one connection.
class EventHttpClient::Impl::Exchange
    : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<Impl> client,
           HttpCall call,
           tcp::endpoint endpoint,
           Callback done)
      : client_(std::move(client)),
        endpoint_(std::move(endpoint)),
        call_(std::move(call)),
        text_(SerializeRequest(call_)),
        done_(std::move(done)),
        timer_(client_->io_),
        parser_(HttpMessageKind::kResponse,
                {client_->options_.max_header_bytes, call_.max_reply_bytes}) {}

  void Run(std::unique_ptr<tcp::socket> idle) {
    ArmForAnswer();
    if (idle) {
      socket_ = std::move(idle);
      Write();
      return;
    }
    socket_ = std::make_unique<tcp::socket>(client_->io_);
    connecting_ = true;
    if (client_->options_.connect_timeout < call_.timeout)
      Arm(client_->options_.connect_timeout, &Exchange::OnConnectTimeout);
    socket_->async_connect(
        endpoint_, [self = shared_from_this()](const asio::error_code& ec) {
          self->OnConnected(ec);
        });
  }

 private:
  void Arm(Duration timeout, void (Exchange::*handler)()) {
    timer_.expires_after(timeout);
    timer_.async_wait(
        [self = shared_from_this(), handler](const asio::error_code& ec) {
          if (!ec && self->done_)
            (self.get()->*handler)();
        });
  }

  // From now on the answer, or its next bytes if it has a stall time-out, must
  // arrive in time.
  void ArmForAnswer() {
    answer_deadline_ = std::chrono::steady_clock::now() + call_.timeout;
    ArmForBytes();
  }

  void ArmForBytes() {
    if (call_.stall_timeout.count() == 0) {
      Arm(call_.timeout, &Exchange::OnTimeout);
      return;
    }
    const auto left = std::chrono::duration_cast<Duration>(
        answer_deadline_ - std::chrono::steady_clock::now());
    Arm(std::clamp(left, Duration(0), call_.stall_timeout),
        &Exchange::OnTimeout);
  }

  void OnConnectTimeout() {
    Fail(absl::UnavailableError("connecting timed out"));
  }

  void OnTimeout() {
    Fail(connecting_ ? absl::UnavailableError("connecting timed out")
                     : absl::DeadlineExceededError("no answer in time"));
  }

  void OnConnected(const asio::error_code& ec) {
    if (!done_)
      return;
    connecting_ = false;
    if (ec) {
      Fail(absl::UnavailableError("cannot connect: " + ec.message()));
      return;
    }
    asio::error_code ignored;
    socket_->set_option(tcp::no_delay(true), ignored);
    ArmForAnswer();
    Write();
  }

  void Write() {
    asio::async_write(
        *socket_, asio::buffer(text_),
        [self = shared_from_this()](const asio::error_code& ec, size_t) {
          if (!self->done_)
            return;
          if (ec)
            self->FailExchange(ec);
          else
            self->Read();
        });
  }

  void Read() {
    socket_->async_read_some(
        asio::buffer(buf_),
        [self = shared_from_this()](const asio::error_code& ec, size_t n) {
          self->OnRead(ec, n);
        });
  }

  void OnRead(const asio::error_code& ec, size_t n) {
    if (!done_)
      return;
    if (ec == asio::error::eof)
      parser_.FeedEnd();
    if (!ec)
      parser_.Feed(std::string_view(buf_.data(), n));
    if (parser_.error() != HttpStreamParser::Error::kNone) {
      Fail(absl::UnknownError("the response cannot be read"));
      return;
    }
    if (parser_.done()) {
      Finish(ec);
      return;
    }
    if (ec) {
      FailExchange(ec);
      return;
    }
    if (call_.stall_timeout.count() > 0)
      ArmForBytes();
    Read();
  }

  void Finish(const asio::error_code& ec) {
    HttpResponse response;
    response.status = parser_.status();
    response.headers = std::move(parser_.headers());
    response.body = std::move(parser_.body());
    response.content_type = FindField(response.headers, "Content-Type");
    if (!ec && parser_.keep_alive())
      client_->PutIdle(endpoint_, std::move(socket_));
    End(std::move(response));
  }

  void FailExchange(const asio::error_code& ec) {
    Fail(absl::UnknownError("the connection broke: " + ec.message()));
  }

  void Fail(absl::Status status) {
    if (socket_) {
      asio::error_code ignored;
      socket_->close(ignored);
    }
    End(std::move(status));
  }

  void End(absl::StatusOr<HttpResponse> result) {
    timer_.cancel();
    const Callback done = std::exchange(done_, nullptr);
    if (!client_->stopped_)
      done(std::move(result));
  }

  std::shared_ptr<Impl> client_;
  tcp::endpoint endpoint_;
  HttpCall call_;
  std::string text_;
  Callback done_;
  asio::steady_timer timer_;
  SteadyTime answer_deadline_;
  HttpStreamParser parser_;
  std::unique_ptr<tcp::socket> socket_;
  std::array<char, kReadBytes> buf_;
  bool connecting_ = false;
};

void EventHttpClient::Impl::Call(HttpCall call, Callback done) {
  asio::error_code ec;
  const auto address = asio::ip::make_address(call.host, ec);
  if (ec) {
    asio::post(io_, [done = std::move(done), host = call.host] {
      done(absl::UnavailableError("not an IP number: " + host));
    });
    return;
  }
  const tcp::endpoint endpoint(address,
                               static_cast<asio::ip::port_type>(call.port));
  const bool fresh = call.connection == ConnectionUse::kFresh;
  const auto exchange = std::make_shared<Exchange>(
      shared_from_this(), std::move(call), endpoint, std::move(done));
  exchange->Run(fresh ? nullptr : TakeIdle(endpoint));
}

std::unique_ptr<tcp::socket> EventHttpClient::Impl::TakeIdle(
    const tcp::endpoint& endpoint) {
  const SteadyTime oldest =
      std::chrono::steady_clock::now() - options_.max_idle;
  while (!idle_.empty() && idle_.front().since < oldest)
    CloseOldestIdle();
  const auto it = idle_by_endpoint_.find(endpoint);
  if (it == idle_by_endpoint_.end())
    return nullptr;
  auto& connections = it->second;
  while (!connections.empty()) {
    std::unique_ptr<tcp::socket> socket = std::move(connections.back()->socket);
    idle_.erase(connections.back());
    connections.pop_back();
    // A readable idle connection was closed by the peer or is out of step.
    asio::error_code ec;
    socket->non_blocking(true, ec);
    char byte = 0;
    socket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    if (ec == asio::error::would_block)
      return socket;
  }
  idle_by_endpoint_.erase(it);
  return nullptr;
}

void EventHttpClient::Impl::PutIdle(const tcp::endpoint& endpoint,
                                    std::unique_ptr<tcp::socket> socket) {
  auto& connections = idle_by_endpoint_[endpoint];
  if (static_cast<int>(connections.size()) >= options_.max_idle_per_destination)
    return;
  idle_.push_back(
      {endpoint, std::move(socket), std::chrono::steady_clock::now()});
  connections.push_back(std::prev(idle_.end()));
  while (idle_.size() > options_.max_idle_total)
    CloseOldestIdle();
}

void EventHttpClient::Impl::CloseOldestIdle() {
  const auto it = idle_by_endpoint_.find(idle_.front().endpoint);
  it->second.pop_front();
  if (it->second.empty())
    idle_by_endpoint_.erase(it);
  idle_.pop_front();
}

EventHttpClient::EventHttpClient(asio::io_context& io,
                                 EventHttpClientOptions options)
    : impl_(std::make_shared<Impl>(io, options)) {}

EventHttpClient::~EventHttpClient() {
  impl_->Shutdown();
}

void EventHttpClient::Call(HttpCall call, Callback done) {
  impl_->Call(std::move(call), std::move(done));
}

}  // namespace quetzalshelf
