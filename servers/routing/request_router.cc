#include "servers/routing/request_router.h"

#include <utility>

#include <xxhash.h>

namespace quetzalshelf::routing {

namespace {

// Identifies the content of a request, so that a ticket cannot be used for two.
uint64_t Fingerprint(const CallerRequest& request) {
  std::string text = request.workspace.value();
  text += '\0';
  text += request.kind;
  text += '\0';
  text += request.idempotent ? '1' : '0';
  text += request.payload;
  return XXH3_64bits(text.data(), text.size());
}

bool ProvesNotRun(const absl::Status& status) {
  return absl::IsUnavailable(status) || absl::IsResourceExhausted(status);
}

}  // namespace

struct RequestRouter::Counters {
  explicit Counters(MetricsRegistry& metrics)
      : answered(metrics.GetCounter("requests_total{outcome=\"answered\"}")),
        not_run(metrics.GetCounter("requests_total{outcome=\"not_run\"}")),
        unknown(metrics.GetCounter("requests_total{outcome=\"unknown\"}")),
        retries(metrics.GetCounter("request_retries_total")),
        mismatched(metrics.GetCounter("mismatched_answers_total")),
        queued(metrics.GetGauge("requests_queued")),
        ejected(metrics.GetGauge("backend_servers_ejected")),
        latency(metrics.GetDistribution("request_latency_ms")) {}

  Counter& OfOutcome(Outcome outcome) {
    if (outcome == Outcome::kAnswered)
      return answered;
    return outcome == Outcome::kNotRun ? not_run : unknown;
  }

