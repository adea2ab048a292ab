// Faults at every moment of a job's life, alone and together.

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <absl/strings/str_cat.h>

#include "tests/jobs/job_world.h"

namespace quetzalshelf::jobs {

namespace {

// The whole answer of a job of JobWorld::Spec.
std::string ExpectedTasks(const std::string& id, int tasks) {
  std::string text = "\"tasks\":[";
  for (int i = 0; i < tasks; ++i)
    absl::StrAppend(&text, i == 0 ? "" : ",", "\"answer of ", id, "\"");
  return text + "]";
}

bool HasWholeResult(JobWorld& world, const std::string& id, int tasks) {
  const std::optional<std::string> result = world.Result(id);
  return result && result->find(ExpectedTasks(id, tasks)) != std::string::npos;
}

// Spreads the phases of a start and of a publication over several ticks.
void SlowDown(JobWorld& world) {
  world.table.faults().slow = Duration(200);
  world.objects.faults().slow = Duration(200);
  world.workers.SetFaultHook([](const WorkerMessage&) {
    return WorkerDelivery{.request_delay = Duration(130),
                          .reply_delay = Duration(130)};
  });
}

void CheckPromises(const JobWorld& world) {
  CHECK(world.epochs.violations == 0);
  CHECK(world.late_starts == 0);
  CHECK(world.republished == 0);
}

// For faults in which the owner lives and messages to workers arrive.
void CheckNoPartialGang(const JobWorld& world) {
  for (const auto& [gang, attempt] : world.seen)
    CHECK(attempt.longest_partial <= Duration(2'000));
}

using Fault = void (*)(JobWorld&);

// Brings the fault about after each number of ticks, `times` times in a row.
void SweepFault(Fault fault, int times) {
  for (int ticks = 0; ticks < 48; ++ticks) {
    CAPTURE(ticks);
    JobWorld world(static_cast<uint64_t>(ticks));
    world.watched["a"] = "";
    SlowDown(world);
    REQUIRE(world.Submit(world.Spec("a", 3, Duration(2'000))) ==
            SubmitOutcome::kAccepted);
    for (int i = 0; i < times; ++i) {
      world.Run(Duration(100) * ticks);
      fault(world);
    }
    CHECK(
        world.RunUntil([&] { return world.State("a") == JobState::kFinished; },
                       Duration(200'000)));
    CHECK(HasWholeResult(world, "a", 3));
    CheckPromises(world);
  }
}

}  // namespace

TEST_CASE("owner killed at any moment: the job finishes, with one result") {
  SweepFault([](JobWorld& world) { world.KillAndReplaceOwner(); }, 1);
}

TEST_CASE("owner killed twice at any moment") {
  SweepFault([](JobWorld& world) { world.KillAndReplaceOwner(); }, 2);
}

TEST_CASE("owner paused past its lease and woken beside the next owner") {
  SweepFault(
      [](JobWorld& world) {
        world.owner->Pause();
        world.Run(Duration(12'000));
        world.TakeOver();
        world.Run(Duration(500));
        world.previous->WakeWithoutLease();
      },
      1);
}

TEST_CASE("owner without a lease for a while starts nothing meanwhile") {
  JobWorld world(1);
  world.Submit(world.Spec("a", 2, Duration(5'000)));
  world.owner->ownership.may_act = false;
  world.Run(Duration(15'000));
  CHECK(world.seen.empty());
  CHECK(world.Submit(world.Spec("b", 1, Duration(5'000))) ==
        SubmitOutcome::kNotRun);
  world.owner->ownership.may_act = true;
  world.Run(Duration(20'000));
  CHECK(world.State("a") == JobState::kFinished);
  CHECK_FALSE(world.StoredRecord("b").has_value());
}

TEST_CASE("answer lost after any write of the store") {
  SweepFault([](JobWorld& world) { world.table.faults().lose_answers = 1; }, 1);
}

TEST_CASE("answers lost after two writes, and a write that arrives late") {
  SweepFault(
      [](JobWorld& world) {
        world.table.faults().lose_answers += 1;
        world.table.faults().late_commits += 1;
      },
      2);
}

TEST_CASE("store down for two minutes from any moment") {
  SweepFault(
      [](JobWorld& world) {
        world.table.faults().down = true;
        world.objects.faults().down = true;
        world.Run(Duration(120'000));
        world.table.faults().down = false;
        world.objects.faults().down = false;
      },
      1);
}

TEST_CASE("worker lost at any moment, twice") {
  SweepFault(
      [](JobWorld& world) {
        static int next = 0;
        const int index = next++ % 4;
        world.workers.RemoveWorker(WorkerId(absl::StrCat("w", index)));
        world.Run(Duration(100));
        world.AddWorker(index);
      },
      2);
}

TEST_CASE("worker dead for good: the gang starts again on the others") {
  JobWorld world(1);
  world.watched["a"] = "";
  world.Submit(world.Spec("a", 3, Duration(60'000)));
  world.Run(Duration(5'000));
  const WorkerId dead = world.StoredRecord("a")->placement.front();
  world.workers.RemoveWorker(dead);
  CHECK(world.RunUntil([&] { return world.State("a") == JobState::kFinished; },
                       Duration(200'000)));
  CHECK(world.StoredRecord("a")->attempt == Attempt(2));
  CheckPromises(world);
  CheckNoPartialGang(world);
}

TEST_CASE("domain taken out during a start: nothing starts there later") {
  for (int ticks = 0; ticks < 40; ++ticks) {
    CAPTURE(ticks);
    JobWorld world(static_cast<uint64_t>(ticks));
    SlowDown(world);
    world.Submit(world.Spec("a", 2, Duration(600'000)));
    world.Run(Duration(50) * ticks);
    world.SetDomain("d0", false);
    world.Run(Duration(90'000));
    CHECK(world.State("a") == JobState::kRunning);
    const JobRecord record = world.StoredRecord("a").value();
    for (const WorkerId& worker : record.placement)
      CHECK((worker.value() == "w2" || worker.value() == "w3"));
    CheckPromises(world);
    CheckNoPartialGang(world);
  }
}

TEST_CASE("domain taken out while its row cannot be polled: nothing starts") {
  for (uint64_t seed : {1, 2}) {
    JobWorld world(seed);
    world.table.drop_domain_reads = true;
    world.SetDomain("d0", false);
    world.SetDomain("d1", false);
    world.Run(Duration(5'000));
    CHECK(world.Submit(world.Spec("a", 2, Duration(600'000))) ==
          SubmitOutcome::kAccepted);
    world.Run(Duration(20'000));
    CHECK(world.seen.empty());
    world.table.drop_domain_reads = false;
    world.SetDomain("d1", true);
    world.Run(Duration(90'000));
    CHECK(world.State("a") == JobState::kRunning);
    CheckPromises(world);
  }
}

TEST_CASE("Run delayed past an exit while Stop is lost: the deadline decides") {
  JobWorld world(2);
  bool exited = false;
  world.workers.SetFaultHook([&](const WorkerMessage& message) {
    WorkerDelivery delivery;
    if (message.kind == WorkerMessageKind::kRun) {
      delivery.request_delay = Duration(6'000);
      exited = true;
    }
    delivery.lose_request = message.kind == WorkerMessageKind::kAct;
    return delivery;
  });
  world.Submit(world.Spec("a", 4, Duration(600'000)));
  world.RunUntil([&] { return exited; }, Duration(5'000));
  REQUIRE(exited);
  world.SetDomain("d0", false);
  world.SetDomain("d1", false);
  world.Run(Duration(10'000));
  CHECK(world.seen.empty());
  CheckPromises(world);
}

TEST_CASE("late write of a dead owner does not pass the next owner's fence") {
  JobWorld world(1);
  world.table.faults().late_commits = 1;
  world.table.faults().late_by = Duration(14'000);
  world.owner->service.Submit(
      world.Spec("a", 1, Duration(1'000)), [](const SubmitReply&) {},
      world.runner.Now());
  world.owner->service.Tick(world.runner.Now());
  world.runner.RunReady();
  CHECK(world.table.faults().late_commits == 0);
  world.KillAndReplaceOwner();
  world.Run(Duration(10'000));
  CHECK_FALSE(world.StoredRecord("a").has_value());
  CHECK(world.Submit(world.Spec("a", 1, Duration(1'000))) ==
        SubmitOutcome::kAccepted);
  world.Run(Duration(10'000));
  CHECK(world.State("a") == JobState::kFinished);
}

TEST_CASE("store down: submissions are not run and leave nothing behind") {
  JobWorld world(1);
  world.Submit(world.Spec("a", 2, Duration(60'000)));
  world.Run(Duration(3'000));
  world.table.faults().down = true;
  CHECK(world.Submit(world.Spec("b", 1, Duration(5'000))) ==
        SubmitOutcome::kNotRun);
  world.Run(Duration(40'000));
  // Running tasks go on, since their leases are renewed.
  CHECK(world.Running("a") == 2);
  world.table.faults().down = false;
  world.Run(Duration(30'000));
  CHECK_FALSE(world.StoredRecord("b").has_value());
  CHECK(world.State("a") == JobState::kFinished);
}

TEST_CASE("store down while a new owner reads the rows: gangs are adopted") {
  JobWorld world(1);
  world.watched["a"] = "";
  world.Submit(world.Spec("a", 3, Duration(120'000)));
  world.Run(Duration(3'000));
  world.KillAndReplaceOwner();
  world.table.faults().down = true;
  world.Run(Duration(60'000));
  CHECK(world.Running("a") == 3);
  world.table.faults().down = false;
  world.Run(Duration(60'000));
  CHECK(world.State("a") == JobState::kFinished);
  CHECK(world.StoredRecord("a")->attempt == Attempt(1));
  CheckPromises(world);
}

TEST_CASE("submission whose write hangs is unknown and can be asked again") {
  JobWorld world(1);
  world.table.faults().slow = Duration(60'000);
  CHECK(world.Submit(world.Spec("a", 1, Duration(1'000))) ==
        SubmitOutcome::kUnknown);
  world.table.faults().slow = Duration(0);
  world.Run(Duration(100'000));
  CHECK(world.Submit(world.Spec("a", 1, Duration(1'000))) ==
        SubmitOutcome::kExisting);
  world.Run(Duration(10'000));
  CHECK(world.State("a") == JobState::kFinished);
}

namespace {

// What the callers were told, and what must follow from it.
struct JobOracle {
  std::map<std::string, int> accepted;  // With the number of tasks.
  std::map<std::string, int> unknown;
  std::set<std::string> not_run;
  std::set<std::string> cancelled;  // Or perhaps cancelled.
};

struct Sut {
  explicit Sut(uint64_t seed) : world(seed) {}

  JobWorld world;
  JobOracle oracle;
  int submitted = 0;
};

struct Model {};

// One random step: a caller's request, a fault, or the passing of time.
struct Step : rc::state::Command<Model, Sut> {
  int kind = *rc::gen::inRange(0, 15);
  int argument = *rc::gen::inRange(0, 100);

  void apply(Model& /*model*/) const override {}
  void run(const Model& /*model*/, Sut& sut) const override;
  void show(std::ostream& os) const override {
    os << "Step(" << kind << ", " << argument << ")";
  }
};

void SubmitStep(Sut& sut, int argument) {
  const std::string id = absl::StrCat("j", ++sut.submitted);
  const int tasks = 1 + argument % 3;
  sut.world.watched[id] = "";
  const SubmitOutcome outcome = sut.world.Submit(
      sut.world.Spec(id, tasks, Duration(1'000 * (1 + argument % 20))));
  if (outcome == SubmitOutcome::kAccepted)
    sut.oracle.accepted[id] = tasks;
  else if (outcome == SubmitOutcome::kUnknown)
    sut.oracle.unknown[id] = tasks;
  else
    sut.oracle.not_run.insert(id);
}

void CancelStep(Sut& sut, int argument) {
  const std::string id =
      absl::StrCat("j", 1 + argument % std::max(1, sut.submitted));
  const CancelOutcome outcome = sut.world.Cancel(id);
  if (outcome == CancelOutcome::kCancelled ||
      outcome == CancelOutcome::kUnknown) {
    sut.oracle.cancelled.insert(id);
  }
}

void MessageFaultStep(Sut& sut, int argument) {
  auto random = std::make_shared<Random>(static_cast<uint64_t>(argument));
  sut.world.workers.SetFaultHook([random](const WorkerMessage&) {
    WorkerDelivery delivery;
    delivery.lose_request = random->Chance(0.1);
    delivery.lose_reply = random->Chance(0.1);
    delivery.request_delay = Duration(random->Between(0, 600));
    delivery.reply_delay = Duration(random->Between(0, 300));
    if (random->Chance(0.2))
      delivery.duplicate_after = Duration(random->Between(0, 4'000));
    return delivery;
  });
}

void Step::run(const Model& /*model*/, Sut& sut) const {
  JobWorld& world = sut.world;
  switch (kind) {
    case 0:
    case 1:
    case 2:
      SubmitStep(sut, argument);
      break;
    case 3:
      CancelStep(sut, argument);
      break;
    case 4:
      world.KillAndReplaceOwner();
      break;
    case 5:
      world.owner->Pause();
      world.Run(Duration(12'000));
      world.TakeOver();
      world.previous->WakeWithoutLease();
      break;
    case 6:
      world.table.faults().lose_answers += 1 + argument % 3;
      break;
    case 7:
      world.table.faults().late_commits += 1 + argument % 2;
      break;
    case 8:
      world.table.faults().down = argument % 2 == 0;
      break;
    case 9:
      world.objects.faults().lose_answers += 1;
      break;
    case 10:
      world.workers.RemoveWorker(WorkerId(absl::StrCat("w", argument % 4)));
      break;
    case 11:
      world.AddWorker(argument % 4);
      break;
    case 12:
      world.SetDomain(absl::StrCat("d", argument % 2), argument % 3 == 0);
      break;
    case 13:
      MessageFaultStep(sut, argument);
      break;
    default:
      world.Run(Duration(200) * argument);
  }
  RC_ASSERT(world.epochs.violations == 0);
  RC_ASSERT(world.late_starts == 0);
  RC_ASSERT(world.republished == 0);
}

void Heal(JobWorld& world) {
  world.table.faults() = {};
  world.objects.faults() = {};
  world.workers.SetFaultHook(nullptr);
  for (int i = 0; i < 4; ++i) {
    if (world.workers.FindWorker(WorkerId(absl::StrCat("w", i))) == nullptr)
      world.AddWorker(i);
  }
  world.SetDomain("d0", true);
  world.SetDomain("d1", true);
}

bool HasEnded(JobWorld& world, const std::string& id) {
  const auto record = world.StoredRecord(id);
  return record && IsFinal(record->state);
}

void CheckOutcomes(Sut& sut) {
  JobWorld& world = sut.world;
  const JobOracle& oracle = sut.oracle;
  for (const std::string& id : oracle.not_run)
    RC_ASSERT(!world.StoredRecord(id).has_value());
  std::map<std::string, int> jobs = oracle.accepted;
  for (const auto& [id, tasks] : oracle.unknown) {
    if (world.StoredRecord(id))
      jobs[id] = tasks;
  }
  for (const auto& [id, tasks] : jobs) {
    RC_LOG() << "job " << id << std::endl;
    RC_ASSERT(HasEnded(world, id));
    const JobState state = world.StoredRecord(id)->state;
    if (state == JobState::kCancelled) {
      RC_ASSERT(oracle.cancelled.contains(id));
    } else {
      RC_ASSERT(state == JobState::kFinished);
      RC_ASSERT(HasWholeResult(world, id, tasks));
    }
  }
}

}  // namespace

TEST_CASE("random faults: no job lost, none published twice, no late start") {
  const bool held = rc::check("jobs under random faults", [] {
    const auto seed = *rc::gen::inRange<uint64_t>(0, 1'000);
    Sut sut(seed);
    rc::state::check(Model(), sut, rc::state::gen::execOneOfWithArgs<Step>());
    Heal(sut.world);
    sut.world.RunUntil(
        [&] {
          for (const auto& [id, tasks] : sut.oracle.accepted) {
            if (!HasEnded(sut.world, id))
              return false;
          }
          return true;
        },
        Duration(600'000));
    sut.world.Run(Duration(120'000));
    CheckOutcomes(sut);
  });
  CHECK(held);
}

}  // namespace quetzalshelf::jobs
