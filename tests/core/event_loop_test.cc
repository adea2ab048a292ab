// The event loop under errors of its handlers.

#include <doctest/doctest.h>

#include <stdexcept>

#include "core/event_loop.h"

namespace quetzalshelf {

// Guards against a process that ends because of one unexpected error.
TEST_CASE("An unexpected error ends its handler, not the loop") {
  int runs = 0;
  int errors = 0;
  RunEventLoop(
      [&] {
        if (++runs <= 2)
          throw std::runtime_error("handler failed");
      },
      [&] { ++errors; });
  CHECK(runs == 3);
  CHECK(errors == 2);
}

}  // namespace quetzalshelf
