// Data of the decision core: workspaces with their guarantees, workers, jobs,
// and the commands that the core gives.

#ifndef SERVERS_SCHEDULING_TYPES_H_
#define SERVERS_SCHEDULING_TYPES_H_

#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace quetzalshelf::scheduling {

// How close together the tasks of a gang or of a guaranteed shape must be.
enum class Adjacency { kWorker, kRack, kDomain, kRegion };

enum class Urgency { kUrgent, kNormal, kPatient };

// A group of equal tasks that are adjacent to each other.
struct Shape {
  int tasks = 1;
  Resources per_task;
  Adjacency adjacency = Adjacency::kRegion;

  friend bool operator==(const Shape&, const Shape&) = default;
};

// `count` shapes that a workspace can reclaim at any time.
struct Guarantee {
  Shape shape;
  int count = 1;
};

struct Workspace {
  WorkspaceId id;
  std::vector<Guarantee> guarantees;
  int weight = 1;  // Share of borrowed capacity, relative.
  int max_queued_jobs = 10'000;
  Accelerators quota;  // Most accelerators in use; 0 means no limit.
  // From the moment that a guaranteed gang waits until it must have started.
  Duration reclaim_deadline{30'000};
};

struct Worker {
  WorkerId id;
  DomainId domain;
  RackId rack;
  Resources capacity;
};

struct Job {
  JobId id;
  WorkspaceId workspace;
  // A label for measures. Learned run times are kept by workspace and kind, so
  // it may affect the order of waiting jobs, but never a promise.
  std::string kind;
  Shape gang;
  Urgency urgency = Urgency::kNormal;
  Duration declared_run_time{0};  // A hint that may be wrong; 0 is unknown.
  bool can_checkpoint = true;
  // When a stop comes without a new checkpoint, the work since the last one is
  // lost.
  int max_failures = 3;  // The job fails after that many failed attempts.
  // What is known from before this submission, when an owner rebuilds its
  // state: the next start uses the attempt after this one.
  Attempt last_attempt;
  Duration checkpointed{0};
};

// Which worker runs a task of a gang; the index in the vector is the task's.
using Placement = std::vector<WorkerId>;

enum class StopReason {
  kReclaimed,    // The owner of a guarantee wants the capacity.
  kReservation,  // A large gang waited long enough.
  kDomainOut,
  kWorkerLost,
  kCancelled,
  kTaskFailed,
  kStartFailed,
  kUrgent,
};

enum class RefusalReason {
  kNeverFits,  // No worker set, in or out of service, can hold it.
  kOverQuota,  // Larger than the workspace's quota.
  kQueueFull,
  kUnknownWorkspace,
  kDuplicateId,
  kInvalid,
  kTooManyFailures,
};

// Commands, in the order in which they must be carried out.

// Start all tasks as one gang.
struct StartGang {
  JobId job;
  Attempt attempt;
  Placement placement;
  bool guaranteed = false;  // Charged to the workspace's guarantee.
};

// Save a checkpoint and go on running.
struct CheckpointGang {
  JobId job;
  Attempt attempt;
};

struct ThrottleGang {
  JobId job;
  Attempt attempt;
  int percent = 100;  // Share of full speed.
};

// Stop all tasks of the gang. The core counts the capacity as taken until
// GangStopped comes in.
struct StopGang {
  JobId job;
  Attempt attempt;
  StopReason reason = StopReason::kCancelled;
};

// The job will never run; final.
struct RefuseJob {
  JobId job;
  RefusalReason reason = RefusalReason::kInvalid;
  std::string detail;  // A sentence for the caller.
};

using Command =
    std::variant<StartGang, CheckpointGang, ThrottleGang, StopGang, RefuseJob>;
using Commands = std::vector<Command>;

// A guaranteed shape that the workers in service cannot hold now.
struct UnsatisfiedGuarantee {
  WorkspaceId workspace;
  int guarantee = 0;  // Index in Workspace::guarantees.
  int missing = 0;    // Shapes of that guarantee without a home.
  std::string reason;
};

enum class JobPhase {
  kUnknown,
  kWaiting,
  kStarting,
  kRunning,
  kStopping,
  kFinished,
  kCancelled,
  kRefused,
  kFailed,
};

// Why a job is where it is, for people.
struct JobExplanation {
  JobPhase phase = JobPhase::kUnknown;
  std::string sentence;
  std::string remedy;  // What a change of settings could do; may be empty.
  // The gang is charged to its workspace's guarantee now. This may differ from
  // its start when a home was bound elsewhere meanwhile.
  bool guaranteed = false;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_TYPES_H_
