#include "tests/batch/batch_fixture.h"

#include <utility>

namespace quetzalshelf::batch {

namespace {

constexpr Duration kAnswerTime{2};
constexpr Duration kStep{10};
constexpr Duration kPatience{3'000};

}  // namespace

WorkerEntry MakeWorker(const std::string& id, const std::string& rack) {
  WorkerEntry worker;
  worker.id = WorkerId(id);
  worker.service = ServiceName("desk");
  worker.host = "10.0.0.1";
  worker.port = 80;
  worker.domain = DomainId("cartago");
  worker.rack = RackId(rack);
  worker.labels = {"a", rack};
  worker.capacity = {Accelerators(8), MilliCores(64'000), Mebibytes(131'072)};
  worker.incarnation_start_wall_ms = 1;
  return worker;
}

JobSpec MakeJob(int tasks, int accelerators, bool gang) {
  StepSpec step;
  step.tasks = tasks;
  step.resources = {Accelerators(accelerators), MilliCores(7'500),
                    Mebibytes(11'000)};
  step.estimate = Duration(2'500);
  step.gang = gang;
  JobSpec spec;
  spec.payload = "payload";
  spec.steps = {step};
  return spec;
}

SiteConfig MakeSite() {
  SiteConfig config;
  config.version = 1;
  const auto queue = [](const char* name, int priority, double slack) {
    QueueConfig it;
    it.name = QueueName(name);
    it.host = "desk.example";
    it.prefix = std::string("/") + name + "/";
    it.service = ServiceName("desk");
    it.priority = priority;
    it.attempts = 3;
    it.slack_factor = slack;
    it.target_latency = Duration(250);
    return it;
  };
  config.queues = {queue("holds", 0, 1.5), queue("plans", 1, 3.0),
                   queue("sketches", 2, 3.0)};
  config.workspaces = {{WorkspaceId("plaza"), {"key-plaza"}, Accelerators(16)},
                       {WorkspaceId("parque"), {"key-parque"}, {}}};
  return config;
}

BatchFixture::BatchFixture(int racks, int workers_a_rack)
    : store(runner, kAnswerTime, &runner),
      workers(runner,
              runner,
              kAnswerTime,
              [this](const TaskId& task) {
                const auto it = run_times.find(task.job);
                return it == run_times.end() ? run_time : it->second;
              }),
      load(store_clock),
      frontend(store, runner, runner, site, load, {}) {
  for (int rack = 0; rack < racks; ++rack) {
    for (int n = 0; n < workers_a_rack; ++n) {
      const std::string rack_name = "r1-" + std::to_string(rack);
      listed.push_back(MakeWorker(
          "w" + std::to_string(rack) + std::to_string(n), rack_name));
      workers.Add(listed.back());
    }
  }
  site.SetConfig(MakeSite());
  site.Confirm(runner.Now());
}

void BatchFixture::AddNode(const std::string& name, double cpu_share) {
  LeaderLeaseOptions options;
  options.node = NodeId(name);
  options.cpu_share = cpu_share;
  options.incarnation = IncarnationId(name + "-" + std::to_string(++seed_));
  Node node;
  node.store = std::make_unique<SeverableStore>(store, runner);
  VersionedStore* path = node.store.get();
  if (link_bytes_per_second > 0) {
    node.link = std::make_unique<NarrowStore>(*path, runner, runner,
                                              link_bytes_per_second);
    path = node.link.get();
  }
  node.observed = std::make_unique<ObservedStore>(*path, runner);
  node.load = std::make_unique<LoadView>(node.observed->store_clock());
  node.frontend = std::make_unique<JobFrontend>(
      *node.observed, runner, runner, site, *node.load, JobFrontendOptions());
  node.workers = std::make_unique<SeverableWorkers>(workers, runner);
  node.lease =
      std::make_unique<LeaderLease>(*node.observed, runner, options, seed_);
  LeaderLease* const lease = node.lease.get();
  const auto on_rows = [this, lease](const std::vector<StoreRow>& rows) {
    lease->OnRows(rows, runner.Now());
  };
  node.control = std::make_unique<TableFollower>(
      *node.observed, runner,
      TableFollowerOptions{.table = kControlTable,
                           .partitions = {kLeaderPartition},
                           .poll = kControlPoll},
      on_rows, on_rows, seed_);
  node.leadership = std::make_unique<Leadership>(
      *node.observed, *node.workers, runner, site, metrics, *node.lease,
      dispatcher_options, ++seed_);
  nodes.push_back(std::move(node));
}

void BatchFixture::Kill(size_t node) {
  nodes[node] = Node();
}

void BatchFixture::Resign(size_t node) {
  nodes[node].leadership->Resign(runner.Now());
}

Dispatcher* BatchFixture::DispatcherOf(size_t node) {
  return nodes[node].leadership->dispatcher();
}

int BatchFixture::Leader() const {
  for (size_t n = 0; n < nodes.size(); ++n) {
    if (nodes[n].lease && nodes[n].lease->is_leader())
      return static_cast<int>(n);
  }
  return -1;
}

void BatchFixture::TickNode(Node& node) {
  const TimePoint now = runner.Now();
  node.control->Tick(now);
  node.lease->Tick(now, node.control->answering_since(),
                   node.control->answered_at());
  node.leadership->Update(now);
  if (Dispatcher* const dispatcher = node.leadership->dispatcher()) {
    dispatcher->OnWorkers(listed, now);
    dispatcher->ConfirmWorkers(now);
  }
  node.leadership->Tick(now);
}

void BatchFixture::Run(Duration duration) {
  for (Duration passed{0}; passed < duration; passed += kStep) {
    for (WorkerEntry& it : listed) {
      if (workers.crashes() > 0 && workers.IsUp(it.id))
        it.incarnation_start_wall_ms =
            workers.entry(it.id).incarnation_start_wall_ms;
    }
    if (follows_site && !store.faults().refuse)
      site.Confirm(runner.Now());
    for (Node& it : nodes) {
      if (it.lease && !it.paused)
        TickNode(it);
    }
    runner.Advance(kStep);
  }
}

CallerContext BatchFixture::Caller(const std::string& path) const {
  return {"desk.example", path, key, runner.Now() + kPatience};
}

CallAnswer BatchFixture::Submit(const std::string& id,
                                JobSpec spec,
                                const std::string& queue) {
  std::optional<CallAnswer> answer;
  frontend.Submit(Caller(queue + id), std::move(spec),
                  [&](CallAnswer it) { answer = std::move(it); });
  while (!answer)
    Run(kStep);
  return *answer;
}

CallAnswer BatchFixture::Cancel(const std::string& id) {
  std::optional<CallAnswer> answer;
  frontend.Cancel(Caller("/plans/" + id),
                  [&](CallAnswer it) { answer = std::move(it); });
  while (!answer)
    Run(kStep);
  return *answer;
}

CallAnswer BatchFixture::State(const std::string& id) {
  std::optional<CallAnswer> answer;
  frontend.State(Caller("/plans/" + id),
                 [&](CallAnswer it) { answer = std::move(it); });
  while (!answer)
    Run(kStep);
  return *answer;
}

CallAnswer BatchFixture::Pending(size_t node, const std::string& queue) {
  nodes[node].load->Update(nodes[node].lease->report(), runner.Now());
  std::optional<CallAnswer> answer;
  nodes[node].frontend->Pending(Caller(queue),
                                [&](const CallAnswer& it) { answer = it; });
  while (!answer)
    Run(kStep);
  return *answer;
}

JobPhase BatchFixture::RunUntilFinal(const std::string& id, Duration limit) {
  const TimePoint end = runner.Now() + limit;
  JobPhase phase = JobPhase::kQueued;
  while (runner.Now() < end) {
    Run(Duration(100));
    const CallAnswer answer = State(id);
    if (answer.outcome != CallOutcome::kFound)
      continue;
    phase = answer.phase;
    if (phase != JobPhase::kQueued && phase != JobPhase::kRunning)
      return phase;
  }
  return phase;
}

LeaderFixture::LeaderFixture(int racks, int workers_a_rack)
    : BatchFixture(racks, workers_a_rack) {
  AddNode("n1");
  Run(Duration(1'500));
}

TaskId Task(const std::string& job, int index) {
  return {JobId(job), 0, 0, index};
}

}  // namespace quetzalshelf::batch
