// Compares the policies that choose a backend server, in virtual time: several
// nodes share the servers, some of which are slow, refuse everything or leave.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "core/random.h"
#include "servers/routing/request_router.h"

namespace quetzalshelf::bench {
namespace {

using routing::BackendEntry;
using routing::CallerReply;
using routing::Outcome;
using routing::PolicyKind;
using routing::RequestRouter;

constexpr int kNodes = 8;
constexpr int kServers = 50;
constexpr int kSlots = 8;
constexpr Duration kRunTime{60'000};
constexpr Duration kMeanService{200};
constexpr Duration kOneWay{1};
constexpr Duration kDeadline{5'000};
constexpr Duration kTick{50};
// The list of VMs shows a leaving server this long after it said so itself.
constexpr Duration kListLag{10'000};
constexpr Duration kLeaveAt{20'000};
constexpr Duration kLeavingLimit{5'000};
constexpr int kSlowFactor = 5;

struct Options {
  uint64_t seed = 1;
  double load = 0.7;
  bool json = false;
};

enum class ServerKind { kGood, kSlow, kRefusing, kLeaving };

ServerKind KindOf(int n) {
  if (n < 5)
    return ServerKind::kSlow;
  if (n < 7)
    return ServerKind::kRefusing;
  return n < 10 ? ServerKind::kLeaving : ServerKind::kGood;
}

// Runs functions in the order of their virtual times.
class VirtualTime : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  int64_t WallMillis() const override { return ToMillis(now_); }
  void At(TimePoint time, std::function<void()> run) {
    queue_.push({time, next_++, std::move(run)});
  }
  void RunUntil(TimePoint end) {
    while (!queue_.empty() && queue_.top().time <= end) {
      const Entry entry = queue_.top();
      queue_.pop();
      now_ = entry.time;
      entry.run();
    }
  }

 private:
  struct Entry {
    TimePoint time;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Entry& other) const {
      return std::pair(time, order) > std::pair(other.time, other.order);
    }
  };

  TimePoint now_ = FromMillis(0);
  uint64_t next_ = 0;
  std::priority_queue<Entry> queue_;
};

struct Result {
  std::vector<double> latencies_ms;  // Of answered requests.
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
  int late_to_leaving = 0;  // Runs that began too late on a leaving server.
};

// The servers that all nodes share.
class Servers : public BackendPort {
 public:
  Servers(VirtualTime& time, Result& result, uint64_t seed)
      : time_(time), result_(result), random_(seed), used_(kServers, 0) {}

  void Send(const BackendAddress& backend,
            const BackendRequest& request,
            Callback done) override {
    const int n = backend.port;
    time_.At(time_.Now() + kOneWay,
             [this, n, id = request.id, done = std::move(done)] {
               Receive(n, id, done);
             });
  }

 private:
  void Receive(int n, const RequestId& id, const Callback& done) {
    const bool refuses = KindOf(n) == ServerKind::kRefusing;
    if (refuses || used_[static_cast<size_t>(n)] >= kSlots) {
      const absl::Status status =
          refuses ? absl::UnavailableError("refused")
                  : absl::ResourceExhaustedError("no free slot");
      time_.At(time_.Now() + kOneWay, [done, status] { done(status); });
      return;
    }
    const bool leaving = IsLeaving(n);
    if (leaving && time_.Now() > FromMillis(0) + kLeaveAt + kLeavingLimit)
      ++result_.late_to_leaving;
    ++used_[static_cast<size_t>(n)];
    time_.At(time_.Now() + ServiceTime(n), [this, n, id, done] {
      const int used = --used_[static_cast<size_t>(n)];
      const BackendReply reply{id, "", IsLeaving(n), kSlots - used};
      time_.At(time_.Now() + kOneWay, [done, reply] { done(reply); });
    });
  }

  bool IsLeaving(int n) const {
    return KindOf(n) == ServerKind::kLeaving &&
           time_.Now() >= FromMillis(0) + kLeaveAt;
  }

  Duration ServiceTime(int n) {
    const int factor = KindOf(n) == ServerKind::kSlow ? kSlowFactor : 1;
    const double millis = -std::log(1 - random_.Unit()) *
                          static_cast<double>(kMeanService.count());
    return Duration(1 + static_cast<int64_t>(millis) * factor);
  }

  VirtualTime& time_;
  Result& result_;
  Random random_;
  std::vector<int> used_;
};

class Bench {
 public:
  Bench(const Options& options, PolicyKind policy)
      : options_(options),
        servers_(time_, result_, options.seed),
        random_(options.seed + 1) {
    for (int n = 0; n < kNodes; ++n)
      routers_.push_back(MakeRouter(n, policy));
  }

  Result Run() {
    ListServers(/*shows_leaving=*/false);
    time_.At(FromMillis(0) + kLeaveAt + kListLag,
             [this] { ListServers(/*shows_leaving=*/true); });
    ScheduleArrival();
    ScheduleTick();
    time_.RunUntil(FromMillis(0) + kRunTime + 3 * kDeadline);
    return std::move(result_);
  }

 private:
  std::unique_ptr<RequestRouter> MakeRouter(int n, PolicyKind policy) {
    routing::RouterOptions options;
    options.node = NodeId("n" + std::to_string(n));
    options.incarnation = IncarnationId("i");
    options.policy = policy;
    options.seed = options_.seed * 100 + static_cast<uint64_t>(n);
    auto router =
        std::make_unique<RequestRouter>(options, servers_, time_, metrics_);
    router->SetLimits({{WorkspaceId("plaza"), 400, 400, 1}}, time_.Now());
    return router;
  }

  void ListServers(bool shows_leaving) {
    std::vector<BackendEntry> entries;
    for (int n = 0; n < kServers; ++n) {
      const bool leaving = shows_leaving && KindOf(n) == ServerKind::kLeaving;
      const BackendId id("b" + std::to_string(100 + n));
      entries.push_back({{id, "", n}, kSlots, leaving});
    }
    for (const auto& it : routers_)
      it->SetServers(entries, time_.Now());
  }

  // Offered load of all slots, were all servers good.
  void ScheduleArrival() {
    if (time_.Now() >= FromMillis(0) + kRunTime)
      return;
    const double per_ms = options_.load * kServers * kSlots /
                          static_cast<double>(kMeanService.count());
    backlog_ms_ += -std::log(1 - random_.Unit()) / per_ms;
    const auto wait = static_cast<int64_t>(backlog_ms_);
    backlog_ms_ -= static_cast<double>(wait);
    time_.At(time_.Now() + Duration(wait), [this] {
      Submit();
      ScheduleArrival();
    });
  }

  void Submit() {
    RequestRouter& router = *routers_[random_.Below(kNodes)];
    const TimePoint start = time_.Now();
    routing::CallerRequest request{WorkspaceId("plaza"), "hold", false,
                                   start + kDeadline,    {},     "x"};
    router.Submit(std::move(request), start, [this, start](auto reply) {
      Record(*reply, time_.Now() - start);
    });
  }

  void Record(const CallerReply& reply, Duration latency) {
    result_.answered += reply.outcome == Outcome::kAnswered ? 1 : 0;
    result_.not_run += reply.outcome == Outcome::kNotRun ? 1 : 0;
    result_.unknown += reply.outcome == Outcome::kUnknown ? 1 : 0;
    if (reply.outcome == Outcome::kAnswered)
      result_.latencies_ms.push_back(static_cast<double>(latency.count()));
  }

  void ScheduleTick() {
    time_.At(time_.Now() + kTick, [this] {
      for (const auto& it : routers_)
        it->Tick(time_.Now());
      ScheduleTick();
    });
  }

  const Options options_;
  VirtualTime time_;
  Result result_;
  Servers servers_;
  MetricsRegistry metrics_;
  std::vector<std::unique_ptr<RequestRouter>> routers_;
  Random random_;
  double backlog_ms_ = 0;
};

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty())
    return 0;
  const auto n = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + n, values.end());
  return values[static_cast<size_t>(n)];
}

void Print(const Options& options, const char* policy, Result result) {
  const double p50 = Quantile(result.latencies_ms, 0.5);
  const double p99 = Quantile(result.latencies_ms, 0.99);
  const int all = result.answered + result.not_run + result.unknown;
  const double shed = 100.0 * result.not_run / std::max(1, all);
  if (options.json) {
    const nlohmann::json line = {{"policy", policy},
                                 {"seed", options.seed},
                                 {"load", options.load},
                                 {"requests", all},
                                 {"p50_ms", p50},
                                 {"p99_ms", p99},
                                 {"shed_percent", shed},
                                 {"unknown", result.unknown},
                                 {"late_to_leaving", result.late_to_leaving}};
    std::printf("%s\n", line.dump().c_str());
    return;
  }
  std::printf(
      "%-13s %8d requests, p50 %6.0f ms, p99 %6.0f ms, shed %5.2f%%, "
      "unknown %d, late to a leaving server %d\n",
      policy, all, p50, p99, shed, result.unknown, result.late_to_leaving);
}

int Main(int argc, char** argv) {
  Options options;
  CLI::App app("Policies that choose a backend server");
  app.add_option("--seed", options.seed, "Seed");
  app.add_option("--load", options.load, "Offered load of all slots")
      ->check(CLI::Range(0.05, 2.0));
  app.add_flag("--json", options.json, "One JSON object a line");
  CLI11_PARSE(app, argc, argv);
  const std::pair<const char*, PolicyKind> policies[] = {
      {"round-robin", PolicyKind::kRoundRobin},
      {"two-choices", PolicyKind::kTwoChoices},
      {"faster-of-two", PolicyKind::kFasterOfTwo},
      {"least-loaded", PolicyKind::kLeastLoaded}};
  for (const auto& [name, kind] : policies)
    Print(options, name, Bench(options, kind).Run());
  return 0;
}

}  // namespace
}  // namespace quetzalshelf::bench

int main(int argc, char** argv) {
  return quetzalshelf::bench::Main(argc, argv);
}
