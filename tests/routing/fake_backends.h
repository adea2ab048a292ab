// Backend servers in memory that answer when the test says so and count how
// often each request ran.

#ifndef TESTS_ROUTING_FAKE_BACKENDS_H_
#define TESTS_ROUTING_FAKE_BACKENDS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/platform/backend_port.h"

namespace quetzalshelf {

class ManualClock : public Clock {
 public:
  TimePoint Now() const override { return now; }
  int64_t WallMillis() const override { return ToMillis(now); }
  TimePoint now = FromMillis(1'000);
};

class FakeBackends : public BackendPort {
 public:
  struct Call {
    BackendId backend;
    BackendRequest request;
    Callback done;
  };

  void Send(const BackendAddress& backend,
            const BackendRequest& request,
            Callback done) override {
    calls.push_back({backend.backend, request, std::move(done)});
    ++sent[backend.backend];
  }

  // Takes the n-th open call out.
  Call Take(size_t n) {
    Call call = std::move(calls[n]);
    calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(n));
    return call;
  }
  // Runs the request and answers it.
  void Answer(size_t n) {
    Call call = Take(n);
    ++runs[call.request.payload];
    call.done(
        BackendReply{call.request.id, "ran " + call.request.payload, false, 8});
  }
  // Ends the call with an error after having run the request or not.
  void Fail(size_t n, const absl::Status& status, bool ran) {
    Call call = Take(n);
    if (ran)
      ++runs[call.request.payload];
    call.done(status);
  }

  std::vector<Call> calls;
  std::map<std::string, int> runs;  // By payload.
  std::map<BackendId, int> sent;
};

}  // namespace quetzalshelf

#endif  // TESTS_ROUTING_FAKE_BACKENDS_H_
