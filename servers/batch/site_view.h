// This node's view of the site: the newest configuration and the failure
// domains that are out of service.

#ifndef SERVERS_BATCH_SITE_VIEW_H_
#define SERVERS_BATCH_SITE_VIEW_H_

#include <optional>
#include <set>

#include "core/ids.h"
#include "core/time.h"
#include "servers/batch/types.h"

namespace quetzalshelf::batch {

class SiteView {
 public:
  // Keeps the newer of the present configuration and `config`.
  void SetConfig(SiteConfig config);
  void SetEvacuated(std::set<DomainId> domains);
  void SetEvacuated(const DomainId& domain, bool evacuated);
  // The view was current at `time` or later.
  void Confirm(TimePoint time);

  // Null before the first configuration.
  const SiteConfig* config() const { return config_ ? &*config_ : nullptr; }
  bool IsEvacuated(const DomainId& domain) const {
    return evacuated_.contains(domain);
  }
  TimePoint confirmed_at() const { return confirmed_at_; }

 private:
  std::optional<SiteConfig> config_;
  std::set<DomainId> evacuated_;
  TimePoint confirmed_at_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_SITE_VIEW_H_
