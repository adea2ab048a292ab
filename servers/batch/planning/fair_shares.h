// Weighted shares of workspaces in a service that is short of room. Answers
// the load of one workspace that sends far more than the others: its work waits
// behind that of workspaces that use less than their share. None starves: one
// that uses less than its share waits behind no other, and the shares of all
// that have work add up to the whole.

#ifndef SERVERS_BATCH_PLANNING_FAIR_SHARES_H_
#define SERVERS_BATCH_PLANNING_FAIR_SHARES_H_

#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/units.h"
#include "servers/batch/types.h"

namespace quetzalshelf::batch {

class FairShares {
 public:
  // Without weights in the configuration no workspace has a share, and the
  // order of work stays as it is. A workspace without a weight counts as one of
  // weight 1 beside others with weights.
  FairShares(const std::vector<WorkspaceConfig>& workspaces,
             const Resources& total);

  bool has_weights() const { return has_weights_; }
  // The workspace has runs or waiting work; shares are split among these.
  void AddActive(const WorkspaceId& id);
  // Greatest share of any resource, from 0 to 1, that `used` is of the total.
  double DominantShare(const Resources& used) const;
  // The share that the workspace is due by its weight, from 0 to 1.
  double DueShare(const WorkspaceId& id) const;
  // Whether `used` is at least what the workspace is due, so that its work goes
  // behind that of workspaces that use less.
  bool IsBeyond(const WorkspaceId& id, const Resources& used) const;

 private:
  double WeightOf(const WorkspaceId& id) const;

  bool has_weights_ = false;
  Resources total_;
  std::map<WorkspaceId, double> weights_;
  std::set<WorkspaceId> active_;
  double active_weight_ = 0;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_PLANNING_FAIR_SHARES_H_
