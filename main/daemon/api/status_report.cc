#include "main/daemon/api/status_report.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace quetzalshelf {

namespace {

struct DomainUse {
  int64_t workers = 0;
  int64_t accelerators = 0;
  int64_t used = 0;
  std::set<JobId> gangs;
};

bool HoldsWorkers(const jobs::JobRecord& record) {
  return record.state == jobs::JobState::kStarting ||
         record.state == jobs::JobState::kRunning;
}

// Adds what the gang holds in each failure domain.
void AddGang(const jobs::JobRecord& record,
             const std::map<WorkerId, DomainId>& domain_of,
             std::map<DomainId, DomainUse>& uses) {
  const scheduling::Job& job = record.spec.job;
  for (const WorkerId& it : record.placement) {
    auto domain = domain_of.find(it);
    if (domain == domain_of.end())
      continue;
    DomainUse& use = uses[domain->second];
    use.used += job.gang.per_task.accelerators.value();
    use.gangs.insert(job.id);
  }
}

std::map<DomainId, DomainUse> UseOfDomains(const ShardHost& shard) {
  std::map<DomainId, DomainUse> uses;
  std::map<WorkerId, DomainId> domain_of;
  for (const scheduling::Worker& it : shard.Workers()) {
    domain_of[it.id] = it.domain;
    DomainUse& use = uses[it.domain];
    ++use.workers;
    use.accelerators += it.capacity.accelerators.value();
  }
  if (const jobs::JobRows* rows = shard.Rows()) {
    for (const auto& [id, record] : rows->records()) {
      if (HoldsWorkers(record))
        AddGang(record, domain_of, uses);
    }
  }
  return uses;
}

}  // namespace

Json EncodeShard(const ShardHost& shard) {
  const auto owner = shard.Owner();
  Json json = {{"region", shard.region().value()},
               {"owner", owner ? owner->node.value() : ""},
               {"owner_address",
                owner ? owner->host + ":" + std::to_string(owner->port) : ""},
               {"epoch", shard.epoch().value()},
               {"owned_here", shard.IsOwner()},
               {"workers", shard.Workers().size()},
               {"jobs_waiting", nullptr},
               {"jobs_running", nullptr}};
  const jobs::JobRows* rows = shard.Rows();
  if (rows == nullptr)
    return json;
  int64_t waiting = 0;
  int64_t running = 0;
  for (const auto& [id, record] : rows->records()) {
    waiting += record.state == jobs::JobState::kWaiting ? 1 : 0;
    running += HoldsWorkers(record) ? 1 : 0;
  }
  json["jobs_waiting"] = waiting;
  json["jobs_running"] = running;
  return json;
}

Json EncodeDomains(const ShardHost& shard, const settings::SettingsTree& tree) {
  std::map<DomainId, DomainUse> uses = UseOfDomains(shard);
  for (const auto& it : tree.Domains())
    uses.try_emplace(it.domain);
  const bool counted = shard.Rows() != nullptr;
  Json items = Json::array();
  for (const auto& [domain, use] : uses) {
    items.push_back(
        {{"domain", domain.value()},
         {"region", use.workers > 0 ? Json(shard.region().value()) : Json()},
         {"in_service", tree.IsInService(domain)},
         {"workers", use.workers},
         {"accelerators", use.accelerators},
         {"accelerators_used", counted ? Json(use.used) : Json()},
         {"gangs", counted ? Json(use.gangs.size()) : Json()}});
  }
  return items;
}

Json EncodeUnheld(const ShardHost& shard) {
  if (!shard.IsOwner())
    return nullptr;
  Json items = Json::array();
  for (const auto& it : shard.UnsatisfiedGuarantees()) {
    items.push_back({{"workspace", it.workspace.value()},
                     {"guarantee", it.guarantee},
                     {"missing", it.missing},
                     {"reason", it.reason}});
  }
  return items;
}

}  // namespace quetzalshelf
