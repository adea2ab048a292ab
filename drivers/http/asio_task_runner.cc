#include "drivers/http/asio_task_runner.h"

#include <memory>
#include <utility>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalshelf {

void AsioTaskRunner::Post(std::function<void()> task) {
  asio::post(io_, std::move(task));
}

void AsioTaskRunner::PostAfter(Duration delay, std::function<void()> task) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, task = std::move(task)](const std::error_code& ec) {
    if (!ec)
      task();
  });
}

}  // namespace quetzalshelf
