// Transport over HTTP/1.1, with one connection for each call.

#ifndef MAIN_CTL_HTTP_TRANSPORT_H_
#define MAIN_CTL_HTTP_TRANSPORT_H_

#include <string>

#include "core/time.h"
#include "main/ctl/api_client.h"

namespace quetzalshelf::ctl {

struct HttpTransportOptions {
  std::string token;  // Bearer token; empty for none.
  Duration connect_timeout{2'000};
  Duration answer_timeout{30'000};
};

class HttpTransport : public Transport {
 public:
  explicit HttpTransport(HttpTransportOptions options);

  HttpReply Send(const Server& server, const HttpCall& call) override;

 private:
  HttpTransportOptions options_;
};

}  // namespace quetzalshelf::ctl

#endif  // MAIN_CTL_HTTP_TRANSPORT_H_
