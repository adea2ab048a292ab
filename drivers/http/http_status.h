// Status codes of HTTP that the code tells apart.

#ifndef DRIVERS_HTTP_HTTP_STATUS_H_
#define DRIVERS_HTTP_HTTP_STATUS_H_

namespace quetzalshelf::http_status {

inline constexpr int kOk = 200;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeaderTooLarge = 431;
inline constexpr int kInternalServerError = 500;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

}  // namespace quetzalshelf::http_status

#endif  // DRIVERS_HTTP_HTTP_STATUS_H_
