// Calls to any node of a list, with failover where it is safe.

#ifndef MAIN_CTL_API_CLIENT_H_
#define MAIN_CTL_API_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "core/json_reader.h"
#include "main/ctl/exit_codes.h"

namespace quetzalshelf::ctl {

struct Server {
  std::string host;
  int port = 0;

  friend bool operator==(const Server&, const Server&) = default;
};

std::string ToString(const Server& server);
// Reads `host:port`.
std::optional<Server> ParseServer(const std::string& text);

struct HttpCall {
  std::string method;
  std::string target;  // Path and query.
  std::string body;    // JSON; empty for none.
};

enum class Delivery {
  kAnswered,   // A whole answer came back.
  kNotSent,    // The connection was not made; no byte was sent.
  kMaybeSent,  // The call may have taken effect.
};

struct HttpReply {
  Delivery delivery = Delivery::kNotSent;
  int status = 0;
  std::string body;
  std::string error;  // Why there is no answer.
};

// Sends one call to one server, once.
class Transport {
 public:
  virtual ~Transport() = default;
  virtual HttpReply Send(const Server& server, const HttpCall& call) = 0;
};

// The answer to a call, or why there is none.
struct ApiReply {
  Exit exit = Exit::kOk;
  Json body;
  Server server;        // That answered or failed last.
  std::string code;     // Of the error, for example `conflict`.
  std::string message;  // Of the error.
  Findings findings;

  bool ok() const { return exit == Exit::kOk; }
};

class ApiClient {
 public:
  // `transport` must outlive the client. Servers are tried in their order, the
  // one that answered last first.
  ApiClient(Transport& transport, std::vector<Server> servers);

  // For calls that do nothing more when they arrive twice: any failure moves
  // on to the next server.
  ApiReply Get(const std::string& target);
  ApiReply CallIdempotent(const HttpCall& call);
  // Moves on only when nothing was sent.
  ApiReply CallOnce(const HttpCall& call);
  // Calls one server only.
  ApiReply GetFrom(const Server& server, const std::string& target);

 private:
  ApiReply Call(const HttpCall& call, bool idempotent);

  Transport& transport_;
  std::vector<Server> servers_;
};

// Encodes one segment of a path or one value of a query.
std::string UrlEncode(const std::string& text);
// Encodes a path of segments and keeps its slashes.
std::string UrlEncodePath(const std::string& path);

}  // namespace quetzalshelf::ctl

#endif  // MAIN_CTL_API_CLIENT_H_
