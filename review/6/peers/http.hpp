// A small HTTP/1.1 server and client on one asio thread, for the peers that
// the cases of this review start. It shares no code with the project.

#ifndef REVIEW_6_PEERS_HTTP_HPP_
#define REVIEW_6_PEERS_HTTP_HPP_

#include <cctype>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

#include <asio.hpp>

namespace peers {

using asio::ip::tcp;

// Below the ports that the system gives to outgoing connections.
inline int FreePort() {
  static std::mt19937 random{std::random_device()()};
  static std::set<int> given;  // The processes bind some of them later.
  asio::io_context io;
  for (int n = 0; n < 200; ++n) {
    const int port = 15'000 + static_cast<int>(random() % 15'000);
    tcp::acceptor acceptor(io);
    asio::error_code ec;
    acceptor.open(tcp::v4(), ec);
    acceptor.bind({asio::ip::make_address("127.0.0.1"),
                   static_cast<asio::ip::port_type>(port)},
                  ec);
    if (!ec && given.insert(port).second)
      return port;
  }
  throw std::runtime_error("no free port");
}

// Keeps a port while the process that is to listen there does not.
class ReservedPort {
 public:
  ReservedPort() : socket_(io_), port_(FreePort()) {
    socket_.open(tcp::v4());
    socket_.set_option(tcp::socket::reuse_address(true));
    socket_.bind({asio::ip::make_address("127.0.0.1"),
                  static_cast<asio::ip::port_type>(port_)});
  }
  int number() const { return port_; }

 private:
  asio::io_context io_;
  tcp::socket socket_;
  int port_;
};

// Milliseconds of the steady clock since the first call.
inline int64_t NowMs() {
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

inline int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline std::string Decode(const std::string& text) {
  std::string out;
  for (size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
      n += 2;
    } else {
      out += text[n];
    }
  }
  return out;
}

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string Query(const std::string& name) const {
    const auto it = query.find(name);
    return it == query.end() ? "" : it->second;
  }
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

inline std::map<std::string, std::string> ParseHeaders(const std::string& head,
                                                       std::string& first) {
  std::map<std::string, std::string> headers;
  size_t from = head.find("\r\n");
  first = head.substr(0, from);
  while (from != std::string::npos && from + 2 < head.size()) {
    const size_t end = head.find("\r\n", from + 2);
    const std::string line = head.substr(from + 2, end - from - 2);
    from = end;
    const size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    for (char& c : name)
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ')
      ++value;
    headers[name] = line.substr(value);
  }
  return headers;
}

inline size_t BodyLength(const std::map<std::string, std::string>& headers) {
  const auto it = headers.find("content-length");
  return it == headers.end() ? 0 : std::stoul(it->second);
}

// Answers one request; may be dropped, then the request stays unanswered.
using Reply = std::function<void(int status, std::string body)>;
using Handler = std::function<void(const Request&, const Reply&)>;

class HttpServer {
 public:
  HttpServer(asio::io_context& io, Handler handler)
      : io_(io), handler_(std::move(handler)), reserved_(io) {}

  // Listens on a port of 127.0.0.1.
  void Listen(int port = FreePort()) {
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                 static_cast<asio::ip::port_type>(port));
    // Keeps the port while nothing listens.
    if (!reserved_.is_open()) {
      reserved_.open(endpoint.protocol());
      reserved_.set_option(tcp::acceptor::reuse_address(true));
      reserved_.bind(endpoint);
    }
    acceptor_ = std::make_unique<tcp::acceptor>(io_, endpoint, true);
    port_ = acceptor_->local_endpoint().port();
    Accept();
  }
  int port() const { return port_; }
  // The process ends: connections break and new ones are refused.
  void Crash() {
    acceptor_.reset();
    ++life_;
    for (const auto& it : std::set(open_)) {
      asio::error_code ec;
      it->socket.set_option(asio::socket_base::linger(true, 0), ec);
      it->socket.close(ec);
    }
    open_.clear();
  }
  // The process starts again at the same address.
  void Restart() { Listen(port_); }

 private:
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    asio::streambuf buf{size_t{8} << 20};
    std::string out;
  };
  using Ptr = std::shared_ptr<Connection>;

  void Accept() {
    acceptor_->async_accept(
        [this, life = life_](const asio::error_code& ec, tcp::socket socket) {
          if (ec || life != life_)
            return;
          asio::error_code ignored;
          socket.set_option(tcp::no_delay(true), ignored);
          auto connection = std::make_shared<Connection>(std::move(socket));
          open_.insert(connection);
          ReadHead(connection);
          Accept();
        });
  }

  void Drop(const Ptr& c) {
    asio::error_code ec;
    c->socket.close(ec);
    open_.erase(c);
  }

  void ReadHead(const Ptr& c) {
    asio::async_read_until(
        c->socket, c->buf, "\r\n\r\n",
        [this, c](const asio::error_code& ec, size_t n) {
          if (ec)
            return Drop(c);
          std::string head(asio::buffers_begin(c->buf.data()),
                           asio::buffers_begin(c->buf.data()) +
                               static_cast<std::ptrdiff_t>(n));
          c->buf.consume(n);
          auto request = std::make_shared<Request>();
          std::string first;
          request->headers = ParseHeaders(head, first);
          const size_t a = first.find(' ');
          const size_t b = first.find(' ', a + 1);
          request->method = first.substr(0, a);
          ParseTarget(first.substr(a + 1, b - a - 1), *request);
          ReadBody(c, request, BodyLength(request->headers));
        });
  }

  static void ParseTarget(const std::string& target, Request& request) {
    const size_t mark = target.find('?');
    request.path = Decode(target.substr(0, mark));
    if (mark == std::string::npos)
      return;
    std::string rest = target.substr(mark + 1);
    while (!rest.empty()) {
      const size_t end = rest.find('&');
      const std::string pair = rest.substr(0, end);
      const size_t equals = pair.find('=');
      if (equals != std::string::npos)
        request.query[Decode(pair.substr(0, equals))] =
            Decode(pair.substr(equals + 1));
      rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
  }

  void ReadBody(const Ptr& c,
                const std::shared_ptr<Request>& request,
                size_t length) {
    const size_t missing = length > c->buf.size() ? length - c->buf.size() : 0;
    asio::async_read(
        c->socket, c->buf, asio::transfer_exactly(missing),
        [this, c, request, length](const asio::error_code& ec, size_t) {
          if (ec)
            return Drop(c);
          request->body.assign(asio::buffers_begin(c->buf.data()),
                               asio::buffers_begin(c->buf.data()) +
                                   static_cast<std::ptrdiff_t>(length));
          c->buf.consume(length);
          handler_(*request, [this, c, answered = std::make_shared<bool>()](
                                 int status, const std::string& body) {
            if (!std::exchange(*answered, true))
              Write(c, status, body);
          });
        });
  }

  void Write(const Ptr& c, int status, const std::string& body) {
    c->out = "HTTP/1.1 " + std::to_string(status) +
             " x\r\nContent-Type: application/json\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::async_write(c->socket, asio::buffer(c->out),
                      [this, c](const asio::error_code& ec, size_t) {
                        if (ec)
                          Drop(c);
                        else
                          ReadHead(c);
                      });
  }

  asio::io_context& io_;
  Handler handler_;
  tcp::socket reserved_;
  std::unique_ptr<tcp::acceptor> acceptor_;
  std::set<Ptr> open_;
  int port_ = 0;
  uint64_t life_ = 0;
};

