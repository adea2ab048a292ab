// The cases of this review. Each plays one day on a small deployment.

#ifndef REVIEW_HARNESS_3_CASES_H_
#define REVIEW_HARNESS_3_CASES_H_

#include <string>

#include "fleet.h"

namespace review {

struct CaseResult {
  bool broken = false;
  std::string what;
};

// With `trouble` false, the same without the disruption.
CaseResult PlayLargeScheduledJobs(FleetOptions options, bool trouble);
CaseResult PlayCrashingTask(FleetOptions options, bool trouble);
CaseResult PlayEvacuation(FleetOptions options, bool trouble);
CaseResult PlayChangedKind(FleetOptions options, bool trouble);

}  // namespace review

#endif  // REVIEW_HARNESS_3_CASES_H_
