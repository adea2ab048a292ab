// Object store in memory, with faults.

#ifndef DRIVERS_PLATFORM_MEMORY_OBJECT_STORE_H_
#define DRIVERS_PLATFORM_MEMORY_OBJECT_STORE_H_

#include <memory>
#include <string>

#include "core/platform/object_store.h"
#include "core/task_runner.h"
#include "drivers/platform/platform_faults.h"

namespace quetzalshelf {

// For tests, the stand-in program and standalone mode. Callbacks run on the
// task runner. Not thread-safe. `late_commits` applies to Put.
class MemoryObjectStore : public ObjectStore {
 public:
  explicit MemoryObjectStore(TaskRunner& runner);
  ~MemoryObjectStore() override;

  void Get(const std::string& name, GetCallback done) override;
  void Put(const std::string& name,
           std::string content,
           PutCallback done) override;

  StoreFaults& faults();

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_PLATFORM_MEMORY_OBJECT_STORE_H_
