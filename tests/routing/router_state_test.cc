// Random sequences of caller, server and clock events against an oracle for
// the promises made to callers.

#include <map>
#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "servers/routing/request_router.h"
#include "tests/routing/fake_backends.h"

namespace quetzalshelf::routing {
namespace {

const WorkspaceId kPlaza("plaza");

// One caller's view of one logical request, over all its retries.
struct Logical {
  CallerRequest request;
  int replies = 0;
  int calls = 0;
};

class World {
 public:
  World() : router_(Options(), backends_, clock_, metrics_) {
    router_.SetLimits({{kPlaza, 4, 4, 1}}, clock_.now);
    SetServers(false);
  }

  void Step(int op, size_t pick) {
    switch (op) {
      case 0:
      case 1:
        return SubmitNew(op == 0);
      case 2:
        return Resubmit(pick);
      case 3:
      case 4:
        return EndCall(pick, 0);
      case 5:
      case 6:
      case 7:
      case 8:
      case 9:
        return EndCall(pick, op - 4);
      case 10:
        clock_.now += Duration(static_cast<int64_t>(pick % 2'000));
        return router_.Tick(clock_.now);
      case 11:
        return SetServers(pick % 2 == 0);
      case 12:
        return router_.MarkLeaving(BackendId("b0"), clock_.now);
      default:
        // Stopping is rare, so that most sequences go on for long.
        if (pick % 50 == 0)
          router_.BeginStop();
    }
  }

  // After the last event every caller has one reply for each of its calls.
  void Finish() {
    for (int n = 0; n < 20; ++n) {
      clock_.now += Duration(1'000);
      router_.Tick(clock_.now);
    }
    for (const auto& [payload, logical] : logicals_)
      RC_ASSERT(logical.replies == logical.calls);
    for (const auto& [payload, runs] : backends_.runs) {
      if (!logicals_[payload].request.idempotent)
        RC_ASSERT(runs <= 1);
      if (not_run_.contains(payload))
        RC_ASSERT(runs == 0);
    }
    RC_ASSERT(router_.IsIdle());
  }

 private:
  static RouterOptions Options() {
    RouterOptions options;
    options.node = NodeId("n1");
    options.incarnation = IncarnationId("i1");
    return options;
  }

  void SetServers(bool b1_leaving) {
    std::vector<BackendEntry> servers;
    for (int n = 0; n < 3; ++n) {
      const BackendId id("b" + std::to_string(n));
      servers.push_back({{id, "", n}, 2, n == 1 && b1_leaving});
    }
    router_.SetServers(servers, clock_.now);
  }

  void SubmitNew(bool idempotent) {
    const std::string payload = std::to_string(next_++);
    CallerRequest request{kPlaza,
                          "hold",
                          idempotent,
                          clock_.now + Duration(3'000),
                          router_.IssueTicket(clock_.now),
                          payload};
    logicals_[payload].request = request;
    Call(payload);
  }

  void Resubmit(size_t pick) {
    if (logicals_.empty())
      return;
    auto it = logicals_.begin();
    std::advance(it, pick % logicals_.size());
    it->second.request.deadline = clock_.now + Duration(3'000);
    Call(it->first);
  }

  void Call(const std::string& payload) {
    ++logicals_[payload].calls;
    router_.Submit(logicals_[payload].request, clock_.now,
                   [this, payload](auto reply) {
                     ++logicals_[payload].replies;
                     Check(payload, reply);
                   });
  }

  void Check(const std::string& payload,
             const absl::StatusOr<CallerReply>& reply) {
    RC_ASSERT(reply.ok());
    if (reply->outcome == Outcome::kAnswered)
      RC_ASSERT(reply->payload == "ran " + payload);
    if (reply->outcome == Outcome::kNotRun) {
      RC_ASSERT(backends_.runs[payload] == 0);
      not_run_[payload] = true;
    }
  }

  // Ends an open call in one of the ways in which a server can.
  void EndCall(size_t pick, int way) {
    if (backends_.calls.empty())
      return;
    const size_t n = pick % backends_.calls.size();
    switch (way) {
      case 0:
        return backends_.Answer(n);
      case 1:
        return backends_.Fail(n, absl::UnavailableError("refused"), false);
      case 2:
        return backends_.Fail(n, absl::ResourceExhaustedError("full"), false);
      case 3:
        return backends_.Fail(n, absl::UnknownError("cut"), pick % 2 == 0);
      case 4: {
        auto call = backends_.Take(n);
        ++backends_.runs[call.request.payload];
        return call.done(BackendReply{RequestId("crossed"), "wrong", false, 1});
      }
      default: {
        // The answer is lost for now and comes twice, much later.
        auto call = backends_.Take(n);
        ++backends_.runs[call.request.payload];
        clock_.now += Duration(5'000);
        router_.Tick(clock_.now);
        const BackendReply reply{call.request.id, "ran " + call.request.payload,
                                 true, 1};
        call.done(reply);
        return call.done(reply);
      }
    }
  }

  ManualClock clock_;
  MetricsRegistry metrics_;
  FakeBackends backends_;
  RequestRouter router_;
  std::map<std::string, Logical> logicals_;
  std::map<std::string, bool> not_run_;
  int next_ = 0;
};

// Guards the promises to callers: one reply for each call, the answer to the
// own request, "not run" only when it did not run, at most one run of a
// non-idempotent request.
TEST_CASE("Promises to callers hold under random events") {
  const bool ok = rc::check([] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 14), rc::gen::inRange(0, 10'000)));
    World world;
    for (const auto& [op, pick] : steps)
      world.Step(op, static_cast<size_t>(pick));
    world.Finish();
  });
  CHECK(ok);
}

}  // namespace
}  // namespace quetzalshelf::routing
