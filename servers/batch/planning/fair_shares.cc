#include "servers/batch/planning/fair_shares.h"

#include <algorithm>

namespace quetzalshelf::batch {

namespace {

constexpr double kDefaultWeight = 1;

double ShareOf(int64_t used, int64_t total) {
  return total <= 0 ? 0
                    : static_cast<double>(used) / static_cast<double>(total);
}

}  // namespace

FairShares::FairShares(const std::vector<WorkspaceConfig>& workspaces,
                       const Resources& total)
    : total_(total) {
  for (const WorkspaceConfig& it : workspaces) {
    if (it.weight <= 0)
      continue;
    weights_[it.name] = it.weight;
    has_weights_ = true;
  }
}

void FairShares::AddActive(const WorkspaceId& id) {
  if (active_.insert(id).second)
    active_weight_ += WeightOf(id);
}

double FairShares::DominantShare(const Resources& used) const {
  return std::max(
      {ShareOf(used.accelerators.value(), total_.accelerators.value()),
       ShareOf(used.cpu.value(), total_.cpu.value()),
       ShareOf(used.memory.value(), total_.memory.value())});
}

double FairShares::DueShare(const WorkspaceId& id) const {
  return active_weight_ <= 0 ? 1 : WeightOf(id) / active_weight_;
}

bool FairShares::IsBeyond(const WorkspaceId& id, const Resources& used) const {
  return has_weights_ && DominantShare(used) >= DueShare(id);
}

double FairShares::WeightOf(const WorkspaceId& id) const {
  const auto it = weights_.find(id);
  return it == weights_.end() ? kDefaultWeight : it->second;
}

}  // namespace quetzalshelf::batch
