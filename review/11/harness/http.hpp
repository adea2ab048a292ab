// A small HTTP/1.1 server and client on loopback, for stand-ins.

#ifndef REVIEW_HARNESS_3_HTTP_HPP_
#define REVIEW_HARNESS_3_HTTP_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <asio.hpp>

namespace review {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
};

// How a server treats its peers.
enum class Reach {
  kOpen,
  kDark,    // Calls are lost without an answer, as behind a partition.
  kClosed,  // Connections are closed, as of a process that is gone.
};

// May be called once, also later. A reply that comes after the connection has
// ended has no effect.
using Reply = std::function<void(int status, const std::string& body)>;

class Server {
 public:
  using Handler = std::function<void(const Request&, const Reply&)>;

  // Listens on a free port of 127.0.0.1.
  Server(asio::io_context& io, Handler handler);

  int port() const { return port_; }
  void SetReach(Reach reach);

 private:
  class Session;

  void Accept();

  asio::io_context& io_;
  Handler handler_;
  asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Session>> sessions_;
  Reach reach_ = Reach::kOpen;
  int port_ = 0;
};

struct Call {
  int port = 0;
  std::string method = "GET";
  std::string path;
  std::map<std::string, std::string> headers = {};
  std::string body = "";
  std::chrono::milliseconds timeout{3'000};
};

// Status 0: no complete answer.
using Done = std::function<void(int status, const std::string& body)>;

// One call on a connection of its own to 127.0.0.1.
void Send(asio::io_context& io, const Call& call, Done done);

// A port of 127.0.0.1 that nobody listens on at present.
int FindFreePort();

}  // namespace review

#endif  // REVIEW_HARNESS_3_HTTP_HPP_
