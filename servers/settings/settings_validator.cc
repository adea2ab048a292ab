#include "servers/settings/settings_validator.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <utility>

#include "core/yaml_reader.h"
#include "servers/settings/schema.h"

namespace quetzalshelf::settings {

namespace {

using scheduling::Adjacency;
using scheduling::Shape;
using scheduling::UnheldGuarantee;
using scheduling::Worker;
using scheduling::Workspace;

// The free capacity of one worker while shapes are placed.
struct FreeWorker {
  const Worker* worker;
  Resources free;
};

// Workers that are adjacent for one kind of shape.
using Group = std::vector<FreeWorker*>;

// One guaranteed shape to place.
struct Demand {
  size_t workspace;
  int guarantee;
  const Shape* shape;
};

std::string GroupName(const Worker& worker,
                      const KnownSite& site,
                      Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return worker.id.value();
    case Adjacency::kRack:
      return worker.domain.value() + "/" + worker.rack.value();
    case Adjacency::kDomain:
      return worker.domain.value();
    case Adjacency::kRegion: {
      const auto it = site.domains.find(worker.domain);
      return it == site.domains.end() ? "" : it->second.value();
    }
  }
  return "";
}

int64_t FreeSlots(const Resources& free, const Resources& task) {
  int64_t slots = std::numeric_limits<int64_t>::max();
  const auto limit = [&slots](int64_t have, int64_t need) {
    if (need > 0)
      slots = std::min(slots, std::max<int64_t>(have, 0) / need);
  };
  limit(free.accelerators.value(), task.accelerators.value());
  limit(free.cpu.value(), task.cpu.value());
  limit(free.memory.value(), task.memory.value());
  return slots;
}

int64_t GroupSlots(const Group& group, const Shape& shape) {
  int64_t slots = 0;
  for (const FreeWorker* it : group) {
    slots +=
        std::min<int64_t>(FreeSlots(it->free, shape.per_task), shape.tasks);
  }
  return slots;
}

// Takes the capacity of one shape from the group, fullest workers first.
void Take(Group group, const Shape& shape) {
  std::stable_sort(group.begin(), group.end(),
                   [](const FreeWorker* a, const FreeWorker* b) {
                     return a->free.accelerators < b->free.accelerators;
                   });
  int64_t left = shape.tasks;
  for (FreeWorker* it : group) {
    const int64_t taken = std::min(left, FreeSlots(it->free, shape.per_task));
    it->free -= shape.per_task * taken;
    left -= taken;
  }
}

// Places shapes on free workers.
class ShapePacker {
 public:
  ShapePacker(const KnownSite& site, const std::set<DomainId>& out) {
    for (const Worker& it : site.workers) {
      if (!out.contains(it.domain))
        free_.push_back({&it, it.capacity});
    }
    for (const Adjacency adjacency : {Adjacency::kWorker, Adjacency::kRack,
                                      Adjacency::kDomain, Adjacency::kRegion}) {
      for (FreeWorker& it : free_)
        groups_[adjacency][GroupName(*it.worker, site, adjacency)].push_back(
            &it);
    }
  }

  // Places the shape in the group that it leaves the fullest.
  bool Place(const Shape& shape) {
    const Group* best = nullptr;
    int64_t best_slots = 0;
    for (const auto& [name, group] : groups_[shape.adjacency]) {
      const int64_t slots = GroupSlots(group, shape);
      if (slots < shape.tasks || (best != nullptr && slots >= best_slots))
        continue;
      best = &group;
      best_slots = slots;
    }
    if (best == nullptr)
      return false;
    Take(*best, shape);
    return true;
  }

 private:
  std::vector<FreeWorker> free_;
  std::map<Adjacency, std::map<std::string, Group>> groups_;
};

std::vector<Demand> SortedDemands(const std::vector<Workspace>& workspaces) {
  std::vector<Demand> demands;
  for (size_t i = 0; i < workspaces.size(); ++i) {
    const auto& guarantees = workspaces[i].guarantees;
    for (size_t k = 0; k < guarantees.size(); ++k) {
      for (int n = 0; n < guarantees[k].count; ++n)
        demands.push_back({i, static_cast<int>(k), &guarantees[k].shape});
    }
  }
  std::stable_sort(
      demands.begin(), demands.end(), [](const Demand& a, const Demand& b) {
        const auto key = [](const Demand& it) {
          return std::pair(
              it.shape->adjacency,
              -it.shape->per_task.accelerators.value() * it.shape->tasks);
        };
        return key(a) < key(b);
      });
  return demands;
}

std::string AdjacencyText(Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return "on one worker";
    case Adjacency::kRack:
      return "in one rack";
    case Adjacency::kDomain:
      return "in one failure domain";
    case Adjacency::kRegion:
      return "in one region";
  }
  return "";
}

