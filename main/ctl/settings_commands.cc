#include "main/ctl/settings_commands.h"

#include <algorithm>
#include <utility>

#include "core/yaml_reader.h"
#include "main/ctl/cluster_commands.h"
#include "main/ctl/settings_change.h"
#include "servers/settings/schema.h"
#include "servers/settings/settings_tree.h"

namespace quetzalshelf::ctl {

namespace {

using settings::SettingsPath;
using settings::SettingsTree;

Json ValueOf(const Json& reply, const char* field = "value") {
  auto it = reply.find(field);
  return it == reply.end() ? Json() : *it;
}

// Reports a path that no setting has.
std::optional<SettingsPath> ReadPath(Context& context,
                                     const std::string& text) {
  auto path = SettingsPath::Parse(text);
  if (path.ok())
    return *path;
  ReportUsage(context, std::string(path.status().message()) +
                           "; see `quetzalshelfctl settings help`");
  return std::nullopt;
}

// Reads a value as YAML, so that `3`, `true` and `{weight: 2}` have their
// types.
std::optional<Json> ReadValue(Context& context,
                              const std::string& path,
                              const std::string& text) {
  Findings findings;
  const auto document =
      YamlDocument::Parse("value: " + text, "value", findings);
  if (!document) {
    ReportFindings(context, findings);
    return std::nullopt;
  }
  Json value = document->json().at("value");
  if (!value.is_null())
    settings::CheckSchema(value, path, findings);
  if (!findings.empty()) {
    ReportFindings(context, findings);
    return std::nullopt;
  }
  return value;
}

std::string VersionQuery(std::optional<uint64_t> version) {
  return version ? "?version=" + std::to_string(*version) : "";
}

// The path that covers all paths of the changes.
std::string CommonPath(const Json& changes) {
  std::string common;
  bool first = true;
  for (const Json& it : changes) {
    const std::string path = Text(it, "path");
    if (first)
      common = path;
    first = false;
    while (!settings::IsAtOrBelow(path, common)) {
      const size_t cut = common.rfind('/');
      common.resize(cut == std::string::npos ? 0 : cut);
    }
  }
  return common;
}

}  // namespace

Exit SettingsGet(Context& context,
                 const std::string& path,
                 std::optional<uint64_t> version) {
  if (!ReadPath(context, path))
    return Exit::kUsage;
  const ApiReply reply =
      context.client.Get(SettingsTarget(path) + VersionQuery(version));
  if (!reply.ok())
    return ReportFailure(context, reply);
  if (context.json) {
    PrintJson(context, reply.body);
    return Exit::kOk;
  }
  context.out << "# version " << Number(reply.body, "version") << "\n"
              << ToYaml(ValueOf(reply.body));
  return Exit::kOk;
}

Exit SettingsSet(Context& context,
                 const std::string& path,
                 const std::string& value,
                 const ChangeOptions& options) {
  if (!ReadPath(context, path))
    return Exit::kUsage;
  const auto json = ReadValue(context, path, value);
  if (!json)
    return Exit::kUsage;
  uint64_t version = 0;
  if (!options.base_version) {
    const ApiReply current = FetchSettings(context, path);
    if (!current.ok())
      return ReportFailure(context, current);
    version = Number(current.body, "version");
  }
  return ReportChange(context,
                      PutSettings(context, path, *json, version, options));
}

Exit SettingsEdit(Context& context,
                  const std::string& path,
                  const std::string& file) {
  const auto parsed = ReadPath(context, path);
  if (!parsed)
    return Exit::kUsage;
  const std::string subtree = settings::SubtreeOf(path);
  const ApiReply reply = FetchSettings(context, subtree);
  if (!reply.ok())
    return ReportFailure(context, reply);
  SettingsTree tree;
  if (const auto at = SettingsPath::Parse(subtree); at.ok())
    tree.Set(*at, ValueOf(reply.body));
  Json root = tree.root();
  if (subtree == "site")
    root.erase("teams");
  else if (!subtree.empty())
    root.erase("site");
  const std::string text =
      "# Edit the values and run: quetzalshelfctl settings apply " + file +
      " --reason <why>\n# Each subtree of this file replaces the one in force; "
      "keep base_version,\n# so that changes of others are not overwritten.\n" +
      "base_version: " + std::to_string(Number(reply.body, "version")) + "\n" +
      ToYaml(root);
  if (const auto status = context.environment.write_file(file, text);
      !status.ok())
    return ReportUsage(context, file + ": " + std::string(status.message()));
  context.out << "wrote " << file << "; edit it and run `quetzalshelfctl "
              << "settings apply " << file << "`\n";
  return Exit::kOk;
}

Exit SettingsApply(Context& context,
                   const std::string& file,
                   const ChangeOptions& options) {
  const auto read = ReadSettingsFile(context, file);
  if (!read)
    return Exit::kUsage;
  const FilePlan plan = PlanFile(context, *read);
  if (!plan.reply.ok())
    return ReportFailure(context, plan.reply);
  ChangeOptions based = options;
  if (!based.base_version)
    based.base_version = read->base_version;
  ApiReply reply =
      PutSettings(context, plan.path, plan.after, plan.version, based);
  reply.findings = read->document.Locate(reply.findings);
  return ReportChange(context, reply);
}

Exit SettingsCheck(Context& context, const std::string& file) {
  const auto read = ReadSettingsFile(context, file);
  if (!read)
    return Exit::kUsage;
  const FilePlan plan = PlanFile(context, *read);
  if (!plan.reply.ok()) {
    context.err << "the file itself has no faults; it was not checked against "
                   "the settings in force\n";
    return ReportFailure(context, plan.reply);
  }
  const ChangeOptions options{.reason = "check", .dry_run = true};
  ApiReply reply =
      PutSettings(context, plan.path, plan.after, plan.version, options);
  reply.findings = read->document.Locate(reply.findings);
  return ReportChange(context, reply);
}

Exit SettingsDiffFile(Context& context, const std::string& file) {
  const auto read = ReadSettingsFile(context, file);
  if (!read)
    return Exit::kUsage;
  const FilePlan plan = PlanFile(context, *read);
  if (!plan.reply.ok())
    return ReportFailure(context, plan.reply);
  const Json changes = ChangesBetween(plan.before, plan.after, plan.path);
  if (context.json)
    PrintJson(context, {{"version", plan.version}, {"changes", changes}});
  else if (changes.empty())
    context.out << "no difference to version " << plan.version << "\n";
  else
    PrintChanges(context, changes);
  return Exit::kOk;
}

Exit SettingsDiffVersions(Context& context,
                          const std::string& path,
                          uint64_t from,
                          uint64_t to) {
  if (!ReadPath(context, path))
    return Exit::kUsage;
  const std::string target = SettingsTarget(path);
  const ApiReply before = context.client.Get(target + VersionQuery(from));
  if (!before.ok())
    return ReportFailure(context, before);
  const ApiReply after =
      context.client.Get(target + (to == 0 ? std::string() : VersionQuery(to)));
  if (!after.ok())
    return ReportFailure(context, after);
  const Json changes =
      ChangesBetween(ValueOf(before.body), ValueOf(after.body), path);
  if (context.json) {
    PrintJson(context, {{"from", from},
                        {"to", Number(after.body, "version")},
                        {"changes", changes}});
    return Exit::kOk;
  }
  if (changes.empty())
    context.out << "no difference\n";
  PrintChanges(context, changes);
  return Exit::kOk;
}

Exit SettingsHistory(Context& context, const std::string& path, int limit) {
  if (!ReadPath(context, path))
    return Exit::kUsage;
  const ApiReply reply =
      context.client.Get("/v1/settings-history?path=" + UrlEncode(path) +
                         "&limit=" + std::to_string(limit));
  if (!reply.ok())
    return ReportFailure(context, reply);
  if (context.json) {
    PrintJson(context, reply.body);
    return Exit::kOk;
  }
  for (const Json& it : List(reply.body, "entries")) {
    const auto millis = static_cast<int64_t>(Number(it, "wall_millis"));
    context.out << "version " << Number(it, "version") << ", "
                << FormatTime(millis) << " UTC, by " << Text(it, "author")
                << " (access token " << Text(it, "access")
                << "): " << Text(it, "reason") << "\n";
    PrintChanges(context, List(it, "changes"));
  }
  return Exit::kOk;
}

Exit SettingsRevert(Context& context,
                    uint64_t version,
                    const ChangeOptions& options) {
  const ApiReply entry =
      context.client.Get("/v1/settings-history/" + std::to_string(version));
  if (!entry.ok())
    return ReportFailure(context, entry);
  const Json& changes = List(entry.body, "changes");
  const std::string path = CommonPath(changes);
  const ApiReply current = FetchSettings(context, "");
  if (!current.ok())
    return ReportFailure(context, current);
  SettingsTree tree;
  tree.Set(SettingsPath(), ValueOf(current.body));
  for (const Json& it : changes) {
    const auto at = ReadPath(context, Text(it, "path"));
    if (!at)
      return Exit::kUsage;
    const Json now = tree.Get(*at);
    if (now != ValueOf(it, "after")) {
      context.err
          << "error: " << at->text() << " was changed after version " << version
          << ": it was set to " << ValueOf(it, "after") << " and is " << now
          << " now; set it by hand or revert the later versions first\n";
      return Exit::kConflict;
    }
    tree.Set(*at, ValueOf(it, "before"));
  }
  const auto at = ReadPath(context, path);
  if (!at)
    return Exit::kUsage;
  return ReportChange(context,
                      PutSettings(context, path, tree.Get(*at),
                                  Number(current.body, "version"), options));
}

Exit SettingsHelp(Context& context, const std::string& path) {
  const std::string text = settings::HelpText(path);
  if (text.empty())
    return ReportUsage(context, "no setting has the path \"" + path + "\"");
  context.out << text;
  return Exit::kOk;
}

Exit SettingsReference(Context& context) {
  context.out << settings::ReferencePage();
  return Exit::kOk;
}

}  // namespace quetzalshelf::ctl
