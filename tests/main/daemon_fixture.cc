#include "tests/main/daemon_fixture.h"

#include <optional>
#include <utility>

#include "core/logging.h"

namespace quetzalshelf {

namespace {

constexpr Duration kCallTimeout{60'000};

DaemonConfig Config(const std::string& node_secret) {
  std::string file =
      "standalone: true\n"
      "node: {id: n1, region: central, failure_domain: cartago}\n"
      "listen: {host: 127.0.0.1, port: 0}\n"
      "limits: {max_body_bytes: " +
      std::to_string(kBodyLimit) +
      "}\n"
      "log: {level: error}\n"
      "access:\n"
      "  allow_anonymous: false\n"
      "  tokens:\n"
      "    - {name: ops, token: " +
      std::string(kOpsToken) +
      ", scopes: [/]}\n"
      "    - {name: calle, token: " +
      kCalleToken + ", scopes: [teams/calle]}\n";
  if (!node_secret.empty())
    file += "  node_secret: " + node_secret + "\n";
  auto line = ParseDaemonCommandLine(
      {"--config", "d.yaml"},
      [&file](const std::string&) -> absl::StatusOr<std::string> {
        return file;
      });
  REQUIRE_MESSAGE(line.config.has_value(), line.errors);
  return *std::move(line.config);
}

// Whether `json` holds all that `part` holds.
bool Holds(const Json& json, const Json& part) {
  Json patched = json;
  patched.merge_patch(part);
  return patched == json;
}

}  // namespace

DaemonFixture::DaemonFixture(const std::string& node_secret)
    : caller_(std::make_unique<HttpCaller>(io_, metrics_, HttpCallerOptions())),
      daemon_(std::make_unique<Daemon>(io_,
                                       Config(node_secret),
                                       IncarnationId("n1-1"))) {
  InitLogging({LogFormat::kText, LogLevel::kError, "n1"});
  REQUIRE(daemon_->Start().ok());
  WaitUntil("/v1/status", {{"ready", true}});
  const Json teams = {{"plaza", Json::object()}, {"calle", Json::object()}};
  const Json change = {
      {"base_version", 0}, {"reason", "test"}, {"value", teams}};
  CHECK(Send({"PUT", "/v1/settings/teams", change.dump()}, kOpsToken).status ==
        200);
  const Json job = {{"id", "j1"},
                    {"workspace", "plaza"},
                    {"tasks", 1},
                    {"resources", {{"accelerators", 1}}},
                    {"declared_run_ms", 86'400'000}};
  while (Send({"POST", "/v1/jobs", job.dump()}, kOpsToken).status == 503)
    io_.run_one();
  WaitUntil("/v1/jobs/j1", {{"state", "running"}});
}

DaemonFixture::~DaemonFixture() {
  // Closes the kept connections, for whose end the daemon waits.
  caller_.reset();
  bool stopped = false;
  daemon_->Stop([&stopped] { stopped = true; });
  while (!stopped)
    io_.run_one();
}

ctl::HttpReply DaemonFixture::Send(const ctl::HttpCall& call,
                                   const std::string& token) {
  HttpCall sent;
  sent.host = "127.0.0.1";
  sent.port = port();
  sent.method = call.method;
  sent.target = call.target;
  sent.body = call.body;
  sent.timeout = kCallTimeout;
  if (!token.empty())
    sent.headers.push_back({"Authorization", "Bearer " + token});
  std::optional<absl::StatusOr<HttpResponse>> result;
  caller_->Call(std::move(sent), [&result](auto reply) { result = reply; });
  while (!result)
    io_.run_one();
  ctl::HttpReply reply;
  if (result->ok()) {
    reply.delivery = ctl::Delivery::kAnswered;
    reply.status = (*result)->status;
    reply.body = (*result)->body;
  } else {
    reply.delivery = ctl::Delivery::kMaybeSent;
    reply.error = std::string(result->status().message());
  }
  return reply;
}

Json DaemonFixture::Get(const std::string& target) {
  return Json::parse(Send({"GET", target, ""}, kOpsToken).body);
}

std::string DaemonFixture::State() {
  return Get("/v1/settings/").dump() + Get("/v1/jobs").dump();
}

void DaemonFixture::WaitUntil(const std::string& target, const Json& part) {
  while (!Holds(Get(target), part))
    io_.run_one();
}

}  // namespace quetzalshelf
