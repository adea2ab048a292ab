// The state of the shard, its failure domains and guarantees as JSON.

#ifndef MAIN_DAEMON_API_STATUS_REPORT_H_
#define MAIN_DAEMON_API_STATUS_REPORT_H_

#include "core/json_reader.h"
#include "main/daemon/shard_host.h"
#include "servers/settings/settings_tree.h"

namespace quetzalshelf {

// `{"region","owner","owner_address","epoch","owned_here","workers",
// "jobs_waiting","jobs_running"}`. Only the owner counts jobs; elsewhere the
// counts are null.
Json EncodeShard(const ShardHost& shard);

// One object for each failure domain that has workers or is named in the
// settings. Use and gangs are null on a node that does not own the shard.
Json EncodeDomains(const ShardHost& shard, const settings::SettingsTree& tree);

// The guarantees that have no home now; null on a node that does not own the
// shard.
Json EncodeUnheld(const ShardHost& shard);

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_API_STATUS_REPORT_H_
