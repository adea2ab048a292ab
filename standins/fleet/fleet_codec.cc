#include "standins/fleet/fleet_codec.h"

#include <nlohmann/json.hpp>

namespace quetzalshelf {

namespace {

using nlohmann::json;

json EncodeResources(const Resources& resources) {
  return {{"cpu", resources.cpu.value()},
          {"mem_mb", resources.memory.value()},
          {"gpu", resources.accelerators.value()}};
}

json EncodeQueue(const batch::QueueConfig& queue) {
  return {{"name", queue.name.value()},
          {"host", queue.host},
          {"prefix", queue.prefix},
          {"service", queue.service.value()},
          {"priority", queue.priority},
          {"attempts", queue.attempts},
          {"slack_factor", queue.slack_factor},
          {"target_latency_ms", queue.target_latency.count()}};
}

json EncodeStep(const batch::StepSpec& step) {
  json value = EncodeResources(step.resources);
  value["count"] = step.tasks;
  value["estimate_ms"] = step.estimate.count();
  if (step.gang)
    value["gang"] = true;
  if (!step.depends_on.empty())
    value["depends_on"] = step.depends_on;
  return value;
}

}  // namespace

std::string EncodeWorkerEntry(const batch::WorkerEntry& worker) {
  json value = {{"service", worker.service.value()},
                {"addr", worker.host + ":" + std::to_string(worker.port)},
                {"zone", worker.domain.value()},
                {"state", worker.draining ? "draining" : "ready"},
                {"capacity", EncodeResources(worker.capacity)},
                {"labels", worker.labels},
                {"born", worker.incarnation_start_wall_ms}};
  if (worker.draining)
    value["remaining_ms"] = worker.remaining.count();
  return value.dump();
}

std::string EncodeSiteConfig(const batch::SiteConfig& config) {
  json value = {{"version", config.version},
                {"routes", json::array()},
                {"services", json::array()},
                {"tenants", json::array()},
                {"limits", json::object()}};
  for (const batch::QueueConfig& it : config.queues)
    value["routes"].push_back(EncodeQueue(it));
  for (const batch::ServiceConfig& it : config.services)
    value["services"].push_back({{"name", it.name.value()}});
  for (const batch::WorkspaceConfig& it : config.workspaces) {
    value["tenants"].push_back(
        {{"name", it.name.value()},
         {"keys", it.keys},
         {"guaranteed", {{"gpu", it.guaranteed.value()}}},
         {"weight", it.weight},
         {"cap",
          {{"gpu", it.cap.accelerators.value()},
           {"cpu", it.cap.cpu.value()},
           {"mem_mb", it.cap.memory.value()}}}});
  }
  return value.dump();
}

std::string EncodeSubmission(const batch::JobSpec& spec) {
  json value = {{"spec", spec.payload}, {"phases", json::array()}};
  for (const batch::StepSpec& it : spec.steps)
    value["phases"].push_back(EncodeStep(it));
  return value.dump();
}

}  // namespace quetzalshelf
