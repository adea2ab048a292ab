#include "servers/jobs/job_service.h"

#include <doctest/doctest.h>

#include "tests/jobs/job_world.h"

namespace quetzalshelf::jobs {

// Every promise is checked with the naive scheduler (even seed) and with the
// shape scheduler (odd seed).

TEST_CASE("a job runs on all its workers and publishes one whole result") {
  for (uint64_t seed : {1, 2}) {
    JobWorld world(seed);
    REQUIRE(world.Submit(world.Spec("a", 3, Duration(20'000))) ==
            SubmitOutcome::kAccepted);
    world.Run(Duration(3'000));
    CHECK(world.State("a") == JobState::kRunning);
    CHECK(world.Running("a") == 3);
    world.Run(Duration(25'000));
    CHECK(world.State("a") == JobState::kFinished);
    CHECK(world.Result("a") ==
          R"({"attempt":1,"format":1,"job":"a","tasks":)"
          R"(["answer of a","answer of a","answer of a"]})");
  }
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

TEST_CASE("a job that can never run is refused with a reason") {
  JobWorld world(1);
  CHECK(world.Submit(world.Spec("big", 5, Duration(20'000))) ==
        SubmitOutcome::kAccepted);
  world.Run(Duration(1'000));
  const auto record = world.StoredRecord("big");
  REQUIRE(record);
  CHECK(record->state == JobState::kRefused);
  CHECK_FALSE(record->detail.empty());
}

TEST_CASE("a cancelled job stops everywhere and frees its workers") {
  for (uint64_t seed : {1, 2}) {
    JobWorld world(seed);
    world.Submit(world.Spec("a", 4, Duration(600'000)));
    world.Submit(world.Spec("b", 4, Duration(5'000)));
    world.Run(Duration(3'000));
    CHECK(world.Running("a") == 4);
    CHECK(world.Cancel("a") == CancelOutcome::kCancelled);
    CHECK(world.Cancel("a") == CancelOutcome::kAlreadyEnded);
    CHECK(world.Cancel("none") == CancelOutcome::kNotFound);
    world.Run(Duration(20'000));
    CHECK(world.Running("a") == 0);
    CHECK(world.State("b") == JobState::kFinished);
    CHECK_FALSE(world.Result("a").has_value());
  }
}

TEST_CASE("a row of a newer format is refused clearly and nothing is served") {
  JobWorld world(1);
  world.Submit(world.Spec("a", 1, Duration(600'000)));
  JobRecord record = world.StoredRecord("a").value();
  std::string text = EncodeJobRecord(record);
  text.replace(text.find("\"format\":1"), 10, "\"format\":2");
  const auto decoded = DecodeJobRecord(text);
  CHECK(absl::IsFailedPrecondition(decoded.status()));
  CHECK(decoded.status().message().find("upgrade") != std::string::npos);
  world.CommitRow(JobKey(RegionId("r"), JobId("a")), text);
  world.TakeOver();
  world.Run(Duration(5'000));
  CHECK(world.owner->service.phase() == JobService::Phase::kLoading);
  CHECK(absl::IsFailedPrecondition(world.owner->service.readiness()));
  CHECK(world.Submit(world.Spec("b", 1, Duration(1'000))) ==
        SubmitOutcome::kNotRun);
}

TEST_CASE("an ended job is forgotten, and its id is free with the next owner") {
  for (uint64_t seed : {1, 2}) {
    JobWorld world(seed);
    world.options.retention = Duration(300'000);
    const JobSpec spec = world.Spec("a", 1, Duration(1'000));
    for (int round = 0; round < 2; ++round) {
      world.KillAndReplaceOwner();
      world.Run(Duration(5'000));
      CHECK(world.Submit(spec) == SubmitOutcome::kAccepted);
      world.Run(Duration(20'000));
      // The second row of the id has a higher version than a first write has.
      CHECK(world.State("a") == JobState::kFinished);
      CHECK(world.Result("a").has_value());
      world.Run(Duration(420'000));
      CHECK_FALSE(world.StoredRecord("a").has_value());
      CHECK_FALSE(world.State("a").has_value());
      // Accepting it here would leave it to a scheduler that knows the id.
      CHECK(world.Submit(spec) == SubmitOutcome::kConflict);
    }
  }
}

TEST_CASE("a job record keeps every field, and faults name their place") {
  JobWorld world(1);
  JobRecord record{
      .spec = world.Spec("a", 3, Duration(1'000)),
      .order = 7,
      .state = JobState::kFinished,
      .attempt = Attempt(2),
      .placement = {WorkerId("w1"), WorkerId("w1"), WorkerId("w0")},
      .guaranteed = true,
      .checkpoint = Duration(500),
      .result = "result/a/2",
      .detail = "why"};
  const std::string text = EncodeJobRecord(record);
  const JobRecord read = DecodeJobRecord(text).value();
  CHECK(EncodeJobRecord(read) == text);
  CHECK(read.placement == record.placement);
  CHECK(read.spec == record.spec);
  const auto bad = DecodeJobRecord(R"({"format":1,"state":"odd"})");
  CHECK(bad.status().message().find("state") != std::string::npos);
  CHECK(bad.status().message().find("spec") != std::string::npos);
}

TEST_CASE("a job whose tasks always fail ends as failed with a reason") {
  JobWorld world(2);
  JobSpec spec = world.Spec("a", 2, Duration(1'000));
  spec.payload = R"({"fail":true})";
  world.Submit(spec);
  CHECK(world.RunUntil([&] { return world.State("a") == JobState::kFailed; },
                       Duration(300'000)));
  CHECK_FALSE(world.StoredRecord("a")->detail.empty());
  CHECK(world.Running("a") == 0);
}

}  // namespace quetzalshelf::jobs