std::string GuaranteePath(const UnheldGuarantee& unheld) {
  return IndexPath("teams/" + unheld.workspace.value() + "/guarantees",
                   static_cast<size_t>(unheld.guarantee));
}

std::set<DomainId> DomainsOut(const SettingsTree& tree) {
  std::set<DomainId> out;
  for (const DomainState& it : tree.Domains()) {
    if (!it.in_service)
      out.insert(it.domain);
  }
  return out;
}

// Shapes missing, by guarantee of a workspace.
std::map<std::string, int> MissingByWorkspace(
    const std::vector<UnheldGuarantee>& unheld) {
  std::map<std::string, int> missing;
  for (const UnheldGuarantee& it : unheld)
    missing[it.workspace.value()] += it.missing;
  return missing;
}

// Whether the change can alter which guarantees are held.
bool TouchesGuarantees(const SettingsTree& before, const SettingsTree& after) {
  const auto changes = DiffValues(before.root(), after.root(), "");
  return std::any_of(changes.begin(), changes.end(), [](const auto& it) {
    return it.path.starts_with("site/domains/") ||
           it.path.ends_with("/guarantees") ||
           (it.after.is_object() && it.after.contains("guarantees"));
  });
}

bool HasGuarantees(const std::vector<Workspace>& workspaces) {
  return std::any_of(
      workspaces.begin(), workspaces.end(),
      [](const Workspace& it) { return !it.guarantees.empty(); });
}

void CheckDomainNames(const SettingsTree& before,
                      const SettingsTree& after,
                      const KnownSite& site,
                      ValidationResult& result) {
  if (site.domains.empty())
    return;
  std::string known;
  for (const auto& [domain, region] : site.domains)
    known += (known.empty() ? "" : ", ") + domain.value();
  std::set<DomainId> named_before;
  for (const DomainState& it : before.Domains())
    named_before.insert(it.domain);
  for (const DomainState& it : after.Domains()) {
    if (site.domains.contains(it.domain))
      continue;
    Findings& list =
        named_before.contains(it.domain) ? result.warnings : result.findings;
    list.Add({"", 0, "site/domains/" + it.domain.value()},
             "no worker is in a failure domain of this name",
             "use one of: " + known);
  }
}

void CheckQuotas(const std::vector<Workspace>& workspaces, Findings& findings) {
  for (const Workspace& workspace : workspaces) {
    int64_t total = 0;
    for (const auto& it : workspace.guarantees)
      total +=
          it.shape.per_task.accelerators.value() * it.shape.tasks * it.count;
    if (workspace.quota.value() == 0 || total <= workspace.quota.value())
      continue;
    findings.Add(
        {"", 0, "teams/" + workspace.id.value() + "/quota_accelerators"},
        "is " + std::to_string(workspace.quota.value()) +
            " but the guarantees need " + std::to_string(total) +
            " accelerators",
        "raise the quota to at least " + std::to_string(total) +
            " or reduce the guarantees");
  }
}

void CheckEmptyShapes(const std::vector<Workspace>& workspaces,
                      Findings& findings) {
  for (const Workspace& workspace : workspaces) {
    for (size_t i = 0; i < workspace.guarantees.size(); ++i) {
      if (workspace.guarantees[i].shape.per_task != Resources())
        continue;
      findings.Add(
          {"", 0,
           IndexPath("teams/" + workspace.id.value() + "/guarantees", i)},
          "guarantees no resources",
          "set accelerators, cpu_milli or memory_mib");
    }
  }
}

