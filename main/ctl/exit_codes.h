// Exit codes of quetzalshelfctl. They are stable: scripts depend on them.

#ifndef MAIN_CTL_EXIT_CODES_H_
#define MAIN_CTL_EXIT_CODES_H_

namespace quetzalshelf::ctl {

enum class Exit {
  kOk = 0,
  kRefused = 1,        // Refused or failed; nothing is pending.
  kUsage = 2,          // Wrong command line or faults in the input.
  kNoServer = 3,       // No server of the list was reached; not run.
  kConflict = 4,       // Another change or job was first.
  kNotAuthorised = 5,  // No, a wrong or a too narrow access token.
  kUnknown = 6,        // The call may have taken effect.
};

inline constexpr char kExitCodeHelp[] =
    "Exit codes:\n"
    "  0  ok\n"
    "  1  refused or failed\n"
    "  2  wrong usage or faults in the input\n"
    "  3  no server reached; nothing was done\n"
    "  4  conflict with another change\n"
    "  5  not authorised\n"
    "  6  outcome unknown: it may have taken effect\n";

}  // namespace quetzalshelf::ctl

#endif  // MAIN_CTL_EXIT_CODES_H_
