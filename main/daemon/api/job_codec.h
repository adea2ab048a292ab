// JSON forms of jobs as shown to callers.

#ifndef MAIN_DAEMON_API_JOB_CODEC_H_
#define MAIN_DAEMON_API_JOB_CODEC_H_

#include "core/ids.h"
#include "core/json_reader.h"
#include "drivers/http/http_message.h"
#include "servers/jobs/job_service.h"

namespace quetzalshelf {

// `{"id","workspace","kind","state","tasks",...,"why"}`.
Json EncodeJob(const jobs::JobView& view);
// `{"id","phase","sentence","remedy"}`; also explains jobs that have ended.
Json EncodeExplanation(const jobs::JobView& view);

// 201 for a new job, 200 for a repeated submission, 409 for a conflict, 503
// when it was not accepted, 504 when that is unknown.
HttpResponse EncodeSubmitReply(const jobs::SubmitReply& reply);
HttpResponse EncodeCancelReply(const JobId& job,
                               const jobs::CancelReply& reply);

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_API_JOB_CODEC_H_
