// Carries out changes of the settings, one after the other.

#ifndef SERVERS_SETTINGS_SETTINGS_COMMITTER_H_
#define SERVERS_SETTINGS_SETTINGS_COMMITTER_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/finding.h"
#include "core/ids.h"
#include "core/platform/table.h"
#include "core/time.h"
#include "servers/cluster/committer.h"
#include "servers/settings/settings_fetcher.h"
#include "servers/settings/settings_validator.h"

namespace quetzalshelf::settings {

// A change of the value at one path; null removes it.
struct ChangeRequest {
  SettingsPath path;
  Json value;
  SettingsVersion base_version;  // The version that the author saw.
  std::string author;
  std::string access;  // Name of the access token, for the history.
  std::string reason;
  bool dry_run = false;
  int64_t wall_millis = 0;  // For the history only.
};

enum class ChangeOutcome {
  kAccepted,   // Committed, and in force at this node.
  kUnchanged,  // The value is the one in force; nothing was written.
  kChecked,    // A dry run without findings.
  kInvalid,    // Refused with findings.
  kConflict,   // The subtree has changed since the base version.
  kNotRun,     // Nothing was written; may be tried again.
  kUnknown,    // The change may take effect, also later.
};

// Text for logs and replies, such as `accepted`.
std::string_view ToString(ChangeOutcome outcome);

struct SettingsConflict {
  SettingsVersion base_version;
  SettingsVersion current_version;
  Json your_value;
  Json current_value;
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kNotRun;
  // The version of the change, or the one in force. With kUnknown, the version
  // whose history entry tells whether the change took effect.
  SettingsVersion version;
  std::string message;
  Findings findings;
  Findings warnings;
  std::vector<ValueChange> changes;
  std::optional<SettingsConflict> conflict;
};

// Single-threaded.
class SettingsCommitter {
 public:
  using ChangeCallback = std::function<void(const ChangeResult&)>;

  // `table` and `fetcher` must outlive the committer. `incarnation` must be
  // unique among all processes ever started.
  SettingsCommitter(Table& table,
                    SettingsFetcher& fetcher,
                    const IncarnationId& incarnation,
                    uint64_t seed);
  ~SettingsCommitter();

  void SetSite(KnownSite site) { site_ = std::move(site); }
  // Calls back later, at most once. A full queue answers at once.
  void Submit(ChangeRequest request, TimePoint now, ChangeCallback done);
  // Settles unknown outcomes; call several times a second. An outcome that
  // stays unknown for 10 s is reported as such, and pursued further without a
  // caller.
  void Tick(TimePoint now);

 private:
  struct Change;

  // The time of the last call, for the back-off of unknown outcomes.
  class TickClock : public Clock {
   public:
    TimePoint Now() const override { return now_; }
    int64_t WallMillis() const override { return ToMillis(now_); }
    void set_now(TimePoint now) { now_ = now; }

   private:
    TimePoint now_{};
  };

  template <typename Callback>
  auto Guard(Callback callback) {
    return [alive = std::weak_ptr<bool>(alive_),
            callback = std::move(callback)](auto&&... args) {
      if (!alive.expired())
        callback(std::forward<decltype(args)>(args)...);
    };
  }

  void StartNext();
  // Brings the settings up to date and checks the change against them.
  void Prepare();
  void Plan();
  bool HasConflict(const SettingsTree& base);
  // Finds the subtrees and failure domains that the change writes.
  void PlanWrites();
  void ReadRow(size_t index);
  // Whether the rows still are those of the tree that the plan is based on.
  bool RowsMatchPlan(const std::vector<Row>& rows) const;
  void Send();
  std::vector<Write> MakeWrites();
  void OnCommit(const cluster::CommitResult& result);
  void Accept();
  void Finish(ChangeOutcome outcome, std::string message = "");

  Table& table_;
  SettingsFetcher& fetcher_;
  KnownSite site_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  TickClock clock_;
  cluster::Committer committer_;
  uint64_t last_sent_ = 0;  // Number of the latest transaction.
  std::unique_ptr<Change> active_;
  std::deque<std::unique_ptr<Change>> queue_;
};

}  // namespace quetzalshelf::settings

#endif  // SERVERS_SETTINGS_SETTINGS_COMMITTER_H_
