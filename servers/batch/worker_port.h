// Interface to workers that run tasks under leases and fencing epochs.

#ifndef SERVERS_BATCH_WORKER_PORT_H_
#define SERVERS_BATCH_WORKER_PORT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "servers/batch/types.h"

namespace quetzalshelf::batch {

// A worker answers an order within a few milliseconds.
inline constexpr Duration kOrderTimeout{150};

// Workers refuse calls below the highest fence that they have seen.
using Fence = Ordinal<struct FenceTag>;

// Low bits of a fence, which count the fences of one leader. JSON numbers are
// exact up to 53 bits, which leaves 29 bits for epochs.
inline constexpr int kFenceSeriesBits = 24;
inline constexpr uint32_t kMaxFenceSeries = (1U << kFenceSeriesBits) - 1;

// Every fence of a later epoch is higher than those of earlier ones.
constexpr Fence MakeFence(Epoch epoch, uint32_t series) {
  return Fence((epoch.value() << kFenceSeriesBits) | series);
}

constexpr uint32_t SeriesOf(Fence fence) {
  return static_cast<uint32_t>(fence.value()) & kMaxFenceSeries;
}

struct StartOrder {
  TaskId task;
  Attempt attempt;
  Fence fence;
  std::string payload;
  std::string checkpoint;      // Empty: from the beginning.
  int64_t lease_until_ms = 0;  // On the worker's clock, for all it runs.
};

struct StopOrder {
  TaskId task;
  Attempt attempt;
  Fence fence;
};

enum class OrderResult {
  kDone,              // Started, or there already; stopped, or not there.
  kFenced,            // A higher fence was seen; nothing was done.
  kSuperseded,        // This or a higher attempt was stopped or has ended.
  kLeaseInPast,       // Nothing was started.
  kNoRoom,            // Nothing was started.
  kRejected,          // The order is malformed.
  kUnhealthy,         // The worker did nothing.
  kOtherIncarnation,  // Another incarnation of the worker answered.
};

const char* ToString(OrderResult result);

struct OrderReply {
  OrderResult result = OrderResult::kDone;
  std::optional<int64_t> clock_ms;  // The worker's clock.
};

struct SyncRequest {
  Fence fence;
  int64_t acknowledged_ends = 0;  // Ends up to this number may be forgotten.
  std::optional<int64_t> lease_until_ms;
  Duration wait{0};  // The answer may wait so long for an end.
};

enum class EndReason { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

const char* ToString(EndReason reason);

struct ListedRun {
  TaskId task;
  Attempt attempt;
  std::string checkpoint;
  int percent = 0;
};

struct ListedEnd {
  int64_t number = 0;  // Counts from 1 in each incarnation.
  TaskId task;
  Attempt attempt;
  EndReason reason = EndReason::kDone;
  std::string checkpoint;
};

struct SyncReply {
  OrderResult result = OrderResult::kDone;
  int64_t clock_ms = 0;
  int64_t incarnation_start_wall_ms = 0;  // 0 when the worker did not say.
  std::vector<ListedRun> runs;
  std::vector<ListedEnd> ends;
  // Further ends follow the last one; they are listed once earlier ones have
  // been acknowledged. A run in neither list may be among them.
  bool more_ends = false;
};

// Calls return at once; callbacks run later on the caller's thread. Errors:
// kUnavailable (nothing was sent), kUnknown and kDeadlineExceeded (the order
// may be carried out, also later).
class WorkerPort {
 public:
  using OrderCallback = std::function<void(absl::StatusOr<OrderReply>)>;
  using SyncCallback = std::function<void(absl::StatusOr<SyncReply>)>;

  virtual ~WorkerPort() = default;

  virtual void Start(const WorkerEntry& worker,
                     const StartOrder& order,
                     Duration timeout,
                     OrderCallback done) = 0;
  virtual void Stop(const WorkerEntry& worker,
                    const StopOrder& order,
                    Duration timeout,
                    OrderCallback done) = 0;
  virtual void Sync(const WorkerEntry& worker,
                    const SyncRequest& request,
                    Duration timeout,
                    SyncCallback done) = 0;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_WORKER_PORT_H_
