#include "tests/drivers/raw_peer.h"

#include <algorithm>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace quetzalshelf {

namespace {

using asio::ip::tcp;

constexpr char kEndMark[] = "END\r\n\r\n";

size_t ContentLength(const std::string& head) {
  const std::string name = "Content-Length: ";
  const size_t at = head.find(name);
  return at == std::string::npos ? 0
                                 : std::stoul(head.substr(at + name.size()));
}

}  // namespace

RawPeer::RawPeer(Misbehaviour misbehaviour, std::string answer)
    : misbehaviour_(misbehaviour),
      answer_(std::move(answer)),
      acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      port_(acceptor_.local_endpoint().port()) {
  thread_ = std::thread([this] { Serve(); });
}

RawPeer::~RawPeer() {
  Finish();
}

void RawPeer::Finish() {
  if (!thread_.joinable())
    return;
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(),
                  static_cast<asio::ip::port_type>(port_)});
  asio::write(socket, asio::buffer(kEndMark, sizeof(kEndMark) - 1));
  thread_.join();
}

void RawPeer::Serve() {
  while (!finished_) {
    tcp::socket socket(io_);
    acceptor_.accept(socket);
    Handle(std::move(socket));
  }
}

bool RawPeer::ReadRequest(tcp::socket& socket) {
  std::string data;
  std::error_code ec;
  const size_t head =
      asio::read_until(socket, asio::dynamic_buffer(data), "\r\n\r\n", ec);
  if (ec)
    return false;
  if (data == kEndMark) {
    finished_ = true;
    return false;
  }
  const size_t length = ContentLength(data.substr(0, head));
  const size_t missing = length - std::min(length, data.size() - head);
  std::vector<char> rest(missing);
  asio::read(socket, asio::buffer(rest), ec);
  if (ec)
    return false;
  ++whole_requests_;
  return true;
}

void RawPeer::Handle(tcp::socket socket) {
  std::error_code ec;
  if (misbehaviour_ == Misbehaviour::kCloseBeforeRead) {
    // The end mark is looked for without taking bytes of a request.
    char peeked[3] = {};
    asio::socket_base::message_flags peek = asio::socket_base::message_peek;
    if (connections_ > 0) {
      socket.receive(asio::buffer(peeked), peek, ec);
      finished_ = std::string(peeked, 3) == "END";
    }
    connections_ += finished_ ? 0 : 1;
    return;
  }
  if (misbehaviour_ == Misbehaviour::kResetHalfway) {
    char some[3] = {};
    asio::read(socket, asio::buffer(some), ec);
    finished_ = std::string(some, 3) == "END";
    connections_ += finished_ ? 0 : 1;
    // Closing with a linger time of 0 sends a reset.
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    return;
  }
  const bool whole = ReadRequest(socket);
  connections_ += finished_ ? 0 : 1;
  if (!whole)
    return;
  if (misbehaviour_ == Misbehaviour::kAnswer ||
      misbehaviour_ == Misbehaviour::kAnswerThenClose)
    asio::write(socket, asio::buffer(answer_), ec);
  if (misbehaviour_ == Misbehaviour::kAnswerThenClose)
    ReadRequest(socket);
  if (misbehaviour_ == Misbehaviour::kNoAnswer)
    open_.push_back(std::move(socket));
}

}  // namespace quetzalshelf
