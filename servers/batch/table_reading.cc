#include "servers/batch/table_reading.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf::batch {

namespace {

constexpr Duration kPageTimeout{1'000};
// A call whose callback has not run so long after its time-out was lost.
constexpr Duration kLostCallMargin{1'000};
constexpr Duration kFirstRetry{50};
// While no call is answered, one is repeated this often, so that the end of a
// silent outage is noticed before the calls time out.
constexpr Duration kRepeatAfter{250};
constexpr int kMaxCopies = 4;
// Rows asked for at once, of all partitions together. The first pages tell how
// fast the link is.
constexpr size_t kFirstRows = 32;
constexpr size_t kMostRows = 4'000;
constexpr size_t kMostRowsOfPage = 500;  // The platform's limit.
// Pages grow while their bytes take less time than the first figure, and shrink
// when they take more than the second: the time of a page beyond the fastest
// answer, which is the store's. Both are well below the period of the leader's
// heartbeats, whose answers share the link.
constexpr Duration kFastPage{60};
constexpr Duration kSlowPage{200};
constexpr int kTellingHalvings = 2;

// First key after `key` in byte order.
std::string Successor(const std::string& key) {
  return key + '\0';
}

struct Partition {
  std::string name;
  std::string from;  // The first key that has not been read.
  bool begun = false;
  bool done = false;
  int calls = 0;  // Under way for the next page.
  // Of the calls for the next page; answers to earlier calls are dropped.
  uint64_t page = 0;
  TimePoint sent;  // The latest call for the next page.
  TimePoint retry_at;
};

}  // namespace

struct TableReading::State : std::enable_shared_from_this<State> {
  State(VersionedStore& s,
        const Clock& c,
        TableReadingOptions o,
        DoneHandler done,
        FailureHandler failure,
        uint64_t seed)
      : store(s),
        clock(c),
        options(std::move(o)),
        on_done(std::move(done)),
        on_failure(std::move(failure)),
        retry({kFirstRetry, options.longest_retry}, seed) {
    for (const std::string& it : options.partitions) {
      partitions.emplace_back();
      partitions.back().name = it;
    }
  }

  // Partitions that may be read at the same time, each at least by a row.
  size_t MaxActive() const { return std::min(partitions.size(), rows_at_once); }

  size_t PageRows() const {
    const auto unfinished = static_cast<size_t>(
        std::ranges::count(partitions, false, &Partition::done));
    const size_t active =
        std::max<size_t>(1, std::min(unfinished, MaxActive()));
    return std::clamp<size_t>(rows_at_once / active, 1, kMostRowsOfPage);
  }

  void SendDue(TimePoint now) {
    auto active = static_cast<size_t>(std::ranges::count_if(
        partitions,
        [](const Partition& it) { return !it.done && it.calls > 0; }));
    for (Partition& it : partitions) {
      if (active >= MaxActive())
        return;
      if (it.done || it.calls > 0 || now < it.retry_at)
        continue;
      SendPage(it, now);
      ++active;
    }
  }

  void SendPage(Partition& partition, TimePoint now) {
    ++partition.calls;
    partition.sent = last_sent = now;
    const auto index = static_cast<size_t>(&partition - partitions.data());
    store.Read({.table = options.table,
                .partition = partition.name,
                .from = partition.from,
                .to = "",
                .limit = PageRows()},
               kPageTimeout,
               [weak = weak_from_this(), index, page = partition.page,
                now](const absl::StatusOr<StoreSnapshot>& result) {
                 if (const auto self = weak.lock(); self && !self->stopped)
                   self->OnPage(index, page, now, result);
               });
  }

  void Tick(TimePoint now) {
    DropLostCalls(now);
    SendDue(now);
    RepeatUnanswered(now);
  }

  void DropLostCalls(TimePoint now) {
    for (Partition& it : partitions) {
      if (it.calls == 0 || now < it.sent + kPageTimeout + kLostCallMargin)
        continue;
      it.calls = 0;
      ++it.page;
      RecordFailure(absl::DeadlineExceededError("a call did not end"));
    }
  }

  void RepeatUnanswered(TimePoint now) {
    // A slow store is not a silent one.
    const Duration wait = statistics.pages == 0
                              ? kRepeatAfter
                              : std::max(kRepeatAfter, 2 * content.answer_time);
    if (now < std::max(heard_at, last_sent) + wait)
      return;
    // Only one call, since a slow link would be slowed further.
    const auto it = std::ranges::find_if(partitions, [](const Partition& part) {
      return !part.done && part.calls > 0;
    });
    if (it == partitions.end() || it->calls >= kMaxCopies)
      return;
    silent = interrupted = true;
    SendCopy(*it, now);
  }

  void SendCopy(Partition& partition, TimePoint now) {
    ++statistics.copies;
    SendPage(partition, now);
  }

  void OnPage(size_t index,
              uint64_t page,
              TimePoint sent,
              const absl::StatusOr<StoreSnapshot>& result) {
    Partition& partition = partitions[index];
    if (page != partition.page)
      return;
    const TimePoint now = clock.Now();
    if (!result.ok()) {
      OnPageFailure(partition, result.status(), sent, now);
      return;
    }
    heard_at = now;
    retry.Reset();
    AddRows(partition, *result, sent);
    content.answer_time = std::min(content.answer_time, Duration(now - sent));
    AdjustPageRows(sent, now);
    partition.calls = 0;
    ++partition.page;
    if (result->complete || result->rows.empty())
      partition.done = true;
    else
      partition.from = Successor(result->rows.back().id.key);
    if (std::ranges::all_of(partitions, &Partition::done)) {
      stopped = true;
      // The handler may destroy this reading.
      const DoneHandler done = std::move(on_done);
      done(content);
      return;
    }
    if (std::exchange(silent, false))
      RepeatSilenced(sent, now);
    SendDue(now);
  }

  void OnPageFailure(Partition& partition,
                     const absl::Status& status,
                     TimePoint sent,
                     TimePoint now) {
    --partition.calls;
    if (!absl::IsDeadlineExceeded(status))
      heard_at = now;
    else if (sent >= rows_changed_at)
      HalvePageRows(now);
    partition.retry_at = now + retry.Next();
    RecordFailure(status);
  }

  // Other calls may wait on connections that the outage has silenced.
  void RepeatSilenced(TimePoint answered_call_sent, TimePoint now) {
    for (Partition& it : partitions) {
      if (!it.done && it.calls > 0 && it.calls < kMaxCopies &&
          it.sent < answered_call_sent)
        SendCopy(it, now);
    }
  }

  void AddRows(Partition& partition,
               const StoreSnapshot& snapshot,
               TimePoint sent) {
    ++statistics.pages;
    for (const StoreRow& it : snapshot.rows)
      statistics.bytes += it.value.size();
    content.rows.insert(content.rows.end(), snapshot.rows.begin(),
                        snapshot.rows.end());
    content.last_version = std::max(content.last_version, snapshot.version);
    if (std::exchange(partition.begun, true))
      return;
    const bool first = statistics.pages == 1;
    content.version =
        first ? snapshot.version : std::min(content.version, snapshot.version);
    content.current_at = first ? sent : std::min(content.current_at, sent);
  }

  void AdjustPageRows(TimePoint sent, TimePoint now) {
    // Once for the pages that are under way together.
    if (sent < rows_changed_at)
      return;
    const Duration elapsed = now - sent;
    const Duration transfer = elapsed - content.answer_time;
    if (transfer <= kFastPage) {
      halvings = 0;
      rows_at_once = std::min(kMostRows, rows_at_once * 2);
      rows_changed_at = now;
      return;
    }
    if (transfer <= kSlowPage) {
      halvings = 0;
      return;
    }
    // A page of a quarter that takes about as long does not wait for the link:
    // the store has become slower. One halving does not tell, since pages of
    // the former size still share the link.
    if (halvings >= kTellingHalvings && elapsed * 4 > slow_page_time * 3) {
      content.answer_time = elapsed;
      halvings = 0;
      return;
    }
    if (halvings == 0 || halvings >= kTellingHalvings) {
      slow_page_time = elapsed;
      halvings = 0;
    }
    ++halvings;
    HalvePageRows(now);
  }

  void HalvePageRows(TimePoint now) {
    rows_at_once = std::max<size_t>(1, rows_at_once / 2);
    rows_changed_at = now;
  }

  void RecordFailure(const absl::Status& status) {
    ++statistics.failures;
    statistics.error = std::string(status.message());
    on_failure(status);
  }

  VersionedStore& store;
  const Clock& clock;
  const TableReadingOptions options;
  DoneHandler on_done;
  FailureHandler on_failure;
  Backoff retry;
  std::vector<Partition> partitions;
  TableContent content;
  TableReadingStatistics statistics;
  size_t rows_at_once = kFirstRows;
  TimePoint rows_changed_at;
  // Time of the page that made pages smaller, and how often they were halved
  // since.
  Duration slow_page_time{0};
  int halvings = 0;
  TimePoint heard_at;
  TimePoint last_sent;
  bool silent = false;  // A copy was sent and nothing answered since.
  bool interrupted = false;
  bool stopped = false;
};

std::string ToString(const TableReadingStatistics& it) {
  return "pages=" + std::to_string(it.pages) +
         " bytes=" + std::to_string(it.bytes) +
         " copies=" + std::to_string(it.copies) +
         " page_failures=" + std::to_string(it.failures) +
         " page_error=" + (it.error.empty() ? "none" : it.error);
}

TableReading::TableReading(VersionedStore& store,
                           const Clock& clock,
                           TableReadingOptions options,
                           DoneHandler on_done,
                           FailureHandler on_failure,
                           uint64_t seed)
    : state_(std::make_shared<State>(store,
                                     clock,
                                     std::move(options),
                                     std::move(on_done),
                                     std::move(on_failure),
                                     seed)) {}

TableReading::~TableReading() {
  state_->stopped = true;
}

void TableReading::Tick(TimePoint now) {
  if (!state_->stopped)
    state_->Tick(now);
}

bool TableReading::was_interrupted() const {
  return state_->interrupted;
}

size_t TableReading::row_count() const {
  return state_->content.rows.size();
}

const TableReadingStatistics& TableReading::statistics() const {
  return state_->statistics;
}

}  // namespace quetzalshelf::batch
