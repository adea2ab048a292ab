#include "drivers/platform/memory_vm_list.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace quetzalshelf {

namespace {

// One change of the list; without `vm`, a removal.
struct Change {
  TimePoint listed_at;
  std::string name;
  std::optional<Vm> vm;
};

}  // namespace

// Outlives the list while delayed calls hold it.
struct MemoryVmList::State {
  State(TaskRunner& the_runner, const Clock& the_clock)
      : runner(the_runner), clock(the_clock) {}

  void Record(const std::string& name, std::optional<Vm> vm) {
    if (vm)
      present[name] = *vm;
    else
      present.erase(name);
    TimePoint listed_at = clock.Now() + faults.lag;
    if (!changes.empty())
      listed_at = std::max(listed_at, changes.back().listed_at);
    changes.push_back({listed_at, name, std::move(vm)});
  }

  // Takes over the changes whose lag has passed.
  void CatchUp() {
    while (!changes.empty() && changes.front().listed_at <= clock.Now()) {
      const Change& change = changes.front();
      if (change.vm)
        listed[change.name] = *change.vm;
      else
        listed.erase(change.name);
      changes.pop_front();
    }
  }

  absl::StatusOr<std::vector<Vm>> Listed() {
    if (faults.down)
      return absl::UnavailableError("the VM list is down");
    CatchUp();
    std::vector<Vm> vms;
    for (const auto& [name, vm] : listed)
      vms.push_back(vm);
    return vms;
  }

  TaskRunner& runner;
  const Clock& clock;
  VmListFaults faults;
  std::map<std::string, Vm> present;
  std::map<std::string, Vm> listed;
  std::deque<Change> changes;
};

MemoryVmList::MemoryVmList(TaskRunner& runner, const Clock& clock)
    : state_(std::make_shared<State>(runner, clock)) {}

MemoryVmList::~MemoryVmList() = default;

void MemoryVmList::List(ListCallback done) {
  state_->runner.PostAfter(
      state_->faults.slow,
      [state = state_, done = std::move(done)] { done(state->Listed()); });
}

void MemoryVmList::Put(const Vm& vm) {
  state_->Record(vm.name, vm);
}

absl::Status MemoryVmList::SetState(const std::string& name, VmState state) {
  const auto it = state_->present.find(name);
  if (it == state_->present.end())
    return absl::NotFoundError("no VM " + name);
  Vm vm = it->second;
  vm.state = state;
  state_->Record(name, std::move(vm));
  return absl::OkStatus();
}

absl::Status MemoryVmList::Remove(const std::string& name) {
  if (!state_->present.contains(name))
    return absl::NotFoundError("no VM " + name);
  state_->Record(name, std::nullopt);
  return absl::OkStatus();
}

VmListFaults& MemoryVmList::faults() {
  return state_->faults;
}

}  // namespace quetzalshelf
