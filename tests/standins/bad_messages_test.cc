#include <doctest/doctest.h>

#include "drivers/backend/backend_codec.h"
#include "drivers/peer/peer_codec.h"
#include "drivers/worker/worker_codec.h"
#include "standins/backend/backend_service.h"
#include "standins/platform/platform_service.h"
#include "standins/worker/worker_service.h"
#include "tests/drivers/io_harness.h"

namespace quetzalshelf {
namespace {

constexpr size_t kMaxBodyBytes = 2'000;

// All three stand-ins on one server, in the test's own process.
struct ServiceHarness : IoHarness {
  struct FixedClock : Clock {
    TimePoint Now() const override { return FromMillis(1'000); }
    int64_t WallMillis() const override { return 0; }
  };

  FixedClock clock;
  PlatformService platform{runner, clock};
  WorkerService worker{{WorkerId("w"), IncarnationId("i1")}, clock, [] {}};
  BackendService backend{runner, 1};
  HttpServer server{io,
                    metrics,
                    {.connection_limit = 4,
                     .max_body_bytes = kMaxBodyBytes,
                     .keep_alive = Duration(1'000)}};
  HttpCaller caller{io, metrics, {}};

  ServiceHarness() {
    platform.Install(server);
    worker.Install(server);
    // The platform's /control/faults comes first.
    backend.Install(server);
    REQUIRE(server.Start().ok());
  }

  HttpResponse Post(const std::string& path, const std::string& body) {
    HttpCall call = MakeCall(server.port(), "POST", path);
    call.body = body;
    const auto reply = Call(caller, call);
    REQUIRE(reply.ok());
    return *reply;
  }
};

struct BadMessage {
  const char* path;
  const char* body;
  const char* field;  // Place of the first finding.
};

const BadMessage kBadMessages[] = {
    {"/table/commit", R"({"conditions":[],"writes":[]})", "token"},
    {"/table/commit", R"({"token":"t","writes":[],"extra":1})", "extra"},
    {"/table/commit", R"({"token":"t","writes":[{"key":1}]})", "writes[0]/key"},
    {"/table/commit",
     R"({"token":"t","writes":[],"conditions":[{"key":"a","version":-1}]})",
     "conditions[0]/version"},
    {"/table/commit", R"({"token":"t","writes":{}})", "writes"},
    {"/table/commit", R"([1])", ""},
    {"/table/commit", R"({"token":)", ""},
    {"/vms", R"({"name":"a","host":"h","port":0,"role":"worker",
                 "region":"r","domain":"d"})",
     "port"},
    {"/vms", R"({"name":"a","host":"h","port":1,"role":"king",
                 "region":"r","domain":"d"})",
     "role"},
    {"/vms/a/state", R"({"state":"dead"})", "state"},
    {"/vms/a/state", R"({})", "state"},
    {"/control/faults", R"({"slow_ms":"long"})", "slow_ms"},
    {"/worker/sync", R"({"region":"r","epoch":1,"lease_ms":1})",
     "acknowledged"},
    {"/worker/sync", R"({"region":"","epoch":1,"lease_ms":1,"acknowledged":0})",
     "region"},
    {"/worker/prepare",
     R"({"region":"r","epoch":1,"incarnation":"i1","deadline_ms":1,"job":"j",
         "attempt":1,"tasks":[{"task":0,"accelerators":-1}]})",
     "tasks[0]/accelerators"},
    {"/worker/run",
     R"({"region":"r","epoch":1.5,"incarnation":"i1","deadline_ms":1,
         "job":"j","attempt":1})",
     "epoch"},
    {"/worker/act",
     R"({"region":"r","epoch":1,"job":"j","attempt":1,"action":"jump"})",
     "action"},
    {"/run", R"({"request":"r1","workspace":"w","kind":"k","idempotent":1,
                 "payload":""})",
     "idempotent"},
};

// Guards against a bad message that is carried out in part, or an error that
// does not say which field is wrong.
TEST_CASE("Stand-ins answer bad messages with a 4xx that names the field") {
  ServiceHarness harness;
  for (const BadMessage& it : kBadMessages) {
    CAPTURE(it.path);
    CAPTURE(it.body);
    const HttpResponse reply = harness.Post(it.path, it.body);
    CHECK(reply.status == 400);
    const auto error = DecodeApiError(reply.body);
    REQUIRE(error.has_value());
    CHECK(error->code == "invalid_argument");
    REQUIRE_FALSE(error->findings.empty());
    CHECK(error->findings.items()[0].place.path == it.field);
  }
  CHECK(harness.platform.table().commits() == 0);
  CHECK(harness.backend.runs(RequestId("r1")) == 0);
  const HttpResponse large =
      harness.Post("/table/commit", std::string(kMaxBodyBytes + 1, ' '));
  CHECK(large.status == 413);
  CHECK(DecodeApiError(large.body)->code == "too_large");
}

// Guards against messages that lose a field on the way.
TEST_CASE("Codecs read back what they write") {
  Findings findings;
  SyncReply reply;
  reply.incarnation = IncarnationId("i1");
  reply.clock = FromMillis(-5);
  reply.sequence = 9;
  reply.held.push_back({JobId("j"), Attempt(2)});
  TaskReport report;
  report.gang = reply.held[0];
  report.task = 7;
  report.state = TaskState::kFailed;
  report.progress = Duration(10);
  report.checkpointed = Duration(5);
  report.accelerators_used = Accelerators(3);
  report.result = "res";
  report.error = "err";
  reply.reports.push_back(report);
  const Json encoded = EncodeSyncReply(reply);
  const auto decoded = DecodeSyncReply(encoded.dump(), findings);
  REQUIRE(decoded.has_value());
  CHECK(EncodeSyncReply(*decoded) == encoded);
  CHECK(decoded->reports[0].error == "err");

  PrepareRequest prepare;
  prepare.region = RegionId("r");
  prepare.epoch = Epoch(3);
  prepare.incarnation = IncarnationId("i1");
  prepare.deadline = FromMillis(77);
  prepare.gang = {JobId("j"), Attempt(2)};
  prepare.kind = "plan";
  prepare.payload = "{}";
  prepare.run_time = Duration(1);
  prepare.resume_from = Duration(2);
  prepare.tasks.push_back({4, {Accelerators(1), MilliCores(2), Mebibytes(3)}});
  const Json prepare_json = EncodePrepareRequest(prepare);
  const auto prepare_back = DecodePrepareRequest(prepare_json.dump(), findings);
  REQUIRE(prepare_back.has_value());
  CHECK(EncodePrepareRequest(*prepare_back) == prepare_json);

  GangRequest act{RegionId("r"),
                  Epoch(1),
                  {JobId("j"), Attempt(1)},
                  GangAction::kThrottle,
                  40};
  const auto act_back =
      DecodeGangRequest(EncodeGangRequest(act).dump(), findings);
  REQUIRE(act_back.has_value());
  CHECK(act_back->throttle_percent == 40);

  const PeerHeartbeat heartbeat{
      NodeId("n"), IncarnationId("i"), true,
      false,       SettingsVersion(4), {{RegionId("r"), Epoch(2)}}};
  const Json heartbeat_json = EncodePeerHeartbeat(heartbeat);
  const auto heartbeat_back =
      DecodePeerHeartbeat(heartbeat_json.dump(), findings);
  REQUIRE(heartbeat_back.has_value());
  CHECK(EncodePeerHeartbeat(*heartbeat_back) == heartbeat_json);
}

}  // namespace
}  // namespace quetzalshelf
