#include "core/state_chart.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <yaml-cpp/yaml.h>

namespace quetzalshelf {

namespace {

int Find(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? StateChart::kNone
                           : static_cast<int>(it - names.begin());
}

}  // namespace

// Reads one chart; collects every fault with its line.
class StateChartParser {
 public:
  StateChartParser(const std::string& file, Findings& findings)
      : file_(file), findings_(findings) {}

  StateChart Run(std::string_view text) {
    YAML::Node root;
    try {
      root = YAML::Load(std::string(text));
      ReadRoot(root);
    } catch (const YAML::Exception& e) {
      findings_.Add({file_, e.mark.line + 1, ""}, e.msg);
    }
    return std::move(chart_);
  }

 private:
  void Fault(const YAML::Node& node,
             const std::string& path,
             const std::string& message) {
    const int line = node.IsDefined() ? node.Mark().line + 1 : 1;
    findings_.Add({file_, std::max(line, 1), path}, message);
  }

  void ReadRoot(const YAML::Node& root) {
    if (!root.IsMap()) {
      Fault(root, "", "a chart must be a map");
      return;
    }
    for (const auto& it : root) {
      const std::string key = it.first.as<std::string>("");
      if (key != "chart" && key != "initial" && key != "events" &&
          key != "states")
        Fault(it.first, key, "unknown field");
    }
    if (const YAML::Node name = root["chart"]; name && name.IsScalar())
      chart_.name_ = name.as<std::string>();
    else
      Fault(root, "chart", "the chart has no name");
    ReadEvents(root);
    const YAML::Node states = root["states"];
    if (!states || !states.IsMap() || states.size() == 0) {
      Fault(states ? states : root, "states", "the chart declares no states");
      return;
    }
    DeclareStates(states);
    for (const auto& it : states)
      ReadState(it.first, it.second);
    ReadInitial(root);
    CheckReachable(states);
  }

  void ReadEvents(const YAML::Node& root) {
    const YAML::Node events = root["events"];
    if (!events || !events.IsSequence()) {
      Fault(events ? events : root, "events", "the chart declares no events");
      return;
    }
    for (const YAML::Node& it : events) {
      const std::string name = it.as<std::string>("");
      if (name.empty())
        Fault(it, "events", "an event must have a name");
      else if (chart_.FindEvent(name) != StateChart::kNone)
        Fault(it, "events", "event \"" + name + "\" is declared twice");
      else
        chart_.events_.push_back(name);
    }
  }

  void DeclareStates(const YAML::Node& states) {
    for (const auto& it : states) {
      const std::string name = it.first.as<std::string>("");
      if (chart_.FindState(name) != StateChart::kNone)
        Fault(it.first, "states", "state \"" + name + "\" is declared twice");
      else
        chart_.states_.push_back(name);
    }
    chart_.final_.assign(chart_.states_.size(), false);
    chart_.next_.assign(chart_.states_.size() * chart_.events_.size(),
                        StateChart::kNone);
  }

  void ReadState(const YAML::Node& key, const YAML::Node& node) {
    const std::string name = key.as<std::string>("");
    const std::string path = "states/" + name;
    const int state = chart_.FindState(name);
    if (!node.IsMap()) {
      Fault(key, path, "a state must be a map");
      return;
    }
    for (const auto& it : node) {
      const std::string field = it.first.as<std::string>("");
      if (field != "on" && field != "ignore" && field != "final")
        Fault(it.first, path, "unknown field \"" + field + "\"");
    }
    const bool final = node["final"] && node["final"].as<bool>(false);
    chart_.final_[StateChart::Index(state)] = final;
    std::vector<bool> seen(chart_.events_.size(), false);
    ReadTransitions(node["on"], path + "/on", state, seen);
    ReadIgnored(node["ignore"], path + "/ignore", seen);
    for (size_t n = 0; n < seen.size(); ++n) {
      if (final && seen[n])
        Fault(key, path, "a final state must not name events");
      if (!final && !seen[n]) {
        Fault(key, path,
              "no transition for event \"" + chart_.events_[n] +
                  "\", which is not ignored either");
      }
    }
  }

