#include "main/daemon/ticket_archive.h"

#include "core/finding.h"
#include "core/json_reader.h"
#include "core/logging.h"
#include "main/daemon/api/request_codec.h"

namespace quetzalshelf {

namespace {

constexpr int kFormat = 1;
constexpr size_t kMaxCachedRecords = 16;
constexpr Duration kRetryAfter{1'000};

std::string ObjectName(const IncarnationId& incarnation) {
  return "tickets/" + incarnation.value();
}

routing::CallerReply UnknownReply(std::string reason, Duration retry_after) {
  routing::CallerReply reply;
  reply.reason = std::move(reason);
  reply.retry_after = retry_after;
  return reply;
}

}  // namespace

void TicketArchive::Store(const IncarnationId& incarnation,
                          const Outcomes& outcomes,
                          StoreCallback done) {
  Json tickets = Json::object();
  for (const auto& [ticket, reply] : outcomes)
    tickets[ticket.value()] = EncodeReply(reply);
  const Json record = {{"format", kFormat}, {"tickets", std::move(tickets)}};
  store_.Put(ObjectName(incarnation), record.dump(), std::move(done));
}

void TicketArchive::Find(const routing::TicketParts& parts,
                         const TicketId& ticket,
                         FindCallback done) {
  if (auto it = cache_.find(parts.incarnation); it != cache_.end()) {
    done(Lookup(it->second, ticket));
    return;
  }
  store_.Get(ObjectName(parts.incarnation),
             [this, alive = std::weak_ptr<bool>(alive_),
              incarnation = parts.incarnation, ticket,
              done = std::move(done)](absl::StatusOr<std::string> content) {
               if (alive.expired())
                 return;
               if (absl::IsNotFound(content.status())) {
                 done(UnknownReply(
                     "the node that issued the ticket has failed; the "
                     "request is not run again",
                     Duration(0)));
                 return;
               }
               auto record = content.ok() ? Decode(*content) : content.status();
               if (!record.ok()) {
                 done(UnknownReply(
                     "the outcome cannot be read now; ask again with "
                     "the same ticket",
                     kRetryAfter));
                 return;
               }
               const routing::CallerReply reply = Lookup(*record, ticket);
               Remember(incarnation, *std::move(record));
               done(reply);
             });
}

absl::StatusOr<TicketArchive::Record> TicketArchive::Decode(
    const std::string& content) {
  Findings findings;
  const auto json = ParseJson(content, findings);
  if (!json)
    return findings.ToStatus();
  JsonReader reader(*json, "", findings);
  if (reader.RequireInt("format", 1, 1'000'000) != kFormat)
    return absl::FailedPreconditionError("unknown format of a ticket record");
  Record record;
  for (const auto& [ticket, value] : reader.RequireObject("tickets").items()) {
    if (auto reply = DecodeReplyMessage(value, ticket, findings))
      record.emplace(TicketId(ticket), *std::move(reply));
  }
  if (absl::Status status = findings.ToStatus(); !status.ok()) {
    LOG(ERROR) << "ticket record cannot be read: " << status.message();
    return status;
  }
  return record;
}

routing::CallerReply TicketArchive::Lookup(const Record& record,
                                           const TicketId& ticket) {
  if (auto it = record.find(ticket); it != record.end())
    return it->second;
  routing::CallerReply reply;
  reply.outcome = routing::Outcome::kNotRun;
  reply.reason =
      "the node that issued the ticket stopped before the ticket was used; "
      "get a new one";
  reply.retry_after = kRetryAfter;
  return reply;
}

void TicketArchive::Remember(const IncarnationId& incarnation, Record record) {
  if (cache_.size() >= kMaxCachedRecords)
    cache_.erase(cache_.begin());
  cache_.emplace(incarnation, std::move(record));
}

}  // namespace quetzalshelf
