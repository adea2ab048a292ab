// Strong types for amounts of resources.

#ifndef CORE_UNITS_H_
#define CORE_UNITS_H_

#include <compare>
#include <cstdint>
#include <ostream>

namespace quetzalshelf {

// An additive amount of one kind of resource.
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(int64_t value) : value_(value) {}

  constexpr int64_t value() const { return value_; }

  constexpr Quantity& operator+=(Quantity other) {
    value_ += other.value_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
  friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
  friend constexpr Quantity operator*(Quantity a, int64_t n) {
    return Quantity(a.value_ * n);
  }
  friend constexpr auto operator<=>(const Quantity&, const Quantity&) = default;
  friend std::ostream& operator<<(std::ostream& os, const Quantity& quantity) {
    return os << quantity.value_;
  }

 private:
  int64_t value_ = 0;
};

// Whole accelerators (GPUs).
using Accelerators = Quantity<struct AcceleratorsTag>;
// Thousandths of a processor core.
using MilliCores = Quantity<struct MilliCoresTag>;
// Memory in MiB.
using Mebibytes = Quantity<struct MebibytesTag>;

// Resources of one task, of one worker, or of one slice of a worker.
struct Resources {
  Accelerators accelerators;
  MilliCores cpu;
  Mebibytes memory;

  constexpr Resources& operator+=(const Resources& other) {
    accelerators += other.accelerators;
    cpu += other.cpu;
    memory += other.memory;
    return *this;
  }
  constexpr Resources& operator-=(const Resources& other) {
    accelerators -= other.accelerators;
    cpu -= other.cpu;
    memory -= other.memory;
    return *this;
  }
  friend constexpr Resources operator+(Resources a, const Resources& b) {
    return a += b;
  }
  friend constexpr Resources operator-(Resources a, const Resources& b) {
    return a -= b;
  }
  friend constexpr Resources operator*(const Resources& a, int64_t n) {
    return {a.accelerators * n, a.cpu * n, a.memory * n};
  }
  friend constexpr bool operator==(const Resources&,
                                   const Resources&) = default;

  // Whether every amount of `this` is at most the one of `other`.
  constexpr bool FitsIn(const Resources& other) const {
    return accelerators <= other.accelerators && cpu <= other.cpu &&
           memory <= other.memory;
  }
};

}  // namespace quetzalshelf

#endif  // CORE_UNITS_H_
