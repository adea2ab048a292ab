#include "drivers/http/router.h"

#include <utility>

namespace quetzalshelf {

namespace {

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> segments;
  if (!path.empty() && path.front() == '/')
    path.remove_prefix(1);
  while (true) {
    const size_t slash = path.find('/');
    segments.emplace_back(path.substr(0, slash));
    if (slash == std::string_view::npos)
      return segments;
    path.remove_prefix(slash + 1);
  }
}

std::string JoinFrom(const std::vector<std::string>& segments, size_t first) {
  std::string joined;
  for (size_t i = first; i < segments.size(); ++i) {
    if (i > first)
      joined += '/';
    joined += segments[i];
  }
  return joined;
}

}  // namespace

void Router::Add(std::string_view method, std::string_view pattern) {
  routes_.push_back({std::string(method), SplitPath(pattern)});
}

bool Router::MatchSegments(const std::vector<std::string>& pattern,
                           const std::vector<std::string>& path,
                           HttpFields& params) {
  for (size_t i = 0; i < pattern.size(); ++i) {
    const std::string& want = pattern[i];
    if (!want.empty() && want.front() == '*') {
      params.push_back({want.substr(1), JoinFrom(path, i)});
      return true;
    }
    if (i >= path.size())
      return false;
    if (!want.empty() && want.front() == ':') {
      if (path[i].empty())
        return false;
      params.push_back({want.substr(1), path[i]});
    } else if (want != path[i]) {
      return false;
    }
  }
  return pattern.size() == path.size();
}

Router::Match Router::Find(std::string_view method,
                           std::string_view path) const {
  const std::vector<std::string> segments = SplitPath(path);
  Match match;
  for (size_t i = 0; i < routes_.size(); ++i) {
    HttpFields params;
    if (!MatchSegments(routes_[i].segments, segments, params))
      continue;
    if (routes_[i].method == method)
      return {Outcome::kFound, i, std::move(params)};
    match.outcome = Outcome::kNoMethod;
  }
  return match;
}

}  // namespace quetzalshelf
