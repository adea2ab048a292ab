#include "main/ctl/settings_change.h"

#include <limits>
#include <utility>

#include "servers/settings/schema.h"
#include "servers/settings/settings_tree.h"

namespace quetzalshelf::ctl {

namespace {

constexpr char kBaseVersion[] = "base_version";

// The values of changes are shown on one line.
std::string ValueText(const Json& json, const char* field) {
  auto it = json.find(field);
  return it == json.end() || it->is_null() ? "(not set)" : it->dump();
}

Json ValueOf(const Json& reply) {
  auto it = reply.find("value");
  return it == reply.end() ? Json() : *it;
}

settings::SettingsPath PathOf(const std::string& text) {
  auto path = settings::SettingsPath::Parse(text);
  return path.ok() ? *path : settings::SettingsPath();
}

}  // namespace

std::string SettingsTarget(const std::string& path) {
  return "/v1/settings/" + UrlEncodePath(path);
}

ApiReply FetchSettings(Context& context, const std::string& path) {
  return context.client.Get(SettingsTarget(path));
}

ApiReply PutSettings(Context& context,
                     const std::string& path,
                     const Json& value,
                     uint64_t fetched_version,
                     const ChangeOptions& options) {
  Json body = {{"base_version", options.base_version.value_or(fetched_version)},
               {"reason", options.reason},
               {"value", value},
               {"dry_run", options.dry_run}};
  // Without an author the node records the name of the access token.
  if (!options.author.empty())
    body["author"] = options.author;
  const HttpCall call{"PUT", SettingsTarget(path), body.dump()};
  return options.dry_run ? context.client.CallIdempotent(call)
                         : context.client.CallOnce(call);
}

void PrintChanges(Context& context, const Json& changes) {
  for (const Json& it : changes) {
    if (!it.is_object())
      continue;
    context.out << "  " << Text(it, "path") << ": " << ValueText(it, "before")
                << " -> " << ValueText(it, "after") << "\n";
  }
}

void PrintWarnings(Context& context, const Json& reply) {
  for (const Json& it : List(reply, "warnings")) {
    context.err << "warning: " << Text(it, "place") << ": "
                << Text(it, "message");
    if (const std::string remedy = Text(it, "remedy"); !remedy.empty())
      context.err << " (" << remedy << ")";
    context.err << "\n";
  }
}

Exit ReportChange(Context& context, const ApiReply& reply) {
  if (!reply.ok()) {
    const Exit exit = ReportFailure(context, reply);
    if (exit == Exit::kUnknown)
      context.err << "see `quetzalshelfctl settings history` before you try "
                     "again\n";
    return exit;
  }
  if (context.json) {
    PrintJson(context, reply.body);
    return Exit::kOk;
  }
  const std::string outcome = Text(reply.body, "outcome");
  const uint64_t version = Number(reply.body, "version");
  if (outcome == "unchanged")
    context.out << "unchanged, as of version " << version << "\n";
  else if (outcome == "checked")
    context.out << "no faults; nothing was changed\n";
  else
    context.out << "accepted as version " << version << "\n";
  PrintChanges(context, List(reply.body, "changes"));
  PrintWarnings(context, reply.body);
  return Exit::kOk;
}

Json ChangesBetween(const Json& before,
                    const Json& after,
                    const std::string& path) {
  Json changes = Json::array();
  for (const auto& it : settings::DiffValues(before, after, path)) {
    changes.push_back(
        {{"path", it.path}, {"before", it.before}, {"after", it.after}});
  }
  return changes;
}

std::optional<SettingsFile> ReadSettingsFile(Context& context,
                                             const std::string& name) {
  const auto text = context.environment.read_file(name);
  if (!text.ok()) {
    ReportUsage(context, name + ": " + std::string(text.status().message()));
    return std::nullopt;
  }
  Findings findings;
  const auto document = YamlDocument::Parse(*text, name, findings);
  if (!document) {
    ReportFindings(context, findings);
    return std::nullopt;
  }
  SettingsFile file{*document, document->json(), {}, std::nullopt};
  Findings own;
  if (file.tree.is_object() && file.tree.contains(kBaseVersion)) {
    file.base_version =
        JsonReader(file.tree, "", own)
            .RequireInt(kBaseVersion, 0, std::numeric_limits<int64_t>::max());
    file.tree.erase(kBaseVersion);
  }
  settings::CheckSchema(file.tree, "", own);
  if (!own.empty()) {
    ReportFindings(context, document->Locate(own));
    return std::nullopt;
  }
  if (file.tree.contains("site"))
    file.subtrees.emplace_back("site");
  for (const auto& [team, value] : Object(file.tree, "teams").items())
    file.subtrees.push_back("teams/" + team);
  if (file.subtrees.empty()) {
    ReportUsage(context, name + ": holds neither `site` nor a team");
    return std::nullopt;
  }
  return file;
}

FilePlan PlanFile(Context& context, const SettingsFile& file) {
  FilePlan plan;
  settings::SettingsTree given;
  given.Set(settings::SettingsPath(), file.tree);
  if (file.subtrees.size() == 1)
    plan.path = file.subtrees.front();
  plan.reply = FetchSettings(context, plan.path);
  if (!plan.reply.ok())
    return plan;
  plan.version = Number(plan.reply.body, "version");
  plan.before = ValueOf(plan.reply.body);
  if (!plan.path.empty()) {
    plan.after = given.Get(PathOf(plan.path));
    return plan;
  }
  settings::SettingsTree merged;
  merged.Set(settings::SettingsPath(), plan.before);
  for (const std::string& it : file.subtrees)
    merged.Set(PathOf(it), given.Get(PathOf(it)));
  plan.after = merged.root();
  return plan;
}

}  // namespace quetzalshelf::ctl
