#include "drivers/platform/memory_object_store.h"

#include <map>
#include <utility>

namespace quetzalshelf {

namespace {

absl::Status Down() {
  return absl::UnavailableError("the object store is down");
}

absl::Status Lost() {
  return absl::DeadlineExceededError("no answer from the object store");
}

}  // namespace

// Outlives the store while delayed calls hold it.
struct MemoryObjectStore::State {
  explicit State(TaskRunner& the_runner) : runner(the_runner) {}

  void Later(std::function<void()> task) {
    if (faults.slow > Duration{0})
      runner.PostAfter(faults.slow, std::move(task));
    else
      runner.Post(std::move(task));
  }

  absl::StatusOr<std::string> Find(const std::string& name) const {
    if (faults.down)
      return Down();
    const auto it = objects.find(name);
    if (it == objects.end())
      return absl::NotFoundError("no object " + name);
    return it->second;
  }

  TaskRunner& runner;
  StoreFaults faults;
  std::map<std::string, std::string> objects;
};

MemoryObjectStore::MemoryObjectStore(TaskRunner& runner)
    : state_(std::make_shared<State>(runner)) {}

MemoryObjectStore::~MemoryObjectStore() = default;

void MemoryObjectStore::Get(const std::string& name, GetCallback done) {
  state_->Later([state = state_, name, done = std::move(done)] {
    done(state->Find(name));
  });
}

void MemoryObjectStore::Put(const std::string& name,
                            std::string content,
                            PutCallback done) {
  state_->Later([state = state_, name, content = std::move(content),
                 done = std::move(done)] {
    if (state->faults.down) {
      done(Down());
    } else if (state->faults.late_commits > 0) {
      --state->faults.late_commits;
      state->runner.PostAfter(state->faults.late_by, [state, name, content] {
        state->objects[name] = content;
      });
      done(Lost());
    } else {
      state->objects[name] = content;
      const bool lose = state->faults.lose_answers > 0;
      state->faults.lose_answers -= lose ? 1 : 0;
      done(lose ? Lost() : absl::OkStatus());
    }
  });
}

StoreFaults& MemoryObjectStore::faults() {
  return state_->faults;
}

}  // namespace quetzalshelf
