// Strategies that pick a backend server among those that may take a request.

#ifndef SERVERS_ROUTING_BALANCER_POLICY_H_
#define SERVERS_ROUTING_BALANCER_POLICY_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "servers/routing/backend_directory.h"

namespace quetzalshelf::routing {

class BalancerPolicy {
 public:
  virtual ~BalancerPolicy() = default;
  // `candidates` is not empty.
  virtual const Candidate& Pick(const std::vector<Candidate>& candidates) = 0;
};

enum class PolicyKind {
  kTwoChoices,
  kFasterOfTwo,
  kLeastLoaded,
  kRoundRobin,
};

// Two choices: of two random servers the less loaded one. Faster of two: of two
// random servers the one with the smaller product of load and answer time.
// Least loaded: ties are broken at random. Round robin: the baseline that
// ignores load.
std::unique_ptr<BalancerPolicy> MakeBalancerPolicy(PolicyKind kind,
                                                   uint64_t seed);

}  // namespace quetzalshelf::routing

#endif  // SERVERS_ROUTING_BALANCER_POLICY_H_
