// The record of a case: what was sent, answered and run, with times.

#ifndef REVIEW_HARNESS_3_RECORD_HPP_
#define REVIEW_HARNESS_3_RECORD_HPP_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>

namespace review {

using SteadyTime = std::chrono::steady_clock::time_point;
using Millis = std::chrono::milliseconds;

inline SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

inline int64_t WallMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class Record {
 public:
  explicit Record(const std::string& path) : file_(path), began_(Now()) {}

  // Milliseconds since the start of the case.
  int64_t Elapsed() const {
    return std::chrono::duration_cast<Millis>(Now() - began_).count();
  }
  void Line(const std::string& text) {
    file_ << Elapsed() << " " << text << "\n" << std::flush;
  }

 private:
  std::ofstream file_;
  SteadyTime began_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_RECORD_HPP_
