#include "servers/batch/types.h"

#include <algorithm>
#include <charconv>

namespace quetzalshelf::batch {

namespace {

// Reads `.NUMBER` from the end of `text` and removes it.
bool TakeNumber(std::string_view& text, int& number) {
  const size_t dot = text.rfind('.');
  if (dot == std::string_view::npos)
    return false;
  const std::string_view digits = text.substr(dot + 1);
  const char* const end = digits.data() + digits.size();
  const auto [last, ec] = std::from_chars(digits.data(), end, number);
  text.remove_suffix(text.size() - dot);
  return ec == std::errc() && last == end && number >= 0;
}

int CountIn(int64_t room, int64_t cap, int64_t each) {
  if (cap <= 0 || each <= 0)
    return kUnlimitedTasks;
  return static_cast<int>(std::clamp<int64_t>(room / each, 0, kUnlimitedTasks));
}

}  // namespace

int CountTasksIn(const Resources& room,
                 const Resources& cap,
                 const Resources& each) {
  return std::min(
      {CountIn(room.accelerators.value(), cap.accelerators.value(),
               each.accelerators.value()),
       CountIn(room.cpu.value(), cap.cpu.value(), each.cpu.value()),
       CountIn(room.memory.value(), cap.memory.value(), each.memory.value())});
}

int CountWaves(int tasks, const Resources& cap, const Resources& each) {
  const int width = std::max(1, CountTasksIn(cap, cap, each));
  return std::max(1, (tasks - 1) / width + 1);
}

bool WorkspaceConfig::CanRun(const StepSpec& step) const {
  return CountTasksIn(cap, cap, step.resources) >= (step.gang ? step.tasks : 1);
}

std::string ToString(const TaskId& task) {
  return task.job.value() + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

bool ParseTaskId(const std::string& text, TaskId& task) {
  std::string_view rest = text;
  if (!TakeNumber(rest, task.index) || !TakeNumber(rest, task.step) ||
      !TakeNumber(rest, task.occurrence))
    return false;
  task.job = JobId(std::string(rest));
  return !rest.empty();
}

const QueueConfig* SiteConfig::FindQueue(const std::string& host,
                                         const std::string& path) const {
  const QueueConfig* best = nullptr;
  for (const QueueConfig& it : queues) {
    if (it.host != host || !path.starts_with(it.prefix))
      continue;
    if (!best || it.prefix.size() > best->prefix.size())
      best = &it;
  }
  return best;
}

const QueueConfig* SiteConfig::FindQueue(const QueueName& name) const {
  const auto it = std::ranges::find(queues, name, &QueueConfig::name);
  return it == queues.end() ? nullptr : &*it;
}

const WorkspaceConfig* SiteConfig::FindWorkspaceByKey(
    const std::string& key) const {
  for (const WorkspaceConfig& it : workspaces) {
    if (std::ranges::find(it.keys, key) != it.keys.end())
      return &it;
  }
  return nullptr;
}

const WorkspaceConfig* SiteConfig::FindWorkspace(
    const WorkspaceId& name) const {
  const auto it = std::ranges::find(workspaces, name, &WorkspaceConfig::name);
  return it == workspaces.end() ? nullptr : &*it;
}

}  // namespace quetzalshelf::batch
