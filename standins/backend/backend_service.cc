#include "standins/backend/backend_service.h"

#include <utility>

#include "drivers/backend/backend_codec.h"
#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"

namespace quetzalshelf {

namespace {

constexpr int64_t kMaxMillis = int64_t{24} * 3'600'000;
constexpr int64_t kMaxFaultCount = 1'000'000;

// Takes one of the next `count` faults.
bool Take(int& count) {
  if (count <= 0)
    return false;
  --count;
  return true;
}

std::string AnswerTo(const BackendRequest& request) {
  return "answer to " + request.payload;
}

}  // namespace

BackendService::BackendService(TaskRunner& runner, int slots)
    : runner_(runner), slots_(slots) {}

void BackendService::Install(HttpServer& server) {
  server.Handle("POST", kBackendRunPath,
                [this](const HttpRequest& request, const Responder& respond) {
                  Run(request, respond);
                });
  server.Handle("GET", "/counts",
                [this](const HttpRequest&, const Responder& respond) {
                  respond(Counts());
                });
  server.Handle("POST", "/control/faults",
                [this](const HttpRequest& request, const Responder& respond) {
                  SetFaults(request, respond);
                });
}

void BackendService::Leave() {
  leaving_ = true;
  unanswered_.clear();
}

int BackendService::runs(const RequestId& request) const {
  const auto it = runs_.find(request);
  return it == runs_.end() ? 0 : it->second.runs;
}

void BackendService::Run(const HttpRequest& http, const Responder& respond) {
  Findings findings;
  const auto request = DecodeBackendRequest(http.body, findings);
  HttpResponse refusal;
  if (!request) {
    refusal = ErrorResponse(findings);
  } else if (Take(faults_.refuse) || used_slots_ >= slots_) {
    refusal = ErrorResponse(absl::ResourceExhaustedError("no free slot"));
  } else {
    ++used_slots_;
    RunRecord& record = runs_[request->id];
    ++record.runs;
    record.payload = request->payload;
    runner_.PostAfter(faults_.delay, [this, request = *request, respond] {
      --used_slots_;
      Answer(request, respond);
    });
    return;
  }
  const RequestId id =
      request ? request->id : RequestId(http.Header(kRequestIdHeader));
  refusal.headers.push_back({kRequestIdHeader, id.value()});
  respond(std::move(refusal));
}

void BackendService::Answer(const BackendRequest& request,
                            const Responder& respond) {
  if (Take(faults_.no_answer)) {
    unanswered_.push_back(respond);
    return;
  }
  HttpResponse reply = Reply(request);
  if (!Take(faults_.late)) {
    respond(std::move(reply));
    return;
  }
  runner_.PostAfter(faults_.late_by,
                    [reply = std::move(reply), respond] { respond(reply); });
}

HttpResponse BackendService::Reply(const BackendRequest& request) {
  BackendRequest answered = request;
  if (Take(faults_.crossed)) {
    answered.id = RequestId("another-request");
    answered.payload = "another payload";
    if (previous_ && previous_->id != request.id)
      answered = *previous_;
  }
  previous_ = request;
  BackendReply reply;
  reply.request = answered.id;
  reply.payload = AnswerTo(answered);
  reply.leaving = leaving_;
  reply.free_slots = slots_ - used_slots_;
  Json json = EncodeBackendReply(reply);
  if (Take(faults_.cut))
    json["payload"] = reply.payload.substr(0, reply.payload.size() / 2);
  HttpResponse response = JsonResponse(json);
  response.headers.push_back({kRequestIdHeader, answered.id.value()});
  return response;
}

void BackendService::SetFaults(const HttpRequest& request,
                               const Responder& respond) {
  Findings findings;
  BackendFaults faults = faults_;
  bool leaving = leaving_;
  if (const auto json = ParseJson(request.body, findings)) {
    JsonReader reader(*json, "", findings);
    const auto millis = [&](const char* field, Duration& value) {
      value = Duration(reader.OptionalInt(field, 0, kMaxMillis, value.count()));
    };
    const auto count = [&](const char* field, int& value) {
      value =
          static_cast<int>(reader.OptionalInt(field, 0, kMaxFaultCount, value));
    };
    millis("delay_ms", faults.delay);
    millis("late_ms", faults.late_by);
    count("late", faults.late);
    count("crossed", faults.crossed);
    count("cut", faults.cut);
    count("no_answer", faults.no_answer);
    count("refuse", faults.refuse);
    leaving = reader.OptionalBool("leaving", leaving);
    reader.Finish();
  }
  if (!findings.empty()) {
    respond(ErrorResponse(findings));
    return;
  }
  faults_ = faults;
  leaving_ = leaving;
  respond(StatusResponse(absl::OkStatus()));
}

HttpResponse BackendService::Counts() const {
  Json counts = Json::array();
  for (const auto& [request, record] : runs_) {
    counts.push_back({{"request", request.value()},
                      {"runs", record.runs},
                      {"payload", record.payload}});
  }
  return JsonResponse({{"counts", std::move(counts)}});
}

}  // namespace quetzalshelf
