// Findings about an input, collected with their places and reported together.

#ifndef CORE_FINDING_H_
#define CORE_FINDING_H_

#include <string>
#include <vector>

#include <absl/status/status.h>

namespace quetzalshelf {

// Where a finding applies: a file and line when known, and a path of fields
// such as `teams/plaza/guarantees[0]/tasks`.
struct Place {
  std::string file;
  int line = 0;  // 1-based; 0 when unknown.
  std::string path;

  friend bool operator==(const Place&, const Place&) = default;
};

// One fault of an input and what to do about it.
struct Finding {
  Place place;
  std::string message;
  std::string remedy;
};

// The findings of one input.
class Findings {
 public:
  void Add(Place place, std::string message, std::string remedy = "");
  void Append(const Findings& other);

  bool empty() const { return items_.empty(); }
  const std::vector<Finding>& items() const { return items_; }

  // One line a finding: `file:line: path: message (remedy)`.
  std::string ToString() const;
  // OK when there are no findings, else kInvalidArgument with ToString().
  absl::Status ToStatus() const;

 private:
  std::vector<Finding> items_;
};

std::string ToString(const Place& place);
std::string ToString(const Finding& finding);

}  // namespace quetzalshelf

#endif  // CORE_FINDING_H_
