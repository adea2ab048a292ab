// A peer that treats HTTP requests badly.

#ifndef TESTS_DRIVERS_RAW_PEER_H_
#define TESTS_DRIVERS_RAW_PEER_H_

#include <string>
#include <thread>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace quetzalshelf {

enum class Misbehaviour {
  kCloseBeforeRead,  // Closes the connection as soon as it is accepted.
  kResetHalfway,     // Resets it after the first bytes of the request.
  kCloseAfterRead,   // Closes it after the whole request, without an answer.
  kAnswer,           // Sends `answer` after the whole request, then closes it.
  kNoAnswer,         // Keeps it open without an answer.
  // Answers the first request, then closes the same connection after the whole
  // second request.
  kAnswerThenClose,
};

// Serves one connection after another on its own thread.
class RawPeer {
 public:
  explicit RawPeer(Misbehaviour misbehaviour, std::string answer = "");
  ~RawPeer();

  int port() const { return port_; }
  // Ends the peer. Connections are accepted in their order, so all that were
  // made before are counted.
  void Finish();
  // Valid after Finish.
  int connections() const { return connections_; }
  int whole_requests() const { return whole_requests_; }

 private:
  void Serve();
  void Handle(asio::ip::tcp::socket socket);
  bool ReadRequest(asio::ip::tcp::socket& socket);

  const Misbehaviour misbehaviour_;
  const std::string answer_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  int port_ = 0;
  int connections_ = 0;
  int whole_requests_ = 0;
  bool finished_ = false;
  std::vector<asio::ip::tcp::socket> open_;
  std::thread thread_;
};

}  // namespace quetzalshelf

#endif  // TESTS_DRIVERS_RAW_PEER_H_
