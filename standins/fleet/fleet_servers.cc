#include "standins/fleet/fleet_servers.h"

#include "drivers/http/http_status.h"

#include <charconv>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace quetzalshelf {

namespace {

using batch::OrderResult;
using nlohmann::json;

// The programs under test have shorter time-outs of their own.
constexpr Duration kPatience{120'000};
constexpr int kMaxConnections = 512;
constexpr HttpMessageLimits kMessageLimits{16'384, size_t{4} << 20};

EventHttpServerOptions MakeOptions() {
  return {.host = "127.0.0.1",
          .connection_limit = kMaxConnections,
          .limits = kMessageLimits,
          .idle_timeout = kPatience,
          .request_timeout = kPatience};
}

void Respond(const EventHttpServer::Reply& reply,
             int status,
             const json& body = json::object()) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  reply(std::move(response));
}

uint64_t NumberOf(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

StoreKey DecodeKey(const json& row) {
  return {row.value("table", ""), row.value("part", ""), row.value("key", "")};
}

StoreTransaction DecodeTransaction(const json& body) {
  StoreTransaction transaction;
  for (const json& it : body.at("expected_rev"))
    transaction.conditions.push_back(
        {DecodeKey(it), RowVersion(it.at("ver").get<uint64_t>())});
  for (const json& it : body.at("writes")) {
    std::string value;
    absl::Base64Unescape(it.at("value").get<std::string>(), &value);
    transaction.writes.push_back({DecodeKey(it), value});
  }
  for (const json& it : body.at("deletes"))
    transaction.deletes.push_back(DecodeKey(it));
  return transaction;
}

json EncodeRows(const std::vector<StoreRow>& rows) {
  json encoded = json::array();
  for (const StoreRow& it : rows) {
    json row = {{"table", it.id.table},
                {"part", it.id.partition},
                {"key", it.id.key},
                {"value", absl::Base64Escape(it.value)},
                {"ver", it.version.value()}};
    if (it.deleted)
      row["deleted"] = true;
    encoded.push_back(std::move(row));
  }
  return encoded;
}

VersionedStore::ReadCallback RespondWithRows(
    const EventHttpServer::Reply& reply,
    const Clock& clock) {
  return [reply, &clock](const absl::StatusOr<StoreSnapshot>& result) {
    if (result.ok()) {
      Respond(reply, http_status::kOk,
              {{"rows", EncodeRows(result->rows)},
               {"ver", result->version.value()},
               {"now_ms", ToMillis(clock.Now())},
               {"has_more", !result->complete}});
    } else if (absl::IsOutOfRange(result.status())) {
      Respond(reply, http_status::kGone);
    } else if (absl::IsUnavailable(result.status())) {
      Respond(reply, http_status::kServiceUnavailable);
    }
  };
}

const char* ReasonOf(OrderResult result) {
  switch (result) {
    case OrderResult::kFenced:
      return "fence";
    case OrderResult::kSuperseded:
      return "old";
    case OrderResult::kLeaseInPast:
      return "late";
    default:
      return "room";
  }
}

int StatusOf(OrderResult result) {
  switch (result) {
    case OrderResult::kDone:
      return http_status::kOk;
    case OrderResult::kRejected:
      return http_status::kBadRequest;
    case OrderResult::kUnhealthy:
      return http_status::kServiceUnavailable;
    case OrderResult::kOtherIncarnation:
      return http_status::kMisdirected;
    default:
      return http_status::kConflict;
  }
}

json EncodeResult(OrderResult result) {
  json body = json::object();
  if (StatusOf(result) == http_status::kConflict)
    body["reason"] = ReasonOf(result);
  return body;
}

batch::WorkerPort::OrderCallback RespondToOrder(
    const EventHttpServer::Reply& reply) {
  return [reply](const absl::StatusOr<batch::OrderReply>& result) {
    if (!result.ok())
      return;
    json body = EncodeResult(result->result);
    if (result->clock_ms)
      body["clock_ms"] = *result->clock_ms;
    Respond(reply, StatusOf(result->result), body);
  };
}

batch::WorkerPort::SyncCallback RespondToSync(
    const EventHttpServer::Reply& reply) {
  return [reply](const absl::StatusOr<batch::SyncReply>& result) {
    if (!result.ok())
      return;
    json body = EncodeResult(result->result);
    body["clock_ms"] = result->clock_ms;
    body["born"] = result->incarnation_start_wall_ms;
    body["running"] = json::array();
    body["finished"] = json::array();
    for (const batch::ListedRun& it : result->runs) {
      body["running"].push_back({batch::ToString(it.task), it.attempt.value(),
                                 it.checkpoint, it.percent});
    }
    for (const batch::ListedEnd& it : result->ends) {
      body["finished"].push_back({it.number, batch::ToString(it.task),
                                  it.attempt.value(),
                                  batch::ToString(it.reason), it.checkpoint});
    }
    Respond(reply, StatusOf(result->result), body);
  };
}

batch::SyncRequest DecodeSync(const json& body) {
  batch::SyncRequest request;
  request.fence = batch::Fence(body.value("fence", uint64_t{0}));
  request.acknowledged_ends = body.value("last_seen", int64_t{0});
  if (body.contains("until_ms"))
    request.lease_until_ms = body["until_ms"].get<int64_t>();
  request.wait = Duration(body.value("wait_ms", int64_t{0}));
  return request;
}

}  // namespace

StoreServer::StoreServer(asio::io_context& io, VersionedStore& store)
    : store_(store),
      server_(io,
              MakeOptions(),
              [this](const HttpRequest& request,
                     const EventHttpServer::Reply& reply) {
                Handle(request, reply);
              }) {}

void StoreServer::Handle(const HttpRequest& request,
                         const EventHttpServer::Reply& reply) {
  if (request.path == "/api/rows-tx")
    Commit(request, reply);
  else if (request.path == "/api/rows-get")
    Read(request, reply);
  else if (request.path == "/api/rows-feed")
    Feed(request, reply);
  else
    Respond(reply, http_status::kNotFound);
}

void StoreServer::Commit(const HttpRequest& request,
                         const EventHttpServer::Reply& reply) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    Respond(reply, http_status::kBadRequest);
    return;
  }
  store_.Commit(DecodeTransaction(body), kPatience,
                [this, reply](const absl::StatusOr<CommitOutcome>& result) {
                  if (absl::IsUnavailable(result.status()))
                    Respond(reply, http_status::kServiceUnavailable);
                  if (!result.ok())
                    return;
                  json answer = {{"ver", result->version.value()},
                                 {"now_ms", ToMillis(clock_.Now())}};
                  if (!result->committed)
                    answer["rows"] = EncodeRows(result->current);
                  Respond(reply,
                          result->committed ? http_status::kOk
                                            : http_status::kPreconditionFailed,
                          answer);
                });
}

