// Incremental parsing of HTTP/1.1 messages from a byte stream.

#ifndef DRIVERS_HTTP_HTTP_STREAM_PARSER_H_
#define DRIVERS_HTTP_HTTP_STREAM_PARSER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include <http_parser.h>

#include "drivers/http/http_message.h"

namespace quetzalshelf {

enum class HttpMessageKind { kRequest, kResponse };

// Limits of one message.
struct HttpMessageLimits {
  size_t header_bytes = 0;  // Of the start line and all headers.
  size_t body_bytes = 0;
};

// Parses one message at a time. After done(), take the message and call
// Reset() before feeding further bytes.
class HttpStreamParser {
 public:
  enum class Error { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge };

  HttpStreamParser(HttpMessageKind kind, HttpMessageLimits limits);
  HttpStreamParser(const HttpStreamParser&) = delete;
  HttpStreamParser& operator=(const HttpStreamParser&) = delete;

  // Consumes bytes up to the end of the current message and returns how many.
  size_t Feed(std::string_view bytes);
  // Tells that the peer closed the connection; this ends a body without length.
  void FeedEnd();
  void Reset();

  // Memory of the texts of the current message, in bytes.
  size_t held_bytes() const;
  // Like Reset, and gives that memory back.
  void ReleaseMemory();

  bool done() const { return done_; }
  // Whether any byte of the current message has arrived.
  bool started() const { return started_; }
  Error error() const { return error_; }
  bool keep_alive() const { return keep_alive_; }
  int status() const { return static_cast<int>(parser_.status_code); }
  std::string method() const;
  const std::string& target() const { return target_; }
  HttpFields& headers() { return headers_; }
  std::string& body() { return body_; }

 private:
  static HttpStreamParser& Self(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* data, size_t n);
  static int OnHeaderField(http_parser* parser, const char* data, size_t n);
  static int OnHeaderValue(http_parser* parser, const char* data, size_t n);
  static int OnBody(http_parser* parser, const char* data, size_t n);
  static int OnMessageComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();

  int AddHeaderBytes(size_t n);

  http_parser parser_;
  HttpMessageKind kind_;
  HttpMessageLimits limits_;
  std::string target_;
  HttpFields headers_;
  std::string body_;
  size_t header_bytes_ = 0;
  bool in_value_ = false;
  bool done_ = false;
  bool started_ = false;
  bool keep_alive_ = false;
  Error error_ = Error::kNone;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_HTTP_STREAM_PARSER_H_
