// Shell completion.

#ifndef MAIN_CTL_COMPLETION_H_
#define MAIN_CTL_COMPLETION_H_

#include <string>

#include <CLI/CLI.hpp>

namespace quetzalshelf::ctl {

// A bash script that completes the commands and options of `app`.
std::string BashCompletion(const CLI::App& app);

}  // namespace quetzalshelf::ctl

#endif  // MAIN_CTL_COMPLETION_H_
