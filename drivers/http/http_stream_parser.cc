#include "drivers/http/http_stream_parser.h"

namespace quetzalshelf {

namespace {

constexpr int kContinue = 0;
constexpr int kAbort = 1;

}  // namespace

HttpStreamParser::HttpStreamParser(HttpMessageKind kind,
                                   HttpMessageLimits limits)
    : kind_(kind), limits_(limits) {
  Reset();
}

void HttpStreamParser::Reset() {
  http_parser_init(&parser_, kind_ == HttpMessageKind::kRequest
                                 ? HTTP_REQUEST
                                 : HTTP_RESPONSE);
  parser_.data = this;
  target_.clear();
  headers_.clear();
  body_.clear();
  header_bytes_ = 0;
  in_value_ = false;
  done_ = false;
  started_ = false;
  keep_alive_ = false;
  error_ = Error::kNone;
}

size_t HttpStreamParser::held_bytes() const {
  size_t sum = target_.capacity() + body_.capacity() +
               headers_.capacity() * sizeof(HttpField);
  for (const HttpField& it : headers_)
    sum += it.name.capacity() + it.value.capacity();
  return sum;
}

void HttpStreamParser::ReleaseMemory() {
  // Assigning an empty string would keep the capacity.
  std::string().swap(target_);
  HttpFields().swap(headers_);
  std::string().swap(body_);
  Reset();
}

size_t HttpStreamParser::Feed(std::string_view bytes) {
  if (done_ || error_ != Error::kNone || bytes.empty())
    return 0;
  started_ = true;
  const size_t n =
      http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  if (done_) {
    // A paused parser may not have consumed the last byte of the message.
    http_parser_pause(&parser_, 0);
    return n;
  }
  const auto code = static_cast<http_errno>(parser_.http_errno);
  if (code == HPE_OK && parser_.upgrade == 0)
    return n;
  if (error_ == Error::kNone)
    error_ = Error::kMalformed;
  return n;
}

void HttpStreamParser::FeedEnd() {
  if (!done_ && error_ == Error::kNone)
    http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
}

std::string HttpStreamParser::method() const {
  return http_method_str(static_cast<http_method>(parser_.method));
}

HttpStreamParser& HttpStreamParser::Self(http_parser* parser) {
  return *static_cast<HttpStreamParser*>(parser->data);
}

int HttpStreamParser::AddHeaderBytes(size_t n) {
  header_bytes_ += n;
  if (header_bytes_ <= limits_.header_bytes)
    return kContinue;
  error_ = Error::kHeaderTooLarge;
  return kAbort;
}

int HttpStreamParser::OnUrl(http_parser* parser, const char* data, size_t n) {
  Self(parser).target_.append(data, n);
  return Self(parser).AddHeaderBytes(n);
}

int HttpStreamParser::OnHeaderField(http_parser* parser,
                                    const char* data,
                                    size_t n) {
  HttpStreamParser& self = Self(parser);
  if (self.in_value_ || self.headers_.empty())
    self.headers_.emplace_back();
  self.in_value_ = false;
  self.headers_.back().name.append(data, n);
  return self.AddHeaderBytes(n);
}

int HttpStreamParser::OnHeaderValue(http_parser* parser,
                                    const char* data,
                                    size_t n) {
  HttpStreamParser& self = Self(parser);
  self.in_value_ = true;
  self.headers_.back().value.append(data, n);
  return self.AddHeaderBytes(n);
}

int HttpStreamParser::OnBody(http_parser* parser, const char* data, size_t n) {
  HttpStreamParser& self = Self(parser);
  if (self.body_.size() + n > self.limits_.body_bytes) {
    self.error_ = Error::kBodyTooLarge;
    return kAbort;
  }
  self.body_.append(data, n);
  return kContinue;
}

int HttpStreamParser::OnMessageComplete(http_parser* parser) {
  HttpStreamParser& self = Self(parser);
  self.done_ = true;
  self.keep_alive_ = http_should_keep_alive(parser) != 0;
  // Stops before a pipelined message, whose bytes are fed after Reset().
  http_parser_pause(parser, 1);
  return kContinue;
}

const http_parser_settings& HttpStreamParser::Callbacks() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = &OnUrl;
    callbacks.on_header_field = &OnHeaderField;
    callbacks.on_header_value = &OnHeaderValue;
    callbacks.on_body = &OnBody;
    callbacks.on_message_complete = &OnMessageComplete;
    return callbacks;
  }();
  return kSettings;
}

}  // namespace quetzalshelf
