// Caps of workspaces: what each may have running at once, over all workers.
//
// Counts an upper bound of what runs: every run that may go on counts until it
// is known to have ended, and so do reservations. It is counted anew for each
// pass from the runs in the state rows and from what workers list, so that a
// new leader counts as its predecessor did.

#ifndef SERVERS_BATCH_PLANNING_CAP_LEDGER_H_
#define SERVERS_BATCH_PLANNING_CAP_LEDGER_H_

#include <map>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/units.h"
#include "servers/batch/types.h"

namespace quetzalshelf::batch {

class CapLedger {
 public:
  // Takes the caps of a configuration over and counts nothing yet. Amounts of
  // other workspaces are passed over.
  explicit CapLedger(const std::vector<WorkspaceConfig>& workspaces);

  // Counts `amount` as running or reserved.
  void Charge(const WorkspaceId& id, const Resources& amount);
  void Release(const WorkspaceId& id, const Resources& amount);
  // Keeps `amount` for waiting work, so that nothing that comes after it takes
  // what becomes free.
  void Hold(const WorkspaceId& id, const Resources& amount);
  // Counts a part of what is charged as about to end: it was told to stop.
  void ExpectEnd(const WorkspaceId& id, const Resources& amount);

  // Whether the workspace has a cap.
  bool IsCapped(const WorkspaceId& id) const;
  // Tasks of this size that may start now. `kept_share` of the cap is left
  // free, from 0 to 1.
  int CountFits(const WorkspaceId& id,
                const Resources& each,
                double kept_share = 0) const;
  // What is charged beyond the cap once `amount` more runs and all that was
  // told to stop has ended; zero in each amount that has room.
  Resources Excess(const WorkspaceId& id, const Resources& amount) const;
  Resources used(const WorkspaceId& id) const;
  // No limits for a workspace without a cap.
  Resources cap(const WorkspaceId& id) const;

  // The amounts that keep `amount` from starting, as `320 of 323 accelerators`;
  // for logs.
  std::string Describe(const WorkspaceId& id, const Resources& amount) const;

 private:
  struct Account {
    Resources cap;
    Resources used;
    Resources held;
    Resources ending;
  };

  std::map<WorkspaceId, Account> accounts_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_PLANNING_CAP_LEDGER_H_
