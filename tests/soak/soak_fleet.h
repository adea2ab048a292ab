// The users' platform for a soak: a store and workers behind proxies.

#ifndef TESTS_SOAK_SOAK_FLEET_H_
#define TESTS_SOAK_SOAK_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <asio/io_context.hpp>

#include "drivers/clock/system_clock.h"
#include "drivers/http/asio_task_runner.h"
#include "standins/fleet/fleet_servers.h"
#include "standins/fleet/memory_versioned_store.h"
#include "standins/fleet/model_workers.h"
#include "standins/proxy/fault_proxy.h"

namespace quetzalshelf::soak {

// Queues of the soak's site, in the order of their priority.
inline constexpr const char* kQueues[] = {"holds", "plans", "sketches"};
inline constexpr char kHost[] = "desk.example";
inline constexpr char kKey[] = "key-plaza";
// Failures after which a task makes its job fail.
inline constexpr int kAttempts = 6;
// A task is given up after so many crashes of workers under it, or more.
inline constexpr int kFatalCrashes = 3;

// The payload of a job of one gang, which tells workers the number of members.
std::string EncodeGang(int members);

class SoakFleet {
 public:
  SoakFleet(asio::io_context& io, int racks, uint64_t seed);

  // Errors: kUnavailable.
  absl::Status Start();

  // The node that leads or led last, as the store tells; empty without one.
  std::string Leader() const;

  int store_port() const { return store_server_.port(); }
  size_t worker_count() const { return slots_.size(); }
  // What the only workspace may have running.
  Accelerators cap() const;
  const batch::WorkerEntry& worker(size_t n) const { return slots_[n].entry; }
  FaultProxy& worker_proxy(size_t n) { return *slots_[n].proxy; }
  ModelWorkerFaults& worker_faults(size_t n);
  // Crashes a worker, which starts again under its id.
  void RestartWorker(size_t n);
  // Takes the worker's entry away or writes it again.
  void SetListed(size_t n, bool listed);
  void SetDraining(size_t n, bool draining, Duration remaining);
  void SetEvacuated(const std::string& domain, bool evacuated);
  // Writes the next version of the configuration; every other one has a queue
  // more.
  void ChangeConfig();

  MemoryVersionedStore& store() { return store_; }
  ModelWorkers& workers() { return workers_; }

 private:
  struct Slot {
    batch::WorkerEntry entry;
    std::unique_ptr<WorkerServer> server;
    std::unique_ptr<FaultProxy> proxy;
  };

  absl::Status AddWorker(int rack, int n);

  asio::io_context& io_;
  const int racks_;
  AsioTaskRunner runner_;
  SystemClock clock_;
  MemoryVersionedStore store_;
  ModelWorkers workers_;
  StoreServer store_server_;
  std::vector<Slot> slots_;
  uint64_t config_version_ = 0;
};

}  // namespace quetzalshelf::soak

#endif  // TESTS_SOAK_SOAK_FLEET_H_
