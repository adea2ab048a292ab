#include <charconv>
#include <utility>

#include "core/yaml_reader.h"
#include "main/ctl/cluster_commands.h"
#include "main/ctl/settings_change.h"
#include "main/ctl/settings_commands.h"
#include "servers/settings/schema.h"
#include "servers/settings/settings_tree.h"

namespace quetzalshelf::ctl {

namespace {

using settings::SettingsPath;
using settings::SettingsTree;

SettingsTree TreeOf(const Json& reply) {
  SettingsTree tree;
  if (auto it = reply.find("value"); it != reply.end() && it->is_object())
    tree.Set(SettingsPath(), *it);
  return tree;
}

int64_t GuaranteedAccelerators(const scheduling::Workspace& workspace) {
  int64_t total = 0;
  for (const auto& it : workspace.guarantees)
    total += it.shape.per_task.accelerators.value() * it.shape.tasks * it.count;
  return total;
}

std::string QuotaText(const scheduling::Workspace& workspace) {
  return workspace.quota.value() == 0 ? "no limit"
                                      : std::to_string(workspace.quota.value());
}

bool ReadNumber(const std::string& text, int64_t& number) {
  const char* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, number);
  return ec == std::errc() && last == end;
}

// Reads `<tasks>x<accelerators>[:<adjacency>[:<count>]]`.
std::optional<Json> ReadGuarantee(const std::string& text) {
  const size_t cross = text.find('x');
  const size_t first = std::min(text.find(':'), text.size());
  const size_t second = first == text.size()
                            ? first
                            : std::min(text.find(':', first + 1), text.size());
  if (cross == std::string::npos || cross > first)
    return std::nullopt;
  int64_t tasks = 0;
  int64_t accelerators = 0;
  int64_t count = 1;
  if (!ReadNumber(text.substr(0, cross), tasks) ||
      !ReadNumber(text.substr(cross + 1, first - cross - 1), accelerators))
    return std::nullopt;
  Json json = {{"tasks", tasks}, {"accelerators", accelerators}};
  if (first < text.size())
    json["adjacency"] = text.substr(first + 1, second - first - 1);
  if (second < text.size()) {
    if (!ReadNumber(text.substr(second + 1), count))
      return std::nullopt;
    json["count"] = count;
  }
  return json;
}

// What the move will do, from a dry run and the status of the cluster.
void PrintPreview(Context& context,
                  const ApiReply& dry_run,
                  const std::string& domain,
                  bool in_service) {
  context.err << "failure domain " << domain
              << (in_service ? " comes back into service"
                             : " goes out of service")
              << "\n";
  PrintWarnings(context, dry_run.body);
  const ApiReply status = FetchStatus(context);
  if (!status.ok()) {
    context.err << "the gangs that will move are not known: " << status.message
                << "\n";
    return;
  }
  for (const Json& it : List(status.body, "domains")) {
    if (Text(it, "domain") != domain)
      continue;
    context.err << "running there now: " << Cell(it, "gangs") << " gangs on "
                << Cell(it, "accelerators_used") << " of "
                << Cell(it, "accelerators") << " accelerators\n";
  }
}

}  // namespace

Exit WorkspaceList(Context& context) {
  const ApiReply reply = FetchSettings(context, "");
  if (!reply.ok())
    return ReportFailure(context, reply);
  const auto workspaces = TreeOf(reply.body).Workspaces();
  if (context.json) {
    Json names = Json::array();
    for (const auto& it : workspaces)
      names.push_back({{"workspace", it.id.value()},
                       {"weight", it.weight},
                       {"quota_accelerators", it.quota.value()},
                       {"guaranteed_accelerators", GuaranteedAccelerators(it)},
                       {"max_queued_jobs", it.max_queued_jobs}});
    PrintJson(context, {{"version", Number(reply.body, "version")},
                        {"workspaces", names}});
    return Exit::kOk;
  }
  TextTable table(
      {"WORKSPACE", "WEIGHT", "GUARANTEED", "QUOTA", "MAX QUEUED JOBS"});
  for (const auto& it : workspaces)
    table.AddRow({it.id.value(), std::to_string(it.weight),
                  std::to_string(GuaranteedAccelerators(it)), QuotaText(it),
                  std::to_string(it.max_queued_jobs)});
  table.Print(context.out);
  return Exit::kOk;
}

