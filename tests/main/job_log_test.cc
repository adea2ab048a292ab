// The command that explains a job from the logs of the entry nodes.

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <sstream>
#include <string>

#include "main/ctl/command_line.h"

namespace quetzalshelf::ctl {
namespace {

constexpr char kJob[] = "667cc91a75f863dc";

std::string Line(int time_ms, const char* node, const std::string& message) {
  return R"({"level":"INFO","message":")" + message +
         R"(","place":"x.cc:1","process":")" + node + R"(","time_ms":)" +
         std::to_string(time_ms) + "}\n";
}

std::string Ended(int after, int loaded, int placed, int attempts) {
  return std::string("job ") + kJob +
         " is complete: queue=q priority=0 after_ms=" + std::to_string(after) +
         " objective_ms=1094 loaded_ms=" + std::to_string(loaded) +
         " placed_ms=" + std::to_string(placed) +
         " attempts=" + std::to_string(attempts);
}

// The command calls no node.
class NoTransport : public Transport {
 public:
  HttpReply Send(const Server&, const HttpCall&) override { return {}; }
};

struct Outcome {
  Exit exit = Exit::kOk;
  std::string out;
  std::string err;
};

Outcome Explain(const std::string& log) {
  const Environment environment{
      [&](const std::string& name) -> absl::StatusOr<std::string> {
        if (name != "day.log")
          return absl::NotFoundError("cannot open the file");
        return log;
      },
      nullptr, [](const std::string&) { return std::string(); }, nullptr,
      nullptr};
  std::ostringstream out;
  std::ostringstream err;
  Outcome outcome;
  outcome.exit = RunCommandLine(
      {"job", "logs", kJob, "--file", "day.log"}, environment,
      [](const std::string&) { return std::make_unique<NoTransport>(); }, out,
      err);
  outcome.out = out.str();
  outcome.err = err.str();
  return outcome;
}

const std::string kAccepted =
    Line(1'000, "n1", std::string("POST /a/") + kJob + " status=200 took_ms=9");
const std::string kLoaded =
    Line(1'014,
         "n2",
         std::string("job ") + kJob + " loaded: queue=q age_ms=14");

}  // namespace

// Guards against an engineer on call who has to read the logs of a hundred
// nodes to learn why one job was late.
TEST_CASE("The cause of a late job is told from the logs") {
  std::string log = kAccepted + kLoaded;
  std::string cause;
  SUBCASE("started again") {
    log += Line(2'500, "n2",
                std::string("task ") + kJob + ".0.0.1 is stalled on worker w");
    log += Line(5'000, "n2", Ended(4'061, 14, 30, 2));
    cause = "started again: task 667cc91a75f863dc.0.0.1 is stalled on worker w";
  }
  SUBCASE("loaded late after a change of the leader") {
    log += Line(1'800, "n3", "leading: epoch=2");
    log += Line(5'000, "n3", Ended(3'000, 900, 930, 1));
    cause = "the leader learned of it after 900 ms: the leader changed";
  }
  SUBCASE("written late") {
    log += Line(1'627, "n2",
                std::string("task ") + kJob + ".0.0.0 started: worker=w");
    log += Line(5'000, "n2", Ended(2'119, 271, 297, 1));
    cause = "its start took 587 ms after its placement";
  }
  SUBCASE("no room") {
    log += Line(5'000, "n2", Ended(3'000, 14, 900, 1));
    cause = "it waited 886 ms for workers with room";
  }
  SUBCASE("longer than estimated") {
    log += Line(5'000, "n2", Ended(1'500, 14, 30, 1));
    cause = "its tasks ran for longer than estimated";
  }
  SUBCASE("on time") {
    log += Line(2'000, "n2", Ended(900, 14, 30, 1));
    cause = "on time";
  }
  const Outcome outcome = Explain(log);
  CHECK(outcome.exit == Exit::kOk);
  CHECK(outcome.out.find("cause: complete") != std::string::npos);
  CHECK(outcome.out.find(cause) != std::string::npos);
}

TEST_CASE("Lines are ordered by time, whatever stands before them") {
  const Outcome outcome = Explain(
      "  3.5 n2 " + Line(9'000, "n9", "leading: epoch=7") + "  1.0 n1 " +
      kLoaded + "not json\n{\"message\":3}\n" + kAccepted);
  CHECK(outcome.exit == Exit::kOk);
  CHECK(outcome.out.find("POST") < outcome.out.find("loaded"));
  // A change of the leader long after the job does not belong to it.
  CHECK(outcome.out.find("epoch=7") == std::string::npos);
  CHECK(outcome.out.find("no end of the job") != std::string::npos);
}

TEST_CASE("A refused job is explained by its last answer") {
  const Outcome outcome = Explain(
      Line(1'000, "n1", std::string("POST /a/") + kJob + " status=503"));
  CHECK(outcome.exit == Exit::kOk);
  CHECK(outcome.out.find("not loaded by a leader") != std::string::npos);
  CHECK(outcome.out.find("status=503") != std::string::npos);
}

TEST_CASE("A job that no line names is an error") {
  const Outcome outcome = Explain(Line(1'000, "n1", "leading: epoch=1"));
  CHECK(outcome.exit == Exit::kRefused);
  CHECK(outcome.err.find(kJob) != std::string::npos);
}

}  // namespace quetzalshelf::ctl
