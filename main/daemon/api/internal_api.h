// HTTP interface between the nodes.

#ifndef MAIN_DAEMON_API_INTERNAL_API_H_
#define MAIN_DAEMON_API_INTERNAL_API_H_

#include <functional>
#include <utility>

#include "core/platform/peer_port.h"
#include "drivers/http/http_server.h"
#include "servers/settings/access_control.h"
#include "servers/settings/settings_service.h"

namespace quetzalshelf {

// POST /internal/heartbeat and GET /internal/settings.
class InternalApi {
 public:
  // Takes a peer's heartbeat and gives the own one.
  using HeartbeatHandler = std::function<PeerHeartbeat(const PeerHeartbeat&)>;

  // `settings` and `secret` must outlive the server. With an empty secret every
  // caller is let in.
  InternalApi(const settings::SettingsService& settings,
              const settings::Secret& secret,
              HeartbeatHandler on_heartbeat)
      : settings_(settings),
        secret_(secret),
        on_heartbeat_(std::move(on_heartbeat)) {}

  void Register(HttpServer& server);

 private:
  // Answers 401 itself when the caller does not know the secret.
  bool LetIn(const HttpRequest& request, const Responder& respond) const;
  void Heartbeat(const HttpRequest& request, const Responder& respond);

  const settings::SettingsService& settings_;
  const settings::Secret& secret_;
  const HeartbeatHandler on_heartbeat_;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_API_INTERNAL_API_H_
