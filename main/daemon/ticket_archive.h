// Outcomes of the tickets of node incarnations that stopped as planned, kept
// in the object store under `tickets/<incarnation>`.

#ifndef MAIN_DAEMON_TICKET_ARCHIVE_H_
#define MAIN_DAEMON_TICKET_ARCHIVE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "core/ids.h"
#include "core/platform/object_store.h"
#include "servers/routing/ticket_book.h"
#include "servers/routing/types.h"

namespace quetzalshelf {

// Single-threaded.
class TicketArchive {
 public:
  using Outcomes = std::vector<std::pair<TicketId, routing::CallerReply>>;
  using StoreCallback = std::function<void(absl::Status)>;
  using FindCallback = std::function<void(routing::CallerReply)>;

  // `store` must outlive the archive.
  explicit TicketArchive(ObjectStore& store) : store_(store) {}

  // Records every used ticket of an incarnation that takes no more requests.
  void Store(const IncarnationId& incarnation,
             const Outcomes& outcomes,
             StoreCallback done);

  // The outcome of a ticket whose incarnation has ended. A ticket that a
  // recorded incarnation did not use is "not run"; a ticket of an incarnation
  // that left no record is unknown.
  void Find(const routing::TicketParts& parts,
            const TicketId& ticket,
            FindCallback done);

 private:
  using Record = std::map<TicketId, routing::CallerReply>;

  static absl::StatusOr<Record> Decode(const std::string& content);
  static routing::CallerReply Lookup(const Record& record,
                                     const TicketId& ticket);
  void Remember(const IncarnationId& incarnation, Record record);

  ObjectStore& store_;
  // Records read before; they never change.
  std::map<IncarnationId, Record> cache_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_TICKET_ARCHIVE_H_
