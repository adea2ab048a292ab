#include "main/daemon/shard_host.h"

#include <utility>

#include "core/logging.h"
#include "servers/scheduling/shape_scheduler.h"

namespace quetzalshelf {

ShardHost::ShardHost(ShardHostDeps deps, ShardHostOptions options)
    : deps_(std::move(deps)),
      options_(std::move(options)),
      lease_(options_.region,
             deps_.table,
             deps_.committer,
             deps_.membership,
             deps_.clock,
             deps_.store_reachable,
             options_.lease) {}

void ShardHost::Tick(TimePoint now) {
  lease_.Tick(now);
  if (service_ != nullptr && service_->fenced()) {
    lease_.StepDown();
    EndService("another owner was noticed");
  }
  const bool lost = service_ != nullptr &&
                    (!lease_.held() || lease_.epoch() != service_epoch_);
  if (lost)
    EndService("the lease was lost");
  if (service_ == nullptr && lease_.held())
    StartService(now);
  if (service_ != nullptr)
    service_->Tick(now);
}

void ShardHost::SetWorkspaces(std::vector<scheduling::Workspace> workspaces,
                              TimePoint now) {
  workspaces_ = std::move(workspaces);
  workspace_ids_.clear();
  for (const auto& it : workspaces_)
    workspace_ids_.insert(it.id);
  if (service_ != nullptr)
    service_->SetWorkspaces(workspaces_, now);
}

void ShardHost::SetWorkers(std::vector<jobs::WorkerEntry> workers,
                           TimePoint now) {
  workers_ = std::move(workers);
  if (service_ != nullptr)
    service_->SetWorkers(*workers_, now);
}

void ShardHost::HandOver(std::function<void()> done, TimePoint now) {
  if (!lease_.held()) {
    done();
    return;
  }
  if (service_ != nullptr)
    service_->StopDeciding();
  lease_.HandOver(
      [this, done = std::move(done)](bool handed_over) {
        Log("shard.handed_over",
            handed_over ? "to the next node" : "no node took it over");
        done();
      },
      now);
}

std::optional<PeerAddress> ShardHost::Owner() const {
  const auto owner = lease_.owner();
  if (!owner)
    return std::nullopt;
  const KnownNode* node = deps_.nodes.Find(*owner);
  return node == nullptr ? std::nullopt : std::optional(node->address);
}

bool ShardHost::HasWorkspace(const WorkspaceId& workspace) const {
  return workspace_ids_.contains(workspace);
}

std::vector<scheduling::UnsatisfiedGuarantee> ShardHost::UnsatisfiedGuarantees()
    const {
  if (service_ == nullptr)
    return {};
  return service_->UnsatisfiedGuarantees();
}

std::vector<scheduling::Worker> ShardHost::Workers() const {
  std::vector<scheduling::Worker> workers;
  if (!workers_)
    return workers;
  for (const jobs::WorkerEntry& it : *workers_)
    workers.push_back(it.worker);
  return workers;
}

const jobs::JobRows* ShardHost::Rows() const {
  return service_ == nullptr ? nullptr : &service_->rows();
}

void ShardHost::StartService(TimePoint now) {
  service_epoch_ = lease_.epoch();
  Log("shard.taken", "this node decides for the shard");
  service_ = std::make_unique<jobs::JobService>(
      jobs::JobServiceDeps{deps_.table, deps_.objects, deps_.workers,
                           deps_.committer, deps_.clock, lease_, &deps_.events},
      std::make_unique<scheduling::ShapeScheduler>(), options_.jobs, now);
  service_->SetWorkspaces(workspaces_, now);
  if (workers_)
    service_->SetWorkers(*workers_, now);
}

void ShardHost::EndService(const char* reason) {
  service_.reset();
  Log("shard.lost", reason);
}

void ShardHost::Log(const char* kind, const std::string& text) {
  LOG(INFO) << kind << " region=" << options_.region
            << " epoch=" << lease_.epoch() << ": " << text;
  Event event;
  event.kind = kind;
  event.epoch = lease_.epoch();
  event.text = text;
  deps_.events.Add(std::move(event));
}

}  // namespace quetzalshelf
