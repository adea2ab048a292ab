#include <string>

#include "core/logging.h"
#include "drivers/clock/system_clock.h"
#include "standins/common/standin_process.h"
#include "standins/platform/platform_service.h"
#include "standins/platform/vm_file.h"

namespace quetzalshelf {
namespace {

int Main(int argc, char** argv) {
  StandinProcess process("quetzalshelf-platform",
                         "Stand-in for the platform's table service, object "
                         "store and VM list");
  std::string vm_file;
  int64_t list_lag_ms = 0;
  process.app().add_option("--vms", vm_file, "YAML file with the VMs");
  process.app()
      .add_option("--list-lag-ms", list_lag_ms, "Lag of the VM list")
      ->check(CLI::NonNegativeNumber);
  const SystemClock clock;
  PlatformService service(process.runner(), clock);
  const auto set_up = [&](HttpServer& server) -> absl::Status {
    Findings findings;
    if (!vm_file.empty()) {
      for (const Vm& it : ReadVmFile(vm_file, findings))
        service.vms().Put(it);
    }
    service.vms().faults().lag = Duration(list_lag_ms);
    service.Install(server);
    return findings.ToStatus();
  };
  return process.Run(argc, argv, {set_up, nullptr});
}

}  // namespace
}  // namespace quetzalshelf

int main(int argc, char** argv) {
  return quetzalshelf::Main(argc, argv);
}
