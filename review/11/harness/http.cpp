#include "http.hpp"

#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <istream>
#include <utility>

namespace review {

namespace {

using asio::ip::tcp;

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(),
                         [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Unescape(const std::string& text) {
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

void ParseTarget(const std::string& target, Request& request) {
  const size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark == std::string::npos)
    return;
  std::string rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string pair = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
    const size_t sign = pair.find('=');
    if (sign != std::string::npos)
      request.query[pair.substr(0, sign)] = Unescape(pair.substr(sign + 1));
  }
}

// Reads header lines up to the empty one.
std::map<std::string, std::string> ReadHeaders(std::istream& in) {
  std::map<std::string, std::string> headers;
  std::string line;
  while (std::getline(in, line) && line != "\r" && !line.empty()) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ')
      value.erase(0, 1);
    while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
      value.pop_back();
    headers[Lower(line.substr(0, colon))] = value;
  }
  return headers;
}

size_t BodySize(const std::map<std::string, std::string>& headers) {
  const auto it = headers.find("content-length");
  return it == headers.end() ? 0 : std::stoul(it->second);
}

std::string TakeBytes(asio::streambuf& buf, size_t n) {
  std::string bytes(n, '\0');
  std::istream in(&buf);
  in.read(bytes.data(), static_cast<std::streamsize>(n));
  return bytes;
}

}  // namespace

std::string Request::Header(const std::string& name) const {
  const auto it = headers.find(Lower(name));
  return it == headers.end() ? "" : it->second;
}

std::string Request::Query(const std::string& name) const {
  const auto it = query.find(name);
  return it == query.end() ? "" : it->second;
}

class Server::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Server& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)) {}

  void Read() {
    asio::async_read_until(
        socket_, buf_, "\r\n\r\n",
        [self = shared_from_this()](const asio::error_code& ec, size_t) {
          if (ec)
            self->Close();
          else
            self->OnHead();
        });
  }

  void Close() {
    asio::error_code ignored;
    socket_.close(ignored);
    server_.sessions_.erase(shared_from_this());
  }

 private:
  void OnHead() {
    std::istream in(&buf_);
    std::string target;
    std::string line;
    request_ = Request();
    in >> request_.method >> target;
    std::getline(in, line);
    ParseTarget(target, request_);
    request_.headers = ReadHeaders(in);
    const size_t size = BodySize(request_.headers);
    const size_t missing = size > buf_.size() ? size - buf_.size() : 0;
    asio::async_read(
        socket_, buf_, asio::transfer_exactly(missing),
        [self = shared_from_this(), size](const asio::error_code& ec, size_t) {
          if (ec) {
            self->Close();
            return;
          }
          self->request_.body = TakeBytes(self->buf_, size);
          self->Handle();
        });
  }

  void Handle() {
    // A call that is lost leaves its connection without an answer.
    if (server_.reach_ == Reach::kDark) {
      lost_ = true;
      return;
    }
    server_.handler_(request_,
                     [self = shared_from_this(), answered = false](
                         int status, const std::string& body) mutable {
                       if (std::exchange(answered, true) || self->lost_)
                         return;
                       // The answer is lost as well.
                       if (self->server_.reach_ == Reach::kDark) {
                         self->lost_ = true;
                         return;
                       }
                       self->Write(status, body);
                     });
  }

  void Write(int status, const std::string& body) {
    text_ = "HTTP/1.1 " + std::to_string(status) +
            " X\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::async_write(
        socket_, asio::buffer(text_),
        [self = shared_from_this()](const asio::error_code& ec, size_t) {
          if (ec)
            self->Close();
          else
            self->Read();
        });
  }

  Server& server_;
  tcp::socket socket_;
  asio::streambuf buf_;
  Request request_;
  std::string text_;
  bool lost_ = false;
};

Server::Server(asio::io_context& io, Handler handler)
    : io_(io),
      handler_(std::move(handler)),
      acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}) {
  port_ = acceptor_.local_endpoint().port();
  Accept();
}

void Server::Accept() {
  acceptor_.async_accept([this](const asio::error_code& ec,
                                tcp::socket socket) {
    if (ec)
      return;
    if (reach_ == Reach::kClosed) {
      asio::error_code ignored;
      socket.close(ignored);
    } else {
      asio::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto session = std::make_shared<Session>(*this, std::move(socket));
      sessions_.insert(session);
      session->Read();
    }
    Accept();
  });
}

void Server::SetReach(Reach reach) {
  reach_ = reach;
  if (reach != Reach::kClosed)
    return;
  for (const auto& it : std::set<std::shared_ptr<Session>>(sessions_))
    it->Close();
}

namespace {

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(asio::io_context& io, const Call& call, Done done)
      : call_(call), done_(std::move(done)), socket_(io), timer_(io) {
    text_ = call.method + " " + call.path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : call.headers)
      text_ += name + ": " + value + "\r\n";
    text_ += "Content-Length: " + std::to_string(call.body.size()) +
             "\r\nConnection: close\r\n\r\n" + call.body;
  }

  void Run() {
    timer_.expires_after(call_.timeout);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& ec) {
      if (!ec)
        self->End(0, "");
    });
    socket_.async_connect(
        {asio::ip::make_address("127.0.0.1"),
         static_cast<asio::ip::port_type>(call_.port)},
        [self = shared_from_this()](const asio::error_code& ec) {
          if (ec)
            self->End(0, "");
          else
            self->Write();
        });
  }

 private:
  void Write() {
    asio::async_write(
        socket_, asio::buffer(text_),
        [self = shared_from_this()](const asio::error_code& ec, size_t) {
          if (ec)
            self->End(0, "");
          else
            self->ReadHead();
        });
  }

  void ReadHead() {
    asio::async_read_until(
        socket_, buf_, "\r\n\r\n",
        [self = shared_from_this()](const asio::error_code& ec, size_t) {
          if (ec) {
            self->End(0, "");
            return;
          }
          std::istream in(&self->buf_);
          std::string version;
          std::string line;
          in >> version >> self->status_;
          std::getline(in, line);
          self->ReadBody(BodySize(ReadHeaders(in)));
        });
  }

  void ReadBody(size_t size) {
    const size_t missing = size > buf_.size() ? size - buf_.size() : 0;
    asio::async_read(
        socket_, buf_, asio::transfer_exactly(missing),
        [self = shared_from_this(), size](const asio::error_code& ec, size_t) {
          if (ec)
            self->End(0, "");
          else
            self->End(self->status_, TakeBytes(self->buf_, size));
        });
  }

  void End(int status, const std::string& body) {
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
    if (const Done done = std::exchange(done_, nullptr))
      done(status, body);
  }

  Call call_;
  Done done_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string text_;
  asio::streambuf buf_;
  int status_ = 0;
};

}  // namespace

void Send(asio::io_context& io, const Call& call, Done done) {
  std::make_shared<Exchange>(io, call, std::move(done))->Run();
}

int FindFreePort() {
  // Below the ports that the system gives to connections.
  constexpr int kFirst = 10'000;
  constexpr int kCount = 20'000;
  static int next = static_cast<int>(getpid()) * 97 % kCount;
  for (;;) {
    next = (next + 1) % kCount;
    asio::io_context io;
    tcp::acceptor acceptor(io);
    asio::error_code ec;
    acceptor.open(tcp::v4(), ec);
    acceptor.bind({asio::ip::make_address("127.0.0.1"),
                   static_cast<asio::ip::port_type>(kFirst + next)},
                  ec);
    if (!ec)
      return kFirst + next;
  }
}

}  // namespace review
