#include "main/daemon/site_view.h"

namespace quetzalshelf {

namespace {

scheduling::Worker ToWorker(const Vm& vm) {
  return {WorkerId(vm.name), vm.domain, vm.rack, vm.capacity};
}

}  // namespace

std::vector<jobs::WorkerEntry> WorkersOf(const std::vector<Vm>& vms,
                                         const RegionId& region) {
  std::vector<jobs::WorkerEntry> workers;
  for (const Vm& it : vms) {
    const bool wanted = it.role == VmRole::kWorker &&
                        it.state == VmState::kLive && it.region == region;
    if (wanted)
      workers.push_back({ToWorker(it), {WorkerId(it.name), it.host, it.port}});
  }
  return workers;
}

std::vector<routing::BackendEntry> BackendsOf(const std::vector<Vm>& vms) {
  std::vector<routing::BackendEntry> backends;
  for (const Vm& it : vms) {
    if (it.role != VmRole::kBackend)
      continue;
    backends.push_back({{BackendId(it.name), it.host, it.port},
                        it.slots,
                        it.state == VmState::kLeaving});
  }
  return backends;
}

settings::KnownSite SiteOf(const std::vector<Vm>& vms) {
  settings::KnownSite site;
  for (const Vm& it : vms) {
    if (it.role != VmRole::kWorker)
      continue;
    site.workers.push_back(ToWorker(it));
    site.domains.emplace(it.domain, it.region);
  }
  return site;
}

}  // namespace quetzalshelf