Exit WorkspaceShow(Context& context, const std::string& name) {
  if (!settings::IsValidName(name))
    return ReportUsage(context, "\"" + name + "\" is not a workspace name");
  const std::string path = "teams/" + name;
  const ApiReply reply = FetchSettings(context, path);
  if (!reply.ok())
    return ReportFailure(context, reply);
  const Json value = Object(reply.body, "value");
  if (!reply.body.contains("value") || reply.body["value"].is_null()) {
    context.err << "error: there is no workspace " << name << "\n";
    return Exit::kRefused;
  }
  const ApiReply status = FetchStatus(context);
  Json unheld = Json::array();
  for (const Json& it : List(status.body, "guarantees")) {
    if (Text(it, "workspace") == name)
      unheld.push_back(it);
  }
  if (context.json) {
    Json json = reply.body;
    json["unheld_guarantees"] = unheld;
    PrintJson(context, json);
    return Exit::kOk;
  }
  context.out << "# version " << Number(reply.body, "version")
              << "; settings that are not shown have their defaults\n"
              << ToYaml(Json{{name, value}});
  if (!status.ok())
    context.err << "whether the guarantees are held is not known: "
                << status.message << "\n";
  else
    PrintUnheldGuarantees(context, status.body, name);
  return Exit::kOk;
}

Exit WorkspaceCreate(Context& context,
                     const WorkspaceOptions& workspace,
                     const ChangeOptions& options) {
  Json value = Json::object();
  if (workspace.weight)
    value["weight"] = *workspace.weight;
  if (workspace.quota)
    value["quota_accelerators"] = *workspace.quota;
  for (const std::string& it : workspace.guarantees) {
    const auto guarantee = ReadGuarantee(it);
    if (!guarantee)
      return ReportUsage(context, "\"" + it +
                                      "\" is not a guarantee; write "
                                      "<tasks>x<accelerators>[:<adjacency>"
                                      "[:<count>]]");
    value["guarantees"].push_back(*guarantee);
  }
  if (!settings::IsValidName(workspace.name))
    return ReportUsage(context,
                       "\"" + workspace.name + "\" is not a workspace name");
  const std::string path = "teams/" + workspace.name;
  Findings findings;
  settings::CheckSchema(value, path, findings);
  if (!findings.empty())
    return ReportFindings(context, findings);
  const ApiReply current = FetchSettings(context, path);
  if (!current.ok())
    return ReportFailure(context, current);
  if (current.body.contains("value") && !current.body["value"].is_null()) {
    context.err << "error: the workspace " << workspace.name
                << " exists already\n";
    return Exit::kConflict;
  }
  return ReportChange(context,
                      PutSettings(context, path, value,
                                  Number(current.body, "version"), options));
}

Exit DomainMove(Context& context,
                const std::string& domain,
                bool in_service,
                bool yes,
                const ChangeOptions& options) {
  if (!settings::IsValidName(domain))
    return ReportUsage(context,
                       "\"" + domain + "\" is not a failure domain name");
  const std::string path = "site/domains/" + domain + "/in_service";
  const ApiReply current = FetchSettings(context, path);
  if (!current.ok())
    return ReportFailure(context, current);
  ChangeOptions based = options;
  if (!based.base_version)
    based.base_version = Number(current.body, "version");
  ChangeOptions preview = based;
  preview.dry_run = true;
  ApiReply checked = PutSettings(context, path, in_service, 0, preview);
  if (!checked.ok() || options.dry_run) {
    if (checked.ok())
      PrintPreview(context, checked, domain, in_service);
    if (!context.json && checked.ok())
      checked.body.erase("warnings");
    return ReportChange(context, checked);
  }
  PrintPreview(context, checked, domain, in_service);
  if (!yes) {
    const auto answer = context.environment.confirm("Proceed?");
    if (!answer)
      return ReportUsage(context, "there is no terminal to ask; add --yes");
    if (!*answer) {
      context.err << "nothing was changed\n";
      return Exit::kRefused;
    }
  }
  ApiReply reply = PutSettings(context, path, in_service, 0, based);
  // The preview has shown the warnings.
  if (!context.json && reply.ok())
    reply.body.erase("warnings");
  return ReportChange(context, reply);
}

Exit DomainStatus(Context& context) {
  const ApiReply status = FetchStatus(context);
  if (!status.ok())
    return ReportFailure(context, status);
  if (context.json) {
    PrintJson(context, {{"domains", List(status.body, "domains")},
                        {"guarantees", List(status.body, "guarantees")}});
    return Exit::kOk;
  }
  PrintDomains(context, status.body);
  PrintUnheldGuarantees(context, status.body);
  return Exit::kOk;
}

}  // namespace quetzalshelf::ctl
