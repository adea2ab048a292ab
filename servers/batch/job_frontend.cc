#include "servers/batch/job_frontend.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/json_reader.h"
#include "core/logging.h"
#include "servers/batch/job_codec.h"
#include "servers/batch/job_state.h"
#include "servers/batch/leader_lease.h"

namespace quetzalshelf::batch {

namespace {

constexpr size_t kJobIdDigits = 16;
// Number of partitions of the table of jobs.
constexpr size_t kJobPartitions = 8;
// Follows the id of a job in the key of the row that cancels it.
constexpr std::string_view kCancelSuffix = "/cancel";
// Time-out of one copy of a write. It is long because a job whose answer is
// lost runs anyway.
constexpr Duration kCommitTimeout{2'500};
// A write without an answer is sent again beside the first copy, since a silent
// store may answer again meanwhile. Later if the store is slow: copies lengthen
// its queue.
constexpr Duration kRepeatWriteAfter{300};
constexpr int kRepeatWriteFactor = 4;
constexpr int kMaxWriteCopies = 5;
// Pause after a write whose connection broke; a store that resets every
// connection answers within milliseconds.
constexpr Duration kBrokenWritePause{100};
constexpr Duration kReadTimeout{900};
constexpr Duration kRepeatReadAfter{250};
// States are written shortly after the ends of runs that change them, and
// callers often ask only once, right after the last end. A state that is not
// final is therefore read again after these delays.
constexpr Duration kStateLags[] = {Duration(20), Duration(40)};
// A report that is too old for a caller is read again after this, the leader's
// heartbeat period. Without a leader it takes longer, so the caller is told to
// come back.
constexpr Duration kReportRetry{300};
constexpr int kMaxReportReads = 2;
// Left for the answer to travel to the caller before its deadline.
constexpr Duration kAnswerMargin{150};
// Retry-after for callers while the store or the configuration is unavailable.
constexpr Duration kNotReadyRetry{1'000};

CallAnswer Answer(CallOutcome outcome, std::string detail = "") {
  return {.outcome = outcome, .detail = std::move(detail)};
}

// Tasks of one occurrence. Its state is one row of the store, which takes
// 64 KiB and needs about 50 bytes for a running task.
constexpr int64_t kMaxTasks = 1'300;
// Tasks of all occurrences, which the leader keeps in memory.
constexpr int64_t kMaxTasksOfAll = 20'000;

// Says why the leader could never run the job of this row; empty if it can.
std::string FindObstacle(const JobRecord& record, const std::string& row) {
  Findings findings;
  if (!DecodeJobRecord(record.id, row, findings))
    return findings.ToString();
  int64_t tasks = 0;
  for (const StepSpec& it : record.spec.steps)
    tasks += it.tasks;
  if (tasks > kMaxTasks)
    return "more than " + std::to_string(kMaxTasks) + " tasks";
  if (tasks * record.spec.recurrence.occurrences > kMaxTasksOfAll) {
    return "more than " + std::to_string(kMaxTasksOfAll) +
           " tasks in all occurrences";
  }
  return "";
}

CallAnswer NotReady(std::string detail) {
  CallAnswer answer = Answer(CallOutcome::kNotReady, std::move(detail));
  answer.retry_after = kNotReadyRetry;
  return answer;
}

std::string JobPartition(const JobId& id) {
  // Ids are random digits, so any stable function of them spreads jobs evenly.
  size_t sum = 0;
  for (const char it : id.value())
    sum += static_cast<unsigned char>(it);
  return std::to_string(sum % kJobPartitions);
}

// The range that holds just this row.
ReadRange RangeOf(const StoreKey& id) {
  return {id.table, id.partition, id.key, id.key + '\0'};
}

}  // namespace

// A row that is written at most once, however many copies are sent.
struct JobFrontend::Write {
  StoreKey id;
  std::string value;
  WorkspaceId workspace;
  TimePoint deadline;
  bool maybe_written = false;
  int copies = 0;
  int in_flight = 0;
  bool answered = false;
  Callback done;
};

// A read that is repeated while it has no answer. The first answer counts.
struct JobFrontend::RepeatedRead {
  ReadRange range;
  TimePoint deadline;
  int in_flight = 0;
  bool answered = false;
  VersionedStore::ReadCallback done;
};

const char* ToString(JobPhase phase) {
  switch (phase) {
    case JobPhase::kQueued:
      return "queued";
    case JobPhase::kRunning:
      return "running";
    case JobPhase::kComplete:
      return "complete";
    case JobPhase::kFailed:
      return "failed";
    case JobPhase::kCancelled:
      return "cancelled";
  }
  return "queued";
}

bool IsFinalPhase(JobPhase phase) {
  return phase != JobPhase::kQueued && phase != JobPhase::kRunning;
}

std::vector<std::string> JobPartitions() {
  std::vector<std::string> partitions;
  for (size_t n = 0; n < kJobPartitions; ++n)
    partitions.push_back(std::to_string(n));
  return partitions;
}

StoreKey JobRowKey(const JobId& id) {
  return {kJobTable, JobPartition(id), id.value()};
}

StoreKey CancelRowKey(const JobId& id) {
  return {kJobTable, JobPartition(id), id.value() + std::string(kCancelSuffix)};
}

JobId CancelledJob(const StoreKey& id) {
  if (id.table != kJobTable || !id.key.ends_with(kCancelSuffix))
    return JobId();
  return JobId(id.key.substr(0, id.key.size() - kCancelSuffix.size()));
}

bool IsJobId(const std::string& text) {
  return text.size() == kJobIdDigits &&
         std::ranges::all_of(
             text, [](unsigned char c) { return std::isxdigit(c) != 0; });
}

JobFrontend::JobFrontend(VersionedStore& store,
                         TaskRunner& runner,
                         const Clock& clock,
                         const SiteView& site,
                         LoadView& load,
                         JobFrontendOptions options)
    : store_(store),
      runner_(runner),
      clock_(clock),
      site_(site),
      load_(load),
      options_(options) {}

bool JobFrontend::IsReady(TimePoint now) const {
  return site_.config() &&
         now - site_.confirmed_at() <= options_.max_config_age;
}

JobFrontend::Route JobFrontend::FindRoute(const CallerContext& caller,
                                          TimePoint now) const {
  Route route;
  if (!IsReady(now)) {
    route.refusal = NotReady("the configuration is not known to be current");
    return route;
  }
  const SiteConfig& config = *site_.config();
  route.queue = config.FindQueue(caller.host, caller.path);
  if (!route.queue) {
    route.refusal = Answer(CallOutcome::kNoSuchQueue);
    return route;
  }
  const WorkspaceConfig* const workspace =
      config.FindWorkspaceByKey(caller.key);
  if (!workspace && !route.queue->anonymous) {
    route.queue = nullptr;
    route.refusal = Answer(CallOutcome::kUnknownKey);
    return route;
  }
  if (workspace)
    route.workspace = workspace->name;
  route.rest = caller.path.substr(route.queue->prefix.size());
  return route;
}

void JobFrontend::Submit(const CallerContext& caller,
                         JobSpec spec,
                         Callback done) {
  const Route route = FindRoute(caller, clock_.Now());
  if (!route.queue) {
    done(route.refusal);
    return;
  }
  if (!IsJobId(route.rest)) {
    done(Answer(CallOutcome::kBadRequest, "the job id must be 16 hex digits"));
    return;
  }
  const QueueConfig& queue = *route.queue;
  JobRecord record;
  record.id = JobId(route.rest);
  record.workspace = route.workspace;
  record.queue = queue.name;
  record.service = queue.service;
  record.priority = queue.priority;
  record.attempts = queue.attempts;
  record.slack_factor = queue.slack_factor;
  record.target_latency = queue.target_latency;
  record.accepted_wall_ms = clock_.WallMillis();
  record.spec = std::move(spec);
  auto write = std::make_shared<Write>();
  write->id = JobRowKey(record.id);
  write->value = EncodeJobRecord(record);
  if (std::string obstacle = FindObstacle(record, write->value);
      !obstacle.empty()) {
    LOG(WARNING) << "job " << record.id << " cannot be run: " << obstacle;
    done(Answer(CallOutcome::kBadRequest, std::move(obstacle)));
    return;
  }
  write->workspace = record.workspace;
  write->deadline = caller.deadline - kAnswerMargin;
  write->done = std::move(done);
  const WorkspaceConfig* const workspace =
      site_.config()->FindWorkspace(record.workspace);
  const auto blocked =
      std::ranges::find_if(record.spec.steps, [workspace](const StepSpec& it) {
        return workspace && !workspace->CanRun(it);
      });
  if (blocked == record.spec.steps.end())
    Commit(write);
  else
    RefuseOverCap(write, record,
                  static_cast<int>(blocked - record.spec.steps.begin()));
}

void JobFrontend::RefuseOverCap(const std::shared_ptr<Write>& write,
                                const JobRecord& record,
                                int step) {
  std::string why = "step " + std::to_string(step) +
                    " needs more than workspace " + record.workspace.value() +
                    " may run at once";
  // An earlier copy of the call may have been accepted before the cap was
  // lowered; its job is not to be called refused.
  ReadJob(record.id, record.workspace, write->deadline,
          [this, write, id = record.id,
           why = std::move(why)](const CallAnswer& answer) {
            if (answer.outcome == CallOutcome::kFound) {
              Finish(write, Answer(CallOutcome::kAccepted));
            } else if (answer.outcome == CallOutcome::kNoSuchJob) {
              LOG(WARNING) << "job " << id << " cannot be run: " << why;
              Finish(write, Answer(CallOutcome::kBadRequest, why));
            } else {
              Finish(write, answer);
            }
          });
}

void JobFrontend::Commit(const std::shared_ptr<Write>& write) {
  const TimePoint now = clock_.Now();
  const Duration timeout =
      std::min(kCommitTimeout, Duration(write->deadline - now));
  if (timeout.count() <= 0) {
    if (write->in_flight == 0)
      Finish(write, write->maybe_written
                        ? Answer(CallOutcome::kOutcomeUnknown)
                        : NotReady("no time left to record it"));
    return;
  }
  ++write->copies;
  ++write->in_flight;
  StoreTransaction transaction;
  transaction.conditions = {{write->id, RowVersion(0)}};
  transaction.writes = {{write->id, write->value}};
  store_.Commit(transaction, timeout,
                [this, write, now](const absl::StatusOr<CommitOutcome>& it) {
                  --write->in_flight;
                  if (it.ok())
                    write_time_.Observe(clock_.Now() - now);
                  OnCommitted(write, it);
                });
  runner_.PostAfter(
      std::max(kRepeatWriteAfter, write_time_.mean() * kRepeatWriteFactor),
      [this, write] {
        const bool overdue = !write->answered && write->in_flight > 0;
        if (overdue && write->copies < kMaxWriteCopies)
          Commit(write);
      });
}

void JobFrontend::Finish(const std::shared_ptr<Write>& write,
                         CallAnswer answer) {
  write->answered = true;
  write->done(std::move(answer));
}

void JobFrontend::OnCommitted(const std::shared_ptr<Write>& write,
                              const absl::StatusOr<CommitOutcome>& result) {
  if (write->answered)
    return;
  if (!result.ok()) {
    LOG(WARNING) << "row " << write->id.table << "/" << write->id.key
                 << " not written: " << result.status().message();
    const bool refused = absl::IsUnavailable(result.status());
    write->maybe_written = write->maybe_written || !refused;
    // Another copy may still be answered.
    if (write->in_flight > 0)
      return;
    if (refused) {
      Finish(write, write->maybe_written ? Answer(CallOutcome::kOutcomeUnknown)
                                         : NotReady("the store refused"));
      return;
    }
    if (write->deadline - clock_.Now() <= kBrokenWritePause) {
      Finish(write, Answer(CallOutcome::kOutcomeUnknown));
      return;
    }
    runner_.PostAfter(kBrokenWritePause, [this, write] {
      if (!write->answered && write->in_flight == 0)
        Commit(write);
    });
    return;
  }
  if (!result->committed && CancelledJob(write->id).empty() &&
      !result->current.empty()) {
    Findings findings;
    const auto record = DecodeJobRecord(
        JobId(write->id.key), result->current.front().value, findings);
    if (record && record->workspace != write->workspace) {
      Finish(write, Answer(CallOutcome::kConflict, "the job id is in use"));
      return;
    }
  }
  Finish(write, Answer(CallOutcome::kAccepted));
}

void JobFrontend::ReadRow(const StoreKey& id,
                          TimePoint deadline,
                          VersionedStore::ReadCallback done) {
  auto read = std::make_shared<RepeatedRead>();
  read->range = RangeOf(id);
  read->deadline =
      std::min(deadline - kAnswerMargin, clock_.Now() + kReadTimeout);
  read->done = std::move(done);
  SendRead(read);
}

void JobFrontend::SendRead(const std::shared_ptr<RepeatedRead>& read) {
  const Duration left = read->deadline - clock_.Now();
  ++read->in_flight;
  store_.Read(read->range, std::max(left, Duration(1)),
              [read](const absl::StatusOr<StoreSnapshot>& it) {
                --read->in_flight;
                if (read->answered || (!it.ok() && read->in_flight > 0))
                  return;
                read->answered = true;
                read->done(it);
              });
  if (left > kRepeatReadAfter) {
    runner_.PostAfter(kRepeatReadAfter, [this, read] {
      if (!read->answered)
        SendRead(read);
    });
  }
}

void JobFrontend::ReadJob(const JobId& id,
                          const WorkspaceId& workspace,
                          TimePoint deadline,
                          std::function<void(CallAnswer)> done) {
  ReadRow(
      JobRowKey(id), deadline,
      [id, workspace,
       done = std::move(done)](const absl::StatusOr<StoreSnapshot>& result) {
        if (!result.ok()) {
          done(NotReady("the store does not answer"));
          return;
        }
        if (result->rows.empty()) {
          done(Answer(CallOutcome::kNoSuchJob));
          return;
        }
        Findings findings;
        const auto record =
            DecodeJobRecord(id, result->rows.front().value, findings);
        if (!record) {
          LOG(ERROR) << "job " << id
                     << " cannot be read: " << findings.ToString();
          done(NotReady("the job cannot be read"));
          return;
        }
        done(Answer(record->workspace == workspace ? CallOutcome::kFound
                                                   : CallOutcome::kNoSuchJob));
      });
}

void JobFrontend::Cancel(const CallerContext& caller, Callback done) {
  const Route route = FindRoute(caller, clock_.Now());
  if (!route.queue) {
    done(route.refusal);
    return;
  }
  const JobId id(route.rest);
  ReadJob(id, route.workspace, caller.deadline,
          [this, id, caller, done = std::move(done)](const CallAnswer& answer) {
            if (answer.outcome != CallOutcome::kFound) {
              done(answer);
              return;
            }
            auto write = std::make_shared<Write>();
            write->id = CancelRowKey(id);
            write->value = "{}";
            write->deadline = caller.deadline - kAnswerMargin;
            write->done = done;
            Commit(write);
          });
}

void JobFrontend::State(const CallerContext& caller, Callback done) {
  const Route route = FindRoute(caller, clock_.Now());
  if (!route.queue) {
    done(route.refusal);
    return;
  }
  ReadState(JobId(route.rest), route.workspace, caller.deadline, 0,
            std::move(done));
}

void JobFrontend::ReadState(const JobId& id,
                            const WorkspaceId& workspace,
                            TimePoint deadline,
                            size_t repeats,
                            Callback done) {
  ReadRow({kStateTable, kLeaderPartition, id.value()}, deadline,
          [this, id, workspace, deadline, repeats, done = std::move(done)](
              const absl::StatusOr<StoreSnapshot>& result) {
            if (!result.ok()) {
              done(NotReady("the store does not answer"));
              return;
            }
            std::optional<StateSummary> summary;
            if (!result->rows.empty())
              summary = DecodeStateSummary(result->rows.front().value);
            if (!summary || summary->workspace != workspace) {
              ReadJob(id, workspace, deadline, done);
              return;
            }
            const bool in_time =
                repeats < std::size(kStateLags) &&
                clock_.Now() + kStateLags[repeats] + kAnswerMargin < deadline;
            if (in_time && !IsFinalPhase(summary->phase)) {
              runner_.PostAfter(kStateLags[repeats], [this, id, workspace,
                                                      deadline, repeats, done] {
                ReadState(id, workspace, deadline, repeats + 1, done);
              });
              return;
            }
            CallAnswer answer = Answer(CallOutcome::kFound);
            answer.phase = summary->phase;
            done(answer);
          });
}

void JobFrontend::Pending(const CallerContext& caller, const Callback& done) {
  const Route route = FindRoute(caller, clock_.Now());
  if (!route.queue) {
    done(route.refusal);
    return;
  }
  TellCount(route.queue->name, caller.deadline, 0, done);
}

void JobFrontend::TellCount(const QueueName& queue,
                            TimePoint deadline,
                            int reads,
                            const Callback& done) {
  const TimePoint now = clock_.Now();
  if (const std::optional<QueueLoad> load = load_.Find(queue, now)) {
    CallAnswer answer = Answer(CallOutcome::kFound);
    answer.pending = load->pending;
    LOG(INFO) << "waiting jobs of queue " << queue
              << ": pending=" << load->pending
              << " age_ms=" << load_.Age(now)->count() << " reads=" << reads;
    done(answer);
    return;
  }
  if (now + kAnswerMargin >= deadline) {
    RefuseCount(queue, reads, done);
    return;
  }
  ReadRow(HeartbeatRowKey(), deadline,
          [this, queue, deadline, reads,
           done](const absl::StatusOr<StoreSnapshot>& result) {
            OnReport(queue, deadline, reads + 1, done, result);
          });
}

void JobFrontend::OnReport(const QueueName& queue,
                           TimePoint deadline,
                           int reads,
                           const Callback& done,
                           const absl::StatusOr<StoreSnapshot>& result) {
  if (!result.ok()) {
    done(NotReady("the store does not answer"));
    return;
  }
  if (result->rows.empty()) {
    done(NotReady("no leader has reported yet how many jobs wait"));
    return;
  }
  Findings findings;
  const std::optional<Heartbeat> heartbeat =
      DecodeHeartbeat(result->rows.front(), findings);
  if (!heartbeat)
    LOG(WARNING) << "heartbeat cannot be read: " << findings.ToString();
  else if (heartbeat->report)
    load_.Update(*heartbeat->report, clock_.Now());
  const TimePoint now = clock_.Now();
  if (load_.Find(queue, now)) {
    TellCount(queue, deadline, reads, done);
    return;
  }
  if (reads == kMaxReportReads ||
      now + kReportRetry + kAnswerMargin >= deadline) {
    RefuseCount(queue, reads, done);
    return;
  }
  runner_.PostAfter(kReportRetry, [this, queue, deadline, reads, done] {
    TellCount(queue, deadline, reads, done);
  });
}

void JobFrontend::RefuseCount(const QueueName& queue,
                              int reads,
                              const Callback& done) const {
  const std::optional<Duration> age = load_.Age(clock_.Now());
  LOG(WARNING) << "waiting jobs of queue " << queue
               << " are not known: age_ms=" << (age ? age->count() : -1)
               << " reads=" << reads;
  done(NotReady("no recent report of a leader says how many jobs wait"));
}

}  // namespace quetzalshelf::batch
