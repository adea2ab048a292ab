#include "main/ctl/http_transport.h"

#include <utility>

#include <httplib.h>

namespace quetzalshelf::ctl {

namespace {

std::string Describe(httplib::Error error) {
  switch (error) {
    case httplib::Error::Connection:
      return "connection refused or host not found";
    case httplib::Error::ConnectionTimeout:
      return "no connection in time";
    case httplib::Error::Read:
      return "no whole answer";
    case httplib::Error::Write:
      return "the call could not be sent whole";
    default:
      return httplib::to_string(error);
  }
}

}  // namespace

HttpTransport::HttpTransport(HttpTransportOptions options)
    : options_(std::move(options)) {}

HttpReply HttpTransport::Send(const Server& server, const HttpCall& call) {
  // A fresh connection for each call: the library may send again what it wrote
  // to a kept connection that the peer had closed.
  httplib::Client client(server.host, server.port);
  client.set_keep_alive(false);
  client.set_follow_location(false);
  client.set_connection_timeout(options_.connect_timeout);
  client.set_read_timeout(options_.answer_timeout);
  client.set_write_timeout(options_.answer_timeout);
  httplib::Request request;
  request.method = call.method;
  request.path = call.target;
  request.body = call.body;
  if (!call.body.empty())
    request.set_header("Content-Type", "application/json");
  if (!options_.token.empty())
    request.set_header("Authorization", "Bearer " + options_.token);
  const httplib::Result result = client.send(request);
  HttpReply reply;
  if (result) {
    reply.delivery = Delivery::kAnswered;
    reply.status = result->status;
    reply.body = result->body;
    return reply;
  }
  const bool not_sent = result.error() == httplib::Error::Connection ||
                        result.error() == httplib::Error::ConnectionTimeout;
  reply.delivery = not_sent ? Delivery::kNotSent : Delivery::kMaybeSent;
  reply.error = Describe(result.error());
  return reply;
}

}  // namespace quetzalshelf::ctl
