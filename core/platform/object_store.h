// Interface to the platform's object store.

#ifndef CORE_PLATFORM_OBJECT_STORE_H_
#define CORE_PLATFORM_OBJECT_STORE_H_

#include <functional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace quetzalshelf {

// Whole objects under names; the last Put wins. Errors: kNotFound,
// kUnavailable, kDeadlineExceeded (a Put may have taken effect; putting the
// same object again is harmless).
class ObjectStore {
 public:
  using GetCallback = std::function<void(absl::StatusOr<std::string>)>;
  using PutCallback = std::function<void(absl::Status)>;

  virtual ~ObjectStore() = default;

  virtual void Get(const std::string& name, GetCallback done) = 0;
  virtual void Put(const std::string& name,
                   std::string content,
                   PutCallback done) = 0;
};

}  // namespace quetzalshelf

#endif  // CORE_PLATFORM_OBJECT_STORE_H_
