#include "servers/routing/request_router.h"

#include <optional>
#include <set>

#include <doctest/doctest.h>

#include "tests/routing/fake_backends.h"

namespace quetzalshelf::routing {
namespace {

const WorkspaceId kPlaza("plaza");

std::vector<BackendEntry> Servers(int count, int slots) {
  std::vector<BackendEntry> servers;
  for (int n = 0; n < count; ++n) {
    const BackendId id("b" + std::to_string(n));
    servers.push_back({{id, "127.0.0.1", 9'000 + n}, slots, false});
  }
  return servers;
}

struct Fixture {
  explicit Fixture(int servers = 3, int slots = 2)
      : router(Options(), backends, clock, metrics) {
    router.SetLimits({{kPlaza, 8, 4, 1}}, clock.now);
    router.SetServers(Servers(servers, slots), clock.now);
  }

  static RouterOptions Options() {
    RouterOptions options;
    options.node = NodeId("n1");
    options.incarnation = IncarnationId("i1");
    return options;
  }

  CallerRequest Request(const std::string& payload, bool idempotent) {
    return {kPlaza, "hold", idempotent, clock.now + Duration(5'000),
            {},     payload};
  }

  // The reply arrives in the returned slot.
  std::shared_ptr<std::optional<absl::StatusOr<CallerReply>>> Submit(
      const CallerRequest& request) {
    auto slot = std::make_shared<std::optional<absl::StatusOr<CallerReply>>>();
    router.Submit(request, clock.now, [slot](auto reply) {
      REQUIRE_FALSE(slot->has_value());
      *slot = std::move(reply);
    });
    return slot;
  }

  ManualClock clock;
  MetricsRegistry metrics;
  FakeBackends backends;
  RequestRouter router;
};

// Guards against a hold running twice after a connection was lost.
TEST_CASE(
    "A non-idempotent request with an unknown outcome is not sent again") {
  Fixture f;
  const auto reply = f.Submit(f.Request("hold", false));
  f.backends.Fail(0, absl::UnknownError("connection reset"), true);
  CHECK(f.backends.calls.empty());
  CHECK((*reply)->value().outcome == Outcome::kUnknown);
}

// Guards against shedding requests while other servers still have slots.
TEST_CASE("Refusals for lack of a slot use up no retries") {
  Fixture f;
  const auto reply = f.Submit(f.Request("hold", false));
  for (int n = 0; n < 12; ++n) {
    REQUIRE(f.backends.calls.size() == 1);
    f.backends.Fail(0, absl::ResourceExhaustedError("no free slot"), false);
    f.clock.now += Duration(20);
    f.router.Tick(f.clock.now);
  }
  f.backends.Answer(0);
  CHECK((*reply)->value().outcome == Outcome::kAnswered);
}

// Guards against giving up on a request that provably did not run.
TEST_CASE("A refused non-idempotent request goes to another server") {
  Fixture f;
  const auto reply = f.Submit(f.Request("hold", false));
  const BackendId first = f.backends.calls[0].backend;
  f.backends.Fail(0, absl::UnavailableError("connect failed"), false);
  REQUIRE(f.backends.calls.size() == 1);
  CHECK(f.backends.calls[0].backend != first);
  f.backends.Answer(0);
  CHECK((*reply)->value().outcome == Outcome::kAnswered);
}

// Guards against saying "not run" after one of several tries may have run.
TEST_CASE("An idempotent request that may have run ends as unknown") {
  Fixture f;
  const auto reply = f.Submit(f.Request("review", true));
  f.backends.Fail(0, absl::UnknownError("cut"), true);
  f.backends.Fail(0, absl::UnavailableError("refused"), false);
  f.backends.Fail(0, absl::UnavailableError("refused"), false);
  CHECK((*reply)->value().outcome == Outcome::kUnknown);
}

// Guards against a caller receiving the answer to somebody else's request.
TEST_CASE("Crossed and late answers reach nobody") {
  Fixture f;
  const auto reply = f.Submit(f.Request("hold", false));
  auto call = f.backends.Take(0);
  call.done(BackendReply{RequestId("other"), "stolen", false, 8});
  CHECK((*reply)->value().outcome == Outcome::kUnknown);
  CHECK((*reply)->value().payload.empty());
  call.done(BackendReply{call.request.id, "late", false, 8});
  CHECK((*reply)->value().payload.empty());
}

// Guards against a retry of the caller running the request a second time.
TEST_CASE("Uses of one ticket share one run and one reply") {
  Fixture f;
  CallerRequest request = f.Request("hold", false);
  request.ticket = f.router.IssueTicket(f.clock.now);
  const auto first = f.Submit(request);
  const auto second = f.Submit(request);
  REQUIRE(f.backends.calls.size() == 1);
  f.backends.Answer(0);
  const auto third = f.Submit(request);
  for (const auto& it : {first, second, third})
    CHECK((*it)->value().payload == "ran hold");
  request.payload = "another hold";
  CHECK(absl::IsInvalidArgument((*f.Submit(request))->status()));
  CHECK(f.backends.runs["hold"] == 1);
}

// Guards against an old ticket running after its use was forgotten.
TEST_CASE("A ticket that has expired never starts a request") {
  Fixture f;
  CallerRequest request = f.Request("hold", false);
  request.ticket = f.router.IssueTicket(f.clock.now);
  f.clock.now += Duration(600'000);
  request.deadline = f.clock.now + Duration(5'000);
  const auto reply = f.Submit(request);
  CHECK((*reply)->value().outcome == Outcome::kUnknown);
  CHECK(f.backends.calls.empty());
}

// Guards against unbounded queues and against running what was shed.
TEST_CASE("Requests beyond the queue limit and past the deadline do not run") {
  Fixture f(1, 1);
  const auto running = f.Submit(f.Request("a", false));
  std::vector<std::shared_ptr<std::optional<absl::StatusOr<CallerReply>>>>
      waiting;
  waiting.reserve(4);
  for (int n = 0; n < 4; ++n)
    waiting.push_back(f.Submit(f.Request("w" + std::to_string(n), false)));
  const auto shed = f.Submit(f.Request("shed", false));
  CHECK((*shed)->value().outcome == Outcome::kNotRun);
  CHECK((*shed)->value().retry_after > Duration(0));
  f.clock.now += Duration(5'000);
  f.router.Tick(f.clock.now);
  for (const auto& it : waiting)
    CHECK((*it)->value().outcome == Outcome::kNotRun);
  CHECK_FALSE(running->has_value());
  f.clock.now += Duration(1'000);
  f.router.Tick(f.clock.now);
  CHECK((*running)->value().outcome == Outcome::kUnknown);
  CHECK(f.router.IsIdle());
}

// Guards against new work for a leaving server while the list still shows it.
TEST_CASE("A server that says it is leaving gets nothing new") {
  Fixture f(2, 8);
  f.Submit(f.Request("a", true));
  auto call = f.backends.Take(0);
  call.done(BackendReply{call.request.id, "ok", true, 8});
  f.backends.sent.clear();
  for (int n = 0; n < 4; ++n)
    f.Submit(f.Request("b" + std::to_string(n), true));
  f.router.SetServers(Servers(2, 8), f.clock.now + Duration(3'000));
  f.Submit(f.Request("c", true));
  CHECK(f.backends.sent[call.backend] == 0);
  CHECK(f.router.LeavingServers(f.clock.now) ==
        std::vector<BackendId>{call.backend});
}

// Guards against a stop that cuts off a request in flight or denies its run.
TEST_CASE("A stopping router finishes what it has and refuses new requests") {
  Fixture f;
  CallerRequest request = f.Request("hold", false);
  request.ticket = f.router.IssueTicket(f.clock.now);
  const auto first = f.Submit(request);
  f.router.BeginStop();
  const auto retry = f.Submit(request);
  const auto fresh = f.Submit(f.Request("new", false));
  CHECK((*fresh)->value().outcome == Outcome::kNotRun);
  CHECK_FALSE(retry->has_value());
  CHECK_FALSE(f.router.IsIdle());
  f.backends.Answer(0);
  CHECK((*first)->value().outcome == Outcome::kAnswered);
  CHECK((*retry)->value().outcome == Outcome::kAnswered);
  CHECK(f.router.IsIdle());
  REQUIRE(f.router.ExportTickets().size() == 1);
  CHECK(f.router.ExportTickets()[0].second.outcome == Outcome::kAnswered);
}

// Guards against one workspace taking every slot.
TEST_CASE("Workspaces share the slots by weight under load") {
  Fixture f(1, 4);
  const WorkspaceId other("parish");
  f.router.SetLimits({{kPlaza, 64, 400, 3}, {other, 64, 400, 1}}, f.clock.now);
  for (int n = 0; n < 200; ++n) {
    CallerRequest request = f.Request("p" + std::to_string(n), true);
    f.Submit(request);
    request.workspace = other;
    request.payload = "o" + std::to_string(n);
    f.Submit(request);
  }
  int plaza = 0;
  for (int n = 0; n < 100; ++n) {
    plaza += f.backends.calls[0].request.workspace == kPlaza ? 1 : 0;
    f.backends.Answer(0);
  }
  CHECK(plaza >= 70);
  CHECK(plaza <= 80);
}

// Guards against a failing server attracting load because it fails quickly.
TEST_CASE("A server that keeps failing is ejected and probed later") {
  Fixture f(4, 8);
  const BackendId bad("b0");
  for (int n = 0; n < 60; ++n) {
    f.Submit(f.Request(std::to_string(n), true));
    while (!f.backends.calls.empty()) {
      if (f.backends.calls[0].backend == bad)
        f.backends.Fail(0, absl::UnavailableError("refused"), false);
      else
        f.backends.Answer(0);
    }
  }
  CHECK(f.backends.sent[bad] == 3);
  f.clock.now += Duration(2'000);
  for (int n = 0; n < 60; ++n) {
    f.Submit(f.Request("later" + std::to_string(n), true));
    f.backends.Answer(0);
  }
  CHECK(f.backends.sent[bad] > 3);
}

}  // namespace
}  // namespace quetzalshelf::routing
