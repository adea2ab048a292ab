// Checks a settings tree before it is committed. All findings come together.

#ifndef SERVERS_SETTINGS_SETTINGS_VALIDATOR_H_
#define SERVERS_SETTINGS_SETTINGS_VALIDATOR_H_

#include <map>
#include <set>
#include <vector>

#include "core/finding.h"
#include "core/ids.h"
#include "servers/scheduling/types.h"
#include "servers/settings/settings_tree.h"

namespace quetzalshelf::settings {

// What is known about the site, from the platform's list of VMs.
struct KnownSite {
  std::vector<scheduling::Worker> workers;
  // The region of each known failure domain.
  std::map<DomainId, RegionId> domains;
};

struct ValidationResult {
  Findings findings;  // The change is refused when there are any.
  Findings warnings;  // Consequences that the operator may accept.
};

// Checks the change from `before` to `after`. Guarantees are placed only when
// the change touches guarantees or failure domains, since that takes time in
// proportion to shapes and workers. Faults that `before` has already,
// for example after workers were lost, are warnings, so that they do not block
// other changes.
ValidationResult ValidateSettings(const SettingsTree& before,
                                  const SettingsTree& after,
                                  const KnownSite& site);

// The guaranteed shapes that the workers cannot hold all together, with those
// in `out` left out, as planned anew by the decision core. With several
// regions, a shape is held where any region holds it.
std::vector<scheduling::UnsatisfiedGuarantee> FindUnheldGuarantees(
    const std::vector<scheduling::Workspace>& workspaces,
    const KnownSite& site,
    const std::set<DomainId>& out);

}  // namespace quetzalshelf::settings

#endif  // SERVERS_SETTINGS_SETTINGS_VALIDATOR_H_
