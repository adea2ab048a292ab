#include "drivers/platform/http_vm_list.h"

#include <utility>

#include "drivers/http/http_status.h"
#include "drivers/platform/platform_call.h"
#include "drivers/platform/platform_codec.h"

namespace quetzalshelf {

HttpVmList::HttpVmList(HttpCaller& caller, PlatformAddress address)
    : caller_(caller), address_(std::move(address)) {}

void HttpVmList::List(ListCallback done) {
  HttpCall call = MakePlatformCall(address_, "GET", "/vms");
  if (!cache_->tag.empty())
    call.headers.push_back({"If-None-Match", cache_->tag});
  caller_.Call(std::move(call), [cache = cache_, done = std::move(done)](
                                    const absl::StatusOr<HttpResponse>& reply) {
    if (reply.ok() && reply->status == http_status::kNotModified) {
      done(cache->vms);
      return;
    }
    auto vms = DecodeReply<std::vector<Vm>>(reply, &DecodeVms);
    if (vms.ok()) {
      cache->tag = FindField(reply->headers, "ETag");
      cache->vms = *vms;
    }
    done(std::move(vms));
  });
}

}  // namespace quetzalshelf
