#include "servers/cluster/committer.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace quetzalshelf::cluster {

namespace {

std::optional<Condition> FindCheck(const std::vector<Condition>& conditions,
                                   const std::vector<Write>& writes) {
  for (const Write& write : writes) {
    auto it = std::find_if(
        conditions.begin(), conditions.end(),
        [&](const Condition& condition) { return condition.key == write.key; });
    // A deleted row carries no token to recognise.
    if (it != conditions.end() && write.value)
      return *it;
  }
  return std::nullopt;
}

// The version of a row that was read; 0 when it is absent.
RowVersion VersionOf(const absl::StatusOr<Row>& row) {
  return row.ok() ? row->version : RowVersion(0);
}

}  // namespace

const char* ToString(CommitOutcome outcome) {
  switch (outcome) {
    case CommitOutcome::kCommitted:
      return "committed";
    case CommitOutcome::kConflict:
      return "conflict";
    case CommitOutcome::kNotWritten:
      return "not written";
    case CommitOutcome::kOverwritten:
      return "overwritten";
    case CommitOutcome::kInvalid:
      return "invalid";
  }
  return "?";
}

Committer::Committer(Table& table,
                     const Clock& clock,
                     IncarnationId incarnation,
                     CommitterOptions options,
                     uint64_t seed)
    : table_(table),
      clock_(clock),
      incarnation_(std::move(incarnation)),
      options_(options),
      random_(seed) {}

void Committer::Commit(std::vector<Condition> conditions,
                       std::vector<Write> writes,
                       Callback done,
                       std::string witness) {
  const std::optional<Condition> check = FindCheck(conditions, writes);
  TokenId token = NewToken();
  const uint64_t id = last_id_;
  if (!check) {
    done({CommitOutcome::kInvalid, token,
          "the transaction has no condition on a row that it writes"});
    return;
  }
  ++counters_.commits;
  open_.emplace(id,
                Open{.transaction = {std::move(token), std::move(conditions),
                                     std::move(writes)},
                     .check = *check,
                     .witness = std::move(witness),
                     .done = std::move(done),
                     .backoff = Backoff(options_.settle, random_.Next())});
  Send(id);
}

TokenId Committer::NewToken() {
  return TokenId(incarnation_.value() + "-" + std::to_string(++last_id_));
}

void Committer::Tick(TimePoint now) {
  std::vector<uint64_t> due;
  for (const auto& [id, open] : open_) {
    if (open.step == Step::kWaiting && now >= open.next_try)
      due.push_back(id);
  }
  for (uint64_t id : due)
    ReadBack(id);
}

void Committer::Send(uint64_t id) {
  Open& open = open_.at(id);
  open.step = Step::kSending;
  table_.Commit(open.transaction, [this, id, alive = std::weak_ptr(alive_)](
                                      const absl::Status& status) {
    if (!alive.expired())
      OnAnswer(id, status);
  });
}

void Committer::OnAnswer(uint64_t id, const absl::Status& status) {
  auto it = open_.find(id);
  if (it == open_.end() || it->second.step != Step::kSending)
    return;
  Open& open = it->second;
  if (status.ok()) {
    Settle(id, CommitOutcome::kCommitted, "");
    return;
  }
  if (absl::IsAborted(status)) {
    if (!open.doubtful) {
      Settle(id, CommitOutcome::kConflict, std::string(status.message()));
      return;
    }
    // The condition may have failed because an earlier send took effect.
    open.aborted = true;
    ReadBack(id);
    return;
  }
  if (absl::IsUnavailable(status) && !open.doubtful) {
    Settle(id, CommitOutcome::kNotWritten, std::string(status.message()));
    return;
  }
  if (absl::IsInvalidArgument(status) && !open.doubtful) {
    Settle(id, CommitOutcome::kInvalid, std::string(status.message()));
    return;
  }
  if (!absl::IsUnavailable(status)) {
    ++counters_.unknown;
    open.doubtful = true;
  }
  Wait(open);
}

void Committer::Wait(Open& open) {
  open.step = Step::kWaiting;
  open.next_try = clock_.Now() + open.backoff.Next();
}

void Committer::ReadBack(uint64_t id) {
  Open& open = open_.at(id);
  open.step = Step::kReadingBack;
  ++counters_.read_backs;
  table_.Read(open.check.key, [this, id, alive = std::weak_ptr(alive_)](
                                  const absl::StatusOr<Row>& row) {
    if (!alive.expired())
      OnReadBack(id, row);
  });
}

void Committer::OnReadBack(uint64_t id, const absl::StatusOr<Row>& row) {
  auto it = open_.find(id);
  if (it == open_.end() || it->second.step != Step::kReadingBack)
    return;
  Open& open = it->second;
  if (!row.ok() && !absl::IsNotFound(row.status())) {
    Wait(open);
    return;
  }
  if (row.ok() && row->token == open.transaction.token) {
    Settle(id, CommitOutcome::kCommitted, "");
    return;
  }
  if (VersionOf(row) == open.check.version) {
    if (open.aborted) {
      // Versions only grow, so a condition that failed once fails forever.
      Settle(id, CommitOutcome::kConflict, "a condition on another row failed");
      return;
    }
    ++counters_.resends;
    Send(id);
    return;
  }
  if (open.witness.empty()) {
    Settle(id, CommitOutcome::kOverwritten,
           "another writer replaced row " + open.check.key);
    return;
  }
  ReadWitness(id);
}

void Committer::ReadWitness(uint64_t id) {
  Open& open = open_.at(id);
  open.step = Step::kReadingWitness;
  table_.Read(open.witness, [this, id, alive = std::weak_ptr(alive_)](
                                const absl::StatusOr<Row>& row) {
    if (!alive.expired())
      OnWitness(id, row);
  });
}

void Committer::OnWitness(uint64_t id, const absl::StatusOr<Row>& row) {
  auto it = open_.find(id);
  if (it == open_.end() || it->second.step != Step::kReadingWitness)
    return;
  Open& open = it->second;
  if (!row.ok() && !absl::IsNotFound(row.status())) {
    Wait(open);
    return;
  }
  const bool own = row.ok() && row->token == open.transaction.token;
  Settle(id, own ? CommitOutcome::kCommitted : CommitOutcome::kConflict,
         own ? "" : "another writer came first");
}

void Committer::Settle(uint64_t id, CommitOutcome outcome, std::string detail) {
  auto node = open_.extract(id);
  Open& open = node.mapped();
  open.done({outcome, open.transaction.token, std::move(detail)});
}

}  // namespace quetzalshelf::cluster
