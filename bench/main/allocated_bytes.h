// Counts the bytes that the program holds through operator new.

#ifndef BENCH_MAIN_ALLOCATED_BYTES_H_
#define BENCH_MAIN_ALLOCATED_BYTES_H_

#include <cstdint>

namespace quetzalshelf::bench {

// Usable bytes of all blocks allocated and not freed. Not thread-safe.
int64_t AllocatedBytesNow();

}  // namespace quetzalshelf::bench

#endif  // BENCH_MAIN_ALLOCATED_BYTES_H_
