// Tickets: the identity of a request across retries by its caller. A ticket is
// bound to one incarnation of one node, so that no write is needed to run a
// request at most once.

#ifndef SERVERS_ROUTING_TICKET_BOOK_H_
#define SERVERS_ROUTING_TICKET_BOOK_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <absl/status/statusor.h>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "servers/routing/types.h"

namespace quetzalshelf::routing {

// The parts of a ticket's text `<node>~<incarnation>~<issued>~<nonce>`.
struct TicketParts {
  NodeId node;
  IncarnationId incarnation;
  TimePoint issued;  // On the clock of that incarnation.
};

// Error: kInvalidArgument when the text is not a ticket.
absl::StatusOr<TicketParts> ParseTicket(const TicketId& ticket);

struct TicketBookOptions {
  // A ticket that is older and unused starts nothing any more.
  Duration ticket_lifetime{600'000};
  // Longest deadline of a request; entries are kept for both together.
  Duration max_deadline{120'000};
  size_t max_entries = 100'000;
};

// What the book knows about a ticket at the moment of a call.
enum class TicketUse {
  kFresh,     // First use: the request may run.
  kPending,   // Already running or queued: wait for its reply.
  kSettled,   // The recorded reply is the answer.
  kExpired,   // Too old to tell whether it was used: never run.
  kForeign,   // Issued by another node or incarnation.
  kMismatch,  // Used before for a different request.
  kFull,      // No room to remember another request.
};

// Only used tickets are remembered: a ticket that has not expired and is not in
// the book has not been used.
class TicketBook {
 public:
  TicketBook(NodeId node,
             IncarnationId incarnation,
             TicketBookOptions options,
             uint64_t seed);

  TicketId Issue(TimePoint now);
  // Registers the first use. `fingerprint` identifies the request's content.
  TicketUse Use(const TicketId& ticket, uint64_t fingerprint, TimePoint now);
  bool IsUsed(const TicketId& ticket) const {
    return entries_.contains(ticket);
  }
  // Waits for the reply of a pending ticket.
  void AddWaiter(const TicketId& ticket, ReplyCallback done);
  // Null unless the ticket is settled.
  const CallerReply* FindReply(const TicketId& ticket) const;
  // Records the reply and calls the waiters. A reply of kNotRun keeps the
  // ticket used: a new try takes a new ticket.
  void Settle(const TicketId& ticket, const CallerReply& reply);
  // Forgets entries beyond their lifetime.
  void Tick(TimePoint now);

  size_t size() const { return entries_.size(); }
  // Every used ticket, for the hand-over at a planned stop; pending ones are
  // given as unknown.
  std::vector<std::pair<TicketId, CallerReply>> Export() const;

 private:
  struct Entry {
    uint64_t fingerprint = 0;
    std::optional<CallerReply> reply;
    std::vector<ReplyCallback> waiters;
  };

  bool IsOwn(const TicketParts& parts) const;
  Duration EntryLifetime() const;

  const NodeId node_;
  const IncarnationId incarnation_;
  const TicketBookOptions options_;
  Random random_;
  std::unordered_map<TicketId, Entry> entries_;
  std::deque<std::pair<TimePoint, TicketId>> by_age_;
};

}  // namespace quetzalshelf::routing

#endif  // SERVERS_ROUTING_TICKET_BOOK_H_
