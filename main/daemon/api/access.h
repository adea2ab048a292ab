// Checks of the access token of a call.

#ifndef MAIN_DAEMON_API_ACCESS_H_
#define MAIN_DAEMON_API_ACCESS_H_

#include <optional>
#include <string>

#include "core/ids.h"
#include "drivers/http/http_message.h"
#include "drivers/http/responder.h"
#include "servers/settings/access_control.h"

namespace quetzalshelf {

// Each answers the call itself and gives nullopt or false when access is
// missing: 401 without a valid token, 403 when the token's scope is too small.
std::optional<settings::Access> RequireToken(
    const settings::AccessControl& control,
    const HttpRequest& request,
    const Responder& respond);
bool RequireUse(const settings::AccessControl& control,
                const HttpRequest& request,
                const WorkspaceId& workspace,
                const Responder& respond);

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_API_ACCESS_H_
