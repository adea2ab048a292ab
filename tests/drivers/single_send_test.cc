#include <asio/ip/tcp.hpp>

#include "drivers/backend/http_backend_port.h"
#include "tests/drivers/io_harness.h"
#include "tests/drivers/raw_peer.h"

namespace quetzalshelf {
namespace {

// Larger than the socket buffers, so that the peer fails during the write.
constexpr size_t kLargeBody = size_t{32} << 20;

struct SingleSendCase {
  const char* name;
  Misbehaviour misbehaviour;
  size_t body_size;
  std::string answer;
};

const SingleSendCase kCases[] = {
    {"closed before the write", Misbehaviour::kCloseBeforeRead, 10, ""},
    {"closed during the write", Misbehaviour::kCloseBeforeRead, kLargeBody, ""},
    {"reset half-way", Misbehaviour::kResetHalfway, kLargeBody, ""},
    {"closed after the request was read", Misbehaviour::kCloseAfterRead, 10,
     ""},
    {"answered short", Misbehaviour::kAnswer, 10,
     "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort"},
    {"answered without the end of the headers", Misbehaviour::kAnswer, 10,
     "HTTP/1.1 200 OK\r\nContent-Le"},
    {"answered with something else", Misbehaviour::kAnswer, 10, "nonsense\r\n"},
};

HttpCall MakePost(int port, size_t body_size, ConnectionUse connection) {
  HttpCall call = MakeCall(port, "POST", "/run");
  call.body = std::string(body_size, 'x');
  call.connection = connection;
  return call;
}

// Guards against a duplicate run: the library or the caller sending a request
// again after a failure, or calling a request "not sent" of which bytes left.
TEST_CASE("HttpCaller sends a request once, however the peer fails") {
  for (const SingleSendCase& it : kCases) {
    for (const auto use : {ConnectionUse::kFresh, ConnectionUse::kPooled}) {
      CAPTURE(it.name);
      IoHarness harness;
      RawPeer peer(it.misbehaviour, it.answer);
      HttpCaller caller(harness.io, harness.metrics, {});
      const auto reply =
          harness.Call(caller, MakePost(peer.port(), it.body_size, use));
      CHECK(absl::IsUnknown(reply.status()));
      peer.Finish();
      CHECK(peer.connections() == 1);
    }
  }
}

// Guards against the library sending a request again on a new connection when a
// kept connection fails.
TEST_CASE("HttpCaller does not repeat a request on a kept connection") {
  IoHarness harness;
  RawPeer peer(Misbehaviour::kAnswerThenClose,
               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  HttpCaller caller(harness.io, harness.metrics, {});
  const HttpCall call = MakePost(peer.port(), 10, ConnectionUse::kPooled);
  CHECK(harness.Call(caller, call).ok());
  CHECK(absl::IsUnknown(harness.Call(caller, call).status()));
  peer.Finish();
  CHECK(peer.connections() == 1);
  CHECK(peer.whole_requests() == 2);
}

// Guards against a refused connection being reported as an unknown outcome,
// which would forbid sending the request to another server.
TEST_CASE("HttpCaller proves that nothing was sent when it cannot connect") {
  IoHarness harness;
  // Bound but not listening, so that no other process can take the port.
  asio::ip::tcp::acceptor bound(harness.io);
  bound.open(asio::ip::tcp::v4());
  bound.bind({asio::ip::address_v4::loopback(), 0});
  const int port = bound.local_endpoint().port();
  HttpCaller caller(harness.io, harness.metrics, {});
  for (const auto use : {ConnectionUse::kFresh, ConnectionUse::kPooled}) {
    const auto reply = harness.Call(caller, MakePost(port, 10, use));
    CHECK(absl::IsUnavailable(reply.status()));
  }
}

// Guards against a caller waiting for ever and against calling a request that
// was sent "not sent" after the time-out.
TEST_CASE("HttpCaller gives up after the time-out with an open outcome") {
  IoHarness harness;
  RawPeer peer(Misbehaviour::kNoAnswer);
  HttpCaller caller(harness.io, harness.metrics, {});
  HttpCall call = MakePost(peer.port(), 10, ConnectionUse::kFresh);
  call.timeout = Duration(1'000);
  CHECK(absl::IsDeadlineExceeded(harness.Call(caller, call).status()));
  peer.Finish();
  CHECK(peer.connections() == 1);
}

// Guards against an unbounded queue behind a slow peer, and against calling a
// request that was never sent an open outcome.
TEST_CASE("HttpCaller refuses calls beyond its limit without sending them") {
  IoHarness harness;
  RawPeer peer(Misbehaviour::kNoAnswer);
  HttpCaller caller(harness.io, harness.metrics,
                    {.threads = 1, .max_pending = 1});
  HttpCall first = MakePost(peer.port(), 10, ConnectionUse::kFresh);
  first.timeout = Duration(1'000);
  bool first_done = false;
  caller.Call(first, [&](const auto&) { first_done = true; });
  const auto second = harness.Call(caller, first);
  CHECK(absl::IsUnavailable(second.status()));
  while (!first_done)
    harness.io.run_one();
  peer.Finish();
  CHECK(peer.connections() == 1);
}

absl::StatusOr<BackendReply> SendTo(IoHarness& harness,
                                    int port,
                                    bool idempotent) {
  HttpCaller caller(harness.io, harness.metrics, {});
  HttpBackendPort backends(caller, harness.runner);
  BackendRequest request{RequestId("r1"), WorkspaceId("w"), "hold",
                         idempotent,      kLongTimeout,     "p"};
  return harness.Await<absl::StatusOr<BackendReply>>([&](auto done) {
    backends.Send({BackendId("b"), "127.0.0.1", port}, request,
                  std::move(done));
  });
}

std::string WithLength(const std::string& status,
                       const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against a partial answer reaching a caller, and against "not run" for
// a request that may have run.
TEST_CASE("HttpBackendPort drops answers that are not whole") {
  const std::string whole =
      R"({"request":"r1","length":2,"payload":"ok","free_slots":1})";
  const std::string refusal =
      EncodeApiError({"resource_exhausted", "no free slot", {}});
  const std::string own_id = "X-Request-Id: r1\r\n";
  struct Case {
    const char* name;
    std::string answer;
    absl::StatusCode expected;
  };
  const Case cases[] = {
      {"whole", WithLength("200 OK", "", whole), absl::StatusCode::kOk},
      {"no length", "HTTP/1.1 200 OK\r\n\r\n" + whole,
       absl::StatusCode::kUnknown},
      {"payload shorter than stated",
       WithLength("200 OK", "",
                  R"({"request":"r1","length":9,"payload":"ok"})"),
       absl::StatusCode::kUnknown},
      {"cut JSON", WithLength("200 OK", "", whole.substr(0, 20)),
       absl::StatusCode::kUnknown},
      {"refusal", WithLength("429 Busy", own_id, refusal),
       absl::StatusCode::kResourceExhausted},
      {"refusal of another request",
       WithLength("429 Busy", "X-Request-Id: r2\r\n", refusal),
       absl::StatusCode::kUnknown},
      {"refusal without an id", WithLength("429 Busy", "", refusal),
       absl::StatusCode::kUnknown},
      {"unavailable",
       WithLength("503 No", own_id,
                  EncodeApiError({"unavailable", "leaving", {}})),
       absl::StatusCode::kUnavailable},
      {"time-out of the server",
       WithLength("503 No", own_id,
                  EncodeApiError({"deadline_exceeded", "late", {}})),
       absl::StatusCode::kUnknown},
      {"error of a proxy", WithLength("502 Bad", own_id, "<html>"),
       absl::StatusCode::kUnknown},
  };
  for (const Case& it : cases) {
    for (const bool idempotent : {false, true}) {
      CAPTURE(it.name);
      IoHarness harness;
      RawPeer peer(Misbehaviour::kAnswer, it.answer);
      const auto reply = SendTo(harness, peer.port(), idempotent);
      CHECK(reply.status().code() == it.expected);
      peer.Finish();
      CHECK(peer.connections() == 1);
    }
  }
}

}  // namespace
}  // namespace quetzalshelf
