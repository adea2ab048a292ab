#include "servers/routing/ticket_book.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>

#include <absl/status/status.h>

namespace quetzalshelf::routing {

namespace {

constexpr char kSeparator = '~';
constexpr size_t kMaxTicketBytes = 256;

// The text before the next separator; moves `rest` behind it.
std::string_view TakeField(std::string_view& rest) {
  const size_t end = rest.find(kSeparator);
  const std::string_view field = rest.substr(0, end);
  rest =
      end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  return field;
}

std::string Hex(uint64_t number) {
  std::array<char, 17> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%016llx",
                              static_cast<unsigned long long>(number));
  return std::string(buf.data(), static_cast<size_t>(n));
}

}  // namespace

absl::StatusOr<TicketParts> ParseTicket(const TicketId& ticket) {
  std::string_view rest = ticket.value();
  if (rest.size() > kMaxTicketBytes)
    return absl::InvalidArgumentError("the ticket is too long");
  TicketParts parts;
  parts.node = NodeId(std::string(TakeField(rest)));
  parts.incarnation = IncarnationId(std::string(TakeField(rest)));
  const std::string_view issued = TakeField(rest);
  int64_t millis = 0;
  const auto [end, ec] =
      std::from_chars(issued.data(), issued.data() + issued.size(), millis);
  const bool whole_number =
      ec == std::errc() && end == issued.data() + issued.size();
  if (parts.node.empty() || parts.incarnation.empty() || !whole_number ||
      rest.empty()) {
    return absl::InvalidArgumentError(
        "the ticket is malformed; get one from POST /v1/tickets");
  }
  parts.issued = FromMillis(millis);
  return parts;
}

TicketBook::TicketBook(NodeId node,
                       IncarnationId incarnation,
                       TicketBookOptions options,
                       uint64_t seed)
    : node_(std::move(node)),
      incarnation_(std::move(incarnation)),
      options_(options),
      random_(seed) {}

TicketId TicketBook::Issue(TimePoint now) {
  return TicketId(node_.value() + kSeparator + incarnation_.value() +
                  kSeparator + std::to_string(ToMillis(now)) + kSeparator +
                  Hex(random_.Next()));
}

TicketUse TicketBook::Use(const TicketId& ticket,
                          uint64_t fingerprint,
                          TimePoint now) {
  const auto parts = ParseTicket(ticket);
  if (!parts.ok() || !IsOwn(*parts))
    return TicketUse::kForeign;
  if (auto it = entries_.find(ticket); it != entries_.end()) {
    if (it->second.fingerprint != fingerprint)
      return TicketUse::kMismatch;
    return it->second.reply ? TicketUse::kSettled : TicketUse::kPending;
  }
  if (parts->issued > now || now - parts->issued >= options_.ticket_lifetime)
    return TicketUse::kExpired;
  if (entries_.size() >= options_.max_entries)
    return TicketUse::kFull;
  entries_[ticket].fingerprint = fingerprint;
  by_age_.emplace_back(now, ticket);
  return TicketUse::kFresh;
}

void TicketBook::AddWaiter(const TicketId& ticket, ReplyCallback done) {
  if (auto it = entries_.find(ticket); it != entries_.end())
    it->second.waiters.push_back(std::move(done));
}

const CallerReply* TicketBook::FindReply(const TicketId& ticket) const {
  const auto it = entries_.find(ticket);
  if (it == entries_.end() || !it->second.reply)
    return nullptr;
  return &*it->second.reply;
}

void TicketBook::Settle(const TicketId& ticket, const CallerReply& reply) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end() || it->second.reply)
    return;
  it->second.reply = reply;
  const std::vector<ReplyCallback> waiters = std::move(it->second.waiters);
  it->second.waiters.clear();
  for (const ReplyCallback& done : waiters)
    done(reply);
}

void TicketBook::Tick(TimePoint now) {
  while (!by_age_.empty() && now - by_age_.front().first >= EntryLifetime()) {
    entries_.erase(by_age_.front().second);
    by_age_.pop_front();
  }
}

std::vector<std::pair<TicketId, CallerReply>> TicketBook::Export() const {
  std::vector<std::pair<TicketId, CallerReply>> outcomes;
  outcomes.reserve(entries_.size());
  for (const auto& [ticket, entry] : entries_) {
    CallerReply reply;
    reply.reason = "the node stopped before the outcome was known";
    outcomes.emplace_back(ticket, entry.reply.value_or(reply));
  }
  return outcomes;
}

bool TicketBook::IsOwn(const TicketParts& parts) const {
  return parts.node == node_ && parts.incarnation == incarnation_;
}

Duration TicketBook::EntryLifetime() const {
  return options_.ticket_lifetime + options_.max_deadline;
}

}  // namespace quetzalshelf::routing
