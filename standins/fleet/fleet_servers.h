// HTTP servers that put a store and workers on loopback, as the users'
// platform has them.

#ifndef STANDINS_FLEET_FLEET_SERVERS_H_
#define STANDINS_FLEET_FLEET_SERVERS_H_

#include <absl/status/status.h>
#include <asio/io_context.hpp>

#include "core/platform/versioned_store.h"
#include "drivers/clock/system_clock.h"
#include "drivers/http/event_http_server.h"
#include "servers/batch/worker_port.h"

namespace quetzalshelf {

// A call whose outcome the store does not tell gets no answer.
class StoreServer {
 public:
  StoreServer(asio::io_context& io, VersionedStore& store);

  // Errors as of EventHttpServer::Start.
  absl::Status Start() { return server_.Start(); }
  int port() const { return server_.port(); }

 private:
  void Handle(const HttpRequest& request, const EventHttpServer::Reply& reply);
  void Commit(const HttpRequest& request, const EventHttpServer::Reply& reply);
  void Read(const HttpRequest& request, const EventHttpServer::Reply& reply);
  void Feed(const HttpRequest& request, const EventHttpServer::Reply& reply);

  VersionedStore& store_;
  SystemClock clock_;  // The store's own.
  EventHttpServer server_;
};

// One worker. A call that the worker does not answer stays without an answer.
class WorkerServer {
 public:
  WorkerServer(asio::io_context& io,
               batch::WorkerPort& workers,
               const WorkerId& id);

  // Errors as of EventHttpServer::Start.
  absl::Status Start() { return server_.Start(); }
  int port() const { return server_.port(); }

 private:
  void Handle(const HttpRequest& request, const EventHttpServer::Reply& reply);

  batch::WorkerPort& workers_;
  batch::WorkerEntry entry_;
  EventHttpServer server_;
};

}  // namespace quetzalshelf

#endif  // STANDINS_FLEET_FLEET_SERVERS_H_
