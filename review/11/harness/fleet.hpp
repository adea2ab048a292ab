// A small deployment on loopback: the store, executors, entry nodes and
// clients, and what they saw.

#ifndef REVIEW_HARNESS_3_FLEET_HPP_
#define REVIEW_HARNESS_3_FLEET_HPP_

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <asio.hpp>

#include "entry.hpp"
#include "executor.hpp"
#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

struct FleetOptions {
  std::string root;
  std::string work_dir;
  std::string record_path;
  std::vector<std::string> zones;
  int nodes = 3;
  int executors = 24;
  // The last ones are of kind "b".
  int executors_of_kind_b = 0;
  Millis first_beat{100};
  int64_t hold_max_ms = 6'000;
};

// A job as its client knows it.
struct Job {
  std::string id;
  std::string prefix;
  std::string body;
  bool accepted = false;
  int64_t accepted_ms = 0;
  std::string state = "";  // The last one that was told.
};

// The times of a scheduled job.
struct Times {
  int repeats = 0;
  int64_t first_ms = 0;
  int64_t period_ms = 0;
};

// The case could not be run.
class CannotRun : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();

  asio::io_context& io() { return io_; }
  Record& record() { return record_; }
  Store& store() { return store_; }
  std::vector<std::unique_ptr<Entry>>& nodes() { return nodes_; }
  std::vector<std::unique_ptr<Executor>>& executors() { return executors_; }
  const std::vector<Executor::Event>& events() const { return events_; }
  std::map<std::string, Job>& jobs() { return jobs_; }
  const std::string& bulk() const { return bulk_prefix_; }
  const std::string& urgent() const { return urgent_prefix_; }

  // Starts all processes and waits until each node is ready.
  void Start();
  // Lets the deployment run.
  void RunFor(Millis time);
  // Until `done` holds; false when it does not within `limit`.
  bool RunUntil(Millis limit, const std::function<bool()>& done);
  void At(Millis delay, std::function<void()> what);

  // Hands a job in: again at the next node after no answer, a 502 or a 504,
  // and after a second after a 429 or 503.
  void Submit(const std::string& id,
              const std::string& prefix,
              const std::string& spec,
              const Json& phases,
              const Times& times = {});
  // Asks for the state of a job, of each node in turn until one tells it.
  void Ask(const std::string& id);
  void Cancel(const std::string& id);

  // Starts of a task that was running, or that had ended `done` with an end
  // that was taken note of.
  int CountSecondRuns();

  // Kills a node's process with SIGKILL.
  void Kill(Entry& node);
  void Restart(Entry& node);

  Entry* Node(const std::string& name);
  // The node that last wrote to the store under a condition.
  Entry& Leader();
  void EvacuateZone(const std::string& zone);

 private:
  // Not killed or started in the last `contact_ms`. Nothing else disturbs nodes
  // or the store.
  bool IsInTouch(const std::string& node) const;
  void PutConfig();
  void TrySubmit(const std::string& id, size_t node, int tries);
  void TryAsk(const std::string& id, size_t node, int tries);
  Call MakeCall(const Job& job, const std::string& method, size_t node);

  asio::io_context io_;
  FleetOptions options_;
  Record record_;
  Store store_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::vector<std::unique_ptr<Entry>> nodes_;
  std::vector<Executor::Event> events_;
  // When each node was last killed or started, in the time of the record.
  std::map<std::string, int64_t> disturbed_;
  std::map<std::string, Job> jobs_;
  std::string bulk_prefix_ = "/pule252/";
  std::string urgent_prefix_ = "/pufi791/";
  size_t next_node_ = 0;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_FLEET_HPP_
