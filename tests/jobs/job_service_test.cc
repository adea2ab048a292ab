#include "servers/jobs/job_service.h"

#include <doctest/doctest.h>

#include "tests/jobs/job_world.h"

namespace quetzalshelf::jobs {

TEST_CASE("a job runs on all its workers and publishes one whole result") {
  JobWorld world(1);
  REQUIRE(world.Submit(world.Spec("a", 3, Duration(20'000))) ==
          SubmitOutcome::kAccepted);
  world.Run(Duration(3'000));
  CHECK(world.State("a") == JobState::kRunning);
  CHECK(world.workers.Running(JobId("a")) == 3);
  world.Run(Duration(25'000));
  CHECK(world.State("a") == JobState::kFinished);
  std::string result;
  world.owner->service.Result(JobId("a"),
                              [&](const absl::StatusOr<std::string>& answer) {
                                result = answer.value();
                              });
  world.runner.RunReady();
  CHECK(result ==
        R"({"attempt":1,"format":1,"job":"a","tasks":["a/0","a/1","a/2"]})");
}

TEST_CASE("the same id is the same job, and another job under it a conflict") {
  JobWorld world(1);
  const JobSpec spec = world.Spec("a", 1, Duration(20'000));
  CHECK(world.Submit(spec) == SubmitOutcome::kAccepted);
  CHECK(world.Submit(spec) == SubmitOutcome::kExisting);
  JobSpec other = spec;
  other.payload = "other";
  CHECK(world.Submit(other) == SubmitOutcome::kConflict);
}

}  // namespace quetzalshelf::jobs
