#include "drivers/peer/peer_codec.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace quetzalshelf {

namespace {

uint64_t RequireNumber(JsonReader& reader, std::string_view field) {
  return static_cast<uint64_t>(
      reader.RequireInt(field, 0, std::numeric_limits<int64_t>::max()));
}

ShardEpoch ReadShard(const Json& json,
                     const std::string& path,
                     Findings& findings) {
  JsonReader reader(json, path, findings);
  ShardEpoch shard;
  shard.region = reader.RequireId<RegionId>("region");
  shard.epoch = Epoch(RequireNumber(reader, "epoch"));
  reader.Finish();
  return shard;
}

}  // namespace

Json EncodePeerHeartbeat(const PeerHeartbeat& heartbeat) {
  Json shards = Json::array();
  for (const ShardEpoch& it : heartbeat.shards) {
    shards.push_back(
        {{"region", it.region.value()}, {"epoch", it.epoch.value()}});
  }
  return {{"node", heartbeat.node.value()},
          {"incarnation", heartbeat.incarnation.value()},
          {"leaving", heartbeat.leaving},
          {"store_reachable", heartbeat.store_reachable},
          {"settings", heartbeat.settings.value()},
          {"shards", std::move(shards)}};
}

std::optional<PeerHeartbeat> DecodePeerHeartbeat(std::string_view body,
                                                 Findings& findings) {
  const std::optional<Json> json = ParseJson(body, findings);
  if (!json)
    return std::nullopt;
  JsonReader reader(*json, "", findings);
  PeerHeartbeat heartbeat;
  heartbeat.node = reader.RequireId<NodeId>("node");
  heartbeat.incarnation = reader.RequireId<IncarnationId>("incarnation");
  heartbeat.leaving = reader.RequireBool("leaving");
  heartbeat.store_reachable = reader.RequireBool("store_reachable");
  heartbeat.settings = SettingsVersion(RequireNumber(reader, "settings"));
  for (const Json& it : reader.RequireArray("shards")) {
    const std::string path =
        "shards[" + std::to_string(heartbeat.shards.size()) + "]";
    heartbeat.shards.push_back(ReadShard(it, path, findings));
  }
  reader.Finish();
  if (!findings.empty())
    return std::nullopt;
  return heartbeat;
}

std::string EncodeForwardedNodes(const std::vector<NodeId>& nodes) {
  std::string header;
  for (const NodeId& it : nodes) {
    if (!header.empty())
      header += ',';
    header += it.value();
  }
  return header;
}

std::vector<NodeId> DecodeForwardedNodes(std::string_view header) {
  std::vector<NodeId> nodes;
  while (!header.empty()) {
    const size_t comma = header.find(',');
    if (const std::string_view name = header.substr(0, comma); !name.empty())
      nodes.emplace_back(std::string(name));
    if (comma == std::string_view::npos)
      break;
    header.remove_prefix(comma + 1);
  }
  return nodes;
}

bool MayForward(const std::vector<NodeId>& forwarded_by, const NodeId& self) {
  return forwarded_by.size() < kMaxForwards &&
         std::ranges::find(forwarded_by, self) == forwarded_by.end();
}

}  // namespace quetzalshelf
