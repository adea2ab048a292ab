#include "servers/batch/site_view.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"

namespace quetzalshelf::batch {

void SiteView::SetConfig(SiteConfig config) {
  if (config_ && config.version <= config_->version)
    return;
  LOG(INFO) << "configuration in force: version=" << config.version
            << " queues=" << config.queues.size()
            << " workspaces=" << config.workspaces.size();
  config_ = std::move(config);
}

void SiteView::SetEvacuated(std::set<DomainId> domains) {
  evacuated_ = std::move(domains);
}

void SiteView::SetEvacuated(const DomainId& domain, bool evacuated) {
  LOG(INFO) << "failure domain " << domain
            << (evacuated ? " taken out of service" : " back in service");
  if (evacuated)
    evacuated_.insert(domain);
  else
    evacuated_.erase(domain);
}

void SiteView::Confirm(TimePoint time) {
  confirmed_at_ = std::max(confirmed_at_, time);
}

}  // namespace quetzalshelf::batch
