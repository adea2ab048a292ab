#include "core/event_loop.h"

#include <exception>

#include "core/logging.h"

namespace quetzalshelf {

void RunEventLoop(const std::function<void()>& run,
                  const std::function<void()>& on_error) {
  for (;;) {
    try {
      run();
      return;
    } catch (const std::exception& error) {
      LOG(ERROR) << "unexpected error in an event handler: " << error.what();
      on_error();
    }
  }
}

}  // namespace quetzalshelf
