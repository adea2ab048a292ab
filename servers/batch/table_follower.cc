#include "servers/batch/table_follower.h"

#include <algorithm>
#include <map>
#include <utility>

#include "core/answer_time.h"
#include "core/logging.h"
#include "servers/batch/table_reading.h"

namespace quetzalshelf::batch {

namespace {

// Bounds of the time allowed for an answer beyond the wait of a feed call, for
// a healthy and for an overloaded store.
constexpr Duration kMinFeedSlack{120};
constexpr Duration kMaxFeedSlack{700};
// Time-out of a feed without a wait, unless the store is known to be slower.
// Long enough for what else is on its way on a narrow link.
constexpr Duration kCatchUpTimeout{400};
// The same while the table is being read beside it.
constexpr Duration kLongestCatchUp{2'000};
// A call that took longer than this may have met an outage without answers.
constexpr Duration kInterruption{250};
// A feed whose callback has not run so long after its time-out was lost.
constexpr Duration kLostCallMargin{1'000};
constexpr Duration kFirstRetry{50};
// A follower that has had no answer for this long, beyond the wait of a feed
// and the time between two, logs why. Later warnings come after twice the time.
constexpr Duration kLateAfter{1'000};

}  // namespace

struct TableFollower::State : std::enable_shared_from_this<State> {
  State(VersionedStore& s,
        const Clock& c,
        TableFollowerOptions o,
        SnapshotHandler snapshot,
        ChangeHandler change,
        uint64_t first_seed)
      : store(s),
        clock(c),
        options(std::move(o)),
        on_snapshot(std::move(snapshot)),
        on_change(std::move(change)),
        retry({kFirstRetry, options.longest_retry}, first_seed),
        seed(first_seed) {}

  void Read(TimePoint now) {
    ++readings;
    reading = std::make_unique<TableReading>(
        store, clock,
        TableReadingOptions{.table = options.table,
                            .partitions = options.partitions,
                            .longest_retry = options.longest_retry},
        [weak = weak_from_this()](const TableContent& content) {
          if (const auto self = weak.lock(); self && !self->stopped)
            self->FinishRead(content);
        },
        [weak = weak_from_this()](const absl::Status& status) {
          if (const auto self = weak.lock(); self && !self->stopped)
            self->RecordFailure(status);
        },
        ++seed);
    reading->Tick(now);
  }

  void FinishRead(const TableContent& content) {
    const TimePoint now = clock.Now();
    interrupted = interrupted || reading->was_interrupted();
    LOG(INFO) << "table " << options.table
              << " was read: after_ms=" << (now - followed_since).count()
              << " readings=" << readings << " rows=" << content.rows.size()
              << " " << ToString(reading->statistics());
    reading.reset();
    DropFeed();
    answer_time.Observe(content.answer_time);
    version = content.version;
    RememberVersions(content);
    Succeed(content.current_at);
    following = true;
    ready = true;
    // The next call goes out first: handlers may call Tick().
    call_sent = content.current_at;
    Continue(now);
    on_snapshot(content.rows);
  }

  // The feed goes on from the oldest version that was read, so it repeats
  // changes of rows that were read later.
  void RememberVersions(const TableContent& content) {
    read_versions.clear();
    last_read_version = content.last_version;
    if (content.version == content.last_version)
      return;
    for (const StoreRow& it : content.rows)
      read_versions[it.id] = it.version;
  }

  void DropKnownChanges(std::vector<StoreRow>& rows) {
    std::erase_if(rows, [this](const StoreRow& row) {
      const auto it = read_versions.find(row.id);
      return it != read_versions.end() && row.version <= it->second;
    });
    if (version >= last_read_version)
      read_versions.clear();
  }

  void Feed(TimePoint now) {
    const Duration slack = answer_time.Timeout(kMinFeedSlack, kMaxFeedSlack);
    SendFeed(now, options.poll, options.poll + slack);
  }

  // Asks again from the same version. A connection that has gone silent is not
  // used again, and the store may have much to send.
  void CatchUp(TimePoint now) {
    catching_up = true;
    const Duration timeout =
        reading ? kLongestCatchUp
                : answer_time.Timeout(kCatchUpTimeout, kMaxFeedSlack);
    SendFeed(now, Duration(0), timeout);
  }

  // The answer of a feed under way is not awaited any more.
  void DropFeed() {
    ++feed_call;
    feeding = catching_up = false;
  }

  void SendFeed(TimePoint now, Duration wait, Duration silence) {
    feeding = true;
    call_sent = now;
    feed_wait = wait;
    feed_lost_at = now + silence + kLongestFeedAnswer + kLostCallMargin;
    store.Feed(options.table, version, wait, silence,
               [weak = weak_from_this(), call = ++feed_call](
                   const absl::StatusOr<StoreSnapshot>& result) {
                 const auto self = weak.lock();
                 if (self && !self->stopped && call == self->feed_call)
                   self->OnFeed(result);
               });
  }

  // A call that never ends would stop the follower for good.
  void EndLostFeed(TimePoint now) {
    if (!feeding || now < feed_lost_at)
      return;
    ++feed_call;
    OnFeed(absl::DeadlineExceededError("a feed did not end"));
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
    const bool caught_up = std::exchange(catching_up, false);
    if (!result.ok()) {
      OnFeedFailure(result.status(), caught_up);
      return;
    }
    if (caught_up && clock.Now() - call_sent > kInterruption)
      interrupted = true;
    reading.reset();
    if (result->rows.empty())
      answer_time.Observe(clock.Now() - call_sent - feed_wait);
    version = std::max(version, result->version);
    std::vector<StoreRow> rows = result->rows;
    DropKnownChanges(rows);
    Succeed(call_sent);
    Continue(clock.Now());
    if (!rows.empty())
      on_change(rows);
  }

  void OnFeedFailure(const absl::Status& status, bool was_catching_up) {
    const TimePoint now = clock.Now();
    if (absl::IsDeadlineExceeded(status)) {
      CountFailure(status);
      // The table is read beside the feed, in case the store serves reads only.
      // On a crowded link the feed is the first to come through.
      if (was_catching_up && !reading) {
        interrupted = true;
        Read(now);
      }
      CatchUp(now);
      return;
    }
    if (absl::IsOutOfRange(status))
      following = false;
    RecordFailure(status);
    retry_at = now + retry.Next();
  }

  void Succeed(TimePoint sent) {
    confirmed_at = sent;
    answered_at = clock.Now();
    retry.Reset();
    if (!answering || interrupted)
      answering_since = sent;
    answering = true;
    interrupted = false;
    followed_since = answered_at;
    warn_after = kLateAfter;
    readings = failures = 0;
    last_error.clear();
    if (failing) {
      failing = false;
      LOG(INFO) << "table " << options.table << ": store answers again";
    }
  }

  void CountFailure(const absl::Status& status) {
    ++failures;
    last_error = std::string(status.message());
  }

  void RecordFailure(const absl::Status& status) {
    CountFailure(status);
    answering = false;
    if (!failing) {
      failing = true;
      LOG(WARNING) << "table " << options.table
                   << ": following failed, retrying: " << status.message();
    }
  }

  // Tells why the rows are not current, at growing intervals.
  void WarnIfLate(TimePoint now) {
    if (followed_since == TimePoint())
      followed_since = now;
    if (now - followed_since < options.spacing + options.poll + warn_after)
      return;
    warn_after *= 2;
    LOG(WARNING) << "table " << options.table
                 << " is not current: for_ms=" << (now - followed_since).count()
                 << " ready=" << ready << " feeding=" << feeding
                 << " readings=" << readings << " failures=" << failures
                 << " last_error=" << (last_error.empty() ? "none" : last_error)
                 << (reading ? " rows=" + std::to_string(reading->row_count()) +
                                   " " + ToString(reading->statistics())
                             : "");
  }

  VersionedStore& store;
  const Clock& clock;
  TableFollowerOptions options;
  SnapshotHandler on_snapshot;
  ChangeHandler on_change;
  Backoff retry;
  uint64_t seed;                          // Of the latest reading.
  std::unique_ptr<TableReading> reading;  // Null while none is under way.
  RowVersion version;
  // Of the rows read last, until the feed has come to `last_read_version`.
  std::map<StoreKey, RowVersion> read_versions;
  RowVersion last_read_version;
  AnswerTime answer_time;  // Without the wait of feeds.
  TimePoint call_sent;
  TimePoint confirmed_at;
  TimePoint answered_at;
  TimePoint answering_since;
  TimePoint retry_at;
  bool feeding = false;
  uint64_t feed_call = 0;  // The latest; answers to others are dropped.
  Duration feed_wait{0};
  TimePoint feed_lost_at;
  bool catching_up = false;  // The latest feed asks again after a silent one.
  bool following = false;
  bool ready = false;
  bool answering = false;
  bool failing = false;
  bool interrupted = false;  // A call was without an answer for long.
  bool stopped = false;
  TimePoint followed_since;  // The last success, or the first tick.
  Duration warn_after = kLateAfter;
  // Since the last success.
  int readings = 0;
  int failures = 0;
  std::string last_error;
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
  state_->WarnIfLate(now);
  state_->EndLostFeed(now);
  if (state_->reading)
    state_->reading->Tick(now);
  if (state_->feeding || now < state_->retry_at)
    return;
  if (!state_->following) {
    if (!state_->reading)
      state_->Read(now);
  } else if (state_->reading) {
    state_->CatchUp(now);
  } else {
    state_->Feed(now);
  }
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
