// Routes callers' requests to backend servers: admission, queueing, choice of
// a server, retries, and one honest outcome for each request.

#ifndef SERVERS_ROUTING_REQUEST_ROUTER_H_
#define SERVERS_ROUTING_REQUEST_ROUTER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/metrics.h"
#include "core/platform/backend_port.h"
#include "core/retry_budget.h"
#include "core/time.h"
#include "servers/routing/admission.h"
#include "servers/routing/backend_directory.h"
#include "servers/routing/balancer_policy.h"
#include "servers/routing/ticket_book.h"
#include "servers/routing/types.h"

namespace quetzalshelf::routing {

struct RouterOptions {
  NodeId node;
  IncarnationId incarnation;
  PolicyKind policy = PolicyKind::kFasterOfTwo;
  uint64_t seed = 1;
  int max_tries = 3;
  RetryBudgetOptions retries;
  DirectoryOptions directory;
  TicketBookOptions tickets;
  // A reply that has not come this long after the deadline is given up.
  Duration settle_grace{1'000};
  // Told to callers whose request was shed.
  Duration retry_after{500};
};

// Single-threaded. A request is sent to one server at a time. It is sent again
// only when it is idempotent or when the port proved that it did not run.
class RequestRouter {
 public:
  // The port, the clock and the registry must outlive the router. The clock is
  // read only when the port calls back.
  RequestRouter(RouterOptions options,
                BackendPort& port,
                const Clock& clock,
                MetricsRegistry& metrics);
  ~RequestRouter();
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  void SetLimits(const std::vector<WorkspaceLimits>& limits, TimePoint now);
  void SetServers(const std::vector<BackendEntry>& servers, TimePoint now);
  void MarkLeaving(const BackendId& backend, TimePoint now);
  std::vector<BackendId> LeavingServers(TimePoint now) const;

  TicketId IssueTicket(TimePoint now) { return tickets_.Issue(now); }
  // `done` is called once, possibly before Submit returns. The ticket, when
  // there is one, must be of this node's incarnation.
  void Submit(CallerRequest request, TimePoint now, ReplyCallback done);
  // Gives up overdue requests and forgets old tickets; call often.
  void Tick(TimePoint now);

  // New requests are answered kNotRun from now on; those admitted go on.
  void BeginStop() { stopping_ = true; }
  bool IsIdle() const { return active_.empty(); }
  std::vector<std::pair<TicketId, CallerReply>> ExportTickets() const {
    return tickets_.Export();
  }

 private:
  struct Active {
    CallerRequest request;
    TicketId ticket;
    ReplyCallback done;
    TimePoint accepted;
    TimePoint sent;          // Of the current try.
    BackendId backend;       // Set while sent.
    BackendId last_backend;  // Of the previous try.
    int tries = 0;
    int full_refusals = 0;  // Tries refused for lack of a slot.
    bool may_have_run = false;
  };
  struct Counters;

  bool RegisterTicket(const CallerRequest& request,
                      const TicketId& ticket,
                      TimePoint now,
                      ReplyCallback& done);
  void Enqueue(CallerRequest request,
               TicketId ticket,
               TimePoint now,
               ReplyCallback done);
  void Pump(TimePoint now);
  void Send(const RequestId& id, const BackendId& backend, TimePoint now);
  void OnReply(const RequestId& id,
               int try_number,
               const absl::StatusOr<BackendReply>& reply);
  void OnAnswer(const RequestId& id, const BackendReply& reply, TimePoint now);
  void OnFailure(const RequestId& id,
                 const absl::Status& status,
                 TimePoint now);
  bool MayRetry(Active& active, const absl::Status& status, TimePoint now);
  void RecordServer(const BackendId& backend,
                    const absl::Status& status,
                    TimePoint now);
  void Settle(const RequestId& id, CallerReply reply, TimePoint now);
  void SettleUnanswered(const RequestId& id,
                        const std::string& reason,
                        TimePoint now);
  CallerReply Shed(const std::string& reason) const;

  const RouterOptions options_;
  BackendPort& port_;
  const Clock& clock_;
  std::unique_ptr<Counters> counters_;
  Admission admission_;
  BackendDirectory directory_;
  std::unique_ptr<BalancerPolicy> policy_;
  RetryBudget retry_budget_;
  TicketBook tickets_;
  std::unordered_map<RequestId, Active> active_;
  // Callbacks of the port that outlive the router find it empty.
  std::shared_ptr<RequestRouter*> self_;
  uint64_t next_request_ = 1;
  bool stopping_ = false;
};

}  // namespace quetzalshelf::routing

#endif  // SERVERS_ROUTING_REQUEST_ROUTER_H_
