// Encodes what operators, workers and callers of the users' platform write.

#ifndef STANDINS_FLEET_FLEET_CODEC_H_
#define STANDINS_FLEET_FLEET_CODEC_H_

#include <string>

#include "servers/batch/types.h"

namespace quetzalshelf {

// The worker's row of itself.
std::string EncodeWorkerEntry(const batch::WorkerEntry& worker);
// The operator's row of the configuration.
std::string EncodeSiteConfig(const batch::SiteConfig& config);
// The body of a call that submits a job.
std::string EncodeSubmission(const batch::JobSpec& spec);

}  // namespace quetzalshelf

#endif  // STANDINS_FLEET_FLEET_CODEC_H_
