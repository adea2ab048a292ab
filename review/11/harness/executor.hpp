// An executor, as PROTOCOL.md has it: runs tasks under a lease and a fence, and
// tells the store of itself.
//
// What a task is like stands in the job's `spec`, which the executor gets with
// each start: words NAME=NUMBER of `ms` (its work), `cpu`, `mem`, `saves` (the
// time between two checkpoints) and `crash` (it makes its executor crash so
// long after its start).

#ifndef REVIEW_HARNESS_3_EXECUTOR_HPP_
#define REVIEW_HARNESS_3_EXECUTOR_HPP_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <asio.hpp>

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

struct ExecutorOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  std::string kind = "a";
  // A process that starts again serves before its entry is written: beats come
  // about every `heartbeat_ms`.
  Millis first_beat{100};
  int cpu = 64'000;
  int mem_mb = 131'072;
  int gpu = 8;
  int64_t hold_max_ms = 6'000;
};

class Executor {
 public:
  struct Event {
    // "start", "crash", how a run ended, or "noted": `last_seen` has reached
    // its end.
    std::string what;
    std::string executor;
    std::string zone;
    std::string kind;
    std::string task;
    int64_t attempt = 0;
    int64_t at_ms = 0;  // As in the record.
    // For a start: the node that had last written to the store under a
    // condition, which is the leader while no client hands work in, and
    // whether it was in touch.
    std::string leader = "";
    bool in_touch = false;
  };
  using Listener = std::function<void(const Event&)>;

  Executor(asio::io_context& io,
           Store& store,
           Record& record,
           ExecutorOptions options,
           Listener listener);

  const std::string& id() const { return options_.id; }
  const std::string& zone() const { return options_.zone; }
  const std::string& kind() const { return options_.kind; }
  size_t runs() const { return runs_.size(); }

  // The next start order gets no answer and is carried out late, by the next
  // life of the executor. `held` is called when it came.
  void HoldNextStart(std::function<void()> held);
  // No further order is held.
  void HoldNoStart() { held_ = nullptr; }
  // Resets all connections and goes on running; its entry stays good.
  void BeginResets();
  // Loses all calls without an answer and goes on running.
  void GoMute();
  void ServeAgain();
  // Ends its process; it starts again under the same id `after` that, of
  // another kind where one is given.
  void Crash(Millis after, const std::string& kind = "");

 private:
  struct Run {
    int64_t attempt = 0;
    uint64_t serial = 0;
    SteadyTime began;
    int64_t ms = 0;
    int64_t saves = 0;
    int cpu = 0;
    int mem = 0;
    int64_t saved_ms = 0;  // Of its work, at its start.
  };
  struct End {
    int64_t number;
    std::string task;
    int64_t attempt;
    std::string how;
    std::string saved;
  };

  void Handle(const Request& request, const Reply& reply);
  void CarryOutLateStarts();
  void Start(const Json& body, const Reply& reply);
  void Stop(const Json& body, const Reply& reply);
  void Hold(const Json& body, const Reply& reply);
  void List(const Reply& reply);
  void EndRun(const std::string& task, const std::string& how);
  void ExtendLease(int64_t until_ms);
  void Beat();
  int64_t ClockMs() const;
  std::string SavedOf(const std::string& task, const Run& run) const;
  int64_t WorkOf(const Run& run) const;
  void After(Millis delay, std::function<void()> what);

  asio::io_context& io_;
  Store& store_;
  Record& record_;
  ExecutorOptions options_;
  Listener listener_;
  Server server_;
  std::function<void()> held_;
  std::list<Json> late_starts_;
  bool up_ = true;
  // Of this life of the process.
  uint64_t life_ = 1;
  int64_t born_ms_;
  SteadyTime started_;
  uint64_t fence_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, int64_t> tombstones_;
  std::list<End> ends_;
  int64_t last_end_ = 0;
  int64_t lease_until_ms_ = 0;
  uint64_t serial_ = 0;
  int64_t beats_ = 0;
  std::list<std::function<void()>> waiting_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_EXECUTOR_HPP_
