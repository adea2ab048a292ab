#include "bench/guarantee_watch.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf::bench {
namespace {

Accelerators Total(const scheduling::Job& job) {
  return job.gang.per_task.accelerators * job.gang.tasks;
}

}  // namespace

GuaranteeWatch::GuaranteeWatch(
    const std::vector<scheduling::Workspace>& workspaces,
    Duration start_latency,
    SpaceSource space)
    : start_latency_(start_latency), space_(std::move(space)) {
  for (const scheduling::Workspace& it : workspaces) {
    State& state = states_[it.id];
    state.workspace = it;
    state.book = GuaranteeBook(it);
  }
}

void GuaranteeWatch::Wait(const scheduling::Job& job, TimePoint now) {
  State& state = states_[job.workspace];
  state.not_started[job.id] = {.job = &job, .waiting_since = now};
  state.changed = true;
}

void GuaranteeWatch::Hold(
    const scheduling::Job& job,
    bool guaranteed,
    const std::vector<const scheduling::Worker*>& workers) {
  State& state = states_[job.workspace];
  state.used += Total(job);
  state.changed = true;
  if (const auto it = state.not_started.find(job.id);
      it != state.not_started.end()) {
    it->second.queued = false;
  }
  if (guaranteed) {
    state.book.Charge(job.id, job.gang, workers);
  }
}

void GuaranteeWatch::Leave(const scheduling::Job& job) {
  states_[job.workspace].not_started.erase(job.id);
}

void GuaranteeWatch::Release(const scheduling::Job& job) {
  State& state = states_[job.workspace];
  state.used -= Total(job);
  state.book.Release(job.id);
  state.not_started.erase(job.id);
  state.changed = true;
}

void GuaranteeWatch::RestartClocks(TimePoint now) {
  for (auto& [id, state] : states_) {
    for (auto& [job, entry] : state.not_started) {
      entry.covered_since = std::max(entry.covered_since, now);
      entry.waiting_since = std::max(entry.waiting_since, now);
    }
  }
}

bool GuaranteeWatch::SetCharged(
    const scheduling::Job& job,
    bool charged,
    const std::vector<const scheduling::Worker*>& workers) {
  State& state = states_[job.workspace];
  if (charged == state.book.IsCharged(job.id)) {
    return true;
  }
  state.changed = true;
  if (charged) {
    return state.book.Charge(job.id, job.gang, workers);
  }
  state.book.Release(job.id);
  return true;
}

std::vector<WorkspaceId> GuaranteeWatch::Pressed(TimePoint now) const {
  std::vector<WorkspaceId> out;
  for (const auto& [id, state] : states_) {
    const auto& entries = state.not_started;
    const TimePoint since = now - Limit(state) / 2;
    if (std::any_of(entries.begin(), entries.end(), [&](const auto& it) {
          return it.second.covered && it.second.covered_since < since;
        })) {
      out.push_back(id);
    }
  }
  return out;
}

std::optional<GuaranteeViolation> GuaranteeWatch::CheckStarted(
    const scheduling::Job& job,
    TimePoint now) {
  State& state = states_[job.workspace];
  const auto it = state.not_started.find(job.id);
  if (it == state.not_started.end() || !Violated(state, it->second, now)) {
    return std::nullopt;
  }
  return GuaranteeViolation{job.id, it->second.covered_since};
}

std::vector<GuaranteeViolation> GuaranteeWatch::Check(TimePoint now) {
  std::vector<GuaranteeViolation> out;
  for (auto& [id, state] : states_) {
    UpdateCover(state, now);
    for (auto& [job, entry] : state.not_started) {
      if (Violated(state, entry, now)) {
        out.push_back({job, entry.covered_since});
      }
    }
  }
  return out;
}

size_t GuaranteeWatch::QueueLength(const WorkspaceId& workspace) const {
  const auto it = states_.find(workspace);
  if (it == states_.end()) {
    return 0;
  }
  const auto& entries = it->second.not_started;
  return static_cast<size_t>(
      std::count_if(entries.begin(), entries.end(),
                    [](const auto& entry) { return entry.second.queued; }));
}

const scheduling::Workspace* GuaranteeWatch::Find(
    const WorkspaceId& workspace) const {
  const auto it = states_.find(workspace);
  return it == states_.end() ? nullptr : &it->second.workspace;
}

void GuaranteeWatch::UpdateCover(State& state, TimePoint now) {
  if (!state.changed) {
    return;
  }
  state.changed = false;
  // Many waiting gangs have few different shapes.
  std::vector<std::pair<scheduling::Shape, bool>> known;
  const Accelerators quota = state.workspace.quota;
  for (auto& [id, entry] : state.not_started) {
    if (!entry.queued) {
      continue;
    }
    const scheduling::Shape& gang = entry.job->gang;
    auto it = std::find_if(known.begin(), known.end(), [&](const auto& shape) {
      return shape.first == gang;
    });
    if (it == known.end()) {
      const bool allowed =
          quota.value() == 0 || state.used + Total(*entry.job) <= quota;
      known.emplace_back(gang, allowed && state.book.Covers(gang));
      it = std::prev(known.end());
    }
    if (it->second && !entry.covered) {
      entry.covered_since = entry.evaluated ? now : entry.waiting_since;
      entry.reported = false;
    }
    entry.covered = it->second;
    entry.evaluated = true;
  }
}

Duration GuaranteeWatch::Limit(const State& state) const {
  return state.workspace.reclaim_deadline + start_latency_;
}

bool GuaranteeWatch::Violated(const State& state, Entry& entry, TimePoint now) {
  if (!entry.covered || entry.reported ||
      now - entry.covered_since <= Limit(state)) {
    return false;
  }
  if (!GuaranteesCanBeHeld()) {
    entry.covered_since = now;
    return false;
  }
  entry.reported = true;
  return true;
}

bool GuaranteeWatch::GuaranteesCanBeHeld() {
  std::vector<GuaranteeBlock> all;
  std::vector<GuaranteeBlock> unused;
  for (auto& [id, state] : states_) {
    for (const GuaranteeBlock& block : state.book.blocks()) {
      unused.push_back(block);
      all.push_back(block);
      all.back().free.assign(block.free.size(), block.per_slice);
    }
  }
  Space space = space_();
  return CanHold(std::move(all), std::move(space.empty)) &&
         CanHold(std::move(unused), std::move(space.rest));
}

}  // namespace quetzalshelf::bench
