#include "main/daemon/stop_sequence.h"

#include <utility>

#include "core/logging.h"

namespace quetzalshelf {

StopSequence::StopSequence(StopSteps steps,
                           TimePoint now,
                           Duration limit,
                           std::function<void()> done)
    : steps_(std::move(steps)), deadline_(now + limit), done_(std::move(done)) {
  steps_.leave([this] { step_ended_ = true; });
}

void StopSequence::Tick(TimePoint now) {
  const bool overdue = now >= deadline_;
  switch (phase_) {
    case Phase::kLeaving:
      if (step_ended_ || overdue)
        Enter(Phase::kDraining);
      return;
    case Phase::kDraining:
      if (steps_.is_idle() || overdue)
        Enter(Phase::kRecording);
      return;
    case Phase::kRecording:
      if (step_ended_ || overdue)
        Enter(Phase::kClosing);
      return;
    case Phase::kClosing:
      if (step_ended_ || overdue)
        Enter(Phase::kDone);
      return;
    case Phase::kDone:
      return;
  }
}

void StopSequence::Enter(Phase phase) {
  phase_ = phase;
  step_ended_ = false;
  const auto end_step = [this] { step_ended_ = true; };
  if (phase == Phase::kRecording)
    steps_.record_tickets(end_step);
  if (phase == Phase::kClosing)
    steps_.close_server(end_step);
  if (phase == Phase::kDone) {
    LOG(INFO) << "stopped";
    done_();
  }
}

}  // namespace quetzalshelf
