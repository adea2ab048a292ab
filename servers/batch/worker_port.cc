#include "servers/batch/worker_port.h"

namespace quetzalshelf::batch {

const char* ToString(OrderResult result) {
  switch (result) {
    case OrderResult::kDone:
      return "done";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kSuperseded:
      return "superseded";
    case OrderResult::kLeaseInPast:
      return "lease_in_past";
    case OrderResult::kNoRoom:
      return "no_room";
    case OrderResult::kRejected:
      return "rejected";
    case OrderResult::kUnhealthy:
      return "unhealthy";
    case OrderResult::kOtherIncarnation:
      return "other_incarnation";
  }
  return "unknown";
}

const char* ToString(EndReason reason) {
  switch (reason) {
    case EndReason::kDone:
      return "done";
    case EndReason::kFailed:
      return "failed";
    case EndReason::kStopped:
      return "stopped";
    case EndReason::kLapsed:
      return "lapsed";
    case EndReason::kBroken:
      return "broken";
    case EndReason::kAlone:
      return "alone";
  }
  return "unknown";
}

}  // namespace quetzalshelf::batch
