// Access tokens: bearer credentials, each scoped to subtrees of the settings.

#ifndef SERVERS_SETTINGS_ACCESS_CONTROL_H_
#define SERVERS_SETTINGS_ACCESS_CONTROL_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/json_reader.h"

namespace quetzalshelf::settings {

// The text of a token. It cannot be printed or converted by accident.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string text) : text_(std::move(text)) {}

  size_t size() const { return text_.size(); }
  // Takes the same time whatever `text` of a given length holds.
  bool Matches(std::string_view text) const;
  // For the one place that sends the secret; never for logs or errors.
  const std::string& Reveal() const { return text_; }

 private:
  std::string text_;
};

// What the holder of a token may do.
struct Access {
  std::string name;  // Of the token, for the history and the log.
  // Paths whose settings may be changed, with all below them; `/` is the root.
  std::vector<std::string> scopes;

  // Whether the scope covers the whole of the settings path.
  bool MayChange(const std::string& path) const;
  // Whether jobs and requests of the workspace may be submitted and cancelled:
  // the scope covers its whole subtree.
  bool MayUse(const WorkspaceId& workspace) const;
};

struct AccessToken {
  Secret secret;
  Access access;
};

class AccessControl {
 public:
  // With `allow_anonymous`, calls without a token may do everything.
  AccessControl(std::vector<AccessToken> tokens, bool allow_anonymous);

  // The access of the value of an Authorization header, `Bearer <token>`.
  // Nullopt when there is no such token.
  std::optional<Access> Authenticate(std::string_view authorization) const;

 private:
  std::vector<AccessToken> tokens_;
  bool allow_anonymous_;
};

// Reads `[{name, token, scopes}]`. Findings never hold token texts.
std::vector<AccessToken> ReadAccessTokens(const Json& json,
                                          const std::string& path,
                                          Findings& findings);

}  // namespace quetzalshelf::settings

#endif  // SERVERS_SETTINGS_ACCESS_CONTROL_H_
