// YAML file that lists the VMs of the platform stand-in.

#ifndef STANDINS_PLATFORM_VM_FILE_H_
#define STANDINS_PLATFORM_VM_FILE_H_

#include <string>
#include <vector>

#include "core/finding.h"
#include "core/platform/vm_list.h"

namespace quetzalshelf {

// Reads `vms: [{name, host, port, role, ...}]` with the fields of
// `POST /vms`. Every fault of the file becomes a finding.
std::vector<Vm> ReadVmFile(const std::string& file, Findings& findings);

}  // namespace quetzalshelf

#endif  // STANDINS_PLATFORM_VM_FILE_H_
