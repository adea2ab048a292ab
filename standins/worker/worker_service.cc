#include "standins/worker/worker_service.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "drivers/worker/worker_codec.h"

namespace quetzalshelf {

namespace {

template <typename Message>
using Decoder = std::optional<Message> (*)(std::string_view, Findings&);

// A handler that decodes the body and answers by `work`.
template <typename Message>
HttpServer::Handler Decoded(
    Decoder<Message> decode,
    std::function<void(const Message&, const Responder&)> work) {
  return [decode, work = std::move(work)](const HttpRequest& request,
                                          const Responder& respond) {
    Findings findings;
    const std::optional<Message> message = decode(request.body, findings);
    if (message)
      work(*message, respond);
    else
      respond(ErrorResponse(findings));
  };
}

}  // namespace

WorkerService::WorkerService(WorkerModelOptions options,
                             const Clock& clock,
                             std::function<void()> vanish)
    : model_(std::move(options)), clock_(clock), vanish_(std::move(vanish)) {}

void WorkerService::Install(HttpServer& server) {
  server.Handle(
      "POST", kWorkerSyncPath,
      Decoded<SyncRequest>(
          &DecodeSyncRequest,
          [this](const SyncRequest& request, const Responder& respond) {
            WhenAnswering([this, request, respond] {
              const auto reply = model_.Sync(request, clock_.Now());
              respond(reply.ok() ? JsonResponse(EncodeSyncReply(*reply))
                                 : ErrorResponse(reply.status()));
            });
          }));
  server.Handle(
      "POST", kWorkerPreparePath,
      Decoded<PrepareRequest>(
          &DecodePrepareRequest,
          [this](const PrepareRequest& request, const Responder& respond) {
            WhenAnswering([this, request, respond] {
              respond(StatusResponse(model_.Prepare(request, clock_.Now())));
            });
          }));
  server.Handle(
      "POST", kWorkerRunPath,
      Decoded<RunRequest>(&DecodeRunRequest, [this](const RunRequest& request,
                                                    const Responder& respond) {
        WhenAnswering([this, request, respond] {
          respond(StatusResponse(model_.Run(request, clock_.Now())));
        });
      }));
  server.Handle(
      "POST", kWorkerActPath,
      Decoded<GangRequest>(
          &DecodeGangRequest,
          [this](const GangRequest& request, const Responder& respond) {
            WhenAnswering([this, request, respond] {
              respond(StatusResponse(model_.Act(request, clock_.Now())));
            });
          }));
  server.Handle("POST", "/control/faults",
                [this](const HttpRequest& request, const Responder& respond) {
                  SetFaults(request, respond);
                });
  server.Handle("GET", "/control/tasks",
                [this](const HttpRequest&, const Responder& respond) {
                  respond(Tasks());
                });
}

void WorkerService::WhenAnswering(std::function<void()> work) {
  if (paused_)
    waiting_.push_back(std::move(work));
  else
    work();
}

void WorkerService::SetFaults(const HttpRequest& request,
                              const Responder& respond) {
  Findings findings;
  WorkerFaults faults = model_.faults();
  bool pause = paused_;
  bool vanish = false;
  if (const auto json = ParseJson(request.body, findings)) {
    JsonReader reader(*json, "", findings);
    faults.fail_tasks = reader.OptionalBool("fail_tasks", faults.fail_tasks);
    faults.refuse_starts =
        reader.OptionalBool("refuse_starts", faults.refuse_starts);
    pause = reader.OptionalBool("pause", pause);
    vanish = reader.OptionalBool("vanish", false);
    reader.Finish();
  }
  if (!findings.empty()) {
    respond(ErrorResponse(findings));
    return;
  }
  if (vanish)
    vanish_();
  model_.faults() = faults;
  paused_ = pause;
  respond(StatusResponse(absl::OkStatus()));
  if (paused_)
    return;
  for (const auto& work : std::exchange(waiting_, {}))
    work();
}

HttpResponse WorkerService::Tasks() {
  SyncReply state;
  state.incarnation = model_.options().incarnation;
  state.clock = clock_.Now();
  state.reports = model_.Tasks(clock_.Now());
  return JsonResponse(EncodeSyncReply(state));
}

}  // namespace quetzalshelf
