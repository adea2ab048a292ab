// Bad input to the HTTP interface of the daemon.

#include "tests/main/daemon_fixture.h"

#include <string>
#include <vector>

#include "drivers/http/api_error.h"

namespace quetzalshelf {
namespace {

// A call, the status it must get, and the place that a finding must name;
// empty when the fault is not in one field.
struct BadCall {
  const char* method;
  const char* target;
  const char* body;
  int status = 400;
  const char* place = "";
  const char* token = kOpsToken;
};

bool Names(const ApiError& error, const std::string& place) {
  for (const Finding& it : error.findings.items()) {
    if (it.place.path == place)
      return true;
  }
  return place.empty();
}

void CheckRefused(DaemonFixture& daemon, const BadCall& call) {
  CAPTURE(std::string(call.method));
  CAPTURE(std::string(call.target));
  CAPTURE(std::string(call.body));
  const std::string before = daemon.State();
  const auto reply =
      daemon.Send({call.method, call.target, call.body}, call.token);
  CAPTURE(reply.body);
  CHECK(reply.status == call.status);
  const auto error = DecodeApiError(reply.body);
  REQUIRE(error.has_value());
  CHECK(error->code != "");
  CHECK(error->message != "");
  CHECK(Names(*error, call.place));
  CHECK(daemon.State() == before);
}

void CheckRefused(const std::vector<BadCall>& calls) {
  DaemonFixture daemon;
  for (const BadCall& it : calls)
    CheckRefused(daemon, it);
}

constexpr char kWeight[] = "/v1/settings/teams/plaza/weight";
constexpr char kGoodChange[] =
    R"({"base_version":1,"reason":"r","value":3,"author":"a"})";
constexpr char kGoodJob[] =
    R"({"id":"x","workspace":"plaza","tasks":1,"resources":{"accelerators":1}})";
constexpr char kGoodRequest[] =
    R"({"workspace":"plaza","kind":"k","idempotent":true,"payload":"p"})";

// Guards against a rejected change that is stored all the same, and against
// errors that don't say which field is at fault.
TEST_CASE("Bad settings calls are refused and change nothing") {
  CheckRefused({
      {"PUT", kWeight, "{"},
      {"PUT", kWeight, "[]"},
      {"PUT", kWeight, R"({"base_version":1,"reason":"r","value":3,"x":1})",
       400, "x"},
      {"PUT", kWeight, R"({"base_version":"1","reason":"r","value":3})", 400,
       "base_version"},
      {"PUT", kWeight, R"({"reason":"r","value":3})", 400, "base_version"},
      {"PUT", kWeight, R"({"base_version":1,"reason":"r"})", 400, "value"},
      {"PUT", kWeight, R"({"base_version":1,"value":3})", 400, "reason"},
      {"PUT", kWeight, R"({"base_version":1,"reason":"","value":3})", 400,
       "reason"},
      {"PUT", kWeight,
       R"({"base_version":1,"reason":"r","value":3,"author":7})", 400,
       "author"},
      {"PUT", kWeight,
       R"({"base_version":1,"reason":"r","value":3,"dry_run":1})", 400,
       "dry_run"},
      {"PUT", kWeight, R"({"base_version":1,"reason":"r","value":"many"})", 400,
       "teams/plaza/weight"},
      {"PUT", kWeight, R"({"base_version":1,"reason":"r","value":0})", 400,
       "teams/plaza/weight"},
      {"PUT", "/v1/settings/teams/plaza/colour", kGoodChange, 400,
       "teams/plaza/colour"},
      {"PUT", kWeight, kGoodChange, 401, "", ""},
      {"PUT", kWeight, kGoodChange, 401, "", kWrongToken},
      {"PUT", kWeight, kGoodChange, 403, "", kCalleToken},
      {"GET", "/v1/settings/colour", "", 400, "colour"},
      {"GET", "/v1/settings/?version=new", "", 400, "version"},
      {"GET", "/v1/settings/?version=99", "", 404},
      {"GET", "/v1/settings/?versoin=1", "", 400, "versoin"},
      {"GET", "/v1/settings/", "", 401, "", ""},
      {"GET", "/v1/settings-history?limit=0", "", 400, "limit"},
      {"GET", "/v1/settings-history?path=colour", "", 400, "path"},
      {"GET", "/v1/settings-history?limt=1", "", 400, "limt"},
      {"GET", "/v1/settings-history", "", 401, "", kWrongToken},
      {"GET", "/v1/settings-history/first", "", 400, "version"},
      {"GET", "/v1/settings-history/99", "", 404},
      {"GET", "/v1/settings-history/1", "", 401, "", ""},
  });
}

// Guards against jobs that exist although their submission was refused, and
// against jobs that another workspace's token cancels or reads.
TEST_CASE("Bad job calls are refused and change nothing") {
  CheckRefused({
      {"POST", "/v1/jobs", "{"},
      {"POST", "/v1/jobs", "null"},
      {"POST", "/v1/jobs",
       R"({"id":"x","workspace":"plaza","tasks":1,"resources":{"accelerators":1},"gpu":1})",
       400, "gpu"},
      {"POST", "/v1/jobs",
       R"({"id":"x","workspace":"plaza","tasks":"1","resources":{"accelerators":1}})",
       400, "tasks"},
      {"POST", "/v1/jobs",
       R"({"id":"x","workspace":"plaza","tasks":0,"resources":{"accelerators":1}})",
       400, "tasks"},
      {"POST", "/v1/jobs",
       R"({"id":"x","workspace":"plaza","tasks":1,"resources":{"accelerators":1,"gpu":1}})",
       400, "resources/gpu"},
      {"POST", "/v1/jobs", R"({"id":"x","workspace":"plaza","tasks":1})", 400,
       "resources"},
      {"POST", "/v1/jobs",
       R"({"workspace":"plaza","tasks":1,"resources":{"accelerators":1}})", 400,
       "id"},
      {"POST", "/v1/jobs",
       R"({"id":"a/b","workspace":"plaza","tasks":1,"resources":{"accelerators":1}})",
       400, "id"},
      {"POST", "/v1/jobs",
       R"({"id":"x","workspace":"nope","tasks":1,"resources":{"accelerators":1}})",
       400, "workspace"},
      {"POST", "/v1/jobs",
       R"({"id":"x","workspace":"plaza","tasks":1025,"resources":{"accelerators":1}})",
       400, "tasks"},
      {"POST", "/v1/jobs",
       R"({"id":"j1","workspace":"plaza","tasks":2,"resources":{"accelerators":1}})",
       409},
      {"POST", "/v1/jobs", kGoodJob, 401, "", ""},
      {"POST", "/v1/jobs", kGoodJob, 401, "", kWrongToken},
      {"POST", "/v1/jobs", kGoodJob, 403, "", kCalleToken},
      {"GET", "/v1/jobs?limit=many", "", 400, "limit"},
      {"GET", "/v1/jobs?state=odd", "", 400, "state"},
      {"GET", "/v1/jobs?colour=red", "", 400, "colour"},
      {"GET", "/v1/jobs", "", 401, "", ""},
      {"GET", "/v1/jobs/none", "", 404},
      {"GET", "/v1/jobs/none/why", "", 404},
      {"GET", "/v1/jobs/none/result", "", 404},
      {"GET", "/v1/jobs/j1", "", 401, "", kWrongToken},
      {"GET", "/v1/jobs/j1/why", "", 401, "", ""},
      {"GET", "/v1/jobs/j1/result", "", 412},
      {"GET", "/v1/jobs/j1/result", "", 403, "", kCalleToken},
      {"DELETE", "/v1/jobs/none", "", 404},
      {"DELETE", "/v1/jobs/j1", "", 401, "", ""},
      {"DELETE", "/v1/jobs/j1", "", 403, "", kCalleToken},
  });
}

// Guards against requests that run although they were refused, and against
// answers of the remaining endpoints to bad or unauthorised calls.
TEST_CASE("Bad requests and other bad calls are refused and change nothing") {
  CheckRefused({
      {"POST", "/v1/tickets", "{"},
      {"POST", "/v1/tickets", R"({"workspace":"plaza"})", 400, "workspace"},
      {"POST", "/v1/tickets", "{}", 401, "", ""},
      {"POST", "/v1/requests", "{"},
      {"POST", "/v1/requests", "7"},
      {"POST", "/v1/requests",
       R"({"workspace":"plaza","kind":"k","idempotent":"no","payload":"p"})",
       400, "idempotent"},
      {"POST", "/v1/requests",
       R"({"workspace":"plaza","kind":"k","idempotent":true,"payload":7})", 400,
       "payload"},
      {"POST", "/v1/requests",
       R"({"workspace":"plaza","kind":"k","idempotent":true,"payload":"p",)"
       R"("deadline_ms":0,"retries":2})",
       400, "retries"},
      {"POST", "/v1/requests",
       R"({"workspace":"plaza","kind":"k","idempotent":true,"payload":"p",)"
       R"("deadline_ms":999999999})",
       400, "deadline_ms"},
      {"POST", "/v1/requests",
       R"({"workspace":"nope","kind":"k","idempotent":true,"payload":"p"})",
       400, "workspace"},
      {"POST", "/v1/requests",
       R"({"workspace":"plaza","kind":"k","idempotent":false,"payload":"p",)"
       R"("ticket":"mine"})",
       400, "ticket"},
      {"POST", "/v1/requests", kGoodRequest, 401, "", ""},
      {"POST", "/v1/requests", kGoodRequest, 403, "", kCalleToken},
      {"GET", "/v1/nodes", "", 401, "", ""},
      {"GET", "/v1/nodes?all=1", "", 400, "all"},
      {"GET", "/v1/status", "", 401, "", kWrongToken},
      {"GET", "/v1/status?all=1", "", 400, "all"},
      {"GET", "/v1/timeline", "", 401, "", ""},
      {"GET", "/v1/timeline?limit=0", "", 400, "limit"},
      {"GET", "/v1/timeline?after=yesterday", "", 400, "after"},
      {"GET", "/v1/timeline?job=j1", "", 400, "job"},
      {"GET", "/v1/nothing", "", 404},
      {"POST", "/v1/nodes", "{}", 405},
      {"POST", "/internal/heartbeat", "{"},
      {"POST", "/internal/heartbeat", R"({"node":7})", 400, "node"},
  });
}

// Guards against a stranger that reads the settings or forges a heartbeat.
TEST_CASE("The interface between nodes asks for their secret") {
  DaemonFixture daemon("nobody-else-knows-this");
  CheckRefused(daemon, {"POST", "/internal/heartbeat", "{", 401});
  CheckRefused(daemon, {"GET", "/internal/settings", "", 401});
}

// Guards against a body that takes a node's memory before it is refused.
TEST_CASE("Oversized bodies are refused at every endpoint that takes one") {
  DaemonFixture daemon;
  const std::string body(2 * kBodyLimit, ' ');
  for (const BadCall& it : std::vector<BadCall>{
           {"PUT", kWeight, body.c_str(), 413},
           {"POST", "/v1/jobs", body.c_str(), 413},
           {"POST", "/v1/tickets", body.c_str(), 413},
           {"POST", "/v1/requests", body.c_str(), 413},
           {"POST", "/internal/heartbeat", body.c_str(), 413}}) {
    CheckRefused(daemon, it);
  }
}

// Guards against a conflict that hides what the other operator has set.
TEST_CASE("A change based on an old version shows both values") {
  DaemonFixture daemon;
  const auto put = [&daemon](int value) {
    const Json body = {{"base_version", 1}, {"reason", "r"}, {"value", value}};
    return daemon.Send({"PUT", kWeight, body.dump()}, kOpsToken);
  };
  CHECK(put(3).status == 200);
  CheckRefused(daemon, {"PUT", kWeight,
                        R"({"base_version":1,"reason":"r","value":4})", 409});
  const Json expected = {{"base_version", 1},
                         {"current_version", 2},
                         {"your_value", 4},
                         {"current_value", 3}};
  CHECK(Json::parse(put(4).body).at("conflict") == expected);
  CHECK(daemon.Get("/v1/settings-history/2").at("author") == "ops");
  CHECK(daemon.Get(std::string(kWeight) + "?version=1").at("value") == 1);
  CHECK(daemon.Get(kWeight).at("value") == 3);
}

}  // namespace
}  // namespace quetzalshelf