  Counter& answered;
  Counter& not_run;
  Counter& unknown;
  Counter& retries;
  Counter& mismatched;
  Gauge& queued;
  Gauge& ejected;
  Distribution& latency;
};

RequestRouter::RequestRouter(RouterOptions options,
                             BackendPort& port,
                             const Clock& clock,
                             MetricsRegistry& metrics)
    : options_(std::move(options)),
      port_(port),
      clock_(clock),
      counters_(std::make_unique<Counters>(metrics)),
      directory_(options_.directory),
      policy_(MakeBalancerPolicy(options_.policy, options_.seed)),
      retry_budget_(options_.retries),
      tickets_(options_.node,
               options_.incarnation,
               options_.tickets,
               options_.seed),
      self_(std::make_shared<RequestRouter*>(this)) {}

RequestRouter::~RequestRouter() {
  *self_ = nullptr;
}

void RequestRouter::SetLimits(const std::vector<WorkspaceLimits>& limits,
                              TimePoint now) {
  admission_.SetLimits(limits);
  Pump(now);
}

void RequestRouter::SetServers(const std::vector<BackendEntry>& servers,
                               TimePoint now) {
  directory_.SetServers(servers, now);
  Pump(now);
}

void RequestRouter::MarkLeaving(const BackendId& backend, TimePoint now) {
  directory_.MarkLeaving(backend, now);
}

std::vector<BackendId> RequestRouter::LeavingServers(TimePoint now) const {
  return directory_.LeavingServers(now);
}

void RequestRouter::Submit(CallerRequest request,
                           TimePoint now,
                           ReplyCallback done) {
  const TicketId ticket =
      request.ticket.empty() ? tickets_.Issue(now) : request.ticket;
  // A stopping node still answers tickets that it knows; saying "not run" for
  // one whose request is in flight would be wrong.
  if (stopping_ && !tickets_.IsUsed(ticket)) {
    done(Shed("the node is stopping; try another one"));
    return;
  }
  if (RegisterTicket(request, ticket, now, done))
    Enqueue(std::move(request), ticket, now, std::move(done));
}

// Answers repeated and invalid uses; true when the request may run.
bool RequestRouter::RegisterTicket(const CallerRequest& request,
                                   const TicketId& ticket,
                                   TimePoint now,
                                   ReplyCallback& done) {
  switch (tickets_.Use(ticket, Fingerprint(request), now)) {
    case TicketUse::kFresh:
      return true;
    case TicketUse::kPending:
      tickets_.AddWaiter(ticket, std::move(done));
      return false;
    case TicketUse::kSettled:
      done(*tickets_.FindReply(ticket));
      return false;
    case TicketUse::kExpired:
      done(CallerReply{Outcome::kUnknown,
                       {},
                       "",
                       "the ticket has expired; the request was not run now",
                       Duration(0)});
      return false;
    case TicketUse::kForeign:
      done(absl::InvalidArgumentError(
          "the ticket was not issued by this incarnation of the node"));
      return false;
    case TicketUse::kMismatch:
      done(absl::InvalidArgumentError(
          "the ticket was used for a different request; get a new one"));
      return false;
    case TicketUse::kFull:
      done(Shed("the node remembers too many requests"));
      return false;
  }
  return false;
}

void RequestRouter::Enqueue(CallerRequest request,
                            TicketId ticket,
                            TimePoint now,
                            ReplyCallback done) {
  const RequestId id(options_.node.value() + "-" +
                     options_.incarnation.value() + "-" +
                     std::to_string(next_request_++));
  const WorkspaceId workspace = request.workspace;
  const TimePoint deadline = request.deadline;
  Active active;
  active.request = std::move(request);
  active.ticket = std::move(ticket);
  active.done = std::move(done);
  active.accepted = now;
  switch (admission_.Enqueue(workspace, id, deadline)) {
    case AdmissionResult::kQueued:
      active_.emplace(id, std::move(active));
      Pump(now);
      return;
    case AdmissionResult::kQueueFull: {
      const CallerReply reply = Shed("the queue of the workspace is full");
      tickets_.Settle(active.ticket, reply);
      active.done(reply);
      return;
    }
    case AdmissionResult::kUnknownWorkspace:
      tickets_.Settle(active.ticket, Shed("the workspace does not exist"));
      active.done(absl::NotFoundError("workspace \"" + workspace.value() +
                                      "\" does not exist"));
      return;
  }
}

void RequestRouter::Tick(TimePoint now) {
  for (const RequestId& id : admission_.TakeExpired(now))
    SettleUnanswered(id, "the deadline passed in the queue", now);
  std::vector<RequestId> overdue;
  for (const auto& [id, active] : active_) {
    const bool sent = !active.backend.empty();
    if (sent && now >= active.request.deadline + options_.settle_grace)
      overdue.push_back(id);
  }
  for (const RequestId& id : overdue) {
    OnFailure(id, absl::DeadlineExceededError("no answer by the deadline"),
              now);
  }
  tickets_.Tick(now);
  Pump(now);
  counters_->queued.Set(static_cast<int64_t>(admission_.CountQueued()));
  counters_->ejected.Set(directory_.CountEjected(now));
}

void RequestRouter::Pump(TimePoint now) {
  for (;;) {
    if (directory_.Candidates({}, now).empty())
      return;
    const auto id = admission_.Take();
    if (!id)
      return;
    const Active& active = active_.at(*id);
    if (now >= active.request.deadline) {
      admission_.Release(active.request.workspace);
      SettleUnanswered(*id, "the deadline passed in the queue", now);
      continue;
    }
    const auto candidates = directory_.Candidates(active.last_backend, now);
    Send(*id, policy_->Pick(candidates).backend, now);
  }
}

void RequestRouter::Send(const RequestId& id,
                         const BackendId& backend,
                         TimePoint now) {
  Active& active = active_.at(id);
  if (active.tries == 0)
    retry_budget_.RecordFirstTry();
  active.backend = backend;
  active.sent = now;
  const int try_number = ++active.tries;
  directory_.RecordSent(backend);
  BackendRequest request;
  request.id = id;
  request.workspace = active.request.workspace;
  request.kind = active.request.kind;
  request.idempotent = active.request.idempotent;
  request.timeout = active.request.deadline - now;
  request.payload = active.request.payload;
  port_.Send(*directory_.Find(backend), request,
             [self = self_, id, try_number](auto reply) {
               if (*self != nullptr)
                 (*self)->OnReply(id, try_number, reply);
             });
}

void RequestRouter::OnReply(const RequestId& id,
                            int try_number,
                            const absl::StatusOr<BackendReply>& reply) {
  const TimePoint now = clock_.Now();
  const auto it = active_.find(id);
  const bool is_current = it != active_.end() &&
                          it->second.tries == try_number &&
                          !it->second.backend.empty();
  if (!is_current)
    return;
  if (!reply.ok()) {
    OnFailure(id, reply.status(), now);
  } else if (reply->request != id) {
    counters_->mismatched.Add();
    OnFailure(id, absl::UnknownError("the answer was for another request"),
              now);
  } else {
    OnAnswer(id, *reply, now);
  }
  Pump(now);
}

void RequestRouter::OnAnswer(const RequestId& id,
                             const BackendReply& reply,
                             TimePoint now) {
  Active& active = active_.at(id);
  directory_.RecordAnswer(active.backend, reply.free_slots, now - active.sent,
                          now);
  if (reply.leaving)
    directory_.MarkLeaving(active.backend, now);
  admission_.Release(active.request.workspace);
  Settle(id, {Outcome::kAnswered, id, reply.payload, "", Duration(0)}, now);
}

void RequestRouter::OnFailure(const RequestId& id,
                              const absl::Status& status,
                              TimePoint now) {
  Active& active = active_.at(id);
  RecordServer(active.backend, status, now);
  active.last_backend = std::exchange(active.backend, BackendId());
  if (!ProvesNotRun(status))
    active.may_have_run = true;
  if (MayRetry(active, status, now)) {
    counters_->retries.Add();
    admission_.Requeue(active.request.workspace, id, active.request.deadline);
    return;
  }
  admission_.Release(active.request.workspace);
  SettleUnanswered(id, std::string(status.message()), now);
}

bool RequestRouter::MayRetry(Active& active,
                             const absl::Status& status,
                             TimePoint now) {
  if (active.may_have_run && !active.request.idempotent)
    return false;
  if (now >= active.request.deadline)
    return false;
  // A full server has done no work, and its pause bounds how often it is asked.
  // Counting this as a retry shed 8% of the requests at a load of 0.7.
  if (absl::IsResourceExhausted(status)) {
    ++active.full_refusals;
    return true;
  }
  if (active.tries - active.full_refusals >= options_.max_tries)
    return false;
  return retry_budget_.TryTakeRetry();
}

void RequestRouter::RecordServer(const BackendId& backend,
                                 const absl::Status& status,
                                 TimePoint now) {
  if (absl::IsResourceExhausted(status))
    directory_.RecordFull(backend, now);
  else
    directory_.RecordFailure(backend, now);
}

void RequestRouter::Settle(const RequestId& id,
                           CallerReply reply,
                           TimePoint now) {
  const auto it = active_.find(id);
  if (it == active_.end())
    return;
  const Active active = std::move(it->second);
  active_.erase(it);
  counters_->OfOutcome(reply.outcome).Add();
  counters_->latency.Record(
      static_cast<double>((now - active.accepted).count()));
  tickets_.Settle(active.ticket, reply);
  active.done(std::move(reply));
}

void RequestRouter::SettleUnanswered(const RequestId& id,
                                     const std::string& reason,
                                     TimePoint now) {
  const auto it = active_.find(id);
  if (it == active_.end())
    return;
  CallerReply reply = Shed(reason);
  reply.request = id;
  if (it->second.may_have_run) {
    reply.outcome = Outcome::kUnknown;
    reply.retry_after = Duration(0);
  }
  Settle(id, std::move(reply), now);
}

CallerReply RequestRouter::Shed(const std::string& reason) const {
  return {Outcome::kNotRun, {}, "", reason, options_.retry_after};
}

}  // namespace quetzalshelf::routing
