// A TCP proxy on loopback whose connections can be delayed, held back, refused
// and reset.

#ifndef STANDINS_PROXY_FAULT_PROXY_H_
#define STANDINS_PROXY_FAULT_PROXY_H_

#include <cstdint>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <asio/io_context.hpp>

#include "core/time.h"

namespace quetzalshelf {

// Bytes that are held back are delivered when the fault ends, even if the
// sender has closed its connection by then: a request may arrive seconds late.
struct ProxyFaults {
  Duration delay{0};  // Of each piece of data, each way.
  // Bandwidth that the answers of all connections share; 0: no limit.
  int64_t answer_bytes_per_second = 0;
  bool holds_calls = false;  // Nothing passes from the client to the target.
  bool holds_answers = false;
  bool refuses = false;  // New connections are closed at once.
};

class FaultProxy {
 public:
  FaultProxy(asio::io_context& io, std::string target_host, int target_port);
  // Closes all connections.
  ~FaultProxy();

  // Listens on a port of 127.0.0.1. Errors: kUnavailable.
  absl::Status Start();
  int port() const;
  ProxyFaults& faults();
  // Resets all present connections, both ways.
  void ResetConnections();

 private:
  class Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace quetzalshelf

#endif  // STANDINS_PROXY_FAULT_PROXY_H_
