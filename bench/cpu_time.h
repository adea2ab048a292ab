// CPU time of the calling thread. The benches compute in one thread and do no
// I/O, so it is their latency without the other processes of the machine.

#ifndef BENCH_CPU_TIME_H_
#define BENCH_CPU_TIME_H_

#include <time.h>

namespace quetzalshelf::bench {

inline double CpuSeconds() {
  timespec it{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
  return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_nsec) / 1e9;
}

}  // namespace quetzalshelf::bench

#endif  // BENCH_CPU_TIME_H_
