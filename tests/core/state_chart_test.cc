#include <doctest/doctest.h>

#include <string>

#include "core/state_chart.h"

namespace quetzalshelf {
namespace {

constexpr const char* kDoor = R"(chart: door
initial: shut
events: [open, close, lock]
states:
  shut:
    on: {open: ajar, lock: locked}
    ignore: [close]
  ajar:
    on: {close: shut}
    ignore: [open, lock]
  locked: {final: true}
)";

bool Names(const Findings& findings, int line, const std::string& part) {
  for (const Finding& it : findings.items()) {
    if (it.place.file == "door.yaml" && it.place.line == line &&
        it.message.find(part) != std::string::npos)
      return true;
  }
  return false;
}

TEST_CASE("A chart leads from state to state and ignores what it says") {
  const auto chart = StateChart::Load(kDoor, "door.yaml");
  REQUIRE(chart.ok());
  const int shut = chart->FindState("shut");
  const int ajar = chart->FindState("ajar");
  CHECK(chart->initial() == shut);
  CHECK(chart->Next(shut, chart->FindEvent("open")) == ajar);
  CHECK(chart->Next(shut, chart->FindEvent("close")) == StateChart::kNone);
  CHECK(chart->IsFinal(chart->FindState("locked")));
  CHECK(chart->FindEvent("burn") == StateChart::kNone);
}

// Guards against a loader that stops at the first fault or loses the line.
TEST_CASE("All faults of a chart are reported together with their lines") {
  Findings findings;
  StateChart::Parse(R"(chart: door
initial: shut
events: [open, close, open]
states:
  shut:
    on: {open: gone, burn: shut}
    ignore: []
  island:
    on: {open: shut}
    ignore: [close]
)",
                    "door.yaml", findings);
  CHECK(Names(findings, 3, "\"open\" is declared twice"));
  CHECK(Names(findings, 6, "state \"gone\" is not declared"));
  CHECK(Names(findings, 6, "event \"burn\" is not declared"));
  CHECK(Names(findings, 5, "no transition for event \"close\""));
  CHECK(Names(findings, 8, "cannot be reached"));
  CHECK(findings.items().size() == 5);
  CHECK(findings.ToString().find("door.yaml:6") != std::string::npos);
}

// Guards against undefined behaviour on input that is not a chart at all.
TEST_CASE("Text that is no chart is refused") {
  for (const char* text :
       {"", "[1, 2]", "chart: [", "chart: a\nstates: {}", "states: 5",
        "chart: a\nevents: {x: y}\nstates:\n  s: [1]\ninitial: s",
        "chart: a\ninitial: s\nevents: [e]\nstates:\n  s: {on: [e], "
        "ignore: {e: s}, typo: 1}",
        "chart: a\ninitial: s\nevents: [e]\nstates:\n  s: {final: true, "
        "ignore: [e]}"}) {
    CAPTURE(text);
    CHECK_FALSE(StateChart::Load(text, "door.yaml").ok());
  }
}

}  // namespace
}  // namespace quetzalshelf
