#include "servers/scheduling/victim_selector.h"

#include <algorithm>
#include <limits>
#include <map>

namespace quetzalshelf::scheduling {

namespace {

using Deficits = std::map<WorkerIndex, Resources>;

int64_t Useful(int64_t released, int64_t deficit) {
  return std::max<int64_t>(0, std::min(released, deficit));
}

// How much of the deficits a candidate covers. Processor and memory count in
// proportion to 1/8 of a usual worker, which is about what comes with one
// accelerator.
double Coverage(const Deficits& deficits, const VictimCandidate& candidate) {
  double sum = 0;
  for (const Amount& it : candidate.releases) {
    const auto found = deficits.find(it.worker);
    if (found == deficits.end())
      continue;
    const Resources& lacks = found->second;
    sum += static_cast<double>(
        Useful(it.resources.accelerators.value(), lacks.accelerators.value()));
    sum += static_cast<double>(
               Useful(it.resources.cpu.value(), lacks.cpu.value())) /
           8'000;
    sum += static_cast<double>(
               Useful(it.resources.memory.value(), lacks.memory.value())) /
           16'384;
  }
  return sum;
}

bool IsCovered(const Resources& deficit) {
  return deficit.accelerators.value() <= 0 && deficit.cpu.value() <= 0 &&
         deficit.memory.value() <= 0;
}

bool AllCovered(const Deficits& deficits) {
  return std::all_of(deficits.begin(), deficits.end(),
                     [](const auto& it) { return IsCovered(it.second); });
}

void Apply(Deficits& deficits, const VictimCandidate& candidate, bool release) {
  for (const Amount& it : candidate.releases) {
    const auto found = deficits.find(it.worker);
    if (found == deficits.end())
      continue;
    if (release)
      found->second -= it.resources;
    else
      found->second += it.resources;
  }
}

void DropUnneeded(Deficits& deficits,
                  const std::vector<VictimCandidate>& candidates,
                  std::vector<size_t>& victims) {
  std::vector<size_t> order = victims;
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return candidates[a].lost_work > candidates[b].lost_work;
  });
  for (const size_t it : order) {
    Apply(deficits, candidates[it], false);
    if (AllCovered(deficits))
      std::erase(victims, it);
    else
      Apply(deficits, candidates[it], true);
  }
}

}  // namespace

Resources PositivePart(const Resources& amounts) {
  const auto positive = [](auto amount) {
    return std::max(amount, decltype(amount)());
  };
  return {positive(amounts.accelerators), positive(amounts.cpu),
          positive(amounts.memory)};
}

std::optional<VictimChoice> SelectVictims(
    const std::vector<Amount>& deficits,
    const std::vector<VictimCandidate>& candidates) {
  Deficits open;
  for (const Amount& it : deficits) {
    if (!IsCovered(it.resources))
      open[it.worker] = it.resources;
  }
  std::vector<bool> taken(candidates.size(), false);
  VictimChoice choice;
  while (!AllCovered(open)) {
    size_t best = candidates.size();
    double best_price = std::numeric_limits<double>::max();
    for (size_t n = 0; n < candidates.size(); ++n) {
      const double coverage = taken[n] ? 0 : Coverage(open, candidates[n]);
      // One accelerator-second for the stop itself, so that among gangs that
      // lose nothing the one that covers most is taken.
      const double price = (candidates[n].lost_work + 1) / coverage;
      if (coverage <= 0 || price >= best_price)
        continue;
      best = n;
      best_price = price;
    }
    if (best == candidates.size())
      return std::nullopt;
    taken[best] = true;
    choice.victims.push_back(best);
    Apply(open, candidates[best], true);
  }
  DropUnneeded(open, candidates, choice.victims);
  for (const size_t it : choice.victims)
    choice.lost_work += candidates[it].lost_work;
  return choice;
}

}  // namespace quetzalshelf::scheduling
