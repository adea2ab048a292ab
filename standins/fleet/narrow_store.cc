#include "standins/fleet/narrow_store.h"

#include <string>
#include <utility>

namespace quetzalshelf {

namespace {

constexpr Duration kStep{5};
// Headers of an answer, and names and numbers of a row.
constexpr size_t kAnswerOverhead = 200;
constexpr size_t kRowOverhead = 100;

size_t SizeOf(const std::vector<StoreRow>& rows) {
  size_t bytes = kAnswerOverhead;
  for (const StoreRow& it : rows) {
    // Values travel as base64, four bytes for three.
    bytes += it.value.size() * 4 / 3 + it.id.key.size() + kRowOverhead;
  }
  return bytes;
}

size_t SizeOf(const CommitOutcome& outcome) {
  return SizeOf(outcome.current);
}

size_t SizeOf(const StoreSnapshot& snapshot) {
  return SizeOf(snapshot.rows);
}

}  // namespace

NarrowStore::NarrowStore(VersionedStore& store,
                         TaskRunner& runner,
                         const Clock& clock,
                         int64_t bytes_per_second)
    : store_(store),
      runner_(runner),
      clock_(clock),
      bytes_per_second_(bytes_per_second) {}

NarrowStore::~NarrowStore() {
  *alive_ = false;
}

template <typename Answer>
std::function<void(absl::StatusOr<Answer>)> NarrowStore::Carry(
    TimePoint deadline,
    std::function<void(absl::StatusOr<Answer>)> done) {
  return [this, alive = alive_, deadline,
          done = std::move(done)](absl::StatusOr<Answer> answer) {
    if (!*alive)
      return;
    const size_t bytes = answer.ok() ? SizeOf(*answer) : kAnswerOverhead;
    transfers_.push_back(
        {static_cast<double>(bytes), deadline,
         [done, answer = std::move(answer)](bool arrived) {
           if (arrived)
             done(answer);
           else
             done(absl::DeadlineExceededError("no answer in time"));
         }});
    if (!std::exchange(stepping_, true))
      runner_.PostAfter(kStep, [this, alive] {
        if (*alive)
          Step();
      });
  };
}

void NarrowStore::Step() {
  const double share = static_cast<double>(bytes_per_second_) *
                       static_cast<double>(kStep.count()) / 1'000 /
                       static_cast<double>(transfers_.size());
  std::vector<Transfer> under_way;
  for (Transfer& it : std::exchange(transfers_, {})) {
    it.bytes_left -= share;
    const bool arrived = it.bytes_left <= 0;
    if (arrived || clock_.Now() >= it.deadline)
      runner_.Post(
          [finish = std::move(it.finish), arrived] { finish(arrived); });
    else
      under_way.push_back(std::move(it));
  }
  transfers_ = std::move(under_way);
  stepping_ = !transfers_.empty();
  if (stepping_)
    runner_.PostAfter(kStep, [this, alive = alive_] {
      if (*alive)
        Step();
    });
}

void NarrowStore::Commit(const StoreTransaction& transaction,
                         Duration timeout,
                         CommitCallback done) {
  store_.Commit(transaction, timeout,
                Carry<CommitOutcome>(clock_.Now() + timeout, std::move(done)));
}

void NarrowStore::Read(const ReadRange& range,
                       Duration timeout,
                       ReadCallback done) {
  store_.Read(range, timeout,
              Carry<StoreSnapshot>(clock_.Now() + timeout, std::move(done)));
}

void NarrowStore::Feed(const std::string& table,
                       RowVersion after,
                       Duration wait,
                       Duration timeout,
                       ReadCallback done) {
  // The call fails at the time-out if no byte has arrived by then.
  auto pending = std::make_shared<ReadCallback>(Carry<StoreSnapshot>(
      clock_.Now() + timeout + kLongestFeedAnswer, std::move(done)));
  runner_.PostAfter(timeout, [pending] {
    if (*pending)
      std::exchange(*pending,
                    nullptr)(absl::DeadlineExceededError("no answer in time"));
  });
  store_.Feed(table, after, wait, timeout,
              [pending](absl::StatusOr<StoreSnapshot> answer) {
                if (*pending)
                  std::exchange(*pending, nullptr)(std::move(answer));
              });
}

}  // namespace quetzalshelf
