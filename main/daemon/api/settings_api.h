// HTTP interface of the settings.

#ifndef MAIN_DAEMON_API_SETTINGS_API_H_
#define MAIN_DAEMON_API_SETTINGS_API_H_

#include "core/time.h"
#include "drivers/http/http_server.h"
#include "servers/settings/access_control.h"
#include "servers/settings/settings_service.h"

namespace quetzalshelf {

// GET and PUT /v1/settings/<path>, GET /v1/settings-history. All arguments
// must outlive the server.
class SettingsApi {
 public:
  SettingsApi(settings::SettingsService& service,
              const settings::AccessControl& access,
              const Clock& clock)
      : service_(service), access_(access), clock_(clock) {}

  void Register(HttpServer& server);

 private:
  void Get(const HttpRequest& request, const Responder& respond) const;
  void Put(const HttpRequest& request, const Responder& respond);
  void History(const HttpRequest& request, const Responder& respond);
  void HistoryAt(const HttpRequest& request, const Responder& respond);

  settings::SettingsService& service_;
  const settings::AccessControl& access_;
  const Clock& clock_;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_API_SETTINGS_API_H_
