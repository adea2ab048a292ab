// The charts that the decision core drives, with the names it uses resolved
// once.

#ifndef SERVERS_SCHEDULING_CHARTS_H_
#define SERVERS_SCHEDULING_CHARTS_H_

#include "core/state_chart.h"

namespace quetzalshelf::scheduling {

enum class JobEvent {
  kStart,
  kStarted,
  kStartFailed,
  kFinished,
  kStop,
  kStopped,
  kLost,
  kCancel,
  kFail,
  kRefuse,
};
enum class JobState {
  kWaiting,
  kStarting,
  kRunning,
  kStopping,
  kCancelling,
  kFailing,
  kFinished,
  kCancelled,
  kRefused,
  kFailed,
};

enum class GangEvent { kStart, kStarted, kSave, kSaved, kStop, kEnded };
enum class GangState { kIdle, kStarting, kRunning, kSaving, kStopping };

enum class WorkerEvent { kAdd, kLose, kSuspect, kProbe, kClear };
enum class WorkerState {
  kUnknown,
  kInService,
  kProbation,
  kProbing,
  kLost,
  kLostOnProbation,
};

enum class DomainEvent { kLeave, kReturn, kSettle };
enum class DomainState { kInService, kOut, kReturning };

// A chart whose states and events have been matched to two enumerations.
template <typename State, typename Event>
class TypedChart {
 public:
  // `states` and `events` name the enumerators in order.
  TypedChart(const char* text,
             const char* file,
             const std::vector<std::string>& states,
             const std::vector<std::string>& events,
             Findings& findings)
      : chart_(StateChart::Parse(text, file, findings)) {
    Check(states, chart_.states(), "state", file, findings);
    Check(events, chart_.events(), "event", file, findings);
  }

  State initial() const { return static_cast<State>(chart_.initial()); }
  // Moves `state` on. Returns false, and leaves it, when it ignores the event.
  bool Fire(State& state, Event event) const {
    const int next =
        chart_.Next(static_cast<int>(state), static_cast<int>(event));
    if (next == StateChart::kNone)
      return false;
    state = static_cast<State>(next);
    return true;
  }
  bool IsFinal(State state) const {
    return chart_.IsFinal(static_cast<int>(state));
  }

 private:
  static void Check(const std::vector<std::string>& expected,
                    const std::vector<std::string>& declared,
                    const char* what,
                    const char* file,
                    Findings& findings) {
    if (expected == declared)
      return;
    std::string names;
    for (const std::string& it : expected)
      names += (names.empty() ? "" : ", ") + it;
    findings.Add({file, 1, std::string(what) + "s"},
                 "the chart must declare the " + std::string(what) + "s " +
                     names + ", in this order");
  }

  StateChart chart_;
};

struct Charts {
  TypedChart<JobState, JobEvent> job;
  TypedChart<GangState, GangEvent> gang;
  TypedChart<WorkerState, WorkerEvent> worker;
  TypedChart<DomainState, DomainEvent> domain;

  // Reads the embedded charts, the one of tasks too, and checks them together.
  // The texts are part of the program, so a fault ends it with all findings.
  static Charts LoadEmbedded();
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_CHARTS_H_
