#include "servers/settings/access_control.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/yaml_reader.h"
#include "servers/settings/schema.h"
#include "servers/settings/settings_tree.h"

namespace quetzalshelf::settings {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr size_t kMinTokenSize = 16;
constexpr size_t kMaxTokenSize = 256;
constexpr char kRootScope[] = "/";

std::vector<std::string> ReadScopes(JsonReader& reader) {
  std::vector<std::string> scopes;
  for (const Json& it : reader.RequireArray("scopes")) {
    const std::string scope = it.is_string() ? it.get<std::string>() : "";
    if (scope == kRootScope || (!scope.empty() && IsKnownPath(scope))) {
      scopes.push_back(scope);
      continue;
    }
    reader.AddFinding("scopes", "holds an entry that is no settings path",
                      "use paths such as teams/plaza, or / for everything");
  }
  return scopes;
}

}  // namespace

bool Secret::Matches(std::string_view text) const {
  // Every byte of `text` is compared, so that the time tells nothing about the
  // secret but whether it is empty.
  if (text_.empty())
    return false;
  unsigned difference = text.size() == text_.size() ? 0U : 1U;
  for (size_t i = 0; i < text.size(); ++i) {
    difference |= static_cast<unsigned>(
        static_cast<unsigned char>(text[i]) ^
        static_cast<unsigned char>(text_[i % text_.size()]));
  }
  return difference == 0;
}

bool Access::MayChange(const std::string& path) const {
  return std::any_of(scopes.begin(), scopes.end(),
                     [&path](const std::string& it) {
                       return it == kRootScope || IsAtOrBelow(path, it);
                     });
}

bool Access::MayUse(const WorkspaceId& workspace) const {
  return MayChange("teams/" + workspace.value());
}

AccessControl::AccessControl(std::vector<AccessToken> tokens,
                             bool allow_anonymous)
    : tokens_(std::move(tokens)), allow_anonymous_(allow_anonymous) {}

std::optional<Access> AccessControl::Authenticate(
    std::string_view authorization) const {
  if (authorization.empty() && allow_anonymous_)
    return Access{"anonymous", {kRootScope}};
  if (!authorization.starts_with(kBearer))
    return std::nullopt;
  const std::string_view text = authorization.substr(kBearer.size());
  // All tokens are compared, so that the time does not tell which matched.
  const AccessToken* found = nullptr;
  for (const AccessToken& it : tokens_) {
    if (it.secret.Matches(text))
      found = &it;
  }
  if (found == nullptr)
    return std::nullopt;
  return found->access;
}

std::vector<AccessToken> ReadAccessTokens(const Json& json,
                                          const std::string& path,
                                          Findings& findings) {
  std::vector<AccessToken> tokens;
  std::set<std::string> names;
  for (size_t i = 0; i < json.size(); ++i) {
    JsonReader reader(json[i], IndexPath(path, i), findings);
    AccessToken token;
    token.access.name = reader.RequireString("name");
    const std::string text = reader.RequireString("token", kMaxTokenSize);
    if (json[i].is_object() && text.size() < kMinTokenSize)
      reader.AddFinding("token", "is shorter than 16 characters",
                        "use a long random token");
    token.secret = Secret(text);
    token.access.scopes = ReadScopes(reader);
    if (!names.insert(token.access.name).second)
      reader.AddFinding("name", "is used twice", "give each token its name");
    reader.Finish();
    tokens.push_back(std::move(token));
  }
  return tokens;
}

}  // namespace quetzalshelf::settings
