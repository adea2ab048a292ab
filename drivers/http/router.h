// Finds the handler of a request by method and path pattern.

#ifndef DRIVERS_HTTP_ROUTER_H_
#define DRIVERS_HTTP_ROUTER_H_

#include <string>
#include <string_view>
#include <vector>

#include "drivers/http/http_message.h"

namespace quetzalshelf {

// Patterns are paths whose segments may be `:name`, which matches one non-empty
// segment, or, at the end, `*name`, which matches the rest, also empty. The
// first matching route wins.
class Router {
 public:
  enum class Outcome { kFound, kNoPath, kNoMethod };

  struct Match {
    Outcome outcome = Outcome::kNoPath;
    size_t route = 0;  // Index in the order of Add; valid when kFound.
    HttpFields params;
  };

  void Add(std::string_view method, std::string_view pattern);
  Match Find(std::string_view method, std::string_view path) const;

 private:
  struct Route {
    std::string method;
    std::vector<std::string> segments;
  };

  static bool MatchSegments(const std::vector<std::string>& pattern,
                            const std::vector<std::string>& path,
                            HttpFields& params);

  std::vector<Route> routes_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_ROUTER_H_
