// The deployments whose traces the benches run.

#ifndef BENCH_DEPLOYMENTS_H_
#define BENCH_DEPLOYMENTS_H_

#include <string>
#include <vector>

#include "bench/trace.h"

namespace quetzalshelf::bench {

// One trace specification per scheduler instance: one for a deployment of
// today, one per region for the target size. Empty for an unknown name.
// Names are solano, viveiro and target.
std::vector<TraceSpec> DeploymentSpecs(const std::string& name);

// Shortens a specification to a trace for tests.
TraceSpec Shorten(TraceSpec spec, int divisor);

}  // namespace quetzalshelf::bench

#endif  // BENCH_DEPLOYMENTS_H_
