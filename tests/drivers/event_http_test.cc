// The event-driven HTTP server and client against peers that behave badly.

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "drivers/http/event_http_client.h"
#include "drivers/http/event_http_server.h"
#include "drivers/http/http_stream_parser.h"
#include "drivers/http/http_text.h"
#include "tests/drivers/io_harness.h"
#include "tests/drivers/raw_peer.h"

namespace quetzalshelf {

namespace {

using asio::ip::tcp;

struct EchoServer {
  EchoServer()
      : server(io,
               {.host = "127.0.0.1",
                .connection_limit = 4,
                .limits = {512, 64},
                .idle_timeout = kLongTimeout,
                .request_timeout = kLongTimeout},
               [](const HttpRequest& request,
                  const EventHttpServer::Reply& reply) {
                 HttpResponse response;
                 response.body = request.method + request.path + request.body;
                 reply(std::move(response));
               }) {
    REQUIRE(server.Start().ok());
  }

  // Sends raw bytes and returns all that comes until the server closes.
  std::string Exchange(const std::string& bytes) {
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"),
                    static_cast<asio::ip::port_type>(server.port())});
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    bool closed = false;
    asio::async_read(socket, asio::dynamic_buffer(received),
                     [&](const asio::error_code&, size_t) { closed = true; });
    while (!closed)
      io.run_one();
    return received;
  }

  asio::io_context io;
  EventHttpServer server;
};

EventHttpClientOptions ClientOptions() {
  return {.connect_timeout = kLongTimeout,
          .max_idle = kLongTimeout,
          .max_idle_per_destination = 2,
          .max_header_bytes = 4'096};
}

absl::StatusOr<HttpResponse> Call(asio::io_context& io,
                                  EventHttpClient& client,
                                  HttpCall call) {
  std::optional<absl::StatusOr<HttpResponse>> result;
  client.Call(std::move(call),
              [&](absl::StatusOr<HttpResponse> it) { result = std::move(it); });
  while (!result)
    io.run_one();
  return *std::move(result);
}

}  // namespace

TEST_CASE("Pipelined requests are answered in their order") {
  EchoServer echo;
  const std::string text = echo.Exchange(
      "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy"
      "GET /b%20c?q=1 HTTP/1.1\r\nConnection: close\r\n\r\n");
  const size_t first = text.find("POST/axy");
  REQUIRE(first != std::string::npos);
  CHECK(text.find("GET/b c", first) != std::string::npos);
  CHECK(text.find("Connection: close") > first);
}

