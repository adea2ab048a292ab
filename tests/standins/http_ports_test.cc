#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>
#include <unistd.h>

#include "drivers/backend/http_backend_port.h"
#include "drivers/peer/http_peer_port.h"
#include "drivers/peer/peer_codec.h"
#include "drivers/platform/http_object_store.h"
#include "drivers/platform/http_table.h"
#include "drivers/platform/http_vm_list.h"
#include "drivers/worker/http_worker_port.h"
#include "standins/backend/backend_service.h"
#include "standins/platform/platform_service.h"
#include "standins/platform/vm_file.h"
#include "standins/worker/worker_service.h"
#include "tests/drivers/io_harness.h"

namespace quetzalshelf {
namespace {

HttpServerOptions TestOptions() {
  HttpServerOptions options;
  options.connection_limit = 8;
  options.keep_alive = Duration(1'000);
  return options;
}

// A clock that tests set.
struct TestClock : Clock {
  TimePoint Now() const override { return now; }
  int64_t WallMillis() const override { return 0; }
  TimePoint now = FromMillis(1'000'000);
};

struct PortHarness : IoHarness {
  TestClock clock;
  HttpServer server{io, metrics, TestOptions()};
  HttpCaller caller{io, metrics, {}};

  absl::Status Post(const std::string& path, const std::string& body) {
    HttpCall call = MakeCall(server.port(), "POST", path);
    call.body = body;
    const auto reply = Call(caller, call);
    return reply.ok() ? StatusOf(*reply) : reply.status();
  }
};

// Guards against statuses of the table that change their meaning over HTTP.
TEST_CASE("HttpTable keeps the semantics of the table") {
  PortHarness harness;
  PlatformService service(harness.runner, harness.clock);
  service.Install(harness.server);
  REQUIRE(harness.server.Start().ok());
  HttpTable table(harness.caller, harness.runner,
                  {"127.0.0.1", harness.server.port(), kLongTimeout});
  const auto commit = [&](const std::string& key, uint64_t version,
                          const std::optional<std::string>& value) {
    const Transaction transaction{
        TokenId("t1"), {{key, RowVersion(version)}}, {{key, value}}};
    return harness.Await<absl::Status>(
        [&](auto done) { table.Commit(transaction, std::move(done)); });
  };
  const auto read = [&](const std::string& key) {
    return harness.Await<absl::StatusOr<Row>>(
        [&](auto done) { table.Read(key, std::move(done)); });
  };
  const std::string odd_key = "job/r/a b&c=%+\"\xC3\xA9";
  CHECK(commit(odd_key, 0, "line\n\"quoted\"").ok());
  CHECK(absl::IsAborted(commit(odd_key, 0, "2")));
  const auto row = read(odd_key);
  REQUIRE(row.ok());
  CHECK(row->key == odd_key);
  CHECK(row->value == "line\n\"quoted\"");
  CHECK(row->version == RowVersion(1));
  CHECK(row->token == TokenId("t1"));
  CHECK(absl::IsNotFound(read("none").status()));
  CHECK(commit("job/r/b", 0, "").ok());
  const auto rows =
      harness.Await<absl::StatusOr<std::vector<Row>>>([&](auto done) {
        table.ReadPrefix("job/", odd_key, 5, std::move(done));
      });
  REQUIRE(rows.ok());
  REQUIRE(rows->size() == 1);
  CHECK(rows->at(0).key == "job/r/b");
  CHECK(rows->at(0).value.empty());
  CHECK(commit("job/r/b", 1, std::nullopt).ok());
  CHECK(absl::IsNotFound(read("job/r/b").status()));
  CHECK(absl::IsInvalidArgument(commit("k", 0, "\xFF")));
  CHECK(harness.Post("/control/faults", R"({"lose_answers":1})").ok());
  CHECK(absl::IsDeadlineExceeded(commit("a", 0, "1")));
  CHECK(read("a")->value == "1");
  CHECK(harness.Post("/control/faults", R"({"down":true})").ok());
  CHECK(absl::IsUnavailable(commit("a", 1, "2")));
  CHECK(absl::IsUnavailable(read("a").status()));
}

// Guards against objects that lose bytes or names on the way.
TEST_CASE("HttpObjectStore keeps bytes and names") {
  PortHarness harness;
  PlatformService service(harness.runner, harness.clock);
  service.Install(harness.server);
  REQUIRE(harness.server.Start().ok());
  HttpObjectStore store(harness.caller,
                        {"127.0.0.1", harness.server.port(), kLongTimeout});
  const std::string name = "result/job 1%2F/2";
  const std::string content("\0\xFF\r\n{", 5);
  CHECK(harness
            .Await<absl::Status>(
                [&](auto done) { store.Put(name, content, std::move(done)); })
            .ok());
  const auto get = [&](const std::string& which) {
    return harness.Await<absl::StatusOr<std::string>>(
        [&](auto done) { store.Get(which, std::move(done)); });
  };
  CHECK(get(name).value() == content);
  CHECK(absl::IsNotFound(get("result/job").status()));
}

// Guards against VMs that change between the file, the service and the client.
TEST_CASE("HttpVmList reads the VMs of the file and their state") {
  PortHarness harness;
  PlatformService service(harness.runner, harness.clock);
  service.Install(harness.server);
  REQUIRE(harness.server.Start().ok());
  const std::string file =
      std::filesystem::temp_directory_path() /
      ("vm_file_test_" + std::to_string(getpid()) + ".yaml");
  std::ofstream(file) << "vms:\n"
                         "  - {name: w1, host: 127.0.0.1, port: 7001, role: "
                         "worker, region: r, domain: d1, rack: \"7\", "
                         "capacity: {accelerators: 8}}\n"
                         "  - {name: b1, host: 127.0.0.1, port: 7002, role: "
                         "backend, region: r, domain: d2, slots: 8}\n";
  Findings findings;
  for (const Vm& it : ReadVmFile(file, findings))
    service.vms().Put(it);
  CHECK(findings.empty());
  CHECK(harness.Post("/vms/b1/state", R"({"state":"leaving"})").ok());
  CHECK(absl::IsNotFound(harness.Post("/vms/b2/state", R"({"state":"live"})")));
  HttpVmList list(harness.caller,
                  {"127.0.0.1", harness.server.port(), kLongTimeout});
  const auto vms = harness.Await<absl::StatusOr<std::vector<Vm>>>(
      [&](auto done) { list.List(std::move(done)); });
  REQUIRE(vms.ok());
  REQUIRE(vms->size() == 2);
  CHECK(vms->at(0).name == "b1");
  CHECK(vms->at(0).state == VmState::kLeaving);
  CHECK(vms->at(0).slots == 8);
  CHECK(vms->at(1).rack == RackId("7"));
  CHECK(vms->at(1).capacity.accelerators == Accelerators(8));
  std::ofstream(file) << "vms:\n  - {name: w1, port: many}\n";
  ReadVmFile(file, findings);
  std::filesystem::remove(file);
  CHECK(findings.ToString().find(file + ": vms[0]/port") != std::string::npos);
  ReadVmFile("missing.yaml", findings);
  CHECK(findings.items().back().place.file == "missing.yaml");
}

// Guards against a cached list that hides a change or is sent over and over.
TEST_CASE("HttpVmList asks for changes only and sees each of them") {
  PortHarness harness;
  PlatformService service(harness.runner, harness.clock);
  service.Install(harness.server);
  REQUIRE(harness.server.Start().ok());
  Vm vm;
  vm.name = "w1";
  vm.host = "127.0.0.1";
  vm.port = 7'001;
  vm.region = RegionId("r");
  vm.domain = DomainId("d");
  service.vms().Put(vm);
  HttpVmList list(harness.caller,
                  {"127.0.0.1", harness.server.port(), kLongTimeout});
  const auto read = [&] {
    return harness
        .Await<absl::StatusOr<std::vector<Vm>>>(
            [&](auto done) { list.List(std::move(done)); })
        .value();
  };
  Counter& bytes = harness.metrics.GetCounter("http_client_bytes_in_total");
  CHECK(read()[0].state == VmState::kLive);
  const int64_t whole = bytes.value();
  CHECK(read()[0].name == "w1");
  CHECK(bytes.value() - whole < whole);
  REQUIRE(service.vms().SetState("w1", VmState::kLeaving).ok());
  CHECK(read()[0].state == VmState::kLeaving);
}

// Guards against refusals of a worker that change their meaning over HTTP.
TEST_CASE("HttpWorkerPort keeps the semantics of the worker") {
  PortHarness harness;
  WorkerService service({WorkerId("w"),
                         IncarnationId("i1"),
                         {Accelerators(2), MilliCores(10), Mebibytes(10)}},
                        harness.clock, [] {});
  service.Install(harness.server);
  REQUIRE(harness.server.Start().ok());
  HttpWorkerPort port(harness.caller, harness.runner, kLongTimeout);
  const WorkerAddress address{WorkerId("w"), "127.0.0.1",
                              harness.server.port()};
  const auto sync = [&](uint64_t epoch) {
    const SyncRequest request{RegionId("r"), Epoch(epoch), Duration(30'000),
                              IncarnationId(), 0};
    return harness.Await<absl::StatusOr<SyncReply>>(
        [&](auto done) { port.Sync(address, request, std::move(done)); });
  };
  const auto reply = sync(2);
  REQUIRE(reply.ok());
  CHECK(reply->clock == harness.clock.now);
  CHECK(absl::IsFailedPrecondition(sync(1).status()));
  PrepareRequest prepare{RegionId("r"),
                         Epoch(2),
                         reply->incarnation,
                         reply->clock + Duration(3'000),
                         {JobId("j"), Attempt(1)}};
  prepare.payload = R"({"run_ms":10})";
  prepare.tasks.push_back({0, {Accelerators(2)}});
  const auto send = [&] {
    return harness.Await<absl::Status>(
        [&](auto done) { port.Prepare(address, prepare, std::move(done)); });
  };
  CHECK(send().ok());
  CHECK(harness
            .Await<absl::Status>([&](auto done) {
              port.Run(address,
                       {RegionId("r"), Epoch(2), reply->incarnation,
                        prepare.deadline, prepare.gang},
                       std::move(done));
            })
            .ok());
  prepare.gang.job = JobId("k");
  CHECK(absl::IsResourceExhausted(send()));
  harness.clock.now += Duration(10);
  const auto after = sync(2);
  REQUIRE(after.ok());
  REQUIRE(after->reports.size() == 1);
  CHECK(after->reports[0].state == TaskState::kFinished);
  CHECK(harness
            .Await<absl::Status>([&](auto done) {
              port.Act(address,
                       {RegionId("r"), Epoch(2), {JobId("j"), Attempt(1)}},
                       std::move(done));
            })
            .ok());
  prepare.tasks.clear();
  CHECK(absl::IsFailedPrecondition(send()));
}

// Guards against commands that are lost, not delayed, while a worker is paused.
TEST_CASE("WorkerService carries out commands after a pause") {
  PortHarness harness;
  WorkerService service({WorkerId("w"), IncarnationId("i1")}, harness.clock,
                        [] {});
  service.Install(harness.server);
  REQUIRE(harness.server.Start().ok());
  HttpWorkerPort port(harness.caller, harness.runner, kLongTimeout);
  CHECK(harness.Post("/control/faults", R"({"pause":true})").ok());
  bool answered = false;
  port.Sync({WorkerId("w"), "127.0.0.1", harness.server.port()},
            {RegionId("r"), Epoch(1), Duration(1'000), IncarnationId(), 0},
            [&](const auto& reply) { answered = reply.ok(); });
  CHECK(harness.Post("/control/faults", R"({"fail_tasks":true})").ok());
  CHECK_FALSE(answered);
  CHECK(harness.Post("/control/faults", R"({"pause":false})").ok());
  while (!answered)
    harness.io.run_one();
}

struct BackendHarness : PortHarness {
  BackendService service{runner, 2};
  HttpBackendPort port{caller, runner};

  BackendHarness() {
    service.Install(server);
    REQUIRE(server.Start().ok());
  }

  absl::StatusOr<BackendReply> Send(const char* id,
                                    bool idempotent = false,
                                    Duration timeout = kLongTimeout) {
    const BackendRequest request{RequestId(id), WorkspaceId("w"), "hold",
                                 idempotent,    timeout,          "p"};
    return Await<absl::StatusOr<BackendReply>>([&](auto done) {
      port.Send({BackendId("b"), "127.0.0.1", server.port()}, request,
                std::move(done));
    });
  }
};

// Guards against an answer of another request or a cut one being taken for the
// whole own answer, and against a refusal that did run.
TEST_CASE("HttpBackendPort tells whole, crossed, cut and refused answers") {
  BackendHarness harness;
  const auto whole = harness.Send("r1");
  REQUIRE(whole.ok());
  CHECK(whole->request == RequestId("r1"));
  CHECK(whole->payload == "answer to p");
  CHECK(whole->free_slots == 2);
  harness.service.faults().crossed = 1;
  const auto crossed = harness.Send("r2");
  REQUIRE(crossed.ok());
  CHECK(crossed->request == RequestId("r1"));
  harness.service.faults().cut = 1;
  CHECK(absl::IsUnknown(harness.Send("r3").status()));
  CHECK(harness.service.runs(RequestId("r3")) == 1);
  harness.service.faults().refuse = 1;
  CHECK(absl::IsResourceExhausted(harness.Send("r4").status()));
  CHECK(harness.service.runs(RequestId("r4")) == 0);
  harness.service.faults().no_answer = 1;
  const auto none = harness.Send("r5", false, Duration(1'000));
  CHECK(absl::IsDeadlineExceeded(none.status()));
  CHECK(harness.service.runs(RequestId("r5")) == 1);
  harness.service.Leave();
  CHECK(harness.Send("r6", true)->leaving);
  CHECK(harness.service.runs(RequestId("r6")) == 1);
  harness.Stop(harness.server);
  CHECK(absl::IsUnavailable(harness.Send("r7").status()));
}

// Guards against a late answer that reaches a later request of the same caller.
TEST_CASE("HttpBackendPort drops a late answer") {
  BackendHarness harness;
  harness.service.faults().late = 1;
  harness.service.faults().late_by = Duration(1'500);
  const auto late = harness.Send("r1", true, Duration(1'000));
  CHECK(absl::IsDeadlineExceeded(late.status()));
  const auto next = harness.Send("r2", true);
  REQUIRE(next.ok());
  CHECK(next->request == RequestId("r2"));
}

// Guards against more requests running at once than the server has slots.
TEST_CASE("BackendService refuses requests beyond its slots") {
  BackendHarness harness;
  harness.service.faults().delay = kLongTimeout;
  int answers = 0;
  const BackendAddress address{BackendId("b"), "127.0.0.1",
                               harness.server.port()};
  for (const char* id : {"r1", "r2"}) {
    harness.port.Send(
        address,
        {RequestId(id), WorkspaceId("w"), "hold", false, kLongTimeout, "p"},
        [&](const auto&) { ++answers; });
    while (harness.service.runs(RequestId(id)) == 0)
      harness.io.run_one();
  }
  CHECK(absl::IsResourceExhausted(harness.Send("r3").status()));
  CHECK(harness.service.runs(RequestId("r3")) == 0);
  CHECK(answers == 0);
}

// Guards against calls that go round between nodes and against lost headers.
TEST_CASE("HttpPeerPort forwards a call once or twice and names itself") {
  PortHarness harness;
  std::string seen;
  harness.server.Handle(
      "POST", "/v1/requests",
      [&](const HttpRequest& request, const Responder& respond) {
        seen = request.Header(kForwardedNodeHeader) + "|" +
               request.Header("Authorization") + "|" + request.target + "|" +
               request.body;
        HttpResponse response;
        response.status = 429;
        response.body = "busy";
        respond(response);
      });
  REQUIRE(harness.server.Start().ok());
  HttpPeerPort port(harness.caller, harness.runner, NodeId("n2"), kLongTimeout);
  const PeerAddress peer{NodeId("n3"), "127.0.0.1", harness.server.port()};
  ForwardedCall call{"POST", "/v1/requests?x=a%20b", "body", "Bearer t"};
  const auto forward = [&] {
    return harness.Await<absl::StatusOr<ForwardedReply>>(
        [&](auto done) { port.Forward(peer, call, std::move(done)); });
  };
  auto reply = forward();
  REQUIRE(reply.ok());
  CHECK(reply->http_status == 429);
  CHECK(reply->body == "busy");
  CHECK(seen == "n2|Bearer t|/v1/requests?x=a%20b|body");
  call.forwarded_by = DecodeForwardedNodes("n1");
  CHECK(forward().ok());
  CHECK(seen.starts_with("n1,n2|"));
  seen.clear();
  call.forwarded_by = DecodeForwardedNodes("n1,n4");
  CHECK(absl::IsUnavailable(forward().status()));
  call.forwarded_by = DecodeForwardedNodes("n2");
  CHECK(absl::IsUnavailable(forward().status()));
  call.forwarded_by.clear();
  call.path = "/v1/requests HTTP/1.1\r\nX: y";
  CHECK(absl::IsUnavailable(forward().status()));
  CHECK(seen.empty());
}

// Guards against a peer that is taken for reached when it is not.
TEST_CASE("HttpPeerPort exchanges heartbeats and settings") {
  PortHarness harness;
  harness.server.Handle(
      "POST", kPeerHeartbeatPath,
      [](const HttpRequest& request, const Responder& respond) {
        Findings findings;
        auto heartbeat = DecodePeerHeartbeat(request.body, findings);
        REQUIRE(heartbeat.has_value());
        CHECK(request.Header(kNodeSecretHeader) == "shared by the nodes");
        heartbeat->node = NodeId("n3");
        respond({.body = EncodePeerHeartbeat(*heartbeat).dump()});
      });
  harness.server.Handle(
      "GET", kPeerSettingsPath,
      [](const HttpRequest& request, const Responder& respond) {
        CHECK(request.Header(kNodeSecretHeader) == "shared by the nodes");
        respond({.body = R"({"version":3})"});
      });
  REQUIRE(harness.server.Start().ok());
  HttpPeerPort port(harness.caller, harness.runner, NodeId("n2"), kLongTimeout);
  port.SetNodeSecret("shared by the nodes");
  const PeerAddress peer{NodeId("n3"), "127.0.0.1", harness.server.port()};
  PeerHeartbeat own;
  own.node = NodeId("n2");
  own.incarnation = IncarnationId("i");
  own.store_reachable = false;
  own.shards.push_back({RegionId("r"), Epoch(8)});
  const auto beat = [&] {
    return harness.Await<absl::StatusOr<PeerHeartbeat>>(
        [&](auto done) { port.Heartbeat(peer, own, std::move(done)); });
  };
  const auto reply = beat();
  REQUIRE(reply.ok());
  CHECK(reply->node == NodeId("n3"));
  CHECK_FALSE(reply->store_reachable);
  CHECK(reply->shards.at(0).epoch == Epoch(8));
  const auto settings = harness.Await<absl::StatusOr<std::string>>(
      [&](auto done) { port.FetchSettings(peer, std::move(done)); });
  CHECK(settings.value() == R"({"version":3})");
  harness.Stop(harness.server);
  CHECK(absl::IsUnavailable(beat().status()));
}

}  // namespace
}  // namespace quetzalshelf
