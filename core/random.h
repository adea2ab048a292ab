// Seeded pseudo-random numbers with the same sequence on every platform.

#ifndef CORE_RANDOM_H_
#define CORE_RANDOM_H_

#include <cstdint>

namespace quetzalshelf {

// SplitMix64. Not for secrets.
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  uint64_t Next() {
    state_ += 0x9E3779B97F4A7C15ULL;
    uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }
  // Uniform in [0, n); `n` is at least 1.
  uint64_t Below(uint64_t n) { return Next() % n; }
  // Uniform in [min, max].
  int64_t Between(int64_t min, int64_t max) {
    return min +
           static_cast<int64_t>(Below(static_cast<uint64_t>(max - min) + 1));
  }
  // Uniform in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  // True with the given probability.
  bool Chance(double probability) { return Unit() < probability; }

 private:
  uint64_t state_;
};

}  // namespace quetzalshelf

#endif  // CORE_RANDOM_H_
