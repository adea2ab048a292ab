// An io_context run by the test's own thread.

#ifndef TESTS_DRIVERS_IO_HARNESS_H_
#define TESTS_DRIVERS_IO_HARNESS_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <doctest/doctest.h>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "core/metrics.h"
#include "drivers/http/api_error.h"
#include "drivers/http/asio_task_runner.h"
#include "drivers/http/http_caller.h"
#include "drivers/http/http_server.h"

namespace quetzalshelf {

constexpr Duration kLongTimeout{60'000};

struct IoHarness {
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work{
      io.get_executor()};
  AsioTaskRunner runner{io};
  MetricsRegistry metrics;

  // Runs the io_context until the callback given to `start` was called.
  template <typename Result>
  Result Await(const std::function<void(std::function<void(Result)>)>& start) {
    std::optional<Result> result;
    start([&](Result value) { result = std::move(value); });
    while (!result)
      io.run_one();
    return *std::move(result);
  }

  absl::StatusOr<HttpResponse> Call(HttpCaller& caller, HttpCall call) {
    return Await<absl::StatusOr<HttpResponse>>(
        [&](auto done) { caller.Call(std::move(call), std::move(done)); });
  }

  void Stop(HttpServer& server) {
    Await<bool>([&](auto done) { server.Stop([done] { done(true); }); });
  }
};

inline HttpCall MakeCall(int port, std::string method, std::string target) {
  HttpCall call;
  call.host = "127.0.0.1";
  call.port = port;
  call.method = std::move(method);
  call.target = std::move(target);
  call.timeout = kLongTimeout;
  return call;
}

}  // namespace quetzalshelf

#endif  // TESTS_DRIVERS_IO_HARNESS_H_