  void ReadTransitions(const YAML::Node& on,
                       const std::string& path,
                       int state,
                       std::vector<bool>& seen) {
    if (!on)
      return;
    if (!on.IsMap()) {
      Fault(on, path, "transitions must be a map from event to state");
      return;
    }
    for (const auto& it : on) {
      const int event = SeeEvent(it.first, path, seen);
      const std::string target = it.second.as<std::string>("");
      const int next = chart_.FindState(target);
      if (next == StateChart::kNone)
        Fault(it.second, path, "state \"" + target + "\" is not declared");
      if (event == StateChart::kNone || next == StateChart::kNone)
        continue;
      chart_.next_[StateChart::Index(state) * chart_.events_.size() +
                   StateChart::Index(event)] = next;
    }
  }

  void ReadIgnored(const YAML::Node& ignore,
                   const std::string& path,
                   std::vector<bool>& seen) {
    if (!ignore)
      return;
    if (!ignore.IsSequence()) {
      Fault(ignore, path, "ignored events must be a list");
      return;
    }
    for (const YAML::Node& it : ignore)
      SeeEvent(it, path, seen);
  }

  int SeeEvent(const YAML::Node& node,
               const std::string& path,
               std::vector<bool>& seen) {
    const std::string name = node.as<std::string>("");
    const int event = chart_.FindEvent(name);
    if (event == StateChart::kNone) {
      Fault(node, path, "event \"" + name + "\" is not declared");
      return event;
    }
    if (seen[StateChart::Index(event)])
      Fault(node, path, "event \"" + name + "\" is named twice");
    seen[StateChart::Index(event)] = true;
    return event;
  }

  void ReadInitial(const YAML::Node& root) {
    const YAML::Node node = root["initial"];
    const std::string name = node ? node.as<std::string>("") : "";
    chart_.initial_ = chart_.FindState(name);
    if (chart_.initial_ == StateChart::kNone) {
      Fault(node ? node : root, "initial",
            "state \"" + name + "\" is not declared");
    }
  }

  void CheckReachable(const YAML::Node& states) {
    if (chart_.initial_ == StateChart::kNone)
      return;
    std::vector<bool> reached(chart_.states_.size(), false);
    std::vector<int> open = {chart_.initial_};
    reached[StateChart::Index(chart_.initial_)] = true;
    while (!open.empty()) {
      const int state = open.back();
      open.pop_back();
      for (size_t n = 0; n < chart_.events_.size(); ++n) {
        const int next = chart_.Next(state, static_cast<int>(n));
        if (next == StateChart::kNone || reached[StateChart::Index(next)])
          continue;
        reached[StateChart::Index(next)] = true;
        open.push_back(next);
      }
    }
    for (const auto& it : states) {
      const std::string name = it.first.as<std::string>("");
      if (!reached[StateChart::Index(chart_.FindState(name))])
        Fault(it.first, "states/" + name, "the state cannot be reached");
    }
  }

  const std::string& file_;
  Findings& findings_;
  StateChart chart_;
};

StateChart StateChart::Parse(std::string_view text,
                             const std::string& file,
                             Findings& findings) {
  return StateChartParser(file, findings).Run(text);
}

absl::StatusOr<StateChart> StateChart::Load(std::string_view text,
                                            const std::string& file) {
  Findings findings;
  StateChart chart = Parse(text, file, findings);
  if (!findings.empty())
    return findings.ToStatus();
  return chart;
}

StateChart::State StateChart::FindState(std::string_view name) const {
  return Find(states_, name);
}

StateChart::Event StateChart::FindEvent(std::string_view name) const {
  return Find(events_, name);
}

}  // namespace quetzalshelf
