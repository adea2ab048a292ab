// A standalone daemon run by the test's own thread.

#ifndef TESTS_MAIN_DAEMON_FIXTURE_H_
#define TESTS_MAIN_DAEMON_FIXTURE_H_

#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "core/metrics.h"
#include "drivers/http/http_caller.h"
#include "main/ctl/api_client.h"
#include "main/daemon/daemon.h"

// After the headers that include easylogging++, whose CHECK it replaces.
#include <doctest/doctest.h>

namespace quetzalshelf {

// Access tokens of the fixture: everything, the team `calle` only, nobody's.
inline constexpr char kOpsToken[] = "ops-0123456789abcdef";
inline constexpr char kCalleToken[] = "calle-0123456789abcdef";
inline constexpr char kWrongToken[] = "wrong-0123456789abcdef";
inline constexpr size_t kBodyLimit = 65'536;

// Its constructor returns when the daemon owns its shard and serves. The teams
// plaza and calle exist, and the job j1 of plaza runs for a day.
class DaemonFixture {
 public:
  // Without a secret, every caller may use the interface between the nodes.
  explicit DaemonFixture(const std::string& node_secret = "");
  ~DaemonFixture();

  int port() const { return daemon_->port(); }
  // Sends one call; an empty token sends no Authorization header.
  ctl::HttpReply Send(const ctl::HttpCall& call, const std::string& token);
  Json Get(const std::string& target);
  // Settings with their version, and the jobs: what no bad call may change.
  std::string State();

  // Runs the daemon until the answer to a GET holds all fields of `part`.
  void WaitUntil(const std::string& target, const Json& part);

 private:
  asio::io_context io_;
  MetricsRegistry metrics_;
  std::unique_ptr<HttpCaller> caller_;
  std::unique_ptr<Daemon> daemon_;
};

// Sends the calls of quetzalshelfctl to the fixture, whatever the server.
class FixtureTransport : public ctl::Transport {
 public:
  FixtureTransport(DaemonFixture& daemon, std::string token)
      : daemon_(daemon), token_(std::move(token)) {}

  ctl::HttpReply Send(const ctl::Server&, const ctl::HttpCall& call) override {
    return daemon_.Send(call, token_);
  }

 private:
  DaemonFixture& daemon_;
  const std::string token_;
};

}  // namespace quetzalshelf

#endif  // TESTS_MAIN_DAEMON_FIXTURE_H_
