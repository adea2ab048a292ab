#include "core/yaml_reader.h"

#include <doctest/doctest.h>

namespace quetzalshelf {
namespace {

// Guards against reporting only the first duplicate, and against the last of
// two values winning in silence.
TEST_CASE("YamlDocument reports every duplicate key with its line") {
  Findings findings;
  const auto document = YamlDocument::Parse(
      "site:\n  a: 1\n  a: 2\nteams:\n  x: {b: 1, b: 2}\n", "f.yaml", findings);
  CHECK_FALSE(document.has_value());
  CHECK(findings.ToString() ==
        "f.yaml:3: site/a: is given twice, first in line 2 (remove one of "
        "them)\n"
        "f.yaml:5: teams/x/b: is given twice, first in line 5 (remove one of "
        "them)");
}

// Guards against findings of typed reads that do not name file and line.
TEST_CASE("YamlDocument locates findings of typed reads") {
  Findings findings;
  const auto document = YamlDocument::Parse(
      "listen:\n  port: http\n  extra: 1\n", "d.yaml", findings);
  REQUIRE(document.has_value());
  Findings own;
  JsonReader reader(document->json().at("listen"), "listen", own);
  reader.RequireInt("port", 1, 10);
  reader.RequireString("host");
  reader.Finish();
  CHECK(document->Locate(own).ToString() ==
        "d.yaml:2: listen/port: must be a whole number\n"
        "d.yaml:1: listen/host: is missing\n"
        "d.yaml:3: listen/extra: is not a known field (remove it)");
}

// Guards against quoted numbers losing their type and versions such as 1.10
// or names such as `no` changing theirs.
TEST_CASE("YamlDocument types scalars, and ToYaml keeps the types") {
  Findings findings;
  const Json json = {{"n", 7},
                     {"neg", -3},
                     {"text", "7"},
                     {"yes", true},
                     {"word", "no"},
                     {"list", {1, "true"}},
                     {"none", ""},
                     {"real", 1.5},
                     {"null", "null"},
                     {"empty", Json::object()},
                     {"lines", "a\nb: c"}};
  const auto document = YamlDocument::Parse(ToYaml(json), "", findings);
  REQUIRE(document.has_value());
  CHECK(document->json() == json);
}

// Guards against an exception leaving the parser on malformed input.
TEST_CASE("YamlDocument reports a syntax error with its line") {
  Findings findings;
  CHECK_FALSE(YamlDocument::Parse("a: 1\nb: [1, 2\n", "f", findings));
  REQUIRE(findings.items().size() == 1);
  CHECK(findings.items()[0].place.line >= 2);
}

// Guards against aliases that expand a short file beyond the memory.
TEST_CASE("YamlDocument refuses aliases that expand without bound") {
  std::string text = "a: &a [1, 1, 1, 1, 1, 1, 1, 1, 1, 1]\n";
  for (char name = 'b'; name < 'j'; ++name) {
    const char below = static_cast<char>(name - 1);
    text += std::string(1, name) + ": &" + name + " [";
    for (int i = 0; i < 10; ++i)
      text += std::string("*") + below + (i < 9 ? ", " : "]\n");
  }
  Findings findings;
  CHECK_FALSE(YamlDocument::Parse(text, "f", findings));
  CHECK(findings.items().size() == 1);
}

}  // namespace
}  // namespace quetzalshelf
