#include "servers/routing/balancer_policy.h"

#include <algorithm>

namespace quetzalshelf::routing {

namespace {

class TwoChoices : public BalancerPolicy {
 public:
  explicit TwoChoices(uint64_t seed) : random_(seed) {}

  const Candidate& Pick(const std::vector<Candidate>& candidates) override {
    const uint64_t n = candidates.size();
    const Candidate& a = candidates[random_.Below(n)];
    const Candidate& b = candidates[random_.Below(n)];
    return b.load < a.load ? b : a;
  }

 private:
  Random random_;
};

class FasterOfTwo : public BalancerPolicy {
 public:
  explicit FasterOfTwo(uint64_t seed) : random_(seed) {}

  const Candidate& Pick(const std::vector<Candidate>& candidates) override {
    const uint64_t n = candidates.size();
    const Candidate& a = candidates[random_.Below(n)];
    const Candidate& b = candidates[random_.Below(n)];
    return Cost(b) < Cost(a) ? b : a;
  }

 private:
  // A server without an answer yet counts as fast, so that it is tried.
  static double Cost(const Candidate& candidate) {
    return (candidate.load + 1) * candidate.answer_ms;
  }

  Random random_;
};

class LeastLoaded : public BalancerPolicy {
 public:
  explicit LeastLoaded(uint64_t seed) : random_(seed) {}

  const Candidate& Pick(const std::vector<Candidate>& candidates) override {
    const auto lowest = std::min_element(
        candidates.begin(), candidates.end(),
        [](const auto& a, const auto& b) { return a.load < b.load; });
    const auto is_lowest = [&lowest](const auto& it) {
      return it.load == lowest->load;
    };
    auto skip = random_.Below(
        std::count_if(candidates.begin(), candidates.end(), is_lowest));
    for (const Candidate& it : candidates) {
      if (is_lowest(it) && skip-- == 0)
        return it;
    }
    return *lowest;
  }

 private:
  Random random_;
};

class RoundRobin : public BalancerPolicy {
 public:
  const Candidate& Pick(const std::vector<Candidate>& candidates) override {
    auto it = std::upper_bound(
        candidates.begin(), candidates.end(), last_,
        [](const BackendId& id, const auto& c) { return id < c.backend; });
    if (it == candidates.end())
      it = candidates.begin();
    last_ = it->backend;
    return *it;
  }

 private:
  BackendId last_;
};

}  // namespace

std::unique_ptr<BalancerPolicy> MakeBalancerPolicy(PolicyKind kind,
                                                   uint64_t seed) {
  switch (kind) {
    case PolicyKind::kTwoChoices:
      return std::make_unique<TwoChoices>(seed);
    case PolicyKind::kFasterOfTwo:
      return std::make_unique<FasterOfTwo>(seed);
    case PolicyKind::kLeastLoaded:
      return std::make_unique<LeastLoaded>(seed);
    case PolicyKind::kRoundRobin:
      return std::make_unique<RoundRobin>();
  }
  return nullptr;
}

}  // namespace quetzalshelf::routing
