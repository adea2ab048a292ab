// Runs an event loop that outlives unexpected errors of single handlers.

#ifndef CORE_EVENT_LOOP_H_
#define CORE_EVENT_LOOP_H_

#include <functional>

namespace quetzalshelf {

// Calls `run` until it returns. An exception ends one handler, not the process:
// it is logged, and `on_error` puts what the handler may have left half done
// into a defined state before the loop goes on.
void RunEventLoop(const std::function<void()>& run,
                  const std::function<void()>& on_error);

}  // namespace quetzalshelf

#endif  // CORE_EVENT_LOOP_H_
