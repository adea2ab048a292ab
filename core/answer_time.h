// Mean answer time of a peer, and the time-out that follows from it.

#ifndef CORE_ANSWER_TIME_H_
#define CORE_ANSWER_TIME_H_

#include "core/time.h"

namespace quetzalshelf {

class AnswerTime {
 public:
  void Observe(Duration elapsed);
  // No answer came within `timeout`; the peer may be slower than that.
  void ObserveTimeout(Duration timeout);

  Duration mean() const { return mean_; }
  // Several times the mean, within the bounds.
  Duration Timeout(Duration shortest, Duration longest) const;

 private:
  Duration mean_{0};
};

}  // namespace quetzalshelf

#endif  // CORE_ANSWER_TIME_H_
