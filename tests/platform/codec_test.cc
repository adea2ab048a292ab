// Decoding of the platform's messages.

#include <doctest/doctest.h>

#include <string>

#include "platform/caller_api.h"
#include "platform/entry_settings.h"
#include "platform/site_codec.h"

namespace quetzalshelf::platform {

namespace {

constexpr char kWorker[] =
    R"({"service":"desk","addr":"10.128.0.9:8080","zone":"cartago",)"
    R"("version":"v1","slots":8,"state":"draining","cold_left_ms":0,)"
    R"("capacity":{"cpu":64000,"mem_mb":131072,"gpu":8},)"
    R"("labels":["a","r1-3"],"clock_ms":482113,"seq":4,"remaining_ms":1500,)"
    R"("born":1700000000123})";

}  // namespace

TEST_CASE("A worker's entry is decoded with its rack and notice") {
  Findings findings;
  const auto worker = DecodeWorkerEntry(WorkerId("i-1"), kWorker, findings);
  REQUIRE(worker);
  CHECK(worker->host == "10.128.0.9");
  CHECK(worker->port == 8080);
  CHECK(worker->rack == RackId("r1-3"));
  CHECK(worker->draining);
  CHECK(worker->remaining == Duration(1'500));
  CHECK(worker->capacity.accelerators == Accelerators(8));
  CHECK(worker->incarnation_start_wall_ms == 1'700'000'000'123);
}

// Entries of other writers name no worker; the others hold.
TEST_CASE("Entries that cannot be read name no worker") {
  for (const char* value :
       {"", "\x01\x02", "[]", "{}", R"({"service":7})",
        R"({"service":"d","addr":"nowhere","zone":"z","state":"ready"})",
        R"({"service":"d","addr":"10.0.0.1:80","zone":"z","state":"odd"})",
        R"({"service":"d","addr":"1.1.1.1:8","zone":"z","capacity":[]})"}) {
    CAPTURE(value);
    Findings findings;
    CHECK_FALSE(DecodeWorkerEntry(WorkerId("i-1"), value, findings));
    CHECK_FALSE(findings.empty());
  }
}

// Guards against numbers of another writer that overflow, or that are cut to
// another port.
TEST_CASE("Entries with numbers out of range name no worker") {
  const auto entry = [](const std::string& addr, const std::string& more) {
    return R"({"service":"d","addr":")" + addr +
           R"(","zone":"z","state":"ready")" + more + "}";
  };
  Findings none;
  REQUIRE(DecodeWorkerEntry(WorkerId("i-1"), entry("1.1.1.1:65535", ""), none));
  for (const std::string& value :
       {entry("1.1.1.1:65536", ""), entry("1.1.1.1:70000", ""),
        entry("1.1.1.1:-80", ""), entry("1.1.1.1:99999999999", ""),
        entry("1.1.1.1:80", R"(,"born":1e300)"),
        entry("1.1.1.1:80", R"(,"born":18446744073709551615)"),
        entry("1.1.1.1:80", R"(,"remaining_ms":-1e300)"),
        entry("1.1.1.1:80", R"(,"capacity":{"gpu":1e300})"),
        entry("1.1.1.1:80", R"(,"capacity":{"cpu":9223372036854775807})"),
        entry("1.1.1.1:80", R"(,"capacity":{"mem_mb":-1})"),
        entry("1.1.1.1:80", R"(,"born":1e999)")}) {
    CAPTURE(value);
    Findings findings;
    CHECK_FALSE(DecodeWorkerEntry(WorkerId("i-1"), value, findings));
    CHECK_FALSE(findings.empty());
  }
}

// Guards against a stack that overflows on a deeply nested entry.
TEST_CASE("A deeply nested entry ends no process") {
  constexpr size_t kDepth = 100'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  Findings findings;
  CHECK_FALSE(DecodeWorkerEntry(WorkerId("i-1"), nested, findings));
  CHECK_FALSE(
      DecodeWorkerEntry(WorkerId("i-1"), std::string(kDepth, '['), findings));
  CHECK_FALSE(DecodeWorkerEntry(
      WorkerId("i-1"),
      R"({"service":"d","addr":"1.1.1.1:80","zone":"z","state":"ready",)"
      R"("labels":)" +
          nested + "}",
      findings));
  CHECK_FALSE(DecodeSubmission(nested, findings));
}

