// The command line of quetzalshelfctl.

#ifndef MAIN_CTL_COMMAND_LINE_H_
#define MAIN_CTL_COMMAND_LINE_H_

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "main/ctl/context.h"

namespace quetzalshelf::ctl {

// Makes the transport once the token is known.
using MakeTransport = std::function<std::unique_ptr<Transport>(std::string)>;

// Runs one command, given without the program's name.
Exit RunCommandLine(const std::vector<std::string>& args,
                    const Environment& environment,
                    const MakeTransport& make_transport,
                    std::ostream& out,
                    std::ostream& err);

}  // namespace quetzalshelf::ctl

#endif  // MAIN_CTL_COMMAND_LINE_H_
