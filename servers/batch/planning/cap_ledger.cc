#include "servers/batch/planning/cap_ledger.h"

#include <algorithm>

namespace quetzalshelf::batch {

namespace {

int64_t ExcessOf(int64_t used, int64_t cap) {
  return cap <= 0 ? 0 : std::max<int64_t>(0, used - cap);
}

Resources Scale(const Resources& amount, double share) {
  const auto scaled = [share](int64_t value) {
    return static_cast<int64_t>(static_cast<double>(value) * share);
  };
  return {Accelerators(scaled(amount.accelerators.value())),
          MilliCores(scaled(amount.cpu.value())),
          Mebibytes(scaled(amount.memory.value()))};
}

}  // namespace

CapLedger::CapLedger(const std::vector<WorkspaceConfig>& workspaces) {
  for (const WorkspaceConfig& it : workspaces)
    accounts_[it.name].cap = it.cap;
}

void CapLedger::Charge(const WorkspaceId& id, const Resources& amount) {
  if (const auto it = accounts_.find(id); it != accounts_.end())
    it->second.used += amount;
}

void CapLedger::Release(const WorkspaceId& id, const Resources& amount) {
  if (const auto it = accounts_.find(id); it != accounts_.end())
    it->second.used -= amount;
}

void CapLedger::Hold(const WorkspaceId& id, const Resources& amount) {
  if (const auto it = accounts_.find(id); it != accounts_.end())
    it->second.held += amount;
}

void CapLedger::ExpectEnd(const WorkspaceId& id, const Resources& amount) {
  if (const auto it = accounts_.find(id); it != accounts_.end())
    it->second.ending += amount;
}

bool CapLedger::IsCapped(const WorkspaceId& id) const {
  const auto it = accounts_.find(id);
  return it != accounts_.end() && it->second.cap != Resources();
}

int CapLedger::CountFits(const WorkspaceId& id,
                         const Resources& each,
                         double kept_share) const {
  const auto it = accounts_.find(id);
  if (it == accounts_.end())
    return kUnlimitedTasks;
  const Account& account = it->second;
  return CountTasksIn(
      Scale(account.cap, 1 - kept_share) - account.used - account.held,
      account.cap, each);
}

Resources CapLedger::Excess(const WorkspaceId& id,
                            const Resources& amount) const {
  const auto it = accounts_.find(id);
  if (it == accounts_.end())
    return {};
  const Account& account = it->second;
  const Resources later = account.used + account.held + amount - account.ending;
  return {
      Accelerators(ExcessOf(later.accelerators.value(),
                            account.cap.accelerators.value())),
      MilliCores(ExcessOf(later.cpu.value(), account.cap.cpu.value())),
      Mebibytes(ExcessOf(later.memory.value(), account.cap.memory.value()))};
}

Resources CapLedger::used(const WorkspaceId& id) const {
  const auto it = accounts_.find(id);
  return it == accounts_.end() ? Resources() : it->second.used;
}

Resources CapLedger::cap(const WorkspaceId& id) const {
  const auto it = accounts_.find(id);
  return it == accounts_.end() ? Resources() : it->second.cap;
}

std::string CapLedger::Describe(const WorkspaceId& id,
                                const Resources& amount) const {
  const auto it = accounts_.find(id);
  if (it == accounts_.end())
    return {};
  const Resources& cap = it->second.cap;
  const Resources& used = it->second.used;
  std::string text;
  const auto add = [&text](int64_t in_use, int64_t limit, int64_t more,
                           const char* unit) {
    if (limit <= 0 || in_use + more <= limit)
      return;
    text += (text.empty() ? "" : ", ") + std::to_string(in_use) + " of " +
            std::to_string(limit) + unit;
  };
  add(used.accelerators.value(), cap.accelerators.value(),
      amount.accelerators.value(), " accelerators");
  add(used.cpu.value(), cap.cpu.value(), amount.cpu.value(), " millicores");
  add(used.memory.value(), cap.memory.value(), amount.memory.value(),
      " MiB of memory");
  return text;
}

}  // namespace quetzalshelf::batch
