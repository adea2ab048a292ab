// Object store over HTTP.

#ifndef DRIVERS_PLATFORM_HTTP_OBJECT_STORE_H_
#define DRIVERS_PLATFORM_HTTP_OBJECT_STORE_H_

#include <string>

#include "core/platform/object_store.h"
#include "drivers/http/http_caller.h"
#include "drivers/platform/platform_address.h"

namespace quetzalshelf {

// `GET /objects/<name>` and `PUT /objects/<name>`; contents are plain bytes.
class HttpObjectStore : public ObjectStore {
 public:
  // `caller` must outlive the store.
  HttpObjectStore(HttpCaller& caller, PlatformAddress address);

  void Get(const std::string& name, GetCallback done) override;
  void Put(const std::string& name,
           std::string content,
           PutCallback done) override;

 private:
  HttpCaller& caller_;
  const PlatformAddress address_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_PLATFORM_HTTP_OBJECT_STORE_H_
