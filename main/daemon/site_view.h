// What the list of VMs says, in the types of the servers.

#ifndef MAIN_DAEMON_SITE_VIEW_H_
#define MAIN_DAEMON_SITE_VIEW_H_

#include <vector>

#include "core/ids.h"
#include "core/platform/vm_list.h"
#include "servers/jobs/worker_pool.h"
#include "servers/routing/backend_directory.h"
#include "servers/settings/settings_validator.h"

namespace quetzalshelf {

// The workers of one region. Leaving workers are left out, so that they get no
// new tasks; tasks that run there go on until the worker is lost.
std::vector<jobs::WorkerEntry> WorkersOf(const std::vector<Vm>& vms,
                                         const RegionId& region);
// The backend servers of every region.
std::vector<routing::BackendEntry> BackendsOf(const std::vector<Vm>& vms);
// What settings are checked against.
settings::KnownSite SiteOf(const std::vector<Vm>& vms);

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_SITE_VIEW_H_
