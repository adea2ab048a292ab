#include "standins/proxy/fault_proxy.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace quetzalshelf {

namespace {

using asio::ip::tcp;

constexpr size_t kPieceBytes = 16'384;
// How often data that is held back looks whether it may pass.
constexpr Duration kHoldPoll{5};

}  // namespace

class FaultProxy::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, std::string target_host, int target_port)
      : io_(io),
        acceptor_(io),
        target_host_(std::move(target_host)),
        target_port_(target_port) {}

  absl::Status Start() {
    asio::error_code ec;
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), 0);
    acceptor_.open(endpoint.protocol(), ec);
    if (!ec)
      acceptor_.bind(endpoint, ec);
    if (!ec)
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
      return absl::UnavailableError("proxy cannot listen: " + ec.message());
    Accept();
    return absl::OkStatus();
  }

  void Stop() {
    asio::error_code ec;
    acceptor_.close(ec);
    for (const auto& it : TakeLinks())
      it->Close();
  }

  void Reset() {
    for (const auto& it : TakeLinks())
      it->Reset();
  }

  int port() const { return acceptor_.local_endpoint().port(); }

  ProxyFaults faults;

 private:
  // One direction of a connection.
  struct Lane {
    tcp::socket* from = nullptr;
    tcp::socket* to = nullptr;
    bool ProxyFaults::*held = nullptr;
    std::array<char, kPieceBytes> buf;
    asio::steady_timer timer;
  };

  struct Link : std::enable_shared_from_this<Link> {
    Link(asio::io_context& io, std::weak_ptr<Impl> proxy, tcp::socket accepted)
        : client(std::move(accepted)),
          target(io),
          calls{&client,
                &target,
                &ProxyFaults::holds_calls,
                {},
                asio::steady_timer(io)},
          answers{&target,
                  &client,
                  &ProxyFaults::holds_answers,
                  {},
                  asio::steady_timer(io)},
          owner(std::move(proxy)) {}

    void Read(Lane& lane) {
      lane.from->async_read_some(
          asio::buffer(lane.buf), [self = shared_from_this(), &lane](
                                      const asio::error_code& ec, size_t n) {
            const auto proxy = self->owner.lock();
            if (!proxy)
              return;
            const size_t size = ec ? 0 : n;
            self->Pass(lane, size,
                       proxy->faults.delay + proxy->Reserve(lane, size));
          });
    }

    // Forwards `n` bytes, or the end of the stream when there are none, once
    // the lane is open and `delay` has passed.
    void Pass(Lane& lane, size_t n, Duration delay) {
      const auto proxy = owner.lock();
      if (!proxy)
        return;
      const bool held = proxy->faults.*lane.held;
      if (held || delay.count() > 0) {
        lane.timer.expires_after(held ? kHoldPoll : delay);
        lane.timer.async_wait(
            [self = shared_from_this(), &lane, n,
             left = held ? delay : Duration(0)](const asio::error_code& ec) {
              if (!ec)
                self->Pass(lane, n, left);
            });
        return;
      }
      if (n == 0) {
        asio::error_code ec;
        lane.to->shutdown(tcp::socket::shutdown_send, ec);
        proxy->OnEnd(shared_from_this());
        return;
      }
      asio::async_write(*lane.to, asio::buffer(lane.buf.data(), n),
                        [self = shared_from_this(), &lane](
                            const asio::error_code& ec, size_t) {
                          if (!ec)
                            self->Read(lane);
                          else if (const auto it = self->owner.lock())
                            it->Drop(self);
                        });
    }

    void Close() {
      asio::error_code ec;
      calls.timer.cancel();
      answers.timer.cancel();
      client.close(ec);
      target.close(ec);
    }

    void Reset() {
      asio::error_code ec;
      // Closing with a linger time of zero sends a reset.
      client.set_option(asio::socket_base::linger(true, 0), ec);
      target.set_option(asio::socket_base::linger(true, 0), ec);
      Close();
    }

    tcp::socket client;
    tcp::socket target;
    Lane calls;
    Lane answers;
    int ended_lanes = 0;
    std::weak_ptr<Impl> owner;
  };

  // Time until the shared link has carried `n` more bytes. A lane reads on only
  // then, so that connections take turns.
  Duration Reserve(const Lane& lane, size_t n) {
    const int64_t rate = faults.answer_bytes_per_second;
    if (rate == 0 || lane.held != &ProxyFaults::holds_answers)
      return Duration(0);
    const auto now = std::chrono::steady_clock::now();
    free_at_ =
        std::max(free_at_, now) +
        std::chrono::microseconds(static_cast<int64_t>(n) * 1'000'000 / rate);
    return std::chrono::duration_cast<Duration>(free_at_ - now);
  }

  std::vector<std::shared_ptr<Link>> TakeLinks() {
    return std::exchange(links_, {});
  }

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](
                               const asio::error_code& ec, tcp::socket socket) {
      if (!self->acceptor_.is_open())
        return;
      if (!ec && !self->faults.refuses)
        self->Connect(std::move(socket));
      self->Accept();
    });
  }

  void Connect(tcp::socket socket) {
    auto link =
        std::make_shared<Link>(io_, weak_from_this(), std::move(socket));
    links_.push_back(link);
    const tcp::endpoint endpoint(asio::ip::make_address_v4(target_host_),
                                 static_cast<uint16_t>(target_port_));
    link->target.async_connect(endpoint, [self = shared_from_this(),
                                          link](const asio::error_code& ec) {
      if (ec) {
        link->Reset();
        self->Drop(link);
        return;
      }
      link->Read(link->calls);
      link->Read(link->answers);
    });
  }

  void OnEnd(const std::shared_ptr<Link>& link) {
    if (++link->ended_lanes == 2)
      Drop(link);
  }

  void Drop(const std::shared_ptr<Link>& link) {
    link->Close();
    std::erase(links_, link);
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  const std::string target_host_;
  const int target_port_;
  std::chrono::steady_clock::time_point free_at_;  // The shared link.
  std::vector<std::shared_ptr<Link>> links_;
};

FaultProxy::FaultProxy(asio::io_context& io,
                       std::string target_host,
                       int target_port)
    : impl_(std::make_shared<Impl>(io, std::move(target_host), target_port)) {}

FaultProxy::~FaultProxy() {
  impl_->Stop();
}

absl::Status FaultProxy::Start() {
  return impl_->Start();
}

int FaultProxy::port() const {
  return impl_->port();
}

ProxyFaults& FaultProxy::faults() {
  return impl_->faults;
}

void FaultProxy::ResetConnections() {
  impl_->Reset();
}

}  // namespace quetzalshelf
