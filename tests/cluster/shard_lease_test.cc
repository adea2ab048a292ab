#include "servers/cluster/shard_lease.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <absl/strings/str_cat.h>

#include "drivers/clock/manual_task_runner.h"
#include "drivers/platform/memory_table.h"
#include "servers/cluster/rendezvous.h"
#include "servers/cluster/store_gate.h"

namespace quetzalshelf::cluster {

namespace {

struct Node;

// Nodes that reach each other at once, or not at all.
struct Network : PeerPort {
  explicit Network(ManualTaskRunner& the_runner) : runner(the_runner) {}

  void Heartbeat(const PeerAddress& peer,
                 const PeerHeartbeat& heartbeat,
                 HeartbeatCallback done) override;
  void FetchSettings(const PeerAddress&, SettingsCallback) override {}
  void Forward(const PeerAddress&,
               const ForwardedCall&,
               ForwardCallback) override {}

  ManualTaskRunner& runner;
  std::map<NodeId, Node*> nodes;
};

MemberRow MakeRow(const std::string& name, int incarnation) {
  MemberRow row;
  row.address.node = NodeId(name);
  row.address.host = "10.0.0.1";
  row.incarnation = IncarnationId(absl::StrCat(name, ".", incarnation));
  row.region = RegionId("r");
  row.domain = DomainId("d");
  return row;
}

struct Node {
  Node(ManualTaskRunner& runner,
       MemoryTable& table,
       Network& network,
       const std::string& name,
       int incarnation)
      : id(name),
        gate(table, runner, {}, static_cast<uint64_t>(incarnation)),
        committer(gate,
                  runner,
                  IncarnationId(absl::StrCat(name, ".", incarnation)),
                  {},
                  static_cast<uint64_t>(incarnation)),
        membership(gate,
                   committer,
                   network,
                   runner,
                   MakeRow(name, incarnation),
                   {},
                   static_cast<uint64_t>(incarnation)),
        lease(RegionId("r"),
              gate,
              committer,
              membership,
              runner,
              [this] { return gate.reachable(); },
              {}) {}

  void Tick(TimePoint now) {
    gate.Tick(now);
    committer.Tick(now);
    membership.SetStoreReachable(gate.reachable());
    membership.Tick(now);
    lease.Tick(now);
  }

  NodeId id;
  StoreGate gate;
  Committer committer;
  Membership membership;
  ShardLease lease;
  bool paused = false;
};

void Network::Heartbeat(const PeerAddress& peer,
                        const PeerHeartbeat& heartbeat,
                        HeartbeatCallback done) {
  runner.Post([this, to = peer.node, heartbeat, done = std::move(done)] {
    auto it = nodes.find(to);
    if (it == nodes.end() || it->second->paused)
      done(absl::UnavailableError("not reached"));
    else
      done(it->second->membership.OnHeartbeat(heartbeat, runner.Now()));
  });
}

struct Cluster {
  explicit Cluster(int size) {
    for (int i = 0; i < size; ++i)
      Start(i);
  }

  void Start(int index) {
    const std::string name = absl::StrCat("n", index);
    network.nodes.erase(NodeId(name));
    nodes[index].reset();
    nodes[index] =
        std::make_unique<Node>(runner, table, network, name, ++incarnations);
    network.nodes[NodeId(name)] = nodes[index].get();
  }
  void Kill(int index) {
    network.nodes.erase(NodeId(absl::StrCat("n", index)));
    nodes[index].reset();
  }
  void Run(Duration time) {
    for (Duration passed{0}; passed < time; passed += Duration(100)) {
      for (auto& [index, node] : nodes) {
        if (node && !node->paused)
          node->Tick(runner.Now());
      }
      runner.Advance(Duration(100));
      Check();
    }
  }
  // At most one node may act, and an epoch belongs to one incarnation.
  void Check() {
    int acting = 0;
    for (auto& [index, node] : nodes) {
      if (!node || !node->lease.MayAct(runner.Now()))
        continue;
      ++acting;
      const auto [it, fresh] = users.emplace(
          node->lease.epoch(), node->membership.self().incarnation);
      violations += it->second == node->membership.self().incarnation ? 0 : 1;
    }
    violations += acting > 1 ? 1 : 0;
    gap = acting == 0 ? gap + Duration(100) : Duration(0);
  }
  Node* Holder() {
    for (auto& [index, node] : nodes) {
      if (node && node->lease.MayAct(runner.Now()))
        return node.get();
    }
    return nullptr;
  }

  ManualTaskRunner runner;
  MemoryTable table{runner};
  Network network{runner};
  std::map<int, std::unique_ptr<Node>> nodes;
  std::map<Epoch, IncarnationId> users;
  int incarnations = 0;
  int violations = 0;
  Duration gap{0};  // How long nobody may act.
};

}  // namespace

TEST_CASE("rendezvous hashing moves only the keys of a node that leaves") {
  const std::vector<NodeId> all{NodeId("a"), NodeId("b"), NodeId("c")};
  const std::vector<NodeId> without{NodeId("c"), NodeId("a")};
  int moved = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string key = absl::StrCat("shard/", i);
    const auto before = RendezvousOwner(key, all);
    const auto after = RendezvousOwner(key, without);
    if (before != NodeId("b"))
      CHECK(before == after);
    else
      ++moved;
  }
  CHECK(moved > 50);
  CHECK_FALSE(RendezvousOwner("k", {}).has_value());
}

