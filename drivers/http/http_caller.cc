#include "drivers/http/http_caller.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>

#include "drivers/http/http_connection.h"

namespace quetzalshelf {

namespace {

using SteadyClock = std::chrono::steady_clock;
using ConnectionPtr = std::unique_ptr<HttpConnection>;

// Idle connections by destination. Thread-safe.
class ConnectionPool {
 public:
  explicit ConnectionPool(const HttpCallerOptions& options)
      : options_(options) {}

  ConnectionPtr Take(const HttpCall& call) {
    const std::lock_guard lock(mutex_);
    DropExpired();
    const auto oldest = SteadyClock::now() - options_.max_idle;
    auto it = idle_.find({call.host, call.port});
    if (it == idle_.end() || it->second.empty())
      return std::make_unique<HttpConnection>(call.host, call.port);
    Idle newest = std::move(it->second.back());
    it->second.pop_back();
    if (newest.since < oldest)
      return std::make_unique<HttpConnection>(call.host, call.port);
    return std::move(newest.connection);
  }

  void Return(const HttpCall& call, ConnectionPtr connection) {
    const std::lock_guard lock(mutex_);
    std::vector<Idle>& idle = idle_[{call.host, call.port}];
    if (idle.size() < static_cast<size_t>(options_.max_idle_per_destination))
      idle.push_back({std::move(connection), SteadyClock::now()});
  }

 private:
  struct Destination {
    std::string host;
    int port = 0;
    friend auto operator<=>(const Destination&, const Destination&) = default;
  };
  struct Idle {
    ConnectionPtr connection;
    SteadyClock::time_point since;
  };

  // Closes old connections, at most once in the idle time, since that visits
  // every destination.
  void DropExpired() {
    const auto now = SteadyClock::now();
    if (now < next_sweep_)
      return;
    next_sweep_ = now + options_.max_idle;
    const auto oldest = now - options_.max_idle;
    for (auto it = idle_.begin(); it != idle_.end();) {
      std::erase_if(it->second,
                    [&](const Idle& idle) { return idle.since < oldest; });
      it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
  }

  const HttpCallerOptions options_;
  std::mutex mutex_;
  std::map<Destination, std::vector<Idle>> idle_;
  SteadyClock::time_point next_sweep_;
};

// One call from Call() to its callback.
struct Job {
  Job(asio::io_context& io, HttpCall the_call, HttpCaller::Callback callback)
      : call(std::move(the_call)), done(std::move(callback)), timer(io) {}

  // True for the first of the thread (to send) and the timer (to give up).
  bool Claim() { return !claimed.exchange(true); }

  const HttpCall call;
  HttpCaller::Callback done;  // io_context only; empty after it ran.
  asio::steady_timer timer;   // io_context only.
  SteadyClock::time_point deadline;
  std::atomic<bool> claimed{false};
  std::mutex mutex;
  HttpConnection* connection = nullptr;  // While sending; guarded by `mutex`.
};

using JobPtr = std::shared_ptr<Job>;

}  // namespace

class HttpCaller::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io,
       MetricsRegistry& metrics,
       const HttpCallerOptions& options)
      : io_(io),
        options_(options),
        calls_(metrics.GetCounter("http_client_calls_total")),
        bytes_out_(metrics.GetCounter("http_client_bytes_out_total")),
        bytes_in_(metrics.GetCounter("http_client_bytes_in_total")),
        connections_(options),
        threads_(static_cast<size_t>(options.threads)) {}

  void Call(HttpCall call, Callback done) {
    if (jobs_.size() >= static_cast<size_t>(options_.max_pending)) {
      asio::post(io_, [done = std::move(done)] {
        done(absl::UnavailableError("too many calls are pending; not sent"));
      });
      return;
    }
    const auto job =
        std::make_shared<Job>(io_, std::move(call), std::move(done));
    jobs_.insert(job);
    job->deadline = SteadyClock::now() + job->call.timeout;
    job->timer.expires_at(job->deadline);
    job->timer.async_wait(
        [weak = weak_from_this(), job](const std::error_code& ec) {
          const auto self = weak.lock();
          if (self && !ec)
            self->Expire(job);
        });
    asio::post(threads_, [this, job] { Send(job); });
  }

  // Runs on the io_context and ends all threads.
  void Shutdown() {
    for (const JobPtr& job : jobs_) {
      job->Claim();
      job->timer.cancel();
      const std::lock_guard lock(job->mutex);
      if (job->connection != nullptr)
        job->connection->Abort();
    }
    jobs_.clear();
    threads_.join();
  }

 private:
  void Send(const JobPtr& job) {
    if (!job->Claim())
      return;
    const HttpCall& call = job->call;
    const bool fresh = call.connection == ConnectionUse::kFresh;
    ConnectionPtr connection =
        fresh ? std::make_unique<HttpConnection>(call.host, call.port)
              : connections_.Take(call);
    Attach(*job, connection.get());
    absl::StatusOr<HttpResponse> result = connection->Send(call, job->deadline);
    Attach(*job, nullptr);
    calls_.Add();
    bytes_out_.Add(static_cast<int64_t>(connection->bytes_sent()));
    bytes_in_.Add(static_cast<int64_t>(connection->bytes_received()));
    if (result.ok() && !fresh && connection->reusable())
      connections_.Return(call, std::move(connection));
    asio::post(io_, [weak = weak_from_this(), job,
                     result = std::move(result)]() mutable {
      if (const auto self = weak.lock())
        self->Finish(job, std::move(result));
    });
  }

  static void Attach(Job& job, HttpConnection* connection) {
    const std::lock_guard lock(job.mutex);
    job.connection = connection;
  }

  void Expire(const JobPtr& job) {
    if (job->Claim()) {
      Finish(job, absl::UnavailableError(
                      "no thread was free before the time-out; not sent"));
      return;
    }
    Finish(job, absl::DeadlineExceededError("no whole answer in time"));
  }

  void Finish(const JobPtr& job, absl::StatusOr<HttpResponse> result) {
    if (jobs_.erase(job) == 0)
      return;
    job->timer.cancel();
    std::exchange(job->done, nullptr)(std::move(result));
  }

  asio::io_context& io_;
  const HttpCallerOptions options_;
  Counter& calls_;
  Counter& bytes_out_;
  Counter& bytes_in_;
  ConnectionPool connections_;
  std::set<JobPtr> jobs_;  // io_context only.
  asio::thread_pool threads_;
};

HttpCaller::HttpCaller(asio::io_context& io,
                       MetricsRegistry& metrics,
                       HttpCallerOptions options)
    : impl_(std::make_shared<Impl>(io, metrics, options)) {}

HttpCaller::~HttpCaller() {
  impl_->Shutdown();
}

void HttpCaller::Call(HttpCall call, Callback done) {
  impl_->Call(std::move(call), std::move(done));
}

}  // namespace quetzalshelf
