#include "main/daemon/api/access.h"

#include "drivers/http/api_error.h"

namespace quetzalshelf {

std::optional<settings::Access> RequireToken(
    const settings::AccessControl& control,
    const HttpRequest& request,
    const Responder& respond) {
  auto access = control.Authenticate(request.Header("Authorization"));
  if (!access) {
    respond(ErrorResponse(absl::UnauthenticatedError(
        "a valid access token is required: send `Authorization: Bearer`")));
  }
  return access;
}

bool RequireUse(const settings::AccessControl& control,
                const HttpRequest& request,
                const WorkspaceId& workspace,
                const Responder& respond) {
  const auto access = RequireToken(control, request, respond);
  if (!access)
    return false;
  if (access->MayUse(workspace))
    return true;
  respond(ErrorResponse(absl::PermissionDeniedError(
      "the token `" + access->name + "` does not cover the workspace `" +
      workspace.value() + "`")));
  return false;
}

}  // namespace quetzalshelf
