#include "servers/batch/table_follower.h"

#include <algorithm>
#include <utility>

#include "core/answer_time.h"
#include "core/logging.h"

namespace quetzalshelf::batch {

namespace {

constexpr Duration kReadTimeout{1'000};
// Bounds of the time allowed for an answer beyond the wait of a feed call, for
// a healthy and for an overloaded store.
constexpr Duration kMinFeedSlack{120};
constexpr Duration kMaxFeedSlack{700};
constexpr Duration kFirstRetry{50};
// A second read is sent while the first has had no answer for this long, so
// that the end of a silent outage is noticed before the first read times out.
// The first answer counts.
constexpr Duration kRepeatAfter{250};
constexpr size_t kMaxReads = 4;
// First key after `key` in byte order.
std::string Successor(const std::string& key) {
  return key + '\0';
}

}  // namespace

namespace {

// A read of all partitions.
struct Reading {
  TimePoint sent;
  std::vector<StoreRow> rows;
  RowVersion version;
  size_t left = 0;  // Partitions that are not read to their end.
};

}  // namespace

struct TableFollower::State : std::enable_shared_from_this<State> {
  State(VersionedStore& s,
        const Clock& c,
        TableFollowerOptions o,
        SnapshotHandler snapshot,
        ChangeHandler change,
        uint64_t seed)
      : store(s),
        clock(c),
        options(std::move(o)),
        on_snapshot(std::move(snapshot)),
        on_change(std::move(change)),
        retry({kFirstRetry, options.longest_retry}, seed) {}

  // All partitions are read at the same time.
  void Read(TimePoint now) {
    auto reading = std::make_shared<Reading>();
    reading->sent = now;
    reading->left = options.partitions.size();
    readings.push_back(reading);
    for (const std::string& it : options.partitions)
      ReadPage({options.table, it, "", ""}, reading);
  }

  void RepeatOverdueRead(TimePoint now) {
    if (readings.size() >= kMaxReads ||
        now < readings.back()->sent + kRepeatAfter)
      return;
    interrupted = true;
    Read(now);
  }

  void ReadPage(const ReadRange& range, const std::shared_ptr<Reading>& of) {
    store.Read(range, kReadTimeout,
               [weak = weak_from_this(), range,
                of](const absl::StatusOr<StoreSnapshot>& result) {
                 const auto self = weak.lock();
                 if (self && !self->stopped)
                   self->OnPage(range, of, result);
               });
  }

  void OnPage(ReadRange range,
              const std::shared_ptr<Reading>& reading,
              const absl::StatusOr<StoreSnapshot>& result) {
    if (std::ranges::find(readings, reading) == readings.end())
      return;
    if (!result.ok()) {
      std::erase(readings, reading);
      Fail(result.status());
      return;
    }
    std::vector<StoreRow>& rows = reading->rows;
    rows.insert(rows.end(), result->rows.begin(), result->rows.end());
    // The feed goes on from the oldest of the versions that were read.
    const bool first_page = range.from.empty();
    if (first_page && (reading->version == RowVersion(0) ||
                       result->version < reading->version))
      reading->version = result->version;
    if (!result->complete && !result->rows.empty()) {
      range.from = Successor(result->rows.back().id.key);
      ReadPage(range, reading);
      return;
    }
    if (--reading->left == 0)
      FinishRead(reading);
  }

  void FinishRead(const std::shared_ptr<Reading>& done) {
    readings.clear();
    answer_time.Observe(clock.Now() - done->sent);
    version = done->version;
    Succeed(done->sent);
    following = true;
    ready = true;
    // The next call goes out first: handlers may call Tick().
    call_sent = done->sent;
    Continue(clock.Now());
    on_snapshot(done->rows);
  }

  void Feed(TimePoint now) {
    feeding = true;
    call_sent = now;
    const Duration slack = answer_time.Timeout(kMinFeedSlack, kMaxFeedSlack);
    store.Feed(
        options.table, version, options.poll, options.poll + slack,
        [weak = weak_from_this()](const absl::StatusOr<StoreSnapshot>& result) {
          if (const auto self = weak.lock(); self && !self->stopped)
            self->OnFeed(result);
        });
  }

  // With a minimum spacing, Tick() sends the next call once it is due.
  void Continue(TimePoint now) {
    if (now >= call_sent + options.spacing)
      Feed(now);
    else
      retry_at = call_sent + options.spacing;
  }

  void OnFeed(const absl::StatusOr<StoreSnapshot>& result) {
    feeding = false;
    if (!result.ok()) {
      const bool silent = absl::IsDeadlineExceeded(result.status());
      if (silent || absl::IsOutOfRange(result.status()))
        following = false;
      if (silent)
        Read(clock.Now());
      else
        Fail(result.status());
      return;
    }
    if (result->rows.empty())
      answer_time.Observe(clock.Now() - call_sent - options.poll);
    version = std::max(version, result->version);
    Succeed(call_sent);
    Continue(clock.Now());
    if (!result->rows.empty())
      on_change(result->rows);
  }

  void Succeed(TimePoint sent) {
    confirmed_at = sent;
    answered_at = clock.Now();
    retry.Reset();
    if (failing || interrupted)
      answering_since = sent;
    interrupted = false;
    if (failing) {
      failing = false;
      LOG(INFO) << "table " << options.table << ": store answers again";
    }
  }

  void Fail(const absl::Status& status) {
    const Duration delay = retry.Next();
    retry_at = clock.Now() + delay;
    if (!failing) {
      failing = true;
      LOG(WARNING) << "table " << options.table
                   << ": following failed, retrying: " << status.message();
    }
  }

  VersionedStore& store;
  const Clock& clock;
  TableFollowerOptions options;
  SnapshotHandler on_snapshot;
  ChangeHandler on_change;
  Backoff retry;
  std::vector<std::shared_ptr<Reading>> readings;  // Under way, oldest first.
  RowVersion version;
  AnswerTime answer_time;  // Without the wait of feeds.
  TimePoint call_sent;
  TimePoint confirmed_at;
  TimePoint answered_at;
  TimePoint answering_since;
  TimePoint retry_at;
  bool feeding = false;
  bool following = false;
  bool ready = false;
  bool failing = true;
  bool interrupted = false;  // A call was without an answer for long.
  bool stopped = false;
};

TableFollower::TableFollower(VersionedStore& store,
                             const Clock& clock,
                             TableFollowerOptions options,
                             SnapshotHandler on_snapshot,
                             ChangeHandler on_change,
                             uint64_t seed)
    : state_(std::make_shared<State>(store,
                                     clock,
                                     std::move(options),
                                     std::move(on_snapshot),
                                     std::move(on_change),
                                     seed)) {}

TableFollower::~TableFollower() {
  state_->stopped = true;
}

void TableFollower::Tick(TimePoint now) {
  if (!state_->readings.empty()) {
    state_->RepeatOverdueRead(now);
    return;
  }
  if (state_->feeding || now < state_->retry_at)
    return;
  if (state_->following)
    state_->Feed(now);
  else
    state_->Read(now);
}

void TableFollower::set_spacing(Duration spacing) {
  state_->options.spacing = spacing;
}

bool TableFollower::ready() const {
  return state_->ready;
}

TimePoint TableFollower::confirmed_at() const {
  return state_->confirmed_at;
}

TimePoint TableFollower::answered_at() const {
  return state_->answered_at;
}

TimePoint TableFollower::answering_since() const {
  return state_->answering_since;
}

}  // namespace quetzalshelf::batch
