// Sizes of the control messages, for docs/MEASUREMENTS-control.md.

#include <doctest/doctest.h>

#include <absl/strings/str_cat.h>

#include "drivers/peer/peer_codec.h"
#include "drivers/worker/worker_codec.h"
#include "servers/cluster/shard_lease.h"
#include "servers/jobs/domain_watch.h"
#include "servers/jobs/job_record.h"

namespace quetzalshelf::jobs {

namespace {

const GangKey kGang{JobId("plan-20261204-000123"), Attempt(2)};
const RegionId kRegion("san-jose");
const IncarnationId kIncarnation("w-0123.1764826294000");

SyncReply Reply(int reports, bool first) {
  SyncReply reply{.incarnation = kIncarnation,
                  .clock = FromMillis(86'400'000),
                  .sequence = 1'234};
  for (int i = 0; i < reports; ++i) {
    reply.reports.push_back({.gang = kGang,
                             .task = i,
                             .state = TaskState::kRunning,
                             .progress = Duration(3'600'000),
                             .checkpointed = Duration(3'000'000),
                             .accelerators_used = Accelerators(1)});
  }
  if (first)
    reply.held.push_back(kGang);
  return reply;
}

JobRecord Record(int tasks) {
  JobRecord record;
  record.spec.job = {.id = kGang.job,
                     .workspace = WorkspaceId("marimba"),
                     .kind = "season-plan",
                     .gang = {.tasks = tasks,
                              .per_task = {Accelerators(1), MilliCores(8'000),
                                           Mebibytes(16'000)}},
                     .declared_run_time = Duration(7'200'000)};
  record.order = uint64_t{3} << 32;
  record.state = JobState::kRunning;
  record.attempt = Attempt(2);
  for (int i = 0; i < tasks; ++i)
    record.placement.emplace_back(absl::StrCat("w-", 1'000 + i / 8));
  return record;
}

template <typename Text>
void Print(const char* name, const Text& text) {
  MESSAGE(std::string(name) << ": " << text.size() << " bytes");
}

}  // namespace

TEST_CASE("message sizes") {
  Print("sync request", EncodeSyncRequest({.region = kRegion,
                                           .epoch = Epoch(12),
                                           .lease = Duration(30'000),
                                           .incarnation = kIncarnation,
                                           .acknowledged = 1'234})
                            .dump());
  const std::string none = EncodeSyncReply(Reply(0, false)).dump();
  const std::string eight = EncodeSyncReply(Reply(8, false)).dump();
  Print("sync reply, no change", none);
  Print("sync reply, 8 reports", eight);
  Print("sync reply, first, 8 reports", EncodeSyncReply(Reply(8, true)).dump());
  PrepareRequest prepare{.region = kRegion,
                         .epoch = Epoch(12),
                         .incarnation = kIncarnation,
                         .deadline = FromMillis(86'400'000),
                         .gang = kGang,
                         .kind = "season-plan",
                         .run_time = Duration(7'200'000)};
  for (int i = 0; i < 8; ++i)
    prepare.tasks.push_back({i, Record(1).spec.job.gang.per_task});
  Print("prepare, 8 tasks", EncodePrepareRequest(prepare).dump());
  Print("run", EncodeRunRequest({.region = kRegion,
                                 .epoch = Epoch(12),
                                 .incarnation = kIncarnation,
                                 .deadline = FromMillis(86'400'000),
                                 .gang = kGang})
                   .dump());
  Print("act", EncodeGangRequest(
                   {.region = kRegion, .epoch = Epoch(12), .gang = kGang})
                   .dump());
  PeerHeartbeat heartbeat{.node = NodeId("entry-012"),
                          .incarnation = kIncarnation,
                          .settings = SettingsVersion(123'456)};
  for (int i = 0; i < 6; ++i) {
    heartbeat.shards.push_back(
        {RegionId(absl::StrCat("region-", i)), Epoch(12)});
  }
  Print("peer heartbeat, 6 shards", EncodePeerHeartbeat(heartbeat).dump());
  cluster::MemberRow member;
  member.address = {NodeId("entry-012"), "10.20.30.40", 8'080};
  member.incarnation = kIncarnation;
  member.region = kRegion;
  member.domain = DomainId("cartago");
  member.beat = 123'456;
  Print("member row", cluster::EncodeMemberRow(member));
  Print("shard row", cluster::EncodeShardRow({.owner = NodeId("entry-012"),
                                              .incarnation = kIncarnation,
                                              .epoch = Epoch(12),
                                              .renewals = 123'456}));
  Print("domain row", EncodeDomainRow({.settings = SettingsVersion(123'456)}));
  const std::string small = EncodeJobRecord(Record(8));
  const std::string large = EncodeJobRecord(Record(1'024));
  Print("job row, 8 tasks on 1 worker", small);
  Print("job row, 1,024 tasks on 128 workers", large);
  // Deltas and runs of equal workers keep messages small.
  CHECK(none.size() < eight.size() / 8);
  CHECK(large.size() - small.size() < 128 * 16);
}

}  // namespace quetzalshelf::jobs
