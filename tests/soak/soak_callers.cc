#include "tests/soak/soak_callers.h"

#include <algorithm>
#include <map>
#include <utility>

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include "drivers/http/http_status.h"
#include "standins/fleet/fleet_codec.h"
#include "tests/soak/count_check.h"
#include "tests/soak/soak_fleet.h"

namespace quetzalshelf::soak {

namespace {

using nlohmann::json;

constexpr Duration kDeadline{3'000};
constexpr int kSubmissionTries = 6;
constexpr int kCancelTries = 20;
constexpr Duration kShortestPause{100};
constexpr Duration kLongestPause{600};
// How long after a final state a caller looks at it once more.
constexpr Duration kSecondLook{1'500};
constexpr double kResubmitChance = 0.2;
constexpr double kCancelChance = 0.15;
// By how much the users let a workspace be over its cap, besides one task.
constexpr double kCapOverrun = 0.1;

bool IsRefusal(int status) {
  return status == http_status::kTooManyRequests ||
         status == http_status::kServiceUnavailable;
}

bool IsFinal(const std::string& state) {
  return state == "complete" || state == "failed" || state == "cancelled";
}

std::string StateOf(const HttpResponse& response) {
  const json body = json::parse(response.body, nullptr, false);
  return body.is_object() ? body.value("state", "") : "";
}

}  // namespace

struct SoakCallers::Job {
  std::string id;
  size_t queue = 0;
  batch::JobSpec spec;
  int tries = 0;
  bool ambiguous = false;  // A submission had no telling answer.
  bool accepted = false;
  TimePoint accepted_at;
  bool refused = false;
  bool cancel_sent = false;
  bool settled = false;
  std::string final_state;
};

SoakCallers::SoakCallers(asio::io_context& io,
                         const ModelWorkers& workers,
                         std::vector<int> ports,
                         size_t payload_bytes,
                         uint64_t seed)
    : runner_(io),
      client_(io,
              {.connect_timeout = kDeadline,
               .max_idle = Duration(60'000),
               .max_idle_per_destination = 16,
               .max_header_bytes = 16'384}),
      workers_(workers),
      ports_(std::move(ports)),
      began_(clock_.Now()),
      random_(seed),
      count_random_(seed + 1),
      payload_bytes_(payload_bytes),
      seed_(seed) {}

batch::JobSpec SoakCallers::MakeSpec(size_t queue) {
  batch::StepSpec step;
  step.gang = queue < 2;
  step.tasks = static_cast<int>(random_.Between(1, 5));
  const int accelerators = queue == 0 && random_.Chance(0.5) ? 4 : 1;
  step.resources = {Accelerators(accelerators), MilliCores(4'000),
                    Mebibytes(8'000)};
  step.estimate = Duration(random_.Between(300, 2'000));
  batch::JobSpec spec;
  spec.payload = step.gang ? EncodeGang(step.tasks) : "";
  if (payload_bytes_ > spec.payload.size())
    spec.payload += std::string(payload_bytes_ - spec.payload.size(), ' ');
  spec.steps = {step};
  if (queue == 2 && random_.Chance(0.3)) {
    step.depends_on = {0};
    spec.steps.push_back(step);
  }
  return spec;
}

void SoakCallers::Call(const char* method,
                       const Job& job,
                       const std::string& body,
                       Callback done) {
  HttpCall call =
      MakeCall(method, std::string("/") + kQueues[job.queue] + "/" + job.id,
               ports_[random_.Below(ports_.size())]);
  call.body = body;
  client_.Call(std::move(call), std::move(done));
}

HttpCall SoakCallers::MakeCall(const char* method,
                               const std::string& target,
                               int port) const {
  HttpCall call;
  call.host = "127.0.0.1";
  call.port = port;
  call.method = method;
  call.target = target;
  call.headers = {{"Host", kHost},
                  {"Authorization", std::string("Token ") + kKey},
                  {"X-Deadline-Ms", std::to_string(kDeadline.count())}};
  call.timeout = kDeadline;
  return call;
}

void SoakCallers::After(Duration least,
                        Duration most,
                        std::function<void()> task) {
  runner_.PostAfter(Duration(random_.Between(least.count(), most.count())),
                    std::move(task));
}

void SoakCallers::SubmitJob() {
  SubmitTo(random_.Below(std::size(kQueues)));
}

void SoakCallers::SubmitSurge(int jobs) {
  const size_t queue = random_.Below(std::size(kQueues));
  for (int n = 0; n < jobs; ++n)
    SubmitTo(queue);
}

void SoakCallers::SubmitTo(size_t queue) {
  auto job = std::make_shared<Job>();
  job->id = absl::StrFormat("%08x%08x", seed_, ++counts_.submitted);
  job->queue = queue;
  job->spec = MakeSpec(job->queue);
  jobs_.push_back(job);
  ++open_jobs_;
  SendSubmission(job);
}

void SoakCallers::SendSubmission(const JobPointer& job) {
  ++job->tries;
  Call("POST", *job, EncodeSubmission(job->spec),
       [this, job](const absl::StatusOr<HttpResponse>& response) {
         OnSubmission(job, response);
       });
}

void SoakCallers::OnSubmission(const JobPointer& job,
                               const absl::StatusOr<HttpResponse>& response) {
  if (response.ok() && response->status == http_status::kOk) {
    OnAccepted(job);
    return;
  }
  const bool refused = response.ok() && IsRefusal(response->status);
  if (response.ok() && !refused &&
      response->status != http_status::kGatewayTimeout)
    Report(*job, "submission answered " + std::to_string(response->status));
  // Nothing was sent when the connection could not be made.
  job->ambiguous =
      job->ambiguous || (!refused && !absl::IsUnavailable(response.status()));
  if (job->tries < kSubmissionTries) {
    After(kShortestPause, kLongestPause, [this, job] { SendSubmission(job); });
    return;
  }
  if (job->ambiguous) {
    Watch(job);
    return;
  }
  ++counts_.refused;
  job->refused = true;
  Settle(job);
}

void SoakCallers::OnAccepted(const JobPointer& job) {
  ++counts_.accepted;
  job->accepted = true;
  job->accepted_at = clock_.Now();
  if (random_.Chance(kResubmitChance))
    After(Duration(0), kDeadline, [this, job] { Resubmit(job); });
  if (random_.Chance(kCancelChance))
    After(Duration(0), Duration(1'500), [this, job] { Cancel(job, 0); });
  After(kShortestPause, kLongestPause, [this, job] { Watch(job); });
}

void SoakCallers::Resubmit(const JobPointer& job) {
  Call("POST", *job, EncodeSubmission(job->spec),
       [](const absl::StatusOr<HttpResponse>&) {});
}

void SoakCallers::Cancel(const JobPointer& job, int tries) {
  if (job->settled)
    return;
  job->cancel_sent = true;
  Call("DELETE", *job, "",
       [this, job, tries](const absl::StatusOr<HttpResponse>& response) {
         if (response.ok() && response->status == http_status::kGone)
           Report(*job, "accepted, but a cancel finds no such job");
         const bool done =
             response.ok() && response->status == http_status::kOk;
         if (!done && tries < kCancelTries)
           After(kShortestPause, kLongestPause,
                 [this, job, tries] { Cancel(job, tries + 1); });
       });
}

void SoakCallers::Watch(const JobPointer& job) {
  Call("GET", *job, "",
       [this, job](const absl::StatusOr<HttpResponse>& response) {
         OnState(job, response);
       });
}

void SoakCallers::OnState(const JobPointer& job,
                          const absl::StatusOr<HttpResponse>& response) {
  const int status = response.ok() ? response->status : 0;
  if (status == http_status::kGone || status == http_status::kNotFound) {
    if (job->accepted || !job->final_state.empty()) {
      Report(*job, "accepted, but a node answered " + std::to_string(status));
    } else {
      ++counts_.unknown;
    }
    Settle(job);
    return;
  }
  if (status == http_status::kOk) {
    const std::string state = StateOf(*response);
    if (!job->final_state.empty()) {
      if (state != job->final_state)
        Report(*job, job->final_state + " became " + state);
      Settle(job);
      return;
    }
    if (IsFinal(state)) {
      OnFinal(job, state);
      return;
    }
  }
  After(kShortestPause, kLongestPause, [this, job] { Watch(job); });
}

void SoakCallers::OnFinal(const JobPointer& job, const std::string& state) {
  job->final_state = state;
  counts_.complete += state == "complete" ? 1 : 0;
  counts_.cancelled += state == "cancelled" ? 1 : 0;
  counts_.failed += state == "failed" ? 1 : 0;
  CheckFinal(*job, state);
  After(kSecondLook, kSecondLook, [this, job] { Watch(job); });
}

void SoakCallers::CheckFinal(const Job& job, const std::string& state) {
  if (state == "cancelled" && !job.cancel_sent)
    Report(job, "cancelled without being asked");
  int most_failures = 0;
  int most_crashes = 0;
  for (size_t step = 0; step < job.spec.steps.size(); ++step) {
    const batch::StepSpec& spec = job.spec.steps[step];
    int done = 0;
    int failures = 0;
    for (int n = 0; n < spec.tasks; ++n) {
      const batch::TaskId task{JobId(job.id), 0, static_cast<int>(step), n};
      done += workers_.IsDone(task) ? 1 : 0;
      // A gang fails as one.
      failures = (spec.gang ? failures : 0) + workers_.failures(task);
      most_failures = std::max(most_failures, failures);
      most_crashes = std::max(most_crashes, workers_.crashes_under(task));
    }
    // One end of a gang represents all.
    if (state == "complete" && done < (spec.gang ? 1 : spec.tasks))
      Report(job, "complete before its tasks were done");
  }
  if (state == "failed" && most_failures < kAttempts &&
      most_crashes < kFatalCrashes) {
    Report(job, "failed after only " + std::to_string(most_failures) +
                    " failures and " + std::to_string(most_crashes) +
                    " crashes");
  }
}

void SoakCallers::AskCounts() {
  const size_t queue = count_random_.Below(std::size(kQueues));
  const TimePoint now = clock_.Now();
  for (size_t node = 0; node < ports_.size(); ++node) {
    ++counts_.counts_asked;
    client_.Call(
        MakeCall("GET", std::string("/") + kQueues[queue] + "/", ports_[node]),
        [this, node, queue, now](const absl::StatusOr<HttpResponse>& response) {
          OnCount(node, queue, now, response);
        });
  }
}

void SoakCallers::OnCount(size_t node,
                          size_t queue,
                          TimePoint asked_at,
                          const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok())
    return;
  if (response->status != http_status::kOk) {
    counts_.counts_refused += IsRefusal(response->status) ? 1 : 0;
    return;
  }
  ++counts_.counts_told;
  const json body = json::parse(response->body, nullptr, false);
  const int64_t told =
      body.is_object() ? body.value("pending", int64_t{0}) : int64_t{0};
  const int64_t owed = CountOwedJobs(queue, asked_at);
  counts_.most_owed = std::max(counts_.most_owed, owed);
  if (IsTooFew(told, owed)) {
    violations_.push_back(absl::StrFormat(
        "%d ms: node n%d told %d waiting jobs of queue %s, %d have waited "
        "since %d ms or longer",
        (asked_at - began_).count(), node, told, kQueues[queue], owed,
        (asked_at - kCountCoverage - began_).count()));
  }
}

int64_t SoakCallers::CountOwedJobs(size_t queue, TimePoint asked_at) const {
  std::vector<WaitingJob> jobs;
  for (const JobPointer& job : jobs_) {
    if (job->queue != queue || !job->accepted)
      continue;
    bool has_begun = false;
    for (int n = 0; n < job->spec.steps.front().tasks; ++n)
      has_begun = has_begun || workers_.starts({JobId(job->id), 0, 0, n}) > 0;
    jobs.push_back(
        {.accepted_at = job->accepted_at,
         .has_begun = has_begun,
         .may_be_over = job->cancel_sent || !job->final_state.empty()});
  }
  return CountOwed(jobs, asked_at);
}

bool SoakCallers::IsIdle(const Job& job) const {
  bool over = true;
  for (size_t step = 0; step < job.spec.steps.size(); ++step) {
    const batch::StepSpec& spec = job.spec.steps[step];
    int done = 0;
    for (int n = 0; n < spec.tasks; ++n) {
      const batch::TaskId task{JobId(job.id), 0, static_cast<int>(step), n};
      if (workers_.IsRunning(task))
        return false;
      done += workers_.IsDone(task) ? 1 : 0;
    }
    over = over && done >= (spec.gang ? 1 : spec.tasks);
  }
  return !over;
}

int64_t SoakCallers::CountRunning() const {
  const std::vector<batch::TaskId> running = workers_.RunningTasks();
  int64_t sum = 0;
  for (const JobPointer& job : jobs_) {
    const int64_t each = job->spec.steps.front().resources.accelerators.value();
    sum +=
        each * std::ranges::count(running, JobId(job->id), &batch::TaskId::job);
  }
  return sum;
}

void SoakCallers::CheckCap(Accelerators cap) {
  int64_t largest = 0;
  for (const JobPointer& it : jobs_) {
    largest = std::max(largest,
                       it->spec.steps.front().resources.accelerators.value());
  }
  const auto limit = static_cast<int64_t>(static_cast<double>(cap.value()) *
                                          (1 + kCapOverrun)) +
                     largest;
  if (const int64_t running = CountRunning(); running > limit) {
    violations_.push_back(absl::StrFormat(
        "the workspace runs %d accelerators at %d ms, it may run %d", running,
        (clock_.Now() - began_).count(), limit));
  }
}

void SoakCallers::CheckStandingJobs(
    const std::vector<batch::WorkerEntry>& workers,
    Accelerators cap,
    TimePoint calm_since) {
  std::map<WorkerId, int> used;
  std::vector<StandCheck::Job> jobs;
  for (const JobPointer& it : jobs_) {
    if (it->settled || !it->accepted)
      continue;
    const batch::StepSpec& step = it->spec.steps.front();
    const int each = static_cast<int>(step.resources.accelerators.value());
    for (size_t n = 0; n < it->spec.steps.size(); ++n) {
      for (int index = 0; index < step.tasks; ++index) {
        const WorkerId holder =
            workers_.HolderOf({JobId(it->id), 0, static_cast<int>(n), index});
        if (!holder.empty())
          used[holder] += each;
      }
    }
    const bool may_be_over = it->cancel_sent || !it->final_state.empty();
    if (!may_be_over && IsIdle(*it))
      jobs.push_back({it->id, it->accepted_at, step.tasks, each});
  }
  // From half of its cap on a workspace may be held back.
  if (CountRunning() * 2 >= cap.value())
    jobs.clear();
  std::vector<StandCheck::Room> rooms;
  for (const batch::WorkerEntry& it : workers) {
    const int all = static_cast<int>(it.capacity.accelerators.value());
    rooms.push_back({.all = all, .free = all - used[it.id]});
  }
  for (const std::string& it :
       stand_check_.Observe(jobs, rooms, clock_.Now(), calm_since)) {
    violations_.push_back(
        absl::StrFormat("%s: stands still at %d ms, with room for it", it,
                        (clock_.Now() - began_).count()));
  }
}

void SoakCallers::Settle(const JobPointer& job) {
  if (!std::exchange(job->settled, true))
    --open_jobs_;
}

void SoakCallers::CheckRefusedJobs() {
  for (const JobPointer& job : jobs_) {
    if (job->refused && workers_.starts({JobId(job->id), 0, 0, 0}) > 0)
      Report(*job, "refused, but it ran");
  }
}

std::vector<std::string> SoakCallers::OpenJobs() const {
  std::vector<std::string> ids;
  for (const JobPointer& job : jobs_) {
    if (!job->settled)
      ids.push_back(job->id);
  }
  return ids;
}

void SoakCallers::Report(const Job& job, const std::string& text) {
  violations_.push_back(job.id + ": " + text);
}

}  // namespace quetzalshelf::soak
