// Rows of accepted jobs in the store.

#ifndef SERVERS_BATCH_JOB_CODEC_H_
#define SERVERS_BATCH_JOB_CODEC_H_

#include <optional>
#include <string>

#include "core/finding.h"
#include "servers/batch/types.h"

namespace quetzalshelf::batch {

std::string EncodeJobRecord(const JobRecord& record);
// nullopt and at least one finding for a row that cannot be read.
std::optional<JobRecord> DecodeJobRecord(const JobId& id,
                                         const std::string& value,
                                         Findings& findings);

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_JOB_CODEC_H_
