// Dispatcher: runs scheduling passes and carries out what they decide.

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "servers/batch/dispatcher.h"
#include "servers/batch/planning/scheduling_pass.h"

namespace quetzalshelf::batch {

namespace {

constexpr double kPermille = 1'000;

}  // namespace

class Dispatcher::PassRecorder : public PassActions {
 public:
  PassRecorder(Dispatcher& dispatcher, TimePoint now)
      : dispatcher_(dispatcher), now_(now) {}

  void RecordAssignment(Job& job) override {
    dispatcher_.MarkChanged(job, WriteUrgency::kNow);
  }
  void StopRun(Job& job, const TaskId& id, const char* why) override {
    dispatcher_.StopRun(job, id, now_, why);
  }

 private:
  Dispatcher& dispatcher_;
  const TimePoint now_;
};

PassInputs Dispatcher::MakePassInputs(TimePoint now) {
  PassInputs inputs{
      .now = now,
      .wall_ms = clock_.WallMillis(),
      .registry = registry_,
      .site = site_,
      .speeds = speeds_,
      .failure_bursts = failure_bursts_,
      .mean_stop_time = mean_stop_time_,
      .find_job = [this](const JobId& id) { return FindJob(id); }};
  inputs.jobs.reserve(live_.size());
  for (const JobId& id : live_)
    inputs.jobs.push_back(jobs_.at(id).get());
  return inputs;
}

void Dispatcher::ApplyOutcome(const PassOutcome& outcome) {
  pass_due_ = pass_due_ || outcome.repeat;
  strays_end_ = std::min(strays_end_, outcome.strays_end);
  reclaims_.Add(outcome.reclaims);
  cap_reclaims_.Add(outcome.cap_reclaims);
  for (const auto& [reason, steps] : outcome.standing) {
    metrics_
        .GetCounter("quetzalshelf_standing_steps_total{reason=\"" + reason +
                    "\"}")
        .Add(steps);
  }
}

void Dispatcher::RunPass(TimePoint now) {
  const PassInputs inputs = MakePassInputs(now);
  PassRecorder recorder(*this, now);
  PassOutcome outcome = SchedulingPass(inputs, recorder).Decide();
  ApplyOutcome(outcome);
  workspaces_ = std::move(outcome.workspaces);
  for (const auto& [id, use] : workspaces_) {
    const std::string label = "{workspace=\"" + id.value() + "\"}";
    const auto set = [&](const char* name, int64_t value) {
      metrics_.GetGauge(std::string("quetzalshelf_workspace_") + name + label)
          .Set(value);
    };
    set("accelerators", use.used.accelerators.value());
    set("accelerators_cap", use.cap.accelerators.value());
    set("steps_at_cap", use.waiting_at_cap);
    set("share_permille", std::llround(use.share * kPermille));
    set("due_share_permille", std::llround(use.due_share * kPermille));
  }
}

bool Dispatcher::MoveGangMember(Job& job, const TaskId& id, TimePoint now) {
  const PassInputs inputs = MakePassInputs(now);
  PassRecorder recorder(*this, now);
  return SchedulingPass(inputs, recorder).MoveGangMember(job, id);
}

}  // namespace quetzalshelf::batch
