#include "bench/measures.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

#include "bench/guarantee_book.h"

namespace quetzalshelf::bench {
namespace {

using scheduling::Adjacency;
using scheduling::Shape;
using scheduling::Worker;

bool SameGroup(Adjacency adjacency, const Worker& a, const Worker& b) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return a.id == b.id;
    case Adjacency::kRack:
      return a.domain == b.domain && a.rack == b.rack;
    case Adjacency::kDomain:
      return a.domain == b.domain;
    case Adjacency::kRegion:
      return true;
  }
  return false;
}

// Raises `usable` for the workers [begin, end), which form one group.
void MeasureGroup(const std::vector<FreeWorker>& workers,
                  size_t begin,
                  size_t end,
                  const Shape& shape,
                  std::vector<int64_t>& usable) {
  std::vector<int> tasks;
  int64_t sum = 0;
  for (size_t n = begin; n < end; ++n) {
    tasks.push_back(
        std::min(shape.tasks, TasksIn(shape.per_task, workers[n].free)));
    sum += tasks.back();
  }
  if (sum < shape.tasks) {
    return;
  }
  for (size_t n = begin; n < end; ++n) {
    usable[n] = std::max(
        usable[n], tasks[n - begin] * shape.per_task.accelerators.value());
  }
}

}  // namespace

FreeSpace MeasureFreeSpace(const std::vector<FreeWorker>& workers,
                           const WaitingShapes& shapes) {
  // Sorting once makes every adjacency group a run of workers.
  std::vector<FreeWorker> sorted = workers;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const FreeWorker& a, const FreeWorker& b) {
                     return std::tie(a.worker->domain, a.worker->rack) <
                            std::tie(b.worker->domain, b.worker->rack);
                   });
  std::vector<int64_t> usable(sorted.size(), 0);
  for (const Shape& shape : shapes) {
    for (size_t begin = 0; begin < sorted.size();) {
      size_t end = begin + 1;
      while (end < sorted.size() &&
             SameGroup(shape.adjacency, *sorted[begin].worker,
                       *sorted[end].worker)) {
        ++end;
      }
      MeasureGroup(sorted, begin, end, shape, usable);
      begin = end;
    }
  }
  FreeSpace out;
  for (size_t n = 0; n < sorted.size(); ++n) {
    const int64_t free = sorted[n].free.accelerators.value();
    out.free += free;
    out.stranded += free - std::min(free, usable[n]);
  }
  return out;
}

void FragmentationMeter::Add(const FreeSpace& space, Duration time) {
  if (space.free <= 0) {
    return;
  }
  const double seconds = static_cast<double>(time.count()) / 1e3;
  const auto free = static_cast<double>(space.free);
  const auto stranded = static_cast<double>(space.stranded);
  share_seconds_ += stranded / free * seconds;
  stranded_ += stranded * seconds;
  free_ += free * seconds;
}

double FragmentationMeter::MeanShare() const {
  return free_ > 0 ? stranded_ / free_ : 0;
}

double WorkInWindows(const std::vector<WorkInterval>& work,
                     const std::vector<MoveWindow>& windows,
                     const std::vector<bool>& finished) {
  double sum = 0;
  for (const WorkInterval& it : work) {
    const Duration length = it.to - it.from;
    if (!finished[it.job] || length.count() <= 0) {
      continue;
    }
    for (const MoveWindow& window : windows) {
      const Duration common =
          std::min(it.to, window.to) - std::max(it.from, window.from);
      if (common.count() > 0) {
        sum += it.accelerator_seconds * static_cast<double>(common.count()) /
               static_cast<double>(length.count());
      }
    }
  }
  return sum;
}

double Mean(const std::vector<double>& values) {
  if (values.empty()) {
    return 0;
  }
  return std::accumulate(values.begin(), values.end(), 0.0) /
         static_cast<double>(values.size());
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  return values[std::min(values.size(), std::max<size_t>(rank, 1)) - 1];
}

}  // namespace quetzalshelf::bench