void CheckGuarantees(const SettingsTree& before,
                     const SettingsTree& after,
                     const KnownSite& site,
                     ValidationResult& result) {
  const std::vector<Workspace> workspaces = after.Workspaces();
  if (!HasGuarantees(workspaces))
    return;
  if (site.workers.empty()) {
    result.warnings.Add({"", 0, "teams"},
                        "guarantees were not checked: no workers are known",
                        "check again when workers have joined");
    return;
  }
  const auto old_missing =
      MissingByWorkspace(FindUnheldGuarantees(before.Workspaces(), site, {}));
  const auto unheld = FindUnheldGuarantees(workspaces, site, {});
  const auto new_missing = MissingByWorkspace(unheld);
  for (const UnheldGuarantee& it : unheld) {
    const auto old = old_missing.find(it.workspace.value());
    const bool worse = old == old_missing.end() ||
                       old->second < new_missing.at(it.workspace.value());
    (worse ? result.findings : result.warnings)
        .Add({"", 0, GuaranteePath(it)}, it.reason,
             "reduce this or another guarantee, or add workers");
  }
}

// What the failure domains out of service do to the guarantees.
void WarnOfDomains(const SettingsTree& before,
                   const SettingsTree& after,
                   const KnownSite& site,
                   ValidationResult& result) {
  const std::set<DomainId> out = DomainsOut(after);
  for (const DomainId& it : out) {
    if (!before.IsInService(it))
      continue;
    int64_t workers = 0;
    Resources capacity;
    for (const Worker& worker : site.workers) {
      if (worker.domain != it)
        continue;
      ++workers;
      capacity += worker.capacity;
    }
    result.warnings.Add({"", 0, "site/domains/" + it.value() + "/in_service"},
                        "no task starts there any more, and the gangs on its " +
                            std::to_string(workers) + " workers (" +
                            std::to_string(capacity.accelerators.value()) +
                            " accelerators) checkpoint and move",
                        "set it to true to bring the failure domain back");
  }
  if (out.empty() || site.workers.empty())
    return;
  const std::vector<Workspace> workspaces = after.Workspaces();
  const auto always =
      MissingByWorkspace(FindUnheldGuarantees(workspaces, site, {}));
  for (const UnheldGuarantee& it :
       FindUnheldGuarantees(workspaces, site, out)) {
    if (always.contains(it.workspace.value()))
      continue;
    result.warnings.Add({"", 0, GuaranteePath(it)},
                        it.reason + " while failure domains are out of service",
                        "bring a failure domain back to hold it again");
  }
}

}  // namespace

std::vector<UnheldGuarantee> FindUnheldGuarantees(
    const std::vector<Workspace>& workspaces,
    const KnownSite& site,
    const std::set<DomainId>& out) {
  ShapePacker packer(site, out);
  std::map<std::pair<size_t, int>, int> missing;
  for (const Demand& it : SortedDemands(workspaces)) {
    if (!packer.Place(*it.shape))
      ++missing[{it.workspace, it.guarantee}];
  }
  std::vector<UnheldGuarantee> unheld;
  for (const auto& [place, count] : missing) {
    const Workspace& workspace = workspaces[place.first];
    const auto& guarantee =
        workspace.guarantees[static_cast<size_t>(place.second)];
    const std::string reason =
        std::to_string(count) + " of " + std::to_string(guarantee.count) +
        " shapes (" + std::to_string(guarantee.shape.tasks) + " tasks of " +
        std::to_string(guarantee.shape.per_task.accelerators.value()) +
        " accelerators " + AdjacencyText(guarantee.shape.adjacency) +
        ") do not fit on the known workers next to the other guarantees";
    unheld.push_back({workspace.id, place.second, count, reason});
  }
  return unheld;
}

ValidationResult ValidateSettings(const SettingsTree& before,
                                  const SettingsTree& after,
                                  const KnownSite& site) {
  ValidationResult result;
  CheckSchema(after.root(), "", result.findings);
  if (!result.findings.empty())
    return result;
  const std::vector<Workspace> workspaces = after.Workspaces();
  CheckEmptyShapes(workspaces, result.findings);
  CheckQuotas(workspaces, result.findings);
  CheckDomainNames(before, after, site, result);
  if (!result.findings.empty() || !TouchesGuarantees(before, after))
    return result;
  CheckGuarantees(before, after, site, result);
  WarnOfDomains(before, after, site, result);
  return result;
}

}  // namespace quetzalshelf::settings
