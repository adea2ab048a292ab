#include "tests/soak/stand_check.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf::soak {

namespace {

bool HasRoomTwice(const StandCheck::Job& job,
                  const std::vector<StandCheck::Room>& rooms) {
  int fitting = 0;
  for (const StandCheck::Room& it : rooms)
    fitting += std::max(0, it.free) / std::max(1, job.accelerators);
  return fitting >= 2 * job.tasks;
}

bool IsHalfFull(const std::vector<StandCheck::Room>& rooms) {
  int all = 0;
  int free = 0;
  for (const StandCheck::Room& it : rooms) {
    all += it.all;
    free += it.free;
  }
  return 2 * free <= all;
}

}  // namespace

std::vector<std::string> StandCheck::Observe(const std::vector<Job>& jobs,
                                             const std::vector<Room>& rooms,
                                             TimePoint now,
                                             TimePoint calm_since) {
  std::vector<std::string> too_long;
  std::map<std::string, TimePoint> standing;
  const bool half_full = IsHalfFull(rooms);
  for (const Job& it : jobs) {
    if (half_full || !HasRoomTwice(it, rooms))
      continue;
    const auto known = standing_since_.find(it.id);
    const TimePoint since =
        std::max({known == standing_since_.end() ? now : known->second,
                  it.accepted_at, calm_since + kCalmBefore});
    standing[it.id] = since;
    if (now - since > kLongestStand && reported_.insert(it.id).second)
      too_long.push_back(it.id);
  }
  standing_since_ = std::move(standing);
  return too_long;
}

}  // namespace quetzalshelf::soak
