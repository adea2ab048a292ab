// Typed HTTP requests and responses, independent of the HTTP library.

#ifndef DRIVERS_HTTP_HTTP_MESSAGE_H_
#define DRIVERS_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace quetzalshelf {

// One header, query parameter or path parameter.
struct HttpField {
  std::string name;
  std::string value;
};

using HttpFields = std::vector<HttpField>;

// The value of the first field with that name, compared without case; empty
// when there is none.
std::string FindField(const HttpFields& fields, std::string_view name);

// A request as received by HttpServer. Path and query are percent-decoded.
struct HttpRequest {
  std::string method;
  std::string path;
  std::string target;  // Path and query as received, percent-encoded.
  HttpFields headers;
  HttpFields query;
  HttpFields params;  // Path parameters of the route.
  std::string body;

  std::string Header(std::string_view name) const {
    return FindField(headers, name);
  }
  std::string Query(std::string_view name) const {
    return FindField(query, name);
  }
  std::string Param(std::string_view name) const {
    return FindField(params, name);
  }
};

// A response, sent by HttpServer or received by HttpCaller.
struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  HttpFields headers;
};

// Percent-encodes everything but unreserved characters and, when `keep_slash`,
// the slash.
std::string PercentEncode(std::string_view text, bool keep_slash);

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_HTTP_MESSAGE_H_
