#include "drivers/http/responder.h"

#include <utility>

#include <absl/status/status.h>

#include "core/logging.h"
#include "drivers/http/api_error.h"

namespace quetzalshelf {

namespace detail {

bool PendingAnswer::Give(HttpResponse response) {
  const std::lock_guard lock(mutex_);
  if (closed_)
    return false;
  closed_ = true;
  response_ = std::move(response);
  given_.notify_all();
  return true;
}

std::optional<HttpResponse> PendingAnswer::Wait(Duration limit) {
  std::unique_lock lock(mutex_);
  // A system_clock deadline keeps the wait visible to ThreadSanitizer, which
  // does not know pthread_cond_clockwait with GCC 12.
  const auto deadline = std::chrono::system_clock::now() + limit;
  given_.wait_until(lock, deadline, [this] { return closed_; });
  closed_ = true;
  return std::exchange(response_, std::nullopt);
}

}  // namespace detail

struct Responder::Last {
  explicit Last(std::shared_ptr<detail::PendingAnswer> pending)
      : answer(std::move(pending)) {}
  Last(const Last&) = delete;
  Last& operator=(const Last&) = delete;
  ~Last() {
    if (used)
      return;
    answer->Give(
        ErrorResponse(absl::InternalError("the request was not answered")));
  }

  std::shared_ptr<detail::PendingAnswer> answer;
  bool used = false;
};

Responder::Responder(std::shared_ptr<detail::PendingAnswer> answer)
    : last_(std::make_shared<Last>(std::move(answer))) {}

void Responder::operator()(HttpResponse response) const {
  if (last_->used) {
    LOG(ERROR) << "a request was answered twice; the second answer is dropped";
    return;
  }
  last_->used = true;
  if (!last_->answer->Give(std::move(response)))
    LOG(WARNING) << "an answer came after the caller had been told otherwise";
}

}  // namespace quetzalshelf
