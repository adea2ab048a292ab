// Commits transactions so that a lost answer never leads to a second effect.

#ifndef SERVERS_CLUSTER_COMMITTER_H_
#define SERVERS_CLUSTER_COMMITTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/backoff.h"
#include "core/ids.h"
#include "core/platform/table.h"
#include "core/time.h"

namespace quetzalshelf::cluster {

enum class CommitOutcome {
  kCommitted,
  kConflict,     // A condition failed; nothing was written.
  kNotWritten,   // The store refused; nothing was or will be written.
  kOverwritten,  // Another writer has replaced the row; this transaction may
                 // have taken effect before that.
  kInvalid,      // Malformed, or without a condition on a row that it writes.
};

const char* ToString(CommitOutcome outcome);

// A settled outcome.
struct CommitResult {
  CommitOutcome outcome = CommitOutcome::kNotWritten;
  TokenId token;
  std::string detail;
};

struct CommitterOptions {
  // Delay between two tries to settle an unknown outcome.
  BackoffOptions settle{Duration(100), Duration(5'000)};
};

struct CommitterCounters {
  int64_t commits = 0;
  int64_t unknown = 0;  // Answers that left the outcome open.
  int64_t read_backs = 0;
  int64_t resends = 0;
};

// Gives every transaction a unique token. After an unknown outcome it reads a
// row that the transaction both conditions and writes. With its own token
// there, the transaction is done. With the version of the condition there, the
// same transaction is sent again, which is harmless even if the first one
// arrives late. Otherwise the witness row decides, when there is one. An
// outcome stays open for as long as the store cannot be read.
class Committer {
 public:
  using Callback = std::function<void(CommitResult)>;

  // `table` and `clock` must outlive the committer. `incarnation` must be
  // unique among all processes ever started, since it makes tokens unique.
  Committer(Table& table,
            const Clock& clock,
            IncarnationId incarnation,
            CommitterOptions options,
            uint64_t seed);

  // `witness` names a row that only this transaction can have written; empty
  // when there is none. `done` is called once, when the outcome is settled.
  void Commit(std::vector<Condition> conditions,
              std::vector<Write> writes,
              Callback done,
              std::string witness = "");
  // A token for a transaction whose outcome does not matter.
  TokenId NewToken();
  // Continues to settle unknown outcomes whose back-off has passed.
  void Tick(TimePoint now);

  // Transactions whose outcome is not known yet.
  size_t open() const { return open_.size(); }
  const CommitterCounters& counters() const { return counters_; }

 private:
  enum class Step { kSending, kWaiting, kReadingBack, kReadingWitness };

  struct Open {
    Transaction transaction;
    Condition check;
    std::string witness;
    Callback done;
    Backoff backoff;
    Step step = Step::kSending;
    bool doubtful = false;  // An earlier send may still take effect.
    bool aborted = false;   // A resend failed a condition.
    TimePoint next_try;
  };

  void Send(uint64_t id);
  void OnAnswer(uint64_t id, const absl::Status& status);
  void ReadBack(uint64_t id);
  void OnReadBack(uint64_t id, const absl::StatusOr<Row>& row);
  void ReadWitness(uint64_t id);
  void OnWitness(uint64_t id, const absl::StatusOr<Row>& row);
  void Wait(Open& open);
  void Settle(uint64_t id, CommitOutcome outcome, std::string detail);

  Table& table_;
  const Clock& clock_;
  const IncarnationId incarnation_;
  const CommitterOptions options_;
  Random random_;
  uint64_t last_id_ = 0;
  std::map<uint64_t, Open> open_;
  CommitterCounters counters_;
  // Callbacks that arrive after destruction find this expired.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::cluster

#endif  // SERVERS_CLUSTER_COMMITTER_H_