TEST_CASE("a killed owner is followed with a higher epoch after 12 s") {
  Cluster cluster(3);
  cluster.Run(Duration(10'000));
  Node* holder = cluster.Holder();
  REQUIRE(holder != nullptr);
  const Epoch epoch = holder->lease.epoch();
  cluster.Kill(holder->id.value()[1] - '0');
  cluster.Run(Duration(8'000));
  CHECK(cluster.Holder() == nullptr);
  cluster.Run(Duration(12'000));
  REQUIRE(cluster.Holder() != nullptr);
  CHECK(cluster.Holder()->lease.epoch() > epoch);
  CHECK(cluster.violations == 0);
}

TEST_CASE(
    "an owner that wakes after its lease ended renews at its epoch first") {
  Cluster cluster(3);
  cluster.Run(Duration(10'000));
  Node* holder = cluster.Holder();
  const Epoch epoch = holder->lease.epoch();
  holder->paused = true;
  while (holder->lease.MayAct(cluster.runner.Now()))
    cluster.Run(Duration(100));
  holder->paused = false;
  holder->Tick(cluster.runner.Now());
  CHECK_FALSE(holder->lease.MayAct(cluster.runner.Now()));
  cluster.Run(Duration(1'000));
  CHECK(cluster.Holder() == holder);
  CHECK(holder->lease.epoch() == epoch);
  CHECK(cluster.violations == 0);
}

TEST_CASE("a planned stop hands the shard over within seconds") {
  Cluster cluster(3);
  cluster.Run(Duration(20'000));
  Node* holder = cluster.Holder();
  std::optional<bool> done;
  holder->membership.Leave(cluster.runner.Now());
  holder->lease.HandOver([&](bool ok) { done = ok; }, cluster.runner.Now());
  CHECK_FALSE(holder->lease.MayAct(cluster.runner.Now()));
  cluster.Run(Duration(2'500));
  CHECK(done == true);
  REQUIRE(cluster.Holder() != nullptr);
  CHECK(cluster.Holder() != holder);
  CHECK(cluster.violations == 0);
}

TEST_CASE("store down: task leases go on while every peer confirms it") {
  Cluster cluster(3);
  cluster.Run(Duration(20'000));
  Node* holder = cluster.Holder();
  cluster.table.faults().down = true;
  cluster.Run(Duration(60'000));
  CHECK_FALSE(holder->lease.MayAct(cluster.runner.Now()));
  CHECK(holder->lease.MayRenewTasks(cluster.runner.Now()));
  // A higher epoch at any peer ends it.
  for (auto& [index, node] : cluster.nodes) {
    if (node.get() != holder)
      node->membership.NoteEpoch(RegionId("r"), Epoch(99));
  }
  cluster.Run(Duration(5'000));
  CHECK_FALSE(holder->lease.MayRenewTasks(cluster.runner.Now()));
}

TEST_CASE("an outage of the store makes no node a dead member") {
  Cluster cluster(3);
  cluster.Run(Duration(20'000));
  cluster.table.faults().down = true;
  cluster.Run(Duration(120'000));
  cluster.table.faults().down = false;
  for (int i = 0; i < 40; ++i) {
    cluster.Run(Duration(500));
    CHECK(cluster.nodes[0]->membership.Live(cluster.runner.Now()).size() == 3);
  }
  cluster.Kill(2);
  cluster.Run(Duration(25'000));
  CHECK(cluster.nodes[0]->membership.Live(cluster.runner.Now()).size() == 2);
}

namespace {

struct Model {};

struct Step : rc::state::Command<Model, Cluster> {
  int kind = *rc::gen::inRange(0, 12);
  int argument = *rc::gen::inRange(0, 100);

  void apply(Model& /*model*/) const override {}
  void run(const Model& /*model*/, Cluster& cluster) const override {
    std::unique_ptr<Node>& node = cluster.nodes[argument % 3];
    StoreFaults& faults = cluster.table.faults();
    if (kind == 0 && node)
      node->paused = !node->paused;
    else if (kind == 1)
      cluster.Kill(argument % 3);
    else if (kind == 2)
      cluster.Start(argument % 3);
    else if (kind == 3)
      faults.down = argument % 2 == 0;
    else if (kind == 4)
      faults.lose_answers += 1;
    else if (kind == 5)
      faults.late_commits += 1;
    else if (kind == 6)
      faults.slow = Duration(argument * 30);
    else if (kind == 7 && node)
      node->lease.HandOver([](bool) {}, cluster.runner.Now());
    else if (kind == 8 && node)
      node->lease.StepDown();
    cluster.Run(Duration(argument * 150));
    RC_ASSERT(cluster.violations == 0);
  }
  void show(std::ostream& os) const override {
    os << "Step(" << kind << ", " << argument << ")";
  }
};

}  // namespace

TEST_CASE("random faults: one owner at a time, and one at last") {
  const bool held = rc::check("ownership under random faults", [] {
    Cluster cluster(3);
    rc::state::check(Model(), cluster,
                     rc::state::gen::execOneOfWithArgs<Step>());
    cluster.table.faults() = {};
    for (int i = 0; i < 3; ++i) {
      if (!cluster.nodes[i])
        cluster.Start(i);
      cluster.nodes[i]->paused = false;
    }
    cluster.Run(Duration(120'000));
    RC_ASSERT(cluster.violations == 0);
    RC_ASSERT(cluster.Holder() != nullptr);
  });
  CHECK(held);
}

}  // namespace quetzalshelf::cluster
