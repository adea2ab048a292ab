#include <vector>

#include "drivers/http/router.h"
#include "tests/drivers/io_harness.h"

namespace quetzalshelf {
namespace {

HttpServerOptions TestOptions() {
  HttpServerOptions options;
  options.connection_limit = 8;
  options.keep_alive = Duration(1'000);
  options.answer_limit = kLongTimeout;
  options.max_body_bytes = 100;
  return options;
}

HttpResponse Text(std::string body) {
  return {.status = 200, .body = std::move(body), .content_type = "text/plain"};
}

std::string CodeOf(const HttpResponse& response) {
  const auto error = DecodeApiError(response.body);
  return error ? error->code : "";
}

// Guards against two processes sharing one port unnoticed, as SO_REUSEPORT
// allows.
TEST_CASE("HttpServer reports a port in use") {
  IoHarness harness;
  HttpServer first(harness.io, harness.metrics, TestOptions());
  REQUIRE(first.Start().ok());
  CHECK(first.port() > 0);
  HttpServerOptions options = TestOptions();
  options.port = first.port();
  HttpServer second(harness.io, harness.metrics, options);
  const absl::Status status = second.Start();
  CHECK(absl::IsAlreadyExists(status));
  CHECK(status.message().find(std::to_string(first.port())) !=
        std::string::npos);
}

// Guards against parameters that arrive still encoded or under another name.
TEST_CASE("HttpServer hands decoded parameters and the body to the handler") {
  IoHarness harness;
  HttpServer server(harness.io, harness.metrics, TestOptions());
  server.Handle(
      "PUT", "/v1/settings/*path",
      [](const HttpRequest& request, const Responder& respond) {
        respond(Text(request.Param("path") + "|" + request.Query("base") + "|" +
                     request.Header("x-by") + "|" + request.body));
      });
  REQUIRE(server.Start().ok());
  HttpCaller caller(harness.io, harness.metrics, {});
  HttpCall call = MakeCall(
      server.port(), "PUT",
      "/v1/settings/teams/a%20b?base=" + PercentEncode("1+2&3", false));
  call.headers.push_back({"X-By", "op"});
  call.body = "body";
  const auto reply = harness.Call(caller, call);
  REQUIRE(reply.ok());
  CHECK(reply->body == "teams/a b|1+2&3|op|body");
}

// Guards against control traffic that is not counted.
TEST_CASE("Client and server count the same bytes") {
  IoHarness harness;
  MetricsRegistry served;
  HttpServer server(harness.io, served, TestOptions());
  server.Handle("POST", "/x", [](const HttpRequest&, const Responder& r) {
    r(Text("twelve bytes"));
  });
  REQUIRE(server.Start().ok());
  HttpCaller caller(harness.io, harness.metrics, {});
  HttpCall call = MakeCall(server.port(), "POST", "/x");
  call.body = std::string(50, 'x');
  REQUIRE(harness.Call(caller, call).ok());
  harness.Stop(server);
  const auto client = [&](const char* name) {
    return harness.metrics.GetCounter(name).value();
  };
  CHECK(client("http_client_calls_total") == 1);
  CHECK(served.GetCounter("http_server_calls_total").value() == 1);
  CHECK(client("http_client_bytes_out_total") > 50);
  CHECK(client("http_client_bytes_out_total") ==
        served.GetCounter("http_server_bytes_in_total").value());
  CHECK(client("http_client_bytes_in_total") > 12);
  CHECK(client("http_client_bytes_in_total") ==
        served.GetCounter("http_server_bytes_out_total").value());
}

// Guards against library answers without the error body of the interface.
TEST_CASE("HttpServer answers every refusal with a typed error body") {
  IoHarness harness;
  HttpServer server(harness.io, harness.metrics, TestOptions());
  server.Handle("POST", "/only",
                [](const HttpRequest&, const Responder& r) { r(Text("ok")); });
  REQUIRE(server.Start().ok());
  HttpCaller caller(harness.io, harness.metrics, {});
  const auto status_and_code = [&](const std::string& method,
                                   const std::string& target, size_t body) {
    HttpCall call = MakeCall(server.port(), method, target);
    call.body = std::string(body, 'x');
    const auto reply = harness.Call(caller, call);
    REQUIRE(reply.ok());
    return std::to_string(reply->status) + " " + CodeOf(*reply);
  };
  CHECK(status_and_code("GET", "/none", 0) == "404 not_found");
  CHECK(status_and_code("GET", "/only", 0) == "405 invalid_argument");
  CHECK(status_and_code("POST", "/only", 101) == "413 too_large");
  CHECK(status_and_code("POST", "/only", 0) == "200 ");
  CHECK(status_and_code("GET", "/" + std::string(3'000, 'a'), 0) ==
        "414 invalid_argument");
}

// Guards against a caller that waits for ever, and against the late answer
// going to the next request of the connection.
TEST_CASE("HttpServer answers 504 after the limit and drops the late answer") {
  IoHarness harness;
  HttpServer server(harness.io, harness.metrics, TestOptions());
  std::vector<Responder> held;
  server.Handle(
      "GET", "/slow",
      [&](const HttpRequest&, const Responder& respond) {
        held.push_back(respond);
      },
      Duration(50));
  server.Handle("GET", "/next", [&](const HttpRequest&, const Responder& r) {
    r(Text("next"));
  });
  REQUIRE(server.Start().ok());
  HttpCaller caller(harness.io, harness.metrics, {});
  const auto slow =
      harness.Call(caller, MakeCall(server.port(), "GET", "/slow"));
  REQUIRE(slow.ok());
  CHECK(slow->status == 504);
  CHECK(CodeOf(*slow) == "deadline_exceeded");
  REQUIRE(held.size() == 1);
  held.front()(Text("late"));
  const auto next =
      harness.Call(caller, MakeCall(server.port(), "GET", "/next"));
  REQUIRE(next.ok());
  CHECK(next->body == "next");
}

// Guards against a connection that hangs when a handler forgets to answer.
TEST_CASE("HttpServer answers 500 when the handler drops the responder") {
  IoHarness harness;
  HttpServer server(harness.io, harness.metrics, TestOptions());
  server.Handle("GET", "/x", [](const HttpRequest&, const Responder&) {});
  REQUIRE(server.Start().ok());
  HttpCaller caller(harness.io, harness.metrics, {});
  const auto reply = harness.Call(caller, MakeCall(server.port(), "GET", "/x"));
  REQUIRE(reply.ok());
  CHECK(reply->status == 500);
}

// Guards against a planned stop that interrupts a request in flight.
TEST_CASE("HttpServer lets requests in flight finish before it stops") {
  IoHarness harness;
  HttpServer server(harness.io, harness.metrics, TestOptions());
  std::vector<Responder> held;
  server.Handle("GET", "/x", [&](const HttpRequest&, const Responder& respond) {
    held.push_back(respond);
  });
  REQUIRE(server.Start().ok());
  HttpCaller caller(harness.io, harness.metrics, {});
  std::string body;
  caller.Call(MakeCall(server.port(), "GET", "/x"),
              [&](absl::StatusOr<HttpResponse> reply) {
                body = reply.ok() ? reply->body : "failed";
              });
  while (held.empty())
    harness.io.run_one();
  bool stopped = false;
  server.Stop([&] { stopped = true; });
  CHECK_FALSE(stopped);
  held.front()(Text("whole"));
  while (!stopped)
    harness.io.run_one();
  while (body.empty())
    harness.io.run_one();
  CHECK(body == "whole");
  const auto after = harness.Call(caller, MakeCall(server.port(), "GET", "/x"));
  CHECK(absl::IsUnavailable(after.status()));
}

// Guards against a destructor that waits for handlers that no longer run.
TEST_CASE("HttpServer goes away with requests in flight") {
  IoHarness harness;
  std::vector<Responder> held;
  auto server =
      std::make_unique<HttpServer>(harness.io, harness.metrics, TestOptions());
  server->Handle("GET", "/x",
                 [&](const HttpRequest&, const Responder& respond) {
                   held.push_back(respond);
                 });
  REQUIRE(server->Start().ok());
  HttpCaller caller(harness.io, harness.metrics, {});
  std::optional<absl::StatusOr<HttpResponse>> reply;
  caller.Call(MakeCall(server->port(), "GET", "/x"),
              [&](absl::StatusOr<HttpResponse> it) { reply = std::move(it); });
  while (held.empty())
    harness.io.run_one();
  server.reset();
  while (!reply)
    harness.io.run_one();
  REQUIRE(reply->ok());
  CHECK((*reply)->status == 504);
  held.front()(Text("late"));
}

// Guards against routes that match too much or lose a parameter.
TEST_CASE("Router matches segments, parameters and rests") {
  Router router;
  router.Add("GET", "/v1/jobs/:id");
  router.Add("GET", "/v1/jobs/:id/result");
  router.Add("GET", "/v1/settings/*path");
  CHECK(router.Find("GET", "/v1/jobs/a").route == 0);
  CHECK(FindField(router.Find("GET", "/v1/jobs/a/result").params, "id") == "a");
  CHECK(router.Find("GET", "/v1/jobs/").outcome == Router::Outcome::kNoPath);
  CHECK(router.Find("GET", "/v1/jobs/a/b").outcome == Router::Outcome::kNoPath);
  CHECK(router.Find("PUT", "/v1/jobs/a").outcome == Router::Outcome::kNoMethod);
  CHECK(FindField(router.Find("GET", "/v1/settings/t/u").params, "path") ==
        "t/u");
  CHECK(router.Find("GET", "/v1/settings").outcome == Router::Outcome::kFound);
}

// Guards against "not run" read from an answer that does not prove it.
TEST_CASE("StatusOf trusts the code of the error body, not the HTTP status") {
  for (const auto code :
       {absl::StatusCode::kAborted, absl::StatusCode::kNotFound,
        absl::StatusCode::kUnavailable, absl::StatusCode::kDeadlineExceeded,
        absl::StatusCode::kFailedPrecondition}) {
    const HttpResponse response = ErrorResponse(absl::Status(code, "why"));
    CHECK(StatusOf(response) == absl::Status(code, "why"));
  }
  HttpResponse bare;
  bare.status = 503;
  CHECK(absl::IsUnknown(StatusOf(bare)));
  bare.status = 400;
  CHECK(absl::IsInvalidArgument(StatusOf(bare)));
}

}  // namespace
}  // namespace quetzalshelf