// What a client got.
struct Answer {
  int status = 0;       // 0: no answer; the call may have had its effect.
  bool unsent = false;  // No connection was made.
  std::string body;
};

// Makes one call on a connection of its own.
class HttpCallTask : public std::enable_shared_from_this<HttpCallTask> {
 public:
  using Done = std::function<void(Answer)>;

  static void Start(asio::io_context& io,
                    int port,
                    const std::string& method,
                    const std::string& target,
                    const std::map<std::string, std::string>& headers,
                    const std::string& body,
                    int64_t timeout_ms,
                    Done done) {
    auto task = std::shared_ptr<HttpCallTask>(new HttpCallTask(io));
    task->done_ = std::move(done);
    task->out_ = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
      task->out_ += name + ": " + value + "\r\n";
    if (!body.empty())
      task->out_ += "Content-Type: application/json\r\n";
    task->out_ += "Content-Length: " + std::to_string(body.size()) +
                  "\r\nConnection: close\r\n\r\n" + body;
    task->timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    task->timer_.async_wait([task](const asio::error_code& ec) {
      if (!ec)
        task->End({});
    });
    task->socket_.async_connect(
        tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                      static_cast<asio::ip::port_type>(port)),
        [task](const asio::error_code& ec) {
          if (ec)
            return task->End({.unsent = true});
          asio::async_write(task->socket_, asio::buffer(task->out_),
                            [task](const asio::error_code& failed, size_t) {
                              if (failed)
                                task->End({});
                              else
                                task->ReadHead();
                            });
        });
  }

 private:
  explicit HttpCallTask(asio::io_context& io) : socket_(io), timer_(io) {}

  void ReadHead() {
    asio::async_read_until(
        socket_, buf_, "\r\n\r\n",
        [self = shared_from_this()](const asio::error_code& ec, size_t n) {
          if (ec)
            return self->End({});
          const std::string head(asio::buffers_begin(self->buf_.data()),
                                 asio::buffers_begin(self->buf_.data()) +
                                     static_cast<std::ptrdiff_t>(n));
          self->buf_.consume(n);
          std::string first;
          const auto headers = ParseHeaders(head, first);
          const int status = std::stoi(first.substr(first.find(' ') + 1));
          const size_t length = BodyLength(headers);
          const size_t missing =
              length > self->buf_.size() ? length - self->buf_.size() : 0;
          asio::async_read(
              self->socket_, self->buf_, asio::transfer_exactly(missing),
              [self, status](const asio::error_code& failed, size_t) {
                if (failed)
                  return self->End({});
                self->End({status, false,
                           std::string(asio::buffers_begin(self->buf_.data()),
                                       asio::buffers_end(self->buf_.data()))});
              });
        });
  }

  void End(Answer answer) {
    if (!done_)
      return;
    timer_.cancel();
    asio::error_code ec;
    socket_.close(ec);
    std::exchange(done_, nullptr)(std::move(answer));
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  asio::streambuf buf_;
  std::string out_;
  Done done_;
};

}  // namespace peers

#endif  // REVIEW_6_PEERS_HTTP_HPP_
