// State charts that are written as YAML and interpreted. A chart names its
// states and events; every state says for every event where it leads or that
// it is ignored, so that an unplanned combination is found when it is loaded.

#ifndef CORE_STATE_CHART_H_
#define CORE_STATE_CHART_H_

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "core/finding.h"

namespace quetzalshelf {

class StateChart {
 public:
  // Position of a state or event in the order of declaration.
  using State = int;
  using Event = int;
  static constexpr int kNone = -1;

  // Parses and checks a chart. Adds every fault to `findings`; the chart may
  // be used only when there is none.
  static StateChart Parse(std::string_view text,
                          const std::string& file,
                          Findings& findings);
  // As Parse(), with all faults in one kInvalidArgument status.
  static absl::StatusOr<StateChart> Load(std::string_view text,
                                         const std::string& file);

  const std::string& name() const { return name_; }
  State initial() const { return initial_; }
  const std::vector<std::string>& states() const { return states_; }
  const std::vector<std::string>& events() const { return events_; }

  // kNone when the chart does not declare the name.
  State FindState(std::string_view name) const;
  Event FindEvent(std::string_view name) const;
  bool IsFinal(State state) const { return final_[Index(state)]; }
  // The state after `event`, or kNone when `state` ignores it.
  State Next(State state, Event event) const {
    return next_[Index(state) * events_.size() + Index(event)];
  }

 private:
  friend class StateChartParser;
  static size_t Index(int value) { return static_cast<size_t>(value); }

  std::string name_;
  State initial_ = kNone;
  std::vector<std::string> states_;
  std::vector<std::string> events_;
  std::vector<bool> final_;
  std::vector<State> next_;  // By state, then event.
};

}  // namespace quetzalshelf

#endif  // CORE_STATE_CHART_H_
