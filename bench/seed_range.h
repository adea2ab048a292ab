// Ranges of seeds and the worst result over them.

#ifndef BENCH_SEED_RANGE_H_
#define BENCH_SEED_RANGE_H_

#include <cstdint>
#include <string>

#include "bench/comparison.h"

namespace quetzalshelf::bench {

struct SeedRange {
  uint64_t first = 1;
  uint64_t last = 1;
};

// Parses "A..B". Returns false, and leaves `out` alone, when the text is
// anything else or A is above B.
bool ParseSeedRange(const std::string& text, SeedRange& out);

// Worst ratios and sums of counts over runs of one deployment.
class Worst {
 public:
  void Add(const Comparison& comparison);
  std::string ToText(const std::string& deployment, bool json) const;

 private:
  // A ratio that is better when low (or high), with the seed of the worst.
  struct Extreme {
    double ratio = 0;
    uint64_t seed = 0;
  };
  void Update(Extreme& extreme, double ratio, uint64_t seed, bool low) const;

  int64_t runs_ = 0;
  Extreme mean_;
  Extreme p99_;
  Extreme fragmentation_;
  Extreme work_;
  FaultCounts ours_;
  FaultCounts naive_;
};

}  // namespace quetzalshelf::bench

#endif  // BENCH_SEED_RANGE_H_
