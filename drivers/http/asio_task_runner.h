// TaskRunner on an io_context.

#ifndef DRIVERS_HTTP_ASIO_TASK_RUNNER_H_
#define DRIVERS_HTTP_ASIO_TASK_RUNNER_H_

#include <asio/io_context.hpp>

#include "core/task_runner.h"

namespace quetzalshelf {

// Tasks that are pending when the io_context goes away are dropped.
class AsioTaskRunner : public TaskRunner {
 public:
  explicit AsioTaskRunner(asio::io_context& io) : io_(io) {}

  void Post(std::function<void()> task) override;
  void PostAfter(Duration delay, std::function<void()> task) override;

 private:
  asio::io_context& io_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_ASIO_TASK_RUNNER_H_
