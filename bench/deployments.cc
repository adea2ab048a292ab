#include "bench/deployments.h"

#include <algorithm>

namespace quetzalshelf::bench {
namespace {

using scheduling::Guarantee;

constexpr int kWorkersPerRack = 6;
constexpr Duration kSecond{1'000};
constexpr Duration kMinute = 60 * kSecond;
constexpr Duration kHour = 60 * kMinute;

Resources Make(int64_t accelerators, int64_t cores, int64_t gib) {
  return {Accelerators(accelerators), MilliCores(cores * 1'000),
          Mebibytes(gib * 1'024)};
}

std::vector<Worker> MakeWorkers(const std::vector<DomainId>& domains,
                                int workers,
                                const Resources& capacity) {
  std::vector<Worker> out;
  const int count = static_cast<int>(domains.size());
  for (int index = 0; index < count; ++index) {
    const DomainId& domain = domains[static_cast<size_t>(index)];
    const int here = workers / count + (index < workers % count ? 1 : 0);
    for (int n = 0; n < here; ++n) {
      const std::string rack =
          domain.value() + "-rack-" + std::to_string(n / kWorkersPerRack);
      const std::string id = domain.value() + "-worker-" + std::to_string(n);
      out.push_back({WorkerId(id), domain, RackId(rack), capacity});
    }
  }
  return out;
}

Workspace MakeWorkspace(const std::string& id,
                        std::vector<Guarantee> guarantees,
                        int weight) {
  Workspace out;
  out.id = WorkspaceId(id);
  out.guarantees = std::move(guarantees);
  out.weight = weight;
  out.quota = Accelerators(320);
  return out;
}

TraceSpec DeploymentOfToday(const std::string& name,
                            std::vector<DomainId> domains,
                            const Resources& worker) {
  TraceSpec out;
  out.name = name;
  out.domains = std::move(domains);
  out.workers = MakeWorkers(out.domains, 48, worker);
  out.arrivals = 10 * kHour;
  out.drain = 30 * kHour;
  // The middle of 0.8 to 1.1; above 1 in bursts.
  out.offered_load = 0.95;
  out.base_load = 0.6;
  out.burst_load = 0.85;
  out.burst_every = 60 * kMinute;
  out.burst_length = 20 * kMinute;
  out.burst_jobs = 30;
  out.domain_out_length = 30 * kMinute;
  out.domain_notice = 3 * kMinute;
  out.worker_failure_every = 40 * kMinute;
  return out;
}

TraceSpec Solano() {
  TraceSpec out =
      DeploymentOfToday("solano",
                        {DomainId("cartago"), DomainId("heredia"),
                         DomainId("alajuela"), DomainId("san-jose")},
                        Make(8, 64, 128));
  const Shape rack{6, Make(8, 60, 120), Adjacency::kRack};
  const Shape half_rack{3, Make(8, 60, 120), Adjacency::kRack};
  const Shape desk{1, Make(1, 6, 12), Adjacency::kWorker};
  out.workspaces = {MakeWorkspace("bandas-norte", {{rack, 1}, {desk, 4}}, 3),
                    MakeWorkspace("bandas-sur", {{half_rack, 2}, {desk, 4}}, 3),
                    MakeWorkspace("taquilla", {{desk, 16}}, 1),
                    MakeWorkspace("bocetos", {{desk, 16}}, 1)};
  const std::vector<WorkspaceId> large = {WorkspaceId("bandas-norte"),
                                          WorkspaceId("bandas-sur")};
  JobKind plan{"season_plan", 0.65,         Urgency::kPatient, 0,
               true,          30 * kMinute, 3 * kHour};
  plan.shapes = {{2, Make(8, 56, 112), Adjacency::kRack},
                 {3, Make(8, 60, 120), Adjacency::kRack},
                 {6, Make(8, 60, 120), Adjacency::kRack},
                 {4, Make(4, 30, 60), Adjacency::kRack},
                 {12, Make(4, 24, 48), Adjacency::kDomain}};
  plan.workspaces = large;
  JobKind hold{"hold", 0.01,        Urgency::kUrgent, 0,
               false,  5 * kSecond, 30 * kSecond};
  hold.shapes = {{1, Make(1, 4, 8), Adjacency::kWorker}};
  hold.workspaces = {WorkspaceId("taquilla"), WorkspaceId("bandas-norte"),
                     WorkspaceId("bandas-sur")};
  JobKind sketch{"crowd_sketch", 0.34,        Urgency::kPatient, 0,
                 true,           2 * kMinute, 40 * kMinute};
  sketch.shapes = {{1, Make(1, 4, 8), Adjacency::kWorker},
                   {1, Make(2, 8, 16), Adjacency::kWorker},
                   {4, Make(1, 8, 16), Adjacency::kRegion}};
  sketch.workspaces = {WorkspaceId("bocetos"), WorkspaceId("bandas-norte")};
  out.kinds = {plan, hold, sketch};
  return out;
}

TraceSpec Viveiro() {
  TraceSpec out =
      DeploymentOfToday("viveiro",
                        {DomainId("recife-a"), DomainId("recife-b"),
                         DomainId("caruaru-a"), DomainId("caruaru-b")},
                        Make(8, 128, 512));
  const Shape plan_shape{4, Make(4, 60, 240), Adjacency::kRack};
  const Shape review_shape{1, Make(1, 12, 48), Adjacency::kWorker};
  const Shape draft_shape{1, Make(2, 24, 96), Adjacency::kWorker};
  out.workspaces = {
      MakeWorkspace("rega-recife", {{plan_shape, 3}, {review_shape, 4}}, 3),
      MakeWorkspace("rega-caruaru", {{plan_shape, 3}, {review_shape, 4}}, 3),
      MakeWorkspace("care-desk", {{review_shape, 24}}, 2),
      MakeWorkspace("repotting", {{draft_shape, 12}}, 1)};
  const std::vector<WorkspaceId> large = {WorkspaceId("rega-recife"),
                                          WorkspaceId("rega-caruaru")};
  JobKind plan{"watering_plan", 0.6,      Urgency::kNormal, 0.2, true,
               15 * kMinute,    2 * kHour};
  plan.shapes = {{4, Make(4, 56, 200), Adjacency::kRack},
                 {2, Make(8, 100, 400), Adjacency::kRack},
                 {4, Make(8, 120, 480), Adjacency::kRack},
                 {8, Make(4, 48, 160), Adjacency::kDomain}};
  plan.workspaces = large;
  JobKind review{"leaf_review", 0.15,         Urgency::kNormal, 0,
                 false,         20 * kSecond, 4 * kMinute};
  review.shapes = {{1, Make(1, 8, 32), Adjacency::kWorker}};
  review.workspaces = {WorkspaceId("care-desk"), WorkspaceId("rega-recife"),
                       WorkspaceId("rega-caruaru")};
  JobKind draft{"repotting_draft", 0.25,        Urgency::kNormal, 0, true,
                3 * kMinute,       40 * kMinute};
  draft.shapes = {{1, Make(2, 16, 64), Adjacency::kWorker},
                  {2, Make(1, 12, 48), Adjacency::kRegion}};
  draft.workspaces = {WorkspaceId("repotting"), WorkspaceId("care-desk")};
  out.kinds = {plan, review, draft};
  return out;
}

constexpr int kTargetWorkers = 11'000;
constexpr int kTargetRegions = 6;
constexpr int kTargetDomainsPerRegion = 4;
constexpr int kTargetWorkspaces = 170;

// Every workspace works in every region, with a part of its quota.
std::vector<Workspace> TargetWorkspaces() {
  const Shape gang{8, Make(4, 16, 64), Adjacency::kRack};
  const Shape single{1, Make(1, 4, 16), Adjacency::kWorker};
  std::vector<Workspace> out;
  for (int n = 0; n < kTargetWorkspaces; ++n) {
    std::vector<Guarantee> guarantees = {{single, 4}};
    if (n % 4 == 0) {
      guarantees.push_back({gang, 2});
    }
    out.push_back(
        MakeWorkspace("team-" + std::to_string(n), guarantees, 1 + n % 3));
    out.back().quota = Accelerators(2'048);
  }
  return out;
}

// Half of the tasks and more need no accelerator, so that 240,000 tasks run on
// 88,000 accelerators.
std::vector<JobKind> TargetKinds(const std::vector<Workspace>& workspaces) {
  JobKind train{"train", 0.666,     Urgency::kPatient, 0,
                true,    1 * kHour, 8 * kHour};
  train.shapes = {{8, Make(4, 16, 64), Adjacency::kRack},
                  {64, Make(1, 4, 16), Adjacency::kDomain},
                  {256, Make(1, 4, 16), Adjacency::kRegion},
                  {1'024, Make(1, 4, 16), Adjacency::kRegion}};
  JobKind data{"data", 0.33, Urgency::kNormal, 0, true, 1 * kHour, 6 * kHour};
  data.shapes = {{64, Make(0, 1, 4), Adjacency::kRegion},
                 {256, Make(0, 1, 4), Adjacency::kRegion},
                 {512, Make(0, 1, 4), Adjacency::kRegion}};
  JobKind small{"small", 0.004,       Urgency::kNormal, 0.2,
                true,    5 * kMinute, 1 * kHour};
  small.shapes = {{1, Make(1, 4, 16), Adjacency::kWorker},
                  {8, Make(1, 4, 16), Adjacency::kRack}};
  std::vector<JobKind> out = {train, data, small};
  for (JobKind& kind : out) {
    for (const Workspace& workspace : workspaces) {
      kind.workspaces.push_back(workspace.id);
    }
  }
  return out;
}

TraceSpec TargetRegion(int region) {
  TraceSpec out;
  out.name = "region-" + std::to_string(region);
  for (int n = 0; n < kTargetDomainsPerRegion; ++n) {
    out.domains.emplace_back(out.name + "-domain-" + std::to_string(n));
  }
  out.workers =
      MakeWorkers(out.domains, 11'000 / kTargetRegions, Make(8, 64, 256));
  out.workspaces = TargetWorkspaces();
  out.kinds = TargetKinds(out.workspaces);
  out.arrivals = 3 * kHour;
  out.drain = 30 * kHour;
  out.base_load = 0.6;
  out.burst_load = 0.9;
  out.burst_every = 60 * kMinute;
  out.burst_length = 20 * kMinute;
  out.burst_jobs = 10;
  out.domain_out_length = 15 * kMinute;
  out.domain_notice = 3 * kMinute;
  out.worker_failure_every = 2 * kMinute;
  out.domain_out_limit = 10 * kSecond;
  out.initial_load = 0.5;
  return out;
}

}  // namespace

std::vector<TraceSpec> DeploymentSpecs(const std::string& name) {
  if (name == "solano") {
    return {Solano()};
  }
  if (name == "viveiro") {
    return {Viveiro()};
  }
  std::vector<TraceSpec> out;
  for (int n = 0; name == "target" && n < kTargetRegions; ++n) {
    out.push_back(TargetRegion(n));
  }
  return out;
}

TraceSpec Shorten(TraceSpec spec, int divisor) {
  spec.arrivals /= divisor;
  spec.burst_every /= divisor;
  spec.burst_length /= divisor;
  spec.domain_out_length /= divisor;
  spec.domain_notice = std::max(spec.domain_notice / divisor, 45 * kSecond);
  spec.worker_failure_every /= divisor;
  for (JobKind& kind : spec.kinds) {
    kind.min_run_time = std::max(kind.min_run_time / divisor, 5 * kSecond);
    kind.max_run_time = std::max(kind.max_run_time / divisor, 10 * kSecond);
  }
  return spec;
}

}  // namespace quetzalshelf::bench
