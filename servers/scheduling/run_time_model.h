// Predicts run times from completed jobs of the same workspace and kind,
// because declared run times may be off by ten times either way.

#ifndef SERVERS_SCHEDULING_RUN_TIME_MODEL_H_
#define SERVERS_SCHEDULING_RUN_TIME_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/time.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::scheduling {

class RunTimeModel {
 public:
  // Learns from a job that ran for `run_time` in total, without repeats.
  void Record(const Job& job, Duration run_time);
  // Expected total run time; at least one second.
  Duration Predict(const Job& job) const;

 private:
  // More keys than this are not learned, so that a caller that invents kinds
  // cannot fill the memory.
  static constexpr size_t kMaxKeys = 4'096;
  // One new sample counts this much against the history.
  static constexpr double kNewShare = 0.2;

  struct Entry {
    double log_millis = 0;  // Mean of the logarithm.
    int samples = 0;
  };

  static std::string Key(const Job& job);

  std::unordered_map<std::string, Entry> entries_;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_RUN_TIME_MODEL_H_
