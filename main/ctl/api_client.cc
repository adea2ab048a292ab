#include "main/ctl/api_client.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace quetzalshelf::ctl {

namespace {

constexpr int kMaxPort = 65'535;

std::string TextAt(const Json& json, const char* field) {
  if (!json.is_object())
    return "";
  auto it = json.find(field);
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

Exit ExitOfStatus(int status, bool has_findings) {
  switch (status) {
    case 400:
    case 413:
    case 422:
      return has_findings ? Exit::kUsage : Exit::kRefused;
    case 401:
    case 403:
      return Exit::kNotAuthorised;
    case 409:
      return Exit::kConflict;
    case 504:
      return Exit::kUnknown;
    default:
      return Exit::kRefused;
  }
}

void ReadError(ApiReply& reply, int status) {
  const Json error = reply.body.is_object() && reply.body.contains("error")
                         ? reply.body["error"]
                         : Json::object();
  reply.code = TextAt(error, "code");
  reply.message = TextAt(error, "message");
  if (reply.message.empty())
    reply.message =
        "the server answered with HTTP status " + std::to_string(status);
  if (error.is_object() && error.contains("findings")) {
    for (const Json& it : error["findings"])
      reply.findings.Add({"", 0, TextAt(it, "place")}, TextAt(it, "message"),
                         TextAt(it, "remedy"));
  }
  // A node that did not answer in time sends this code with 503: the call may
  // still take effect.
  reply.exit = reply.code == "deadline_exceeded"
                   ? Exit::kUnknown
                   : ExitOfStatus(status, !reply.findings.empty());
}

ApiReply ReadReply(const Server& server, const HttpReply& http) {
  ApiReply reply;
  reply.server = server;
  reply.body = Json::parse(http.body, nullptr, /*allow_exceptions=*/false);
  const bool good = http.status >= 200 && http.status < 300;
  if (!good) {
    ReadError(reply, http.status);
  } else if (!reply.body.is_object()) {
    reply.exit = Exit::kRefused;
    reply.message = "the server's answer is not a JSON object; is " +
                    ToString(server) + " a quetzalshelfd?";
  }
  return reply;
}

}  // namespace

std::string ToString(const Server& server) {
  return server.host + ":" + std::to_string(server.port);
}

std::optional<Server> ParseServer(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return std::nullopt;
  Server server{text.substr(0, colon), 0};
  const char* end = text.data() + text.size();
  const auto [last, ec] =
      std::from_chars(text.data() + colon + 1, end, server.port);
  if (ec != std::errc() || last != end || server.port < 1 ||
      server.port > kMaxPort)
    return std::nullopt;
  return server;
}

ApiClient::ApiClient(Transport& transport, std::vector<Server> servers)
    : transport_(transport), servers_(std::move(servers)) {}

ApiReply ApiClient::Get(const std::string& target) {
  return Call({"GET", target, ""}, /*idempotent=*/true);
}

ApiReply ApiClient::CallIdempotent(const HttpCall& call) {
  return Call(call, /*idempotent=*/true);
}

ApiReply ApiClient::CallOnce(const HttpCall& call) {
  return Call(call, /*idempotent=*/false);
}

ApiReply ApiClient::GetFrom(const Server& server, const std::string& target) {
  const HttpReply http = transport_.Send(server, {"GET", target, ""});
  if (http.delivery == Delivery::kAnswered)
    return ReadReply(server, http);
  ApiReply reply;
  reply.server = server;
  reply.exit = Exit::kNoServer;
  reply.message = ToString(server) + ": " + http.error;
  return reply;
}

ApiReply ApiClient::Call(const HttpCall& call, bool idempotent) {
  ApiReply reply;
  reply.exit = Exit::kNoServer;
  reply.message = "no server was reached";
  std::optional<ApiReply> unavailable;
  for (size_t i = 0; i < servers_.size(); ++i) {
    const Server server = servers_[i];
    const HttpReply http = transport_.Send(server, call);
    if (http.delivery == Delivery::kAnswered) {
      // A node that is not ready answers 503; another one may be.
      if (http.status == 503 && idempotent) {
        unavailable = ReadReply(server, http);
        continue;
      }
      std::rotate(servers_.begin(),
                  servers_.begin() + static_cast<std::ptrdiff_t>(i),
                  servers_.begin() + static_cast<std::ptrdiff_t>(i) + 1);
      return ReadReply(server, http);
    }
    reply.server = server;
    reply.message += "; " + ToString(server) + ": " + http.error;
    if (http.delivery == Delivery::kMaybeSent && !idempotent) {
      reply.exit = Exit::kUnknown;
      reply.message = "the connection to " + ToString(server) +
                      " broke after the call was sent (" + http.error +
                      "); it may have taken effect and was not sent again";
      return reply;
    }
  }
  return unavailable.value_or(reply);
}

std::string UrlEncode(const std::string& text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char it : text) {
    const auto byte = static_cast<unsigned char>(it);
    if (std::isalnum(byte) != 0 || it == '-' || it == '_' || it == '.' ||
        it == '~') {
      encoded += it;
    } else {
      encoded += '%';
      encoded += kHex[byte >> 4];
      encoded += kHex[byte & 15U];
    }
  }
  return encoded;
}

std::string UrlEncodePath(const std::string& path) {
  std::string encoded;
  size_t start = 0;
  while (start <= path.size()) {
    const size_t end = std::min(path.find('/', start), path.size());
    if (start > 0)
      encoded += '/';
    encoded += UrlEncode(path.substr(start, end - start));
    start = end + 1;
  }
  return encoded;
}

}  // namespace quetzalshelf::ctl
