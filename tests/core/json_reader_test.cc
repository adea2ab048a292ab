#include "core/json_reader.h"

#include <doctest/doctest.h>

namespace quetzalshelf {
namespace {

// Guards against reporting only the first fault of a message.
TEST_CASE("JsonReader collects every fault with its path") {
  Findings findings;
  const Json json = {{"name", 7}, {"count", 99}, {"extra", true}};
  JsonReader reader(json, "job", findings);
  reader.RequireString("name");
  reader.RequireInt("count", 1, 10);
  reader.RequireBool("idempotent");
  reader.Finish();
  CHECK(findings.ToString() ==
        "job/name: must be a string\n"
        "job/count: must be from 1 to 10\n"
        "job/idempotent: is missing\n"
        "job/extra: is not a known field (remove it)");
}

// Guards against a number above the signed range wrapping to a valid value.
TEST_CASE("JsonReader refuses an integer beyond the signed range") {
  Findings findings;
  const Json json = {{"count", 18446744073709551615ULL}};
  JsonReader reader(json, "", findings);
  reader.RequireInt("count", 0, 10);
  CHECK(findings.ToString() == "count: must be from 0 to 10");
}

// Guards against an exception leaving the parser on malformed input.
TEST_CASE("ParseJson reports a syntax error as a finding") {
  Findings findings;
  CHECK_FALSE(ParseJson("{\"a\": ", findings).has_value());
  CHECK(findings.items().size() == 1);
}

// Guards against a nested value of the wrong type being read as an object.
TEST_CASE("JsonReader on a non-object reports it once and reads defaults") {
  Findings findings;
  const Json json = "text";
  JsonReader reader(json, "shape", findings);
  CHECK(reader.OptionalInt("tasks", 1, 8, 4) == 4);
  reader.Finish();
  CHECK(findings.ToString() == "shape: must be an object");
}

}  // namespace
}  // namespace quetzalshelf
