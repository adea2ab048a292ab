#include "bench/main/allocated_bytes.h"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

int64_t allocated = 0;

}  // namespace

// Replaces the global functions, so that every container is counted.
void* operator new(size_t size) {
  void* block = std::malloc(size == 0 ? 1 : size);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  allocated += static_cast<int64_t>(malloc_usable_size(block));
  return block;
}

void operator delete(void* block) noexcept {
  if (block != nullptr) {
    allocated -= static_cast<int64_t>(malloc_usable_size(block));
    std::free(block);
  }
}

void operator delete(void* block, size_t /*size*/) noexcept {
  operator delete(block);
}

namespace quetzalshelf::bench {

int64_t AllocatedBytesNow() {
  return allocated;
}

}  // namespace quetzalshelf::bench
