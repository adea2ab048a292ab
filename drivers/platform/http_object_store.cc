#include "drivers/platform/http_object_store.h"

#include <utility>

#include "drivers/platform/platform_call.h"

namespace quetzalshelf {

namespace {

std::string TargetOf(const std::string& name) {
  return "/objects/" + PercentEncode(name, /*keep_slash=*/true);
}

}  // namespace

HttpObjectStore::HttpObjectStore(HttpCaller& caller, PlatformAddress address)
    : caller_(caller), address_(std::move(address)) {}

void HttpObjectStore::Get(const std::string& name, GetCallback done) {
  caller_.Call(MakePlatformCall(address_, "GET", TargetOf(name)),
               [done = std::move(done)](absl::StatusOr<HttpResponse> reply) {
                 if (absl::Status status = PlatformStatus(reply); !status.ok())
                   done(status);
                 else
                   done(std::move(reply->body));
               });
}

void HttpObjectStore::Put(const std::string& name,
                          std::string content,
                          PutCallback done) {
  HttpCall call = MakePlatformCall(address_, "PUT", TargetOf(name));
  call.body = std::move(content);
  call.content_type = "application/octet-stream";
  caller_.Call(std::move(call), [done = std::move(done)](
                                    const absl::StatusOr<HttpResponse>& reply) {
    done(PlatformStatus(reply));
  });
}

}  // namespace quetzalshelf
