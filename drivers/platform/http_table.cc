#include "drivers/platform/http_table.h"

#include <utility>

#include "drivers/http/json_body.h"
#include "drivers/platform/platform_call.h"
#include "drivers/platform/platform_codec.h"

namespace quetzalshelf {

HttpTable::HttpTable(HttpCaller& caller,
                     TaskRunner& runner,
                     PlatformAddress address)
    : caller_(caller), runner_(runner), address_(std::move(address)) {}

void HttpTable::Read(const std::string& key, ReadCallback done) {
  const std::string target = "/table/read?key=" + PercentEncode(key, true);
  caller_.Call(
      MakePlatformCall(address_, "GET", target),
      [done = std::move(done)](const absl::StatusOr<HttpResponse>& reply) {
        done(DecodeReply<Row>(reply, &DecodeRow));
      });
}

void HttpTable::ReadPrefix(const std::string& prefix,
                           const std::string& after,
                           int limit,
                           ScanCallback done) {
  const std::string target =
      "/table/scan?prefix=" + PercentEncode(prefix, true) +
      "&after=" + PercentEncode(after, true) +
      "&limit=" + std::to_string(limit);
  caller_.Call(
      MakePlatformCall(address_, "GET", target),
      [done = std::move(done)](const absl::StatusOr<HttpResponse>& reply) {
        done(DecodeReply<std::vector<Row>>(reply, &DecodeRows));
      });
}

void HttpTable::Commit(Transaction transaction, CommitCallback done) {
  HttpCall call = MakePlatformCall(address_, "POST", "/table/commit");
  absl::StatusOr<std::string> body = EncodeJson(EncodeTransaction(transaction));
  if (!body.ok()) {
    runner_.Post(
        [status = body.status(), done = std::move(done)] { done(status); });
    return;
  }
  call.body = *std::move(body);
  caller_.Call(std::move(call), [done = std::move(done)](
                                    const absl::StatusOr<HttpResponse>& reply) {
    done(PlatformStatus(reply));
  });
}

}  // namespace quetzalshelf
