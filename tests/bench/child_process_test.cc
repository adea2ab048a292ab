// Processes that benches and the soak start.

#include <doctest/doctest.h>

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include "bench/processes/child_process.h"

namespace quetzalshelf::bench {

// Guards against connections that stay open in a child after the parent has
// closed or reset them.
TEST_CASE("A child process holds no descriptors of its parent") {
  int ends[2];
  REQUIRE(pipe2(ends, O_NONBLOCK) == 0);
  auto child = ChildProcess::Spawn({"/bin/sleep", "1000"}, "/dev/null");
  REQUIRE(child.ok());
  close(ends[1]);
  char byte = 0;
  CHECK(read(ends[0], &byte, 1) == 0);
  close(ends[0]);
  child->Signal(SIGKILL);
  child->Wait();
}

}  // namespace quetzalshelf::bench
