#include "drivers/http/http_text.h"

namespace quetzalshelf {

namespace {

void AppendField(std::string& text,
                 std::string_view name,
                 std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

// Sequences that are not two hexadecimal digits stay as they are.
std::string PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (size_t n = 0; n < text.size(); ++n) {
    const bool has_digits = text[n] == '%' && n + 2 < text.size();
    const int high = has_digits ? HexDigit(text[n + 1]) : -1;
    const int low = has_digits ? HexDigit(text[n + 2]) : -1;
    if (high < 0 || low < 0) {
      decoded += text[n];
      continue;
    }
    decoded += static_cast<char>(high * 16 + low);
    n += 2;
  }
  return decoded;
}

}  // namespace

std::string SerializeResponse(const HttpResponse& response, bool keep_alive) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " \r\n";
  if (!response.body.empty())
    AppendField(text, "Content-Type", response.content_type);
  for (const auto& [name, value] : response.headers)
    AppendField(text, name, value);
  AppendField(text, "Content-Length", std::to_string(response.body.size()));
  if (!keep_alive)
    AppendField(text, "Connection", "close");
  text.append("\r\n").append(response.body);
  return text;
}

std::string SerializeRequest(const HttpCall& call) {
  std::string text = call.method + " " + call.target + " HTTP/1.1\r\n";
  if (FindField(call.headers, "Host").empty())
    AppendField(text, "Host", call.host + ":" + std::to_string(call.port));
  for (const auto& [name, value] : call.headers)
    AppendField(text, name, value);
  if (!call.body.empty())
    AppendField(text, "Content-Type", call.content_type);
  if (!call.body.empty() || call.method != "GET")
    AppendField(text, "Content-Length", std::to_string(call.body.size()));
  text.append("\r\n").append(call.body);
  return text;
}

void ParseTarget(std::string_view target, HttpRequest& request) {
  request.target = std::string(target);
  const size_t mark = target.find('?');
  request.path = PercentDecode(target.substr(0, mark));
  if (mark == std::string_view::npos)
    return;
  std::string_view query = target.substr(mark + 1);
  while (!query.empty()) {
    const size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const size_t equals = pair.find('=');
    const std::string_view value =
        equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    request.query.push_back(
        {PercentDecode(pair.substr(0, equals)), PercentDecode(value)});
    if (end == std::string_view::npos)
      break;
    query.remove_prefix(end + 1);
  }
}

}  // namespace quetzalshelf