TEST_CASE("Requests beyond the limits get their own status") {
  EchoServer echo;
  CHECK(echo.Exchange("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" +
                      std::string(100, 'x'))
            .starts_with("HTTP/1.1 413"));
  CHECK(echo.Exchange("GET / HTTP/1.1\r\nX: " + std::string(600, 'x'))
            .starts_with("HTTP/1.1 431"));
  CHECK(echo.Exchange("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
}

// Guards against callers beyond the limit that cannot tell a full node from a
// dead one.
TEST_CASE("Callers beyond the connection limit are told to come back") {
  EchoServer echo;
  const tcp::endpoint endpoint(
      asio::ip::make_address("127.0.0.1"),
      static_cast<asio::ip::port_type>(echo.server.port()));
  std::vector<tcp::socket> held;
  for (int n = 0; n < 4; ++n) {
    held.emplace_back(echo.io);
    held.back().connect(endpoint);
    while (echo.server.connections() <= n)
      echo.io.run_one();
  }
  const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string refused = echo.Exchange(request);
  CHECK(refused.starts_with("HTTP/1.1 503 "));
  CHECK(refused.find("Retry-After: 1\r\n") != std::string::npos);
  CHECK(refused.find("GET/a") == std::string::npos);
  held.clear();
  while (echo.server.connections() > 0)
    echo.io.run_one();
  CHECK(echo.Exchange("GET /a HTTP/1.1\r\nHost: x\r\n"
                      "Connection: close\r\n\r\n")
            .find("GET/a") != std::string::npos);
}

TEST_CASE("A request may arrive byte by byte") {
  HttpStreamParser parser(HttpMessageKind::kRequest, {512, 64});
  const std::string text =
      "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET";
  size_t used = 0;
  while (!parser.done() && used < text.size())
    used += parser.Feed(std::string_view(text).substr(used, 1));
  CHECK(parser.done());
  CHECK(parser.body() == "abc");
  CHECK(FindField(parser.headers(), "host") == "h");
  CHECK(text.substr(used) == "GET");
}

TEST_CASE("A draining server closes connections after their answers") {
  EchoServer echo;
  echo.server.BeginDrain(kLongTimeout);
  const std::string text = echo.Exchange("GET /a HTTP/1.1\r\n\r\n");
  CHECK(text.find("Connection: close") != std::string::npos);
  CHECK(text.find("GET/a") != std::string::npos);
}

TEST_CASE("An address in use is a clear error") {
  EchoServer echo;
  EventHttpServer second(echo.io,
                         {.host = "127.0.0.1", .port = echo.server.port()},
                         [](const HttpRequest&, const auto&) {});
  CHECK(absl::IsAlreadyExists(second.Start()));
  EventHttpServer named(echo.io, {.host = "localhost"},
                        [](const HttpRequest&, const auto&) {});
  CHECK(absl::IsInvalidArgument(named.Start()));
}

TEST_CASE("Connections are used again") {
  EchoServer echo;
  EventHttpClient client(echo.io, ClientOptions());
  for (int n = 0; n < 3; ++n) {
    const auto response =
        Call(echo.io, client, MakeCall(echo.server.port(), "GET", "/x"));
    REQUIRE(response.ok());
    CHECK(response->body == "GET/x");
  }
  CHECK(echo.server.connections() == 1);
}

// Guards against descriptors that run out because a node keeps a connection to
// each worker that it ever called.
TEST_CASE("Idle connections are limited over all destinations") {
  EchoServer first;
  EventHttpServer second(
      first.io,
      {.host = "127.0.0.1",
       .connection_limit = 4,
       .limits = {512, 64},
       .idle_timeout = kLongTimeout,
       .request_timeout = kLongTimeout},
      [](const HttpRequest&, const EventHttpServer::Reply& reply) {
        reply(HttpResponse());
      });
  REQUIRE(second.Start().ok());
  EventHttpClientOptions options = ClientOptions();
  options.max_idle_total = 1;
  EventHttpClient client(first.io, options);
  for (int n = 0; n < 3; ++n) {
    REQUIRE(Call(first.io, client, MakeCall(first.server.port(), "GET", "/x"))
                .ok());
    REQUIRE(Call(first.io, client, MakeCall(second.port(), "GET", "/x")).ok());
  }
  while (first.server.connections() > 0)
    first.io.run_one();
  CHECK(second.connections() == 1);
}

// Guards against sending an order twice, however its connection breaks.
TEST_CASE("No call is sent twice, and its outcome is told truly") {
  const std::pair<Misbehaviour, bool> cases[] = {
      {Misbehaviour::kCloseAfterRead, false},
      {Misbehaviour::kResetHalfway, false},
      {Misbehaviour::kCloseBeforeRead, false}};
  for (const auto& [misbehaviour, certain] : cases) {
    asio::io_context io;
    RawPeer peer(misbehaviour);
    EventHttpClient client(io, ClientOptions());
    HttpCall call = MakeCall(peer.port(), "POST", "/start");
    call.body = std::string(4'000, 'x');
    const auto response = Call(io, client, std::move(call));
    peer.Finish();
    CHECK(absl::IsUnavailable(response.status()) == certain);
    CHECK_FALSE(response.ok());
    CHECK(peer.connections() == 1);
    CHECK(peer.whole_requests() <= 1);
  }
}

TEST_CASE("A peer without an answer runs into the time-out") {
  asio::io_context io;
  RawPeer peer(Misbehaviour::kNoAnswer);
  EventHttpClient client(io, ClientOptions());
  HttpCall call = MakeCall(peer.port(), "GET", "/");
  call.timeout = Duration(50);
  CHECK(absl::IsDeadlineExceeded(Call(io, client, std::move(call)).status()));
}

// The peer sends its answer byte by byte.
TEST_CASE("An answer that keeps arriving does not run into a stall time-out") {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket peer(io);
  asio::steady_timer timer(io);
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + std::string(40, 'x');
  size_t sent = 0;
  size_t bytes = answer.size();
  std::function<void()> send_next = [&] {
    if (sent == bytes)
      return;
    asio::write(peer, asio::buffer(&answer[sent++], 1));
    timer.expires_after(Duration(10));
    timer.async_wait([&](const asio::error_code&) { send_next(); });
  };
  acceptor.async_accept(peer, [&](const asio::error_code&) { send_next(); });
  EventHttpClient client(io, ClientOptions());
  HttpCall call = MakeCall(acceptor.local_endpoint().port(), "GET", "/");
  call.stall_timeout = Duration(500);
  bool arrives = false;
  SUBCASE("as long as its bytes come") {
    // Some 80 bytes, 10 ms apart, take longer than the stall time-out.
    arrives = true;
  }
  SUBCASE("but does when they stop") {
    bytes = answer.size() / 2;
  }
  SUBCASE("but runs into the time-out of the whole answer") {
    call.timeout = Duration(300);
  }
  const absl::Status status = Call(io, client, std::move(call)).status();
  CHECK(status.ok() == arrives);
  CHECK(absl::IsDeadlineExceeded(status) != arrives);
}

TEST_CASE("A port without a listener is told as not sent") {
  asio::io_context io;
  int port = 0;
  {
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    port = acceptor.local_endpoint().port();
  }
  EventHttpClient client(io, ClientOptions());
  CHECK(absl::IsUnavailable(
      Call(io, client, MakeCall(port, "GET", "/")).status()));
  HttpCall named = MakeCall(port, "GET", "/");
  named.host = "somewhere";
  CHECK(absl::IsUnavailable(Call(io, client, std::move(named)).status()));
}

TEST_CASE(
    "The largest unfinished requests are refused beyond the memory for "
    "callers") {
  asio::io_context io;
  int handled = 0;
  EventHttpServer server(
      io,
      {.host = "127.0.0.1",
       .connection_limit = 16,
       .limits = {512, 65'536},
       .idle_timeout = kLongTimeout,
       .request_timeout = kLongTimeout,
       .held_bytes_limit = 131'072},
      [&](const HttpRequest&, const EventHttpServer::Reply& reply) {
        ++handled;
        reply({.status = 200});
      });
  REQUIRE(server.Start().ok());
  const auto connect = [&](const std::string& bytes) {
    auto socket = std::make_unique<tcp::socket>(io);
    socket->connect({asio::ip::make_address("127.0.0.1"),
                     static_cast<asio::ip::port_type>(server.port())});
    asio::write(*socket, asio::buffer(bytes));
    return socket;
  };
  const auto post = [](size_t length, size_t sent) {
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n" + std::string(sent, 'x');
  };
  const auto run_while = [&io](const std::function<bool()>& waits) {
    while (waits())
      REQUIRE(io.run_one_for(std::chrono::seconds(60)) > 0);
  };
  const auto small = connect(post(2'001, 2'000));
  run_while([&] { return server.held_bytes() < 2'000; });
  const auto first = connect(post(60'001, 60'000));
  const auto second = connect(post(60'001, 60'000));
  run_while([&] { return server.refused_for_memory() == 0; });
  CHECK(server.held_bytes() <= 131'072);
  CHECK(handled == 0);
  // The small one goes on, and a single request of legal size is served.
  asio::write(*small, asio::buffer("x", 1));
  run_while([&] { return handled == 0; });
  first->close();
  second->close();
  small->close();
  run_while([&] { return server.connections() > 0; });
  CHECK(server.held_bytes() == 0);
  const auto whole = connect(post(60'000, 60'000));
  run_while([&] { return handled == 1; });
  whole->close();
  run_while([&] { return server.connections() > 0; });
  CHECK(server.held_bytes() == 0);
}

}  // namespace quetzalshelf
