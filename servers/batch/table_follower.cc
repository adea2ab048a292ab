#include "servers/batch/table_follower.h"

#include <algorithm>
#include <ostream>
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
// A follower that has had no answer for this long, beyond the wait of a feed
// and the time between two, logs why. Later warnings come after twice the time.
constexpr Duration kLateAfter{1'000};

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

// What was received since the rows were confirmed last.
struct ReadStatistics {
  size_t pages = 0;
  size_t rows = 0;
  size_t bytes = 0;  // Of the values.
  int readings = 0;  // Begun, including copies of one without an answer.
  int failures = 0;
  std::string error;  // The latest.

  void AddPage(const std::vector<StoreRow>& page);
};

void ReadStatistics::AddPage(const std::vector<StoreRow>& page) {
  ++pages;
  rows += page.size();
  for (const StoreRow& it : page)
    bytes += it.value.size();
}

std::ostream& operator<<(std::ostream& out, const ReadStatistics& it) {
  return out << "readings=" << it.readings << " pages=" << it.pages
             << " rows=" << it.rows << " bytes=" << it.bytes
             << " failures=" << it.failures
             << " last_error=" << (it.error.empty() ? "none" : it.error);
}

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
    ++statistics.readings;
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
    statistics.AddPage(result->rows);
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
    LOG(INFO) << "table " << options.table << " was read: after_ms="
              << (clock.Now() - followed_since).count() << " " << statistics;
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
      if (silent) {
        RecordFailure(result.status());
        Read(clock.Now());
      } else {
        Fail(result.status());
      }
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
    if (!answering || interrupted)
      answering_since = sent;
    answering = true;
    interrupted = false;
    statistics = {};
    followed_since = answered_at;
    warn_after = kLateAfter;
    if (failing) {
      failing = false;
      LOG(INFO) << "table " << options.table << ": store answers again";
    }
  }

  void RecordFailure(const absl::Status& status) {
    ++statistics.failures;
    statistics.error = std::string(status.message());
  }

  void Fail(const absl::Status& status) {
    const Duration delay = retry.Next();
    retry_at = clock.Now() + delay;
    answering = false;
    RecordFailure(status);
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
                 << " reads=" << readings.size() << " " << statistics;
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
  bool answering = false;
  bool failing = false;
  bool interrupted = false;  // A call was without an answer for long.
  bool stopped = false;
  ReadStatistics statistics;
  TimePoint followed_since;  // The last success, or the first tick.
  Duration warn_after = kLateAfter;
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
