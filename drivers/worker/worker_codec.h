// JSON codec of the worker protocol, shared by client and stand-in.

#ifndef DRIVERS_WORKER_WORKER_CODEC_H_
#define DRIVERS_WORKER_WORKER_CODEC_H_

#include <optional>
#include <string_view>

#include "core/finding.h"
#include "core/json_reader.h"
#include "core/platform/worker_port.h"

namespace quetzalshelf {

// Paths of the worker's HTTP interface; all are POST.
constexpr char kWorkerSyncPath[] = "/worker/sync";
constexpr char kWorkerPreparePath[] = "/worker/prepare";
constexpr char kWorkerRunPath[] = "/worker/run";
constexpr char kWorkerActPath[] = "/worker/act";

constexpr size_t kMaxTaskPayloadBytes = size_t{256} * 1024;
constexpr size_t kMaxTaskResultBytes = size_t{256} * 1024;

Json EncodeSyncRequest(const SyncRequest& request);
Json EncodeSyncReply(const SyncReply& reply);
Json EncodePrepareRequest(const PrepareRequest& request);
Json EncodeRunRequest(const RunRequest& request);
Json EncodeGangRequest(const GangRequest& request);

// Each gives nullopt and at least one finding for a bad message.
std::optional<SyncRequest> DecodeSyncRequest(std::string_view body,
                                             Findings& findings);
std::optional<SyncReply> DecodeSyncReply(std::string_view body,
                                         Findings& findings);
std::optional<PrepareRequest> DecodePrepareRequest(std::string_view body,
                                                   Findings& findings);
std::optional<RunRequest> DecodeRunRequest(std::string_view body,
                                           Findings& findings);
std::optional<GangRequest> DecodeGangRequest(std::string_view body,
                                             Findings& findings);

}  // namespace quetzalshelf

#endif  // DRIVERS_WORKER_WORKER_CODEC_H_
