// Watches how long gangs wait although their workspace's guarantees cover
// them.

#ifndef BENCH_GUARANTEE_WATCH_H_
#define BENCH_GUARANTEE_WATCH_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "bench/guarantee_book.h"
#include "core/ids.h"
#include "core/time.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::bench {

// A covered gang that waited too long.
struct GuaranteeViolation {
  JobId job;
  TimePoint covered_since;
};

class GuaranteeWatch {
 public:
  // Space that guarantees could use.
  struct Space {
    std::vector<scheduling::Worker> empty;  // Workers in service, whole.
    // The same workers without what running guaranteed gangs hold.
    std::vector<scheduling::Worker> rest;
  };
  using SpaceSource = std::function<Space()>;

  GuaranteeWatch(const std::vector<scheduling::Workspace>& workspaces,
                 Duration start_latency,
                 SpaceSource space);

  // The gang waits from now on.
  void Wait(const scheduling::Job& job, TimePoint now);
  // The gang starts, which takes up its workspace's quota and, if guaranteed,
  // its guarantees.
  void Hold(const scheduling::Job& job,
            bool guaranteed,
            const std::vector<const scheduling::Worker*>& workers);
  // The gang runs, stops, or its job has ended: it waits no longer.
  void Leave(const scheduling::Job& job);
  // The gang holds nothing any more.
  void Release(const scheduling::Job& job);
  // Capacity was lost; every gang that waits has a new deadline.
  void RestartClocks(TimePoint now);

  // Charges a running gang to its workspace's guarantees, if they cover it, or
  // ends the charge. Returns whether the charge is as wanted.
  bool SetCharged(const scheduling::Job& job,
                  bool charged,
                  const std::vector<const scheduling::Worker*>& workers);
  // Workspaces with a covered gang that has waited half of the time allowed.
  std::vector<WorkspaceId> Pressed(TimePoint now) const;

  // Whether a gang that starts to run now comes too late. A violation is
  // reported once.
  std::optional<GuaranteeViolation> CheckStarted(const scheduling::Job& job,
                                                 TimePoint now);
  std::vector<GuaranteeViolation> Check(TimePoint now);

  // Jobs of the workspace that hold nothing and have not ended.
  size_t QueueLength(const WorkspaceId& workspace) const;
  const scheduling::Workspace* Find(const WorkspaceId& workspace) const;

 private:
  struct Entry {
    const scheduling::Job* job = nullptr;
    bool queued = true;  // False while starting.
    TimePoint waiting_since;
    bool evaluated = false;  // `covered` was evaluated since then.
    bool covered = false;
    bool reported = false;
    TimePoint covered_since;
  };
  struct State {
    scheduling::Workspace workspace;
    GuaranteeBook book;
    Accelerators used;
    bool changed = true;  // The cover of waiting gangs may differ.
    std::map<JobId, Entry> not_started;
  };

  static void UpdateCover(State& state, TimePoint now);
  Duration Limit(const State& state) const;
  bool Violated(const State& state, Entry& entry, TimePoint now);
  bool GuaranteesCanBeHeld();

  Duration start_latency_;
  SpaceSource space_;
  std::map<WorkspaceId, State> states_;
};

}  // namespace quetzalshelf::bench

#endif  // BENCH_GUARANTEE_WATCH_H_
