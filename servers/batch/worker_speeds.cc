#include "servers/batch/worker_speeds.h"

#include <algorithm>

namespace quetzalshelf::batch {

namespace {

// Rates that differ by less cannot be told apart: progress is reported in
// percent.
constexpr double kSameSpeed = 0.06;
// Kinds of workers differ by less; beyond it the worker is slow for a while.
constexpr double kLongestKindSlowness = 1.8;
constexpr Duration kPassingSlowness{6'000};
constexpr double kGreatestSlowness = 20;
// Weight of the newest observation.
constexpr double kNewWeight = 0.5;

}  // namespace

void WorkerSpeeds::ObserveGang(const std::vector<MemberRate>& members,
                               TimePoint now) {
  double fastest = 0;
  for (const MemberRate& it : members)
    fastest = std::max(fastest, it.rate);
  if (members.size() < 2 || fastest <= 0)
    return;
  // The least slowness known of the fastest members is that of all of them.
  double reference = kLongestKindSlowness;
  for (const MemberRate& it : members) {
    if (it.rate >= fastest * (1 - kSameSpeed))
      reference = std::min(reference, Slowness(it.worker, now));
  }
  for (const MemberRate& it : members) {
    double slowness = reference * fastest / std::max(it.rate, 0.01);
    if (slowness < 1 + kSameSpeed)
      slowness = 1;
    slowness = std::min(slowness, kGreatestSlowness);
    const auto [entry, added] = records_.try_emplace(it.worker);
    Record& record = entry->second;
    const double known = Slowness(it.worker, now);
    record.slowness =
        added ? slowness : known + kNewWeight * (slowness - known);
    record.at = now;
  }
}

double WorkerSpeeds::Slowness(const WorkerId& worker, TimePoint now) const {
  const auto it = records_.find(worker);
  if (it == records_.end())
    return 1;
  const Record& record = it->second;
  const bool passing = record.slowness > kLongestKindSlowness;
  return passing && now - record.at > kPassingSlowness ? 1 : record.slowness;
}

void WorkerSpeeds::Forget(const WorkerId& worker) {
  records_.erase(worker);
}

}  // namespace quetzalshelf::batch
