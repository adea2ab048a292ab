// Random series of faults that overlap, injected from outside the programs.

#ifndef TESTS_SOAK_SOAK_FAULTS_H_
#define TESTS_SOAK_SOAK_FAULTS_H_

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "core/random.h"
#include "drivers/http/asio_task_runner.h"
#include "tests/soak/entry_process.h"
#include "tests/soak/soak_fleet.h"

namespace quetzalshelf::soak {

class SoakFaults {
 public:
  using Nodes = std::vector<std::unique_ptr<EntryProcess>>;

  // Each fault is written to `log` with the time since `began`. `kinds` names
  // those to inject; empty: all.
  SoakFaults(asio::io_context& io,
             SoakFleet& fleet,
             Nodes& nodes,
             const std::vector<std::string>& kinds,
             uint64_t seed,
             std::ostream& log);

  static bool IsKind(const std::string& name);

  // Injects one fault, which ends by itself after a while.
  void InjectOne(TimePoint now);
  // Whether some fault has not ended yet.
  bool HasOpenFaults() const;
  // Ends all faults and starts what is down.
  void EndAll();

 private:
  struct Kind {
    const char* name;
    void (SoakFaults::*inject)(TimePoint now);
  };

  EntryProcess& AnyNode() { return *nodes_[random_.Below(nodes_.size())]; }
  FaultProxy& AnyProxy();
  size_t AnyWorker() { return random_.Below(fleet_.worker_count()); }
  Duration Length(int64_t least_ms, int64_t most_ms);
  // Runs `end` after `length`, or earlier when all faults are ended.
  void EndAfter(Duration length, std::function<void()> end);

  void KillNode(TimePoint now);
  void KillLeader(TimePoint now);
  void KillAllNodes(TimePoint now);
  void TerminateNode(TimePoint now);
  void PauseNode(TimePoint now);
  void ReloadNode(TimePoint now);
  void DelayLink(TimePoint now);
  void HoldCalls(TimePoint now);
  void HoldAnswers(TimePoint now);
  void RefuseLink(TimePoint now);
  void ResetLink(TimePoint now);
  void RefuseStore(TimePoint now);
  void SlowStore(TimePoint now);
  void LoseCommitAnswers(TimePoint now);
  void DelayCommits(TimePoint now);
  void SilenceFeeds(TimePoint now);
  void DropHistory(TimePoint now);
  void SilenceWorker(TimePoint now);
  void DelayOrders(TimePoint now);
  void FailTasks(TimePoint now);
  void HaltTasks(TimePoint now);
  void RefuseStarts(TimePoint now);
  void RestartWorker(TimePoint now);
  void UnlistWorker(TimePoint now);
  void DrainWorker(TimePoint now);
  void EvacuateDomain(TimePoint now);
  void ChangeConfig(TimePoint now);

  static const Kind kKinds[];

  AsioTaskRunner runner_;
  SoakFleet& fleet_;
  Nodes& nodes_;
  Random random_;
  std::ostream& log_;
  std::vector<const Kind*> kinds_;
  TimePoint began_;
  // Ends of faults that are still in force; emptied when one has run.
  std::vector<std::shared_ptr<std::function<void()>>> ends_;
};

}  // namespace quetzalshelf::soak

#endif  // TESTS_SOAK_SOAK_FAULTS_H_
