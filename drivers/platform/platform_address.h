// Where the platform's services are reached.

#ifndef DRIVERS_PLATFORM_PLATFORM_ADDRESS_H_
#define DRIVERS_PLATFORM_PLATFORM_ADDRESS_H_

#include <string>

#include "core/time.h"

namespace quetzalshelf {

struct PlatformAddress {
  std::string host = "127.0.0.1";
  int port = 0;
  Duration timeout{2'000};  // Of each call.
};

}  // namespace quetzalshelf

#endif  // DRIVERS_PLATFORM_PLATFORM_ADDRESS_H_