TEST_CASE("A configuration is decoded whole or not at all") {
  Findings findings;
  const auto config = DecodeSiteConfig(
      R"({"version":7,"routes":[{"name":"r1","host":"h","prefix":"/a/",)"
      R"("service":"desk","priority":1,"attempts":2,"slack_factor":3.0,)"
      R"("target_latency_ms":1000,"anonymous":false}],"services":)"
      R"([{"name":"desk"}],"limits":{"max_body_bytes":1000},"tenants":)"
      R"([{"name":"t","keys":["k1"],"guaranteed":{"gpu":72},"weight":3,)"
      R"("cap":{"cpu":4000,"mem_mb":900,"gpu":84}}]})",
      findings);
  REQUIRE(config);
  CHECK(config->version == 7);
  REQUIRE(config->queues.size() == 1);
  CHECK(config->queues[0].attempts == 2);
  CHECK(config->FindQueue("h", "/a/xyz") == &config->queues[0]);
  CHECK(config->FindQueue("other", "/a/xyz") == nullptr);
  REQUIRE(config->FindWorkspaceByKey("k1"));
  const batch::WorkspaceConfig& workspace = *config->FindWorkspaceByKey("k1");
  CHECK(workspace.guaranteed == Accelerators(72));
  CHECK(workspace.weight == 3);
  CHECK(workspace.cap ==
        Resources{Accelerators(84), MilliCores(4'000), Mebibytes(900)});
  CHECK_FALSE(DecodeSiteConfig(R"({"version":8,"routes":[{}]})", findings));
}

TEST_CASE("Rows of the operator tell evacuated failure domains") {
  CHECK(EvacuatedDomain({kOperatorTable, "", "evacuate/cartago"}) ==
        DomainId("cartago"));
  CHECK(EvacuatedDomain({kOperatorTable, "", "config"}).empty());
  CHECK(EvacuatedDomain({"other", "", "evacuate/cartago"}).empty());
}

TEST_CASE("A submission is decoded with all that its steps say") {
  Findings findings;
  const auto spec = DecodeSubmission(
      R"({"spec":"text","phases":[{"count":4,"cpu":500,"mem_mb":256,)"
      R"("estimate_ms":900,"data_rack":"r1-3"},{"count":20,"cpu":2000,)"
      R"("gpu":1,"depends_on":[0],"checkpointing":true,"gang":true,)"
      R"("rack_local":true,"required_label":"a","max_per_server":2}],)"
      R"("repeats":3,"first_ms":1000,"period_ms":500})",
      findings);
  REQUIRE(spec);
  REQUIRE(spec->steps.size() == 2);
  CHECK(spec->steps[0].data_rack == RackId("r1-3"));
  CHECK(spec->steps[1].gang);
  CHECK(spec->steps[1].depends_on == std::vector<int>{0});
  CHECK(spec->steps[1].max_per_worker == 2);
  CHECK(spec->recurrence.occurrences == 3);
}

TEST_CASE("Bad submissions are refused with findings") {
  for (const char* body :
       {"", "[]", "{}", R"({"phases":[{}]})", R"({"phases":[{"count":0}]})",
        R"({"phases":[{"count":1,"depends_on":[0]}]})",
        R"({"phases":[{"count":1,"depends_on":["x"]}]})",
        R"({"phases":[{"count":1,"gpu":1e300}]})",
        R"({"phases":[{"count":1,"gpu":9007199254740993}]})",
        R"({"phases":[{"count":1,"max_per_server":1e12}]})",
        R"({"phases":[{"count":1}],"repeats":9,"period_ms":1e15})",
        R"({"phases":[{"count":"many"}]})"}) {
    CAPTURE(body);
    Findings findings;
    CHECK_FALSE(DecodeSubmission(body, findings));
    CHECK_FALSE(findings.empty());
  }
}

TEST_CASE("Settings report all findings with their lines") {
  const auto good = ParseEntrySettings(
      "node:\n  id: \"n1\"\n  failure_domain: \"cartago\"\n"
      "listen:\n  callers: \"10.0.0.1:80\"\n  readiness: \"10.0.0.1:81\"\n"
      "  metrics_port: 7000\nstore:\n  address: \"10.0.0.2:90\"\n"
      "limits:\n  max_descriptors: 4100\n  cpu_share: 0.25\n"
      "  stop_grace_s: 6\n  revoke_ms: 5000\n",
      "settings.yaml");
  REQUIRE(good.ok());
  CHECK(good->stop_grace == Duration(6'000));
  CHECK(good->store.port == 90);
  CHECK(good->longest_lease == Duration(6'000));
  const auto bad = ParseEntrySettings(
      "node:\n  id: \"n1\"\nlisten:\n  callers: \"here\"\n", "settings.yaml");
  REQUIRE_FALSE(bad.ok());
  const std::string text(bad.status().message());
  CHECK(text.find("settings.yaml:4: listen/callers") != std::string::npos);
  CHECK(text.find("failure_domain") != std::string::npos);
  CHECK(text.find("store") != std::string::npos);
}

// Guards against a node that grants leases which its platform never lets last.
TEST_CASE("The longest lease is a setting with a lower limit") {
  const auto parse = [](const std::string& lease) {
    return ParseEntrySettings(
        "node:\n  id: \"n1\"\n  failure_domain: \"cartago\"\n"
        "listen:\n  callers: \"10.0.0.1:80\"\n  readiness: \"10.0.0.1:81\"\n"
        "  metrics_port: 7000\nstore:\n  address: \"10.0.0.2:90\"\n"
        "limits:\n  max_descriptors: 4100\n  cpu_share: 0.25\n"
        "  stop_grace_s: 6\n  revoke_ms: 5000\n  longest_lease_ms: " +
            lease + "\n",
        "settings.yaml");
  };
  const auto set = parse("10000");
  REQUIRE(set.ok());
  CHECK(set->longest_lease == Duration(10'000));
  // The template is filled in with nothing where the platform has no bound.
  const auto unset = parse("");
  REQUIRE(unset.ok());
  CHECK(unset->longest_lease == Duration(6'000));
  const auto too_short = parse("4999");
  REQUIRE_FALSE(too_short.ok());
  CHECK(std::string(too_short.status().message())
            .find("settings.yaml:15: limits/longest_lease_ms") !=
        std::string::npos);
}

TEST_CASE("Addresses need a host and a port") {
  Endpoint endpoint;
  CHECK(ParseEndpoint("10.0.0.1:80", endpoint));
  for (const char* text :
       {"", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:0"})
    CHECK_FALSE(ParseEndpoint(text, endpoint));
}

}  // namespace quetzalshelf::platform
