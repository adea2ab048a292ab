// The answer to one HTTP request, given from the thread of the io_context.

#ifndef DRIVERS_HTTP_RESPONDER_H_
#define DRIVERS_HTTP_RESPONDER_H_

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>

#include "core/time.h"
#include "drivers/http/http_message.h"

namespace quetzalshelf {

namespace detail {

// Hands one response from the io_context to the waiting connection thread.
class PendingAnswer {
 public:
  // False when an answer was given before or the waiter has gone.
  bool Give(HttpResponse response);
  // Waits for the answer; nullopt after `limit`, after which Give fails.
  std::optional<HttpResponse> Wait(Duration limit);

 private:
  std::mutex mutex_;
  std::condition_variable given_;
  std::optional<HttpResponse> response_;
  bool closed_ = false;
};

}  // namespace detail

// Call it once, at any later time. Copies share the one answer; when the last
// copy goes away unused, the caller gets an internal error (500).
class Responder {
 public:
  explicit Responder(std::shared_ptr<detail::PendingAnswer> answer);

  // A second call is logged and ignored.
  void operator()(HttpResponse response) const;

 private:
  struct Last;

  std::shared_ptr<Last> last_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_RESPONDER_H_
