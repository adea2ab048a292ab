// Table service over HTTP.

#ifndef DRIVERS_PLATFORM_HTTP_TABLE_H_
#define DRIVERS_PLATFORM_HTTP_TABLE_H_

#include <string>

#include "core/platform/table.h"
#include "core/task_runner.h"
#include "drivers/http/http_caller.h"
#include "drivers/platform/platform_address.h"

namespace quetzalshelf {

// `POST /table/commit`, `GET /table/read`, `GET /table/scan`. A commit is sent
// once; any failure that does not prove that nothing was written becomes
// kDeadlineExceeded. Also kInvalidArgument for a message that the service or
// the codec rejects; nothing was written then.
class HttpTable : public Table {
 public:
  // `caller` and `runner`, which share one io_context, must outlive the table.
  HttpTable(HttpCaller& caller, TaskRunner& runner, PlatformAddress address);

  void Read(const std::string& key, ReadCallback done) override;
  void ReadPrefix(const std::string& prefix,
                  const std::string& after,
                  int limit,
                  ScanCallback done) override;
  void Commit(Transaction transaction, CommitCallback done) override;

 private:
  HttpCaller& caller_;
  TaskRunner& runner_;
  const PlatformAddress address_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_PLATFORM_HTTP_TABLE_H_
