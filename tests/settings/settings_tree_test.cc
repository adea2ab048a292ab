#include "servers/settings/settings_tree.h"

#include <doctest/doctest.h>

#include "core/yaml_reader.h"
#include "servers/settings/access_control.h"
#include "servers/settings/schema.h"
#include "servers/settings/settings_validator.h"
#include "tests/settings/fake_site.h"

namespace quetzalshelf::settings {
namespace {

// Two racks of two workers with 8 accelerators in each of two domains.
KnownSite TwoDomains() {
  KnownSite site;
  for (const char* domain : {"east", "west"}) {
    site.domains[DomainId(domain)] = RegionId("r");
    for (const char* rack : {"1", "2"}) {
      for (const char* unit : {"a", "b"})
        site.workers.push_back(
            {WorkerId(std::string(domain) + rack + unit),
             DomainId(domain),
             RackId(rack),
             {Accelerators(8), MilliCores(64'000), Mebibytes(131'072)}});
    }
  }
  return site;
}

SettingsTree WithGuarantee(int tasks,
                           int accelerators,
                           const char* adjacency,
                           int count) {
  SettingsTree tree;
  tree.Set(Path("teams/plaza/guarantees"),
           Json::array({{{"tasks", tasks},
                         {"accelerators", accelerators},
                         {"adjacency", adjacency},
                         {"count", count}}}));
  return tree;
}

ValidationResult Check(const SettingsTree& tree) {
  return ValidateSettings(SettingsTree(), tree, TwoDomains());
}

// Guards against a file whose faults come to light one at a time.
TEST_CASE("A file with six faults lists six findings with line and path") {
  const std::string text =
      "site:\n"
      "  domains:\n"
      "    cartago: {in_service: maybe}\n"
      "  limits:\n"
      "    max_body_bytes: 1\n"
      "teams:\n"
      "  plaza:\n"
      "    wieght: 2\n"
      "    guarantees:\n"
      "      - {tasks: 4, accelerators: 8, adjacency: near}\n"
      "      - {accelerators: 8}\n"
      "  '-bad name': {}\n";
  Findings findings;
  const auto document = YamlDocument::Parse(text, "s.yaml", findings);
  REQUIRE(document.has_value());
  Findings own;
  CheckSchema(document->json(), "", own);
  const Findings located = document->Locate(own);
  REQUIRE(located.items().size() == 6);
  std::string places;
  for (const Finding& it : located.items()) {
    places += ToString(it.place) + "\n";
    CHECK_FALSE(it.remedy.empty());
  }
  CHECK(places ==
        "s.yaml:3: site/domains/cartago/in_service\n"
        "s.yaml:5: site/limits/max_body_bytes\n"
        "s.yaml:12: teams/-bad name\n"
        "s.yaml:10: teams/plaza/guarantees[0]/adjacency\n"
        "s.yaml:11: teams/plaza/guarantees[1]/tasks\n"
        "s.yaml:8: teams/plaza/wieght\n");
}

// Guards against a schema entry whose default its own range forbids.
TEST_CASE("Every default of the schema is valid") {
  for (const SchemaEntry& it : Schema()) {
    if (it.type != ValueType::kInt || it.default_value == nullptr)
      continue;
    const int64_t value = Json::parse(it.default_value).get<int64_t>();
    CAPTURE(it.path);
    CHECK(value >= it.min);
    CHECK(value <= it.max);
  }
}

// Guards against typed reads that miss a value or a default.
TEST_CASE("A tree converts to workspaces and limits") {
  SettingsTree tree = WithGuarantee(4, 8, "rack", 2);
  tree.Set(Path("teams/plaza/weight"), 5);
  tree.Set(Path("teams/plaza/requests/max_queued"), 7);
  const auto workspaces = tree.Workspaces();
  REQUIRE(workspaces.size() == 1);
  CHECK(workspaces[0].weight == 5);
  CHECK(workspaces[0].max_queued_jobs == 10'000);
  REQUIRE(workspaces[0].guarantees.size() == 1);
  CHECK(workspaces[0].guarantees[0].count == 2);
  CHECK(workspaces[0].guarantees[0].shape.adjacency ==
        scheduling::Adjacency::kRack);
  CHECK(tree.RequestLimitsOf(WorkspaceId("plaza")).max_queued == 7);
  CHECK(tree.RequestLimitsOf(WorkspaceId("other")).max_queued == 1'024);
  CHECK(tree.Limits().max_gang_tasks == 1'024);
}

// Guards against state that is lost on the way to a peer.
TEST_CASE("Import reads what Export writes") {
  SettingsTree tree = WithGuarantee(1, 8, "worker", 1);
  tree.set_version(SettingsVersion(9));
  tree.SetChanged("teams/plaza", SettingsVersion(8));
  const auto copy = SettingsTree::Import(tree.Export());
  REQUIRE(copy.ok());
  CHECK(copy->root() == tree.root());
  CHECK(copy->version() == SettingsVersion(9));
  CHECK(copy->ChangedIn("teams/plaza") == SettingsVersion(8));
  CHECK_FALSE(SettingsTree::Import("{\"format\":2}").ok());
}

// Guards against guarantees that no set of workers can hold together.
TEST_CASE("Guarantees must fit together with their adjacency") {
  CHECK(Check(WithGuarantee(2, 8, "rack", 4)).findings.empty());
  CHECK(Check(WithGuarantee(4, 4, "rack", 4)).findings.empty());
  CHECK(Check(WithGuarantee(2, 8, "rack", 5)).findings.items().size() == 1);
  CHECK_FALSE(Check(WithGuarantee(3, 8, "rack", 1)).findings.empty());
  CHECK_FALSE(Check(WithGuarantee(1, 9, "worker", 1)).findings.empty());
  CHECK_FALSE(Check(WithGuarantee(5, 8, "domain", 1)).findings.empty());
  SettingsTree capped = WithGuarantee(2, 8, "rack", 2);
  capped.Set(Path("teams/plaza/quota_accelerators"), 31);
  CHECK(Check(capped).findings.items()[0].place.path ==
        "teams/plaza/quota_accelerators");
}

// Guards against a gang of a guarantee that only two regions together hold.
TEST_CASE("A shape must fit within one region") {
  KnownSite site = TwoDomains();
  const SettingsTree tree = WithGuarantee(8, 8, "region", 1);
  CHECK(ValidateSettings(SettingsTree(), tree, site).findings.empty());
  site.domains[DomainId("west")] = RegionId("other");
  CHECK(ValidateSettings(SettingsTree(), tree, site).findings.items().size() ==
        1);
}

// Guards against lost workers blocking changes that do no further harm.
TEST_CASE("A guarantee that did not fit before is a warning only") {
  const SettingsTree before = WithGuarantee(2, 8, "rack", 9);
  SettingsTree after = before;
  after.Set(Path("site/domains/east/in_service"), false);
  const auto result = ValidateSettings(before, after, TwoDomains());
  CHECK(result.findings.empty());
  CHECK_FALSE(result.warnings.empty());
}

// Guards against an exit whose effect on guarantees the operator learns late,
// and against a mistyped failure domain that moves nothing.
TEST_CASE("A failure domain's exit warns, an unknown name is refused") {
  SettingsTree before = WithGuarantee(2, 8, "rack", 3);
  SettingsTree after = before;
  after.Set(Path("site/domains/east/in_service"), false);
  const auto result = ValidateSettings(before, after, TwoDomains());
  CHECK(result.findings.empty());
  REQUIRE(result.warnings.items().size() == 2);
  CHECK(result.warnings.items()[1].place.path == "teams/plaza/guarantees[0]");
  after.Set(Path("site/domains/west/in_service"), false);
  CHECK(ValidateSettings(before, after, TwoDomains()).findings.empty());
  after = before;
  after.Set(Path("site/domains/esat/in_service"), false);
  CHECK(ValidateSettings(before, after, TwoDomains()).findings.items().size() ==
        1);
}

AccessControl Tokens() {
  Findings findings;
  auto tokens = ReadAccessTokens({{{"name", "plaza-ops"},
                                   {"token", "plaza-0123456789abcdef"},
                                   {"scopes", {"teams/plaza"}}},
                                  {{"name", "site"},
                                   {"token", "site-0123456789abcdef"},
                                   {"scopes", {"/"}}}},
                                 "tokens", findings);
  CHECK(findings.empty());
  return AccessControl(std::move(tokens), false);
}

// Guards against a scope that reaches other teams, by prefix or at a parent.
TEST_CASE("A scoped token changes its own subtree only") {
  const AccessControl control = Tokens();
  const auto access = control.Authenticate("Bearer plaza-0123456789abcdef");
  REQUIRE(access.has_value());
  CHECK(access->MayChange("teams/plaza"));
  CHECK(access->MayChange("teams/plaza/weight"));
  CHECK_FALSE(access->MayChange("teams/plaza2"));
  CHECK_FALSE(access->MayChange("teams"));
  CHECK_FALSE(access->MayChange(""));
  CHECK_FALSE(access->MayChange("site/limits"));
  CHECK(access->MayUse(WorkspaceId("plaza")));
  CHECK_FALSE(access->MayUse(WorkspaceId("harbor")));
  CHECK(control.Authenticate("Bearer site-0123456789abcdef")->MayChange(""));
}

// Guards against access with a prefix, an extension or nothing.
TEST_CASE("Only the exact token gives access") {
  const AccessControl control = Tokens();
  for (const char* it :
       {"", "Bearer ", "plaza-0123456789abcdef", "Bearer plaza-0123456789abcde",
        "Bearer plaza-0123456789abcdefX",
        "Bearer plaza-0123456789abcdefplaza-0123456789abcdef"}) {
    CAPTURE(it);
    CHECK_FALSE(control.Authenticate(it).has_value());
  }
}

// Guards against token texts in findings, which are logged.
TEST_CASE("Findings about access tokens hold no token text") {
  Findings findings;
  ReadAccessTokens({{{"name", "x"},
                     {"token", "hunter2"},
                     {"scopes", {"team/plaza", "hunter2"}}},
                    {{"name", "x"}, {"token", 7}, {"scopes", {"/"}}}},
                   "tokens", findings);
  CHECK(findings.items().size() >= 4);
  CHECK(findings.ToString().find("hunter2") == std::string::npos);
}

}  // namespace
}  // namespace quetzalshelf::settings
