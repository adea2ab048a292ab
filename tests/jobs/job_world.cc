#include "tests/jobs/job_world.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "servers/scheduling/naive_scheduler.h"
#include "servers/scheduling/shape_scheduler.h"

namespace quetzalshelf::jobs {

namespace {

constexpr Duration kTick{100};
constexpr int kWorkers = 4;
constexpr Resources kCapacity{Accelerators(8), MilliCores(64'000),
                              Mebibytes(128'000)};

std::unique_ptr<scheduling::GangScheduler> MakeScheduler(uint64_t seed) {
  if (seed % 2 == 0)
    return std::make_unique<scheduling::NaiveScheduler>();
  return std::make_unique<scheduling::ShapeScheduler>();
}

}  // namespace

Owner::Owner(JobWorld& world, Epoch epoch)
    : gate(world.table, world.runner, {}, epoch.value()),
      committer(gate,
                world.runner,
                IncarnationId(absl::StrCat("owner", epoch.value())),
                {},
                epoch.value()),
      ownership(epoch, RowVersion(epoch.value())),
      port(std::make_shared<RecordingPort>(
          world.workers,
          world.epochs,
          absl::StrCat("owner", epoch.value()))),
      service({gate, world.objects, *port, committer, world.runner, ownership},
              MakeScheduler(world.seed),
              world.options,
              world.runner.Now()) {
  world.ports_.push_back(port);
}

JobWorld::JobWorld(uint64_t the_seed)
    : table(runner),
      objects(runner),
      workers(runner, runner, Duration(1'000)),
      seed(the_seed) {
  for (int i = 0; i < kWorkers; ++i)
    AddWorker(i);
  TakeOver();
  Run(Duration(1'000));
}

std::vector<WorkerEntry> JobWorld::Entries() const {
  std::vector<WorkerEntry> entries;
  for (int i = 0; i < kWorkers; ++i) {
    const WorkerId id(absl::StrCat("w", i));
    entries.push_back({{id, DomainId(absl::StrCat("d", i / 2)),
                        RackId(absl::StrCat("k", i / 2)), kCapacity},
                       {id, "10.0.0.1", 1'000 + i}});
  }
  return entries;
}

void JobWorld::AddWorker(int index) {
  ++incarnations_;
  workers.AddWorker(
      {.worker = WorkerId(absl::StrCat("w", index)),
       .incarnation = IncarnationId(absl::StrCat("i", incarnations_)),
       .capacity = kCapacity,
       .clock_offset = Duration(incarnations_ * 77'777)});
}

void JobWorld::TakeOver() {
  CommitRow("shard/r", "{}");
  previous = std::move(owner);
  owner = std::make_unique<Owner>(*this, Epoch(++epoch_));
  owner->service.SetWorkspaces({{.id = WorkspaceId("plaza")}}, runner.Now());
  owner->service.SetWorkers(Entries(), runner.Now());
}

void JobWorld::KillAndReplaceOwner() {
  KillOwner();
  Run(Duration(12'000));
  TakeOver();
}

void JobWorld::Tick(Owner& it) {
  if (it.paused)
    return;
  it.gate.Tick(runner.Now());
  it.committer.Tick(runner.Now());
  it.service.Tick(runner.Now());
}

void JobWorld::Run(Duration time) {
  RunUntil([] { return false; }, time);
}

bool JobWorld::RunUntil(const std::function<bool()>& done, Duration limit) {
  for (Duration passed{0}; passed < limit; passed += kTick) {
    if (done())
      return true;
    if (owner)
      Tick(*owner);
    if (previous)
      Tick(*previous);
    runner.Advance(kTick);
    Watch();
    WatchRows();
  }
  return done();
}

void JobWorld::Watch() {
  const TimePoint now = runner.Now();
  std::map<GangKey, int> running;
  std::map<GangKey, int> waiting;
  for (const WorkerEntry& entry : Entries()) {
    WorkerModel* model = workers.FindWorker(entry.worker.id);
    if (model == nullptr)
      continue;
    for (const TaskReport& task : model->Tasks(now)) {
      waiting[task.gang] += task.state == TaskState::kPrepared ? 1 : 0;
      if (task.state != TaskState::kRunning)
        continue;
      ++running[task.gang];
      SeenAttempt& attempt = seen[task.gang];
      if (!attempt.started.emplace(task.task, now).second)
        continue;
      attempt.workers[task.task] = entry.worker.id;
      // A start is seen up to one tick late.
      auto exit = exits.find(entry.worker.domain);
      if (exit != exits.end() && now - exit->second > Duration(3'000) + kTick)
        ++late_starts;
    }
  }
  for (auto& [gang, attempt] : seen) {
    if (running[gang] == 0 || waiting[gang] == 0) {
      attempt.partial_since.reset();
      continue;
    }
    if (!attempt.partial_since)
      attempt.partial_since = now;
    attempt.longest_partial =
        std::max(attempt.longest_partial, now - *attempt.partial_since);
  }
}

void JobWorld::WatchRows() {
  for (auto& [job, result] : watched) {
    const std::optional<JobRecord> record = StoredRecord(job);
    const std::string present = record ? record->result : "";
    if (result.empty())
      result = present;
    else if (result != present)
      ++republished;
  }
}

JobSpec JobWorld::Spec(const std::string& id,
                       int tasks,
                       Duration run_time) const {
  JobSpec spec;
  spec.job.id = JobId(id);
  spec.job.workspace = WorkspaceId("plaza");
  spec.job.gang = {tasks,
                   {Accelerators(8), MilliCores(1'000), Mebibytes(1'000)},
                   scheduling::Adjacency::kRegion};
  spec.job.declared_run_time = run_time;
  spec.payload = absl::StrCat(R"({"result":"answer of )", id, "\"}");
  return spec;
}

SubmitOutcome JobWorld::Submit(const JobSpec& spec) {
  // Shared with the reply, which may come after this call has given up.
  auto outcome = std::make_shared<std::optional<SubmitOutcome>>();
  owner->service.Submit(
      spec, [outcome](const SubmitReply& reply) { *outcome = reply.outcome; },
      runner.Now());
  RunUntil([&] { return outcome->has_value(); }, Duration(3'000));
  return outcome->value();
}

CancelOutcome JobWorld::Cancel(const std::string& id) {
  auto outcome = std::make_shared<std::optional<CancelOutcome>>();
  owner->service.Cancel(
      JobId(id),
      [outcome](const CancelReply& reply) { *outcome = reply.outcome; },
      runner.Now());
  RunUntil([&] { return outcome->has_value(); }, Duration(3'000));
  return outcome->value();
}

std::optional<JobState> JobWorld::State(const std::string& id) {
  const auto view = owner->service.Status(JobId(id), runner.Now());
  return view.ok() ? std::optional(view->record.state) : std::nullopt;
}

std::optional<std::string> JobWorld::Result(const std::string& id) {
  const StoreFaults kept = std::exchange(objects.faults(), {});
  std::optional<std::string> found;
  owner->service.Result(JobId(id),
                        [&](const absl::StatusOr<std::string>& answer) {
                          if (answer.ok())
                            found = *answer;
                        });
  runner.RunReady();
  objects.faults() = kept;
  return found;
}

int JobWorld::Running(const std::string& id) {
  int running = 0;
  for (const WorkerEntry& entry : Entries()) {
    WorkerModel* model = workers.FindWorker(entry.worker.id);
    if (model == nullptr)
      continue;
    for (const TaskReport& task : model->Tasks(runner.Now())) {
      running += task.gang.job.value() == id &&
                         (task.state == TaskState::kRunning ||
                          task.state == TaskState::kCheckpointing)
                     ? 1
                     : 0;
    }
  }
  return running;
}

void JobWorld::CommitRow(const std::string& key, const std::string& value) {
  const StoreFaults kept = std::exchange(table.faults(), {});
  table.Commit({TokenId(absl::StrCat("world-", ++tokens_)), {}, {{key, value}}},
               [](const absl::Status&) {});
  runner.RunReady();
  table.faults() = kept;
}

void JobWorld::SetDomain(const std::string& domain, bool in_service) {
  CommitRow(DomainKey(DomainId(domain)),
            EncodeDomainRow({.in_service = in_service}));
  if (in_service)
    exits.erase(DomainId(domain));
  else
    exits.emplace(DomainId(domain), runner.Now());
}

std::optional<JobRecord> JobWorld::StoredRecord(const std::string& id) {
  const StoreFaults kept = std::exchange(table.faults(), {});
  std::optional<JobRecord> found;
  table.Read(JobKey(RegionId("r"), JobId(id)),
             [&](const absl::StatusOr<Row>& row) {
               if (row.ok())
                 found = DecodeJobRecord(row->value).value();
             });
  runner.RunReady();
  table.faults() = kept;
  return found;
}

}  // namespace quetzalshelf::jobs
