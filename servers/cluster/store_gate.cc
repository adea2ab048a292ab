#include "servers/cluster/store_gate.h"

namespace quetzalshelf::cluster {

namespace {

const absl::Status& StatusOf(const absl::Status& status) {
  return status;
}

template <typename Value>
const absl::Status& StatusOf(const absl::StatusOr<Value>& result) {
  return result.status();
}

// Whether the status says that the store did not serve the call.
bool IsOutage(const absl::Status& status) {
  return absl::IsUnavailable(status) || absl::IsDeadlineExceeded(status);
}

int64_t SizeOf(const Row& row) {
  return static_cast<int64_t>(row.key.size() + row.value.size());
}

}  // namespace

StoreGate::StoreGate(Table& table,
                     const Clock& clock,
                     StoreGateOptions options,
                     uint64_t seed)
    : table_(table),
      clock_(clock),
      options_(options),
      random_(seed),
      breaker_(options.breaker, random_.Next()),
      budget_(options.retries) {}

void StoreGate::Read(const std::string& key, ReadCallback done) {
  Begin<absl::StatusOr<Row>>(
      /*read=*/true,
      [this, key](ReadCallback answer) { table_.Read(key, std::move(answer)); },
      [this, done = std::move(done)](const absl::StatusOr<Row>& row) {
        if (row.ok())
          counters_.bytes_read += SizeOf(*row);
        done(row);
      });
}

void StoreGate::ReadPrefix(const std::string& prefix,
                           const std::string& after,
                           int limit,
                           ScanCallback done) {
  Begin<absl::StatusOr<std::vector<Row>>>(
      /*read=*/true,
      [this, prefix, after, limit](ScanCallback answer) {
        table_.ReadPrefix(prefix, after, limit, std::move(answer));
      },
      [this,
       done = std::move(done)](const absl::StatusOr<std::vector<Row>>& rows) {
        if (rows.ok()) {
          for (const Row& row : *rows)
            counters_.bytes_read += SizeOf(row);
        }
        done(rows);
      });
}

void StoreGate::Commit(Transaction transaction, CommitCallback done) {
  Begin<absl::Status>(
      /*read=*/false,
      [this, transaction = std::move(transaction)](CommitCallback answer) {
        for (const Write& write : transaction.writes) {
          ++counters_.rows_written;
          counters_.bytes_written += static_cast<int64_t>(
              write.key.size() + write.value.value_or("").size());
        }
        table_.Commit(transaction, std::move(answer));
      },
      std::move(done));
}

template <typename Result>
void StoreGate::Begin(bool read,
                      std::function<void(std::function<void(Result)>)> send,
                      std::function<void(Result)> done) {
  const uint64_t id = ++last_id_;
  const TimePoint now = clock_.Now();
  auto shared = std::make_shared<std::function<void(Result)>>(std::move(done));
  Call call{.read = read,
            .deadline = now + options_.time_limit,
            .next_try = now,
            .backoff = Backoff(options_.backoff, random_.Next())};
  call.fail = [shared](const absl::Status& status) { (*shared)(status); };
  call.send = [this, id, send = std::move(send), shared](int attempt) {
    send([this, id, attempt, shared,
          alive = std::weak_ptr(alive_)](Result result) {
      if (alive.expired() || !calls_.contains(id) ||
          calls_.at(id).tries != attempt || !calls_.at(id).sent) {
        return;
      }
      if (Settles(id, StatusOf(result)))
        (*shared)(std::move(result));
    });
  };
  calls_.emplace(id, std::move(call));
  budget_.RecordFirstTry();
  if (queue_.size() >= static_cast<size_t>(options_.max_queued)) {
    Reject(id, "too many calls to the store are waiting");
    return;
  }
  queue_.push_back(id);
  Pump(now);
}

bool StoreGate::Settles(uint64_t id, const absl::Status& status) {
  const TimePoint now = clock_.Now();
  Call& call = calls_.at(id);
  --in_flight_;
  call.sent = false;
  bool settled = true;
  if (!IsOutage(status)) {
    breaker_.RecordSuccess();
  } else {
    breaker_.RecordFailure(now);
    settled = !MayRetry(call, now);
  }
  if (settled)
    calls_.erase(id);
  Pump(now);
  return settled;
}

bool StoreGate::MayRetry(Call& call, TimePoint now) {
  if (!call.read || call.tries >= options_.max_read_tries || !reachable() ||
      !budget_.TryTakeRetry()) {
    return false;
  }
  ++counters_.retries;
  call.next_try = now + call.backoff.Next();
  call.deadline = call.next_try + options_.time_limit;
  return true;
}

void StoreGate::Pump(TimePoint now) {
  while (!queue_.empty() && in_flight_ < options_.max_in_flight) {
    const uint64_t id = queue_.front();
    queue_.pop_front();
    auto it = calls_.find(id);
    if (it == calls_.end())
      continue;
    if (breaker_.Allow(now))
      Send(it->second, now);
    else
      Reject(id, "the store does not answer; calls are suspended");
  }
}

void StoreGate::Send(Call& call, TimePoint now) {
  ++in_flight_;
  call.sent = true;
  call.deadline = now + options_.time_limit;
  ++call.tries;
  ++(call.read ? counters_.reads : counters_.commits);
  call.send(call.tries);
}

void StoreGate::Reject(uint64_t id, const char* reason) {
  auto node = calls_.extract(id);
  ++counters_.rejected;
  rejected_.emplace_back(std::move(node.mapped().fail), reason);
}

void StoreGate::Tick(TimePoint now) {
  Expire(now);
  for (auto& [id, call] : calls_) {
    const bool waits_for_retry =
        !call.sent && call.tries > 0 && now >= call.next_try;
    if (waits_for_retry && in_flight_ < options_.max_in_flight &&
        breaker_.Allow(now)) {
      Send(call, now);
    }
  }
  Pump(now);
  auto rejected = std::exchange(rejected_, {});
  for (const auto& [fail, reason] : rejected)
    fail(absl::UnavailableError(reason));
}

void StoreGate::Expire(TimePoint now) {
  std::vector<uint64_t> expired;
  for (const auto& [id, call] : calls_) {
    if (now >= call.deadline)
      expired.push_back(id);
  }
  for (uint64_t id : expired) {
    auto it = calls_.find(id);
    if (it == calls_.end())
      continue;
    if (!it->second.sent) {
      // It waits in the queue or for another try, so it has no effect.
      Reject(id, "the store was too busy for the call");
      continue;
    }
    ++counters_.timeouts;
    --in_flight_;
    it->second.sent = false;
    breaker_.RecordFailure(now);
    if (MayRetry(it->second, now))
      continue;
    auto node = calls_.extract(it);
    node.mapped().fail(
        absl::DeadlineExceededError("the store did not answer in time"));
  }
}

}  // namespace quetzalshelf::cluster
