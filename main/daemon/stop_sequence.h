// The steps of a planned stop, in order.

#ifndef MAIN_DAEMON_STOP_SEQUENCE_H_
#define MAIN_DAEMON_STOP_SEQUENCE_H_

#include <functional>

#include "core/time.h"

namespace quetzalshelf {

// What the sequence asks of the daemon. Each function is called at most once,
// but for `is_idle`.
struct StopSteps {
  // Announces the departure, refuses new work, and hands the shard over.
  std::function<void(std::function<void()> handed_over)> leave;
  std::function<bool()> is_idle;
  std::function<void(std::function<void()> recorded)> record_tickets;
  std::function<void(std::function<void()> closed)> close_server;
};

// Waits for requests in flight before it records their outcomes, and closes
// the server last, so that callers and peers can still ask for outcomes.
class StopSequence {
 public:
  StopSequence(StopSteps steps,
               TimePoint now,
               Duration limit,
               std::function<void()> done);

  // Goes on when a step has ended; call often.
  void Tick(TimePoint now);

 private:
  enum class Phase { kLeaving, kDraining, kRecording, kClosing, kDone };

  void Enter(Phase phase);

  StopSteps steps_;
  const TimePoint deadline_;
  std::function<void()> done_;
  Phase phase_ = Phase::kLeaving;
  bool step_ended_ = false;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_STOP_SEQUENCE_H_
