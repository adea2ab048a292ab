#include "main/daemon/api/job_codec.h"

#include <string>
#include <utility>

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"

namespace quetzalshelf {

namespace {

using jobs::CancelOutcome;
using jobs::SubmitOutcome;

Json EncodePlacement(const scheduling::Placement& placement) {
  Json tasks = Json::array();
  for (const WorkerId& it : placement)
    tasks.push_back(it.value());
  return tasks;
}

const char* PhaseName(scheduling::JobPhase phase) {
  switch (phase) {
    case scheduling::JobPhase::kUnknown:
      return "unknown";
    case scheduling::JobPhase::kWaiting:
      return "waiting";
    case scheduling::JobPhase::kStarting:
      return "starting";
    case scheduling::JobPhase::kRunning:
      return "running";
    case scheduling::JobPhase::kStopping:
      return "stopping";
    case scheduling::JobPhase::kFinished:
      return "finished";
    case scheduling::JobPhase::kCancelled:
      return "cancelled";
    case scheduling::JobPhase::kRefused:
      return "refused";
    case scheduling::JobPhase::kFailed:
      return "failed";
  }
  return "unknown";
}

// The phase and sentence of a job that the scheduler has forgotten, since it
// has ended.
scheduling::JobExplanation ExplainEnded(const jobs::JobRecord& record) {
  scheduling::JobExplanation result;
  switch (record.state) {
    case jobs::JobState::kFinished:
      result.phase = scheduling::JobPhase::kFinished;
      result.sentence = "It has finished.";
      break;
    case jobs::JobState::kCancelled:
      result.phase = scheduling::JobPhase::kCancelled;
      result.sentence = "It was cancelled.";
      break;
    case jobs::JobState::kRefused:
      result.phase = scheduling::JobPhase::kRefused;
      result.sentence = "It will not run: " + record.detail + ".";
      break;
    case jobs::JobState::kFailed:
      result.phase = scheduling::JobPhase::kFailed;
      result.sentence = "It failed: " + record.detail + ".";
      break;
    default:
      result.sentence = "The scheduler does not know it yet.";
      break;
  }
  return result;
}

std::string RetryAfterSeconds(Duration retry_after) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  return std::to_string(seconds.count());
}

HttpResponse NotRun(const std::string& message, Duration retry_after) {
  HttpResponse response = ErrorResponse(
      absl::UnavailableError("the call had no effect: " + message));
  response.headers.push_back({"Retry-After", RetryAfterSeconds(retry_after)});
  return response;
}

HttpResponse JobOutcome(const JobId& job, const char* outcome, int status) {
  HttpResponse response =
      JsonResponse({{"id", job.value()}, {"outcome", outcome}});
  response.status = status;
  return response;
}

}  // namespace

Json EncodeJob(const jobs::JobView& view) {
  const jobs::JobRecord& record = view.record;
  Json json = jobs::WriteJobSpec(record.spec);
  json["state"] = jobs::ToString(record.state);
  json["attempt"] = record.attempt.value();
  json["placement"] = EncodePlacement(record.placement);
  json["guaranteed"] = record.guaranteed;
  json["checkpoint_ms"] = record.checkpoint.count();
  json["detail"] = record.detail;
  json["why"] = EncodeExplanation(view);
  return json;
}

Json EncodeExplanation(const jobs::JobView& view) {
  const bool known = !view.explanation.sentence.empty();
  const scheduling::JobExplanation explanation =
      known ? view.explanation : ExplainEnded(view.record);
  return {{"id", view.record.spec.job.id.value()},
          {"phase", PhaseName(explanation.phase)},
          {"sentence", explanation.sentence},
          {"remedy", explanation.remedy}};
}

HttpResponse EncodeSubmitReply(const jobs::SubmitReply& reply) {
  switch (reply.outcome) {
    case SubmitOutcome::kAccepted:
      return JobOutcome(reply.job, "accepted", 201);
    case SubmitOutcome::kExisting:
      return JobOutcome(reply.job, "existing", 200);
    case SubmitOutcome::kConflict:
      return ErrorResponse(absl::AlreadyExistsError(
          "job `" + reply.job.value() + "`: " + reply.message));
    case SubmitOutcome::kInvalid:
      return ErrorResponse(absl::InvalidArgumentError(reply.message));
    case SubmitOutcome::kNotRun:
      return NotRun(reply.message, reply.retry_after);
    case SubmitOutcome::kUnknown:
      return ErrorResponse(absl::DeadlineExceededError(
          "outcome unknown: submit the same job `" + reply.job.value() +
          "` again, which is harmless"));
  }
  return ErrorResponse(absl::InternalError("unexpected outcome"));
}

HttpResponse EncodeCancelReply(const JobId& job,
                               const jobs::CancelReply& reply) {
  switch (reply.outcome) {
    case CancelOutcome::kCancelled:
      return JobOutcome(job, "cancelled", 200);
    case CancelOutcome::kAlreadyEnded:
      return JobOutcome(job, "already_ended", 200);
    case CancelOutcome::kNotFound:
      return ErrorResponse(
          absl::NotFoundError("job `" + job.value() + "` does not exist"));
    case CancelOutcome::kNotRun:
      return NotRun("the job was not cancelled", reply.retry_after);
    case CancelOutcome::kUnknown:
      return ErrorResponse(absl::DeadlineExceededError(
          "outcome unknown: cancel the job `" + job.value() +
          "` again, which is harmless"));
  }
  return ErrorResponse(absl::InternalError("unexpected outcome"));
}

}  // namespace quetzalshelf
