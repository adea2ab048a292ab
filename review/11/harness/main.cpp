// Plays one case: fleet_case NAME ROOT WORK_DIR RECORD. TROUBLE=0 leaves the
// disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <string>

#include "cases.hpp"

int main(int argc, char** argv) {
  using namespace review;
  const std::map<std::string, CaseResult (*)(FleetOptions, bool)> cases = {
      {"crashing-task", &PlayCrashingTask}, {"evacuation", &PlayEvacuation},
      {"changed-kind", &PlayChangedKind},   {"late-start", &PlayLateStart},
      {"long-hold", &PlayLongHold},         {"limit-of-step", &PlayLimitOfStep},
  };
  if (argc != 5 || !cases.contains(argv[1])) {
    std::fprintf(stderr, "usage: fleet_case NAME ROOT WORK_DIR RECORD\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* const text = std::getenv("TROUBLE");
  const bool trouble = !text || std::string(text) != "0";
  FleetOptions options;
  options.root = argv[2];
  options.work_dir = argv[3];
  options.record_path = argv[4];
  options.zones = {"recife-a", "recife-b", "caruaru-a"};
  try {
    const CaseResult result = cases.at(argv[1])(options, trouble);
    std::printf("%s: trouble=%d: %s: %s\n", argv[1], trouble ? 1 : 0,
                result.broken ? "BROKEN" : "held", result.what.c_str());
    return result.broken ? 1 : 0;
  } catch (const std::exception& error) {
    std::printf("%s: cannot run: %s\n", argv[1], error.what());
    return 2;
  }
}
