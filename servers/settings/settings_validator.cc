#include "servers/settings/settings_validator.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "core/yaml_reader.h"
#include "servers/scheduling/guarantee_planner.h"
#include "servers/settings/schema.h"

namespace quetzalshelf::settings {

namespace {

using scheduling::Adjacency;
using scheduling::UnsatisfiedGuarantee;
using scheduling::Worker;
using scheduling::Workspace;

// Shapes missing, by workspace and index of the guarantee.
using Missing = std::map<std::pair<WorkspaceId, int>, int>;

// Numbers names in the order of their appearance.
class Numbering {
 public:
  uint32_t operator()(const std::string& name) {
    return numbers_.emplace(name, static_cast<uint32_t>(numbers_.size()))
        .first->second;
  }

 private:
  std::map<std::string, uint32_t> numbers_;
};

RegionId RegionOf(const KnownSite& site, const DomainId& domain) {
  const auto it = site.domains.find(domain);
  return it == site.domains.end() ? RegionId() : it->second;
}

// What the planner of one region cannot hold.
Missing MissingIn(const RegionId& region,
                  const std::vector<Workspace>& workspaces,
                  const KnownSite& site,
                  const std::set<DomainId>& out) {
  scheduling::GuaranteePlanner planner;
  Numbering racks;
  Numbering domains;
  scheduling::WorkerIndex index = 0;
  for (const Worker& it : site.workers) {
    if (out.contains(it.domain) || RegionOf(site, it.domain) != region)
      continue;
    planner.AddWorker(index, racks(it.domain.value() + "/" + it.rack.value()),
                      domains(it.domain.value()));
    planner.SetCapacity(index, it.capacity);
    ++index;
  }
  planner.SetWorkspaces(workspaces);
  planner.Plan();
  Missing missing;
  for (const UnsatisfiedGuarantee& it : planner.Unheld())
    missing[{it.workspace, it.guarantee}] = it.missing;
  return missing;
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

std::string UnheldReason(const scheduling::Guarantee& guarantee, int count) {
  return std::to_string(count) + " of " + std::to_string(guarantee.count) +
         " shapes (" + std::to_string(guarantee.shape.tasks) + " tasks of " +
         std::to_string(guarantee.shape.per_task.accelerators.value()) +
         " accelerators " + AdjacencyText(guarantee.shape.adjacency) +
         ") do not fit on the known workers next to the other guarantees";
}

std::string GuaranteePath(const UnsatisfiedGuarantee& unheld) {
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
    const std::vector<UnsatisfiedGuarantee>& unheld) {
  std::map<std::string, int> missing;
  for (const UnsatisfiedGuarantee& it : unheld)
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
  for (const UnsatisfiedGuarantee& it : unheld) {
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
  for (const UnsatisfiedGuarantee& it :
       FindUnheldGuarantees(workspaces, site, out)) {
    if (always.contains(it.workspace.value()))
      continue;
    result.warnings.Add({"", 0, GuaranteePath(it)},
                        it.reason + " while failure domains are out of service",
                        "bring a failure domain back to hold it again");
  }
}

}  // namespace

std::vector<UnsatisfiedGuarantee> FindUnheldGuarantees(
    const std::vector<Workspace>& workspaces,
    const KnownSite& site,
    const std::set<DomainId>& out) {
  std::set<RegionId> regions;
  for (const Worker& it : site.workers)
    regions.insert(RegionOf(site, it.domain));
  std::vector<Missing> missing;
  missing.reserve(regions.size());
  for (const RegionId& it : regions)
    missing.push_back(MissingIn(it, workspaces, site, out));
  std::vector<UnsatisfiedGuarantee> unheld;
  for (const Workspace& workspace : workspaces) {
    for (size_t i = 0; i < workspace.guarantees.size(); ++i) {
      const int index = static_cast<int>(i);
      int count = workspace.guarantees[i].count;
      for (const Missing& region : missing) {
        const auto it = region.find({workspace.id, index});
        count = std::min(count, it == region.end() ? 0 : it->second);
      }
      if (count > 0)
        unheld.push_back({workspace.id, index, count,
                          UnheldReason(workspace.guarantees[i], count)});
    }
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
