#include "core/event_log.h"

#include <doctest/doctest.h>

namespace quetzalshelf {
namespace {

class FixedClock : public Clock {
 public:
  TimePoint Now() const override { return FromMillis(wall); }
  int64_t WallMillis() const override { return wall; }
  int64_t wall = 1'000;
};

// Guards against an effect sorting before its cause when a clock is behind.
TEST_CASE("EventLog orders an event after the message that caused it") {
  FixedClock ahead;
  ahead.wall = 5'000;
  FixedClock behind;
  EventLog cause(NodeId("a"), ahead, 10);
  EventLog effect(NodeId("b"), behind, 10);
  cause.Add({.kind = "cause"});
  effect.Receive(cause.Send());
  effect.Add({.kind = "effect"});
  CHECK(effect.Read({}, 10)[0].time > cause.Read({}, 10)[0].time);
}

// Guards against unbounded memory and against a broken remote clock.
TEST_CASE("EventLog keeps a bounded number and ignores far future times") {
  FixedClock clock;
  EventLog log(NodeId("a"), clock, 3);
  log.Receive({clock.wall + 3'600'000, 0});
  for (int n = 0; n < 5; ++n)
    log.Add({.kind = std::to_string(n)});
  const auto events = log.Read({}, 10);
  REQUIRE(events.size() == 3);
  CHECK(events[0].kind == "2");
  CHECK(events[2].time.wall_millis == clock.wall);
  CHECK(log.Read(events[1].time, 10).size() == 1);
}

TEST_CASE("HybridTime text survives a round trip and rejects other text") {
  const HybridTime time{1'234, 5};
  CHECK(ParseHybridTime(ToString(time)) == time);
  CHECK(ParseHybridTime("12") == HybridTime());
  CHECK(ParseHybridTime("12.x") == HybridTime());
}

}  // namespace
}  // namespace quetzalshelf
