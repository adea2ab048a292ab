#include "tests/jobs/job_world.h"

#include <utility>

#include <absl/strings/str_cat.h>

#include "servers/scheduling/naive_scheduler.h"

namespace quetzalshelf::jobs {

Owner::Owner(MemoryTable& table,
             MemoryObjectStore& objects,
             FakeWorkers& workers,
             ManualTaskRunner& runner,
             Epoch epoch)
    : committer(table,
                runner,
                IncarnationId(absl::StrCat("owner", epoch.value())),
                {},
                epoch.value()),
      ownership(epoch, RowVersion(epoch.value())),
      service({table, objects, workers, committer, runner, ownership},
              std::make_unique<scheduling::NaiveScheduler>(),
              {},
              runner.Now()) {}

JobWorld::JobWorld(uint64_t seed)
    : table(runner), objects(runner), workers(runner, seed) {
  for (const WorkerEntry& entry : Entries())
    workers.Add(entry.worker.id);
  TakeOver();
  Run(Duration(1'000));
}

std::vector<WorkerEntry> JobWorld::Entries() const {
  std::vector<WorkerEntry> entries;
  for (int i = 0; i < 4; ++i) {
    const WorkerId id(absl::StrCat("w", i));
    entries.push_back(
        {{id,
          DomainId(absl::StrCat("d", i / 2)),
          RackId(absl::StrCat("k", i / 2)),
          {Accelerators(8), MilliCores(64'000), Mebibytes(128'000)}},
         {id, "10.0.0.1", 1'000 + i}});
  }
  return entries;
}

void JobWorld::TakeOver() {
  CommitRow("shard/r", "{}");
  previous = std::move(owner);
  owner =
      std::make_unique<Owner>(table, objects, workers, runner, Epoch(++epoch_));
  scheduling::Workspace workspace{.id = WorkspaceId("plaza")};
  owner->service.SetWorkspaces({workspace}, runner.Now());
  owner->service.SetWorkers(Entries(), runner.Now());
}

void JobWorld::Run(Duration time) {
  for (Duration passed{0}; passed < time; passed += Duration(100)) {
    for (Owner* it : {owner.get(), previous.get()}) {
      if (it == nullptr || it->paused)
        continue;
      it->committer.Tick(runner.Now());
      it->service.Tick(runner.Now());
    }
    runner.Advance(Duration(100));
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
  return spec;
}

SubmitOutcome JobWorld::Submit(const JobSpec& spec) {
  std::optional<SubmitOutcome> outcome;
  owner->service.Submit(
      spec, [&](const SubmitReply& reply) { outcome = reply.outcome; },
      runner.Now());
  for (int i = 0; i < 30 && !outcome; ++i)
    Run(Duration(100));
  return outcome.value();
}

std::optional<JobState> JobWorld::State(const std::string& id) {
  const auto view = owner->service.Status(JobId(id), runner.Now());
  return view.ok() ? std::optional(view->record.state) : std::nullopt;
}

void JobWorld::CommitRow(const std::string& key, const std::string& value) {
  const std::string token = absl::StrCat("world-", ++tokens_);
  table.Commit({TokenId(token), {}, {{key, value}}},
               [](const absl::Status&) {});
  runner.RunReady();
}

void JobWorld::SetDomain(const std::string& domain, bool in_service) {
  CommitRow(DomainKey(DomainId(domain)),
            EncodeDomainRow({.in_service = in_service}));
}

std::optional<JobRecord> JobWorld::StoredRecord(const std::string& id) {
  std::optional<JobRecord> found;
  table.Read(JobKey(RegionId("r"), JobId(id)),
             [&](const absl::StatusOr<Row>& row) {
               if (row.ok())
                 found = DecodeJobRecord(row->value).value();
             });
  runner.RunReady();
  return found;
}

}  // namespace quetzalshelf::jobs