void StoreServer::Read(const HttpRequest& request,
                       const EventHttpServer::Reply& reply) {
  store_.Read({request.Query("table"), request.Query("part"),
               request.Query("from"), request.Query("to"),
               static_cast<size_t>(NumberOf(request.Query("limit")))},
              kPatience, RespondWithRows(reply, clock_));
}

void StoreServer::Feed(const HttpRequest& request,
                       const EventHttpServer::Reply& reply) {
  store_.Feed(request.Query("table"),
              RowVersion(NumberOf(request.Query("depends_on"))),
              Duration(NumberOf(request.Query("wait_ms"))), kPatience,
              RespondWithRows(reply, clock_));
}

WorkerServer::WorkerServer(asio::io_context& io,
                           batch::WorkerPort& workers,
                           const WorkerId& id)
    : workers_(workers),
      server_(io,
              MakeOptions(),
              [this](const HttpRequest& request,
                     const EventHttpServer::Reply& reply) {
                Handle(request, reply);
              }) {
  entry_.id = id;
}

void WorkerServer::Handle(const HttpRequest& request,
                          const EventHttpServer::Reply& reply) {
  const std::string expected = request.Header("X-Expect-Instance");
  if (!expected.empty() && expected != entry_.id.value()) {
    Respond(reply, http_status::kMisdirected);
    return;
  }
  const json body = json::parse(request.body, nullptr, false);
  batch::TaskId task;
  const bool is_sync = request.path == "/api/hold";
  if (!body.is_object() ||
      (!is_sync && !batch::ParseTaskId(body.value("task", ""), task))) {
    Respond(reply, http_status::kBadRequest);
    return;
  }
  const Attempt attempt(body.value("attempt", uint64_t{0}));
  const batch::Fence fence(body.value("fence", uint64_t{0}));
  if (is_sync) {
    workers_.Sync(entry_, DecodeSync(body), kPatience, RespondToSync(reply));
  } else if (request.path == "/api/run-start") {
    workers_.Start(
        entry_,
        {task, attempt, fence, body.value("spec", ""),
         body.value("checkpoint", ""), body.value("until_ms", int64_t{0})},
        kPatience, RespondToOrder(reply));
  } else if (request.path == "/api/run-stop") {
    workers_.Stop(entry_, {task, attempt, fence}, kPatience,
                  RespondToOrder(reply));
  } else {
    Respond(reply, http_status::kNotFound);
  }
}

}  // namespace quetzalshelf
