// The cases of this review. Each plays one day on a small deployment.

#ifndef REVIEW_HARNESS_3_CASES_HPP_
#define REVIEW_HARNESS_3_CASES_HPP_

#include <string>

#include "fleet.hpp"

namespace review {

struct CaseResult {
  bool broken = false;
  std::string what;
};

// With `trouble` false, the same without the disruption.
CaseResult PlayCrashingTask(FleetOptions options, bool trouble);
CaseResult PlayEvacuation(FleetOptions options, bool trouble);
CaseResult PlayChangedKind(FleetOptions options, bool trouble);
CaseResult PlayLateStart(FleetOptions options, bool trouble);
CaseResult PlayLongHold(FleetOptions options, bool trouble);
CaseResult PlayLimitOfStep(FleetOptions options, bool trouble);

}  // namespace review

#endif  // REVIEW_HARNESS_3_CASES_HPP_
