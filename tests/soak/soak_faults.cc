#include "tests/soak/soak_faults.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf::soak {

namespace {

constexpr Duration kUsualAnswerTime{2};
// Beyond the length of a lease, so that orders arrive after it.
constexpr Duration kLatestOrder{9'000};
constexpr Duration kLatestCommit{5'000};

}  // namespace

const SoakFaults::Kind SoakFaults::kKinds[] = {
    {"kill a node", &SoakFaults::KillNode},
    {"kill a node", &SoakFaults::KillNode},
    {"kill the leader", &SoakFaults::KillLeader},
    {"kill all nodes", &SoakFaults::KillAllNodes},
    {"terminate a node", &SoakFaults::TerminateNode},
    {"pause a node", &SoakFaults::PauseNode},
    {"pause a node", &SoakFaults::PauseNode},
    {"reload a node", &SoakFaults::ReloadNode},
    {"delay a link", &SoakFaults::DelayLink},
    {"hold calls of a link", &SoakFaults::HoldCalls},
    {"hold answers of a link", &SoakFaults::HoldAnswers},
    {"refuse connections of a link", &SoakFaults::RefuseLink},
    {"reset a link", &SoakFaults::ResetLink},
    {"refuse calls of the store", &SoakFaults::RefuseStore},
    {"slow the store", &SoakFaults::SlowStore},
    {"lose answers of commits", &SoakFaults::LoseCommitAnswers},
    {"delay commits", &SoakFaults::DelayCommits},
    {"silence the feeds", &SoakFaults::SilenceFeeds},
    {"drop the store's history", &SoakFaults::DropHistory},
    {"silence a worker", &SoakFaults::SilenceWorker},
    {"delay orders of a worker", &SoakFaults::DelayOrders},
    {"fail a worker's tasks", &SoakFaults::FailTasks},
    {"halt a worker's tasks", &SoakFaults::HaltTasks},
    {"refuse starts of a worker", &SoakFaults::RefuseStarts},
    {"restart a worker", &SoakFaults::RestartWorker},
    {"unlist a worker", &SoakFaults::UnlistWorker},
    {"drain a worker", &SoakFaults::DrainWorker},
    {"evacuate a failure domain", &SoakFaults::EvacuateDomain},
    {"change the configuration", &SoakFaults::ChangeConfig},
};

SoakFaults::SoakFaults(asio::io_context& io,
                       SoakFleet& fleet,
                       Nodes& nodes,
                       const std::vector<std::string>& kinds,
                       uint64_t seed,
                       std::ostream& log)
    : runner_(io), fleet_(fleet), nodes_(nodes), random_(seed), log_(log) {
  for (const Kind& it : kKinds) {
    if (kinds.empty() || std::ranges::find(kinds, it.name) != kinds.end())
      kinds_.push_back(&it);
  }
}

bool SoakFaults::IsKind(const std::string& name) {
  return std::ranges::any_of(kKinds,
                             [&](const Kind& it) { return it.name == name; });
}

void SoakFaults::InjectOne(TimePoint now) {
  if (began_ == TimePoint())
    began_ = now;
  const Kind& kind = *kinds_[random_.Below(kinds_.size())];
  log_ << (now - began_).count() << " ms: " << kind.name << "\n";
  (this->*kind.inject)(now);
}

bool SoakFaults::HasOpenFaults() const {
  return std::ranges::any_of(ends_,
                             [](const auto& it) { return *it != nullptr; });
}

void SoakFaults::EndAll() {
  for (const auto& it : std::exchange(ends_, {})) {
    if (*it)
      std::exchange(*it, nullptr)();
  }
}

Duration SoakFaults::Length(int64_t least_ms, int64_t most_ms) {
  return Duration(random_.Between(least_ms, most_ms));
}

void SoakFaults::EndAfter(Duration length, std::function<void()> end) {
  auto shared = std::make_shared<std::function<void()>>(std::move(end));
  ends_.push_back(shared);
  runner_.PostAfter(length, [shared] {
    if (*shared)
      std::exchange(*shared, nullptr)();
  });
}

FaultProxy& SoakFaults::AnyProxy() {
  switch (random_.Below(3)) {
    case 0:
      return AnyNode().caller_proxy();
    case 1:
      return AnyNode().store_proxy();
    default:
      return fleet_.worker_proxy(AnyWorker());
  }
}

void SoakFaults::KillNode(TimePoint now) {
  AnyNode().Kill(now, Length(0, 2'000));
}

void SoakFaults::KillLeader(TimePoint now) {
  const std::string leader = fleet_.Leader();
  for (const auto& it : nodes_) {
    if (it->name() == leader)
      it->Kill(now, Length(0, 1'000));
  }
}

void SoakFaults::KillAllNodes(TimePoint now) {
  for (const auto& it : nodes_)
    it->Kill(now, Length(0, 1'000));
}

void SoakFaults::TerminateNode(TimePoint now) {
  AnyNode().Terminate(now);
}

void SoakFaults::PauseNode(TimePoint) {
  EntryProcess& node = AnyNode();
  node.Pause();
  EndAfter(Length(200, 9'000), [&node] { node.Resume(); });
}

void SoakFaults::ReloadNode(TimePoint) {
  AnyNode().Reload();
}

void SoakFaults::DelayLink(TimePoint) {
  ProxyFaults& faults = AnyProxy().faults();
  faults.delay = Length(5, 400);
  EndAfter(Length(300, 4'000), [&faults] { faults.delay = Duration(0); });
}

void SoakFaults::HoldCalls(TimePoint) {
  ProxyFaults& faults = AnyProxy().faults();
  faults.holds_calls = true;
  EndAfter(Length(200, 6'000), [&faults] { faults.holds_calls = false; });
}

void SoakFaults::HoldAnswers(TimePoint) {
  ProxyFaults& faults = AnyProxy().faults();
  faults.holds_answers = true;
  EndAfter(Length(200, 6'000), [&faults] { faults.holds_answers = false; });
}

void SoakFaults::RefuseLink(TimePoint) {
  FaultProxy& proxy = AnyProxy();
  proxy.faults().refuses = true;
  proxy.ResetConnections();
  EndAfter(Length(200, 4'000), [&proxy] { proxy.faults().refuses = false; });
}

void SoakFaults::ResetLink(TimePoint) {
  AnyProxy().ResetConnections();
}

void SoakFaults::RefuseStore(TimePoint) {
  fleet_.store().faults().refuse = true;
  EndAfter(Length(200, 4'000),
           [this] { fleet_.store().faults().refuse = false; });
}

void SoakFaults::SlowStore(TimePoint) {
  fleet_.store().set_answer_time(Length(50, 600));
  EndAfter(Length(300, 4'000),
           [this] { fleet_.store().set_answer_time(kUsualAnswerTime); });
}

void SoakFaults::LoseCommitAnswers(TimePoint) {
  fleet_.store().faults().lose_commit_answers +=
      static_cast<int>(random_.Between(1, 6));
  EndAfter(Length(500, 3'000),
           [this] { fleet_.store().faults().lose_commit_answers = 0; });
}

void SoakFaults::DelayCommits(TimePoint) {
  MemoryStoreFaults& faults = fleet_.store().faults();
  faults.late_commits += static_cast<int>(random_.Between(1, 6));
  faults.lateness = Length(100, kLatestCommit.count());
  EndAfter(Length(500, 3'000), [&faults] { faults.late_commits = 0; });
}

void SoakFaults::SilenceFeeds(TimePoint) {
  fleet_.store().faults().silence_feeds = true;
  EndAfter(Length(300, 4'000),
           [this] { fleet_.store().faults().silence_feeds = false; });
}

void SoakFaults::DropHistory(TimePoint) {
  fleet_.store().DropHistory();
}

void SoakFaults::SilenceWorker(TimePoint) {
  ModelWorkerFaults& faults = fleet_.worker_faults(AnyWorker());
  faults.silent = true;
  EndAfter(Length(200, 8'000), [&faults] { faults.silent = false; });
}

void SoakFaults::DelayOrders(TimePoint) {
  ModelWorkerFaults& faults = fleet_.worker_faults(AnyWorker());
  faults.late_orders += static_cast<int>(random_.Between(1, 6));
  faults.lateness = Length(300, kLatestOrder.count());
  EndAfter(Length(500, 3'000), [&faults] { faults.late_orders = 0; });
}

void SoakFaults::FailTasks(TimePoint) {
  ModelWorkerFaults& faults = fleet_.worker_faults(AnyWorker());
  faults.fails_tasks = true;
  EndAfter(Length(300, 4'000), [&faults] { faults.fails_tasks = false; });
}

void SoakFaults::HaltTasks(TimePoint) {
  ModelWorkerFaults& faults = fleet_.worker_faults(AnyWorker());
  faults.stands_still = true;
  EndAfter(Length(300, 3'000), [&faults] { faults.stands_still = false; });
}

void SoakFaults::RefuseStarts(TimePoint) {
  ModelWorkerFaults& faults = fleet_.worker_faults(AnyWorker());
  faults.refuses = true;
  EndAfter(Length(300, 4'000), [&faults] { faults.refuses = false; });
}

void SoakFaults::RestartWorker(TimePoint) {
  fleet_.RestartWorker(AnyWorker());
}

void SoakFaults::UnlistWorker(TimePoint) {
  const size_t worker = AnyWorker();
  fleet_.SetListed(worker, false);
  EndAfter(Length(200, 5'000),
           [this, worker] { fleet_.SetListed(worker, true); });
}

void SoakFaults::DrainWorker(TimePoint) {
  const size_t worker = AnyWorker();
  fleet_.SetDraining(worker, true, Length(500, 3'000));
  EndAfter(Length(1'000, 5'000), [this, worker] {
    fleet_.RestartWorker(worker);
    fleet_.SetDraining(worker, false, Duration(0));
  });
}

void SoakFaults::EvacuateDomain(TimePoint) {
  const std::string domain = random_.Chance(0.5) ? "cartago" : "heredia";
  fleet_.SetEvacuated(domain, true);
  EndAfter(Length(500, 4'000),
           [this, domain] { fleet_.SetEvacuated(domain, false); });
}

void SoakFaults::ChangeConfig(TimePoint) {
  fleet_.ChangeConfig();
}

}  // namespace quetzalshelf::soak
