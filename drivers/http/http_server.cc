#include "drivers/http/http_server.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <httplib.h>
#include <asio/post.hpp>

#include "core/logging.h"
#include "drivers/http/api_error.h"
#include "drivers/http/router.h"

namespace quetzalshelf {

namespace {

// Regular expression matching in the library recurses once a character.
constexpr size_t kMaxPathBytes = 2'048;
constexpr int kListenBacklog = 256;
constexpr size_t kMaxRequestsPerConnection = 100'000;
constexpr Duration kIoTimeout{5'000};

// `  HTTP/1.1` and the line end of a request, and `HTTP/1.1 200 OK` with it.
constexpr size_t kRequestLineBytes = 12;
constexpr size_t kStatusLineBytes = 17;

constexpr const char* kAnyPath = ".*";

// Gives access to the listening socket, whose backlog is 5 in the library.
class ListeningServer : public httplib::Server {
 public:
  bool RaiseBacklog() { return ::listen(svr_sock_, kListenBacklog) == 0; }
};

// Whether the library puts the header among those of a request it received.
bool IsAddedByLibrary(const std::string& name) {
  return name == "REMOTE_ADDR" || name == "REMOTE_PORT" ||
         name == "LOCAL_ADDR" || name == "LOCAL_PORT";
}

HttpFields CopyFields(const std::multimap<std::string, std::string>& from) {
  HttpFields fields;
  for (const auto& [name, value] : from)
    fields.push_back({name, value});
  return fields;
}

HttpFields CopyHeaders(const httplib::Headers& headers) {
  HttpFields fields;
  for (const auto& [name, value] : headers) {
    if (!IsAddedByLibrary(name))
      fields.push_back({name, value});
  }
  return fields;
}

// Bytes of `name: value` lines and of the empty line after them.
size_t HeaderBytes(const httplib::Headers& headers) {
  size_t n = 2;
  for (const auto& [name, value] : headers)
    n += IsAddedByLibrary(name) ? 0 : name.size() + value.size() + 4;
  return n;
}

HttpResponse TooLarge(size_t limit) {
  HttpResponse response;
  response.status = 413;
  response.body = EncodeApiError(
      {"too_large",
       "the body has more than " + std::to_string(limit) + " bytes",
       {}});
  return response;
}

// The library's own refusals (bad request line, unknown method) have no body.
HttpResponse LibraryError(int status, size_t body_limit) {
  if (status == 413)
    return TooLarge(body_limit);
  auto code = absl::StatusCode::kInvalidArgument;
  if (status == 404)
    code = absl::StatusCode::kNotFound;
  else if (status >= 500)
    code = absl::StatusCode::kInternal;
  HttpResponse response =
      ErrorResponse(absl::Status(code, "the HTTP request was not accepted"));
  response.status = status;
  return response;
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(asio::io_context& io,
       MetricsRegistry& metrics,
       HttpServerOptions options)
      : io_(io),
        options_(std::move(options)),
        calls_(metrics.GetCounter("http_server_calls_total")),
        bytes_in_(metrics.GetCounter("http_server_bytes_in_total")),
        bytes_out_(metrics.GetCounter("http_server_bytes_out_total")) {}

  ~Impl() {
    if (!listener_.joinable())
      return;
    AbortPending();
    server_.stop();
    listener_.join();
  }

  void Handle(std::string_view method,
              std::string_view pattern,
              Handler handler,
              Duration answer_limit) {
    router_.Add(method, pattern);
    if (answer_limit == Duration{0})
      answer_limit = options_.answer_limit;
    routes_.push_back(std::make_shared<const RouteEntry>(
        RouteEntry{std::move(handler), answer_limit}));
  }

  absl::Status Start() {
    Configure();
    InstallHandlers();
    if (absl::Status status = Bind(); !status.ok())
      return status;
    if (!server_.RaiseBacklog())
      LOG(WARNING) << "cannot raise the listen backlog";
    listener_ = std::thread([this] { Listen(); });
    // The library ignores stop() before it runs.
    while (!server_.is_running() && !ended_)
      std::this_thread::yield();
    return absl::OkStatus();
  }

  int port() const { return port_; }

  void Stop(std::function<void()> done) {
    {
      const std::lock_guard lock(mutex_);
      if (!ended_) {
        stopped_ = std::move(done);
        done = nullptr;
      }
    }
    if (done)
      asio::post(io_, std::move(done));
    else
      server_.stop();
  }

 private:
  struct RouteEntry {
    Handler handler;
    Duration answer_limit;
  };

  void Configure() {
    server_.new_task_queue = [n = options_.connection_limit] {
      return new httplib::ThreadPool(static_cast<size_t>(n));
    };
    // Without SO_REUSEPORT, which the library sets by default and which would
    // let two processes share a port unnoticed.
    server_.set_socket_options([](socket_t fd) {
      const int on = 1;
      ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    server_.set_tcp_nodelay(true);
    server_.set_payload_max_length(options_.max_body_bytes);
    server_.set_keep_alive_max_count(kMaxRequestsPerConnection);
    server_.set_keep_alive_timeout(std::max<time_t>(
        1, std::chrono::duration_cast<std::chrono::seconds>(options_.keep_alive)
               .count()));
    server_.set_read_timeout(kIoTimeout);
    server_.set_write_timeout(kIoTimeout);
  }

  absl::Status Bind() {
    errno = 0;
    if (options_.port == 0) {
      port_ = server_.bind_to_any_port(options_.host);
    } else if (server_.bind_to_port(options_.host, options_.port)) {
      port_ = options_.port;
    }
    if (port_ > 0)
      return absl::OkStatus();
    const int error = errno;
    const std::string address =
        options_.host + ":" + std::to_string(options_.port);
    if (error == EADDRINUSE)
      return absl::AlreadyExistsError("address " + address + " is in use");
    return absl::UnavailableError("cannot listen on " + address + ": " +
                                  std::strerror(error));
  }

  void InstallHandlers() {
    const auto plain = [this](const httplib::Request& req,
                              httplib::Response& res) { Serve(req, "", res); };
    const auto with_body = [this](const httplib::Request& req,
                                  httplib::Response& res,
                                  const httplib::ContentReader& reader) {
      ServeWithBody(req, res, reader);
    };
    server_.Get(kAnyPath, plain);
    server_.Delete(kAnyPath, plain);
    server_.Delete(kAnyPath, with_body);
    server_.Post(kAnyPath, with_body);
    server_.Put(kAnyPath, with_body);
    server_.Patch(kAnyPath, with_body);
    server_.set_pre_routing_handler(
        [this](const httplib::Request& req, httplib::Response& res) {
          if (req.path.size() <= kMaxPathBytes)
            return httplib::Server::HandlerResponse::Unhandled;
          Write(LibraryError(414, 0), res);
          return httplib::Server::HandlerResponse::Handled;
        });
    // Runs after each response was written, with all headers of both.
    server_.set_logger(
        [this](const httplib::Request& req, const httplib::Response& res) {
          Count(req, res);
        });
    server_.set_error_handler(
        [this](const httplib::Request& req, httplib::Response& res) {
          (void)req;
          if (res.body.empty())
            Write(LibraryError(res.status, options_.max_body_bytes), res);
        });
  }

  // Counts the bytes of both messages, but for the body of the request, which
  // is counted as it is read.
  void Count(const httplib::Request& req, const httplib::Response& res) {
    calls_.Add();
    bytes_in_.Add(static_cast<int64_t>(kRequestLineBytes + req.method.size() +
                                       req.target.size() +
                                       HeaderBytes(req.headers)));
    bytes_out_.Add(static_cast<int64_t>(
        kStatusLineBytes + HeaderBytes(res.headers) + res.body.size()));
  }

  void Listen() {
    if (!server_.listen_after_bind())
      LOG(ERROR) << "the HTTP server on port " << port_ << " ended early";
    const std::lock_guard lock(mutex_);
    ended_ = true;
    if (stopped_)
      asio::post(io_, std::move(stopped_));
  }

  void ServeWithBody(const httplib::Request& req,
                     httplib::Response& res,
                     const httplib::ContentReader& reader) {
    if (req.is_multipart_form_data()) {
      reader([](const httplib::MultipartFormData&) { return true; },
             [](const char*, size_t) { return true; });
      Write(LibraryError(415, 0), res);
      return;
    }
    std::string body;
    bool too_large = false;
    // Reads on beyond the limit, so that the connection stays in step.
    const bool complete = reader([&](const char* data, size_t n) {
      bytes_in_.Add(static_cast<int64_t>(n));
      too_large = too_large || body.size() + n > options_.max_body_bytes;
      if (!too_large)
        body.append(data, n);
      return true;
    });
    if (too_large || res.status == 413) {
      Write(TooLarge(options_.max_body_bytes), res);
    } else if (!complete) {
      Write(LibraryError(400, 0), res);
    } else {
      Serve(req, std::move(body), res);
    }
  }

  void Serve(const httplib::Request& req,
             std::string body,
             httplib::Response& res) {
    HttpRequest request;
    request.method = req.method == "HEAD" ? "GET" : req.method;
    request.path = req.path;
    request.target = req.target;
    request.headers = CopyHeaders(req.headers);
    request.query = CopyFields(req.params);
    request.body = std::move(body);
    Router::Match match = router_.Find(request.method, request.path);
    if (match.outcome != Router::Outcome::kFound) {
      Write(NoRoute(match.outcome, request.path), res);
      return;
    }
    request.params = std::move(match.params);
    Write(Dispatch(routes_[match.route], std::move(request)), res);
  }

  static HttpResponse NoRoute(Router::Outcome outcome,
                              const std::string& path) {
    if (outcome == Router::Outcome::kNoPath)
      return ErrorResponse(absl::NotFoundError("no such path: " + path));
    HttpResponse response = ErrorResponse(
        absl::InvalidArgumentError("method not allowed for path " + path));
    response.status = 405;
    return response;
  }

  // Runs the handler on the io_context and waits for its answer.
  HttpResponse Dispatch(const std::shared_ptr<const RouteEntry>& route,
                        HttpRequest request) {
    const auto answer = std::make_shared<detail::PendingAnswer>();
    {
      const std::lock_guard lock(mutex_);
      pending_.insert(answer);
    }
    asio::post(io_, [route, request = std::move(request),
                     responder = Responder(answer)]() mutable {
      route->handler(std::move(request), std::move(responder));
    });
    std::optional<HttpResponse> response = answer->Wait(route->answer_limit);
    const std::lock_guard lock(mutex_);
    pending_.erase(answer);
    if (response)
      return *std::move(response);
    // The handler may still act. 504 and not 503, since balancers send a
    // request again after 503.
    return ErrorResponse(absl::DeadlineExceededError(
        "the request was not answered in time; its outcome is unknown"));
  }

  void Write(const HttpResponse& response, httplib::Response& res) {
    res.status = response.status;
    for (const HttpField& it : response.headers)
      res.set_header(it.name, it.value);
    res.set_content(response.body, response.content_type);
  }

  void AbortPending() {
    const std::lock_guard lock(mutex_);
    const HttpResponse response = ErrorResponse(
        absl::DeadlineExceededError("the server stops; the outcome is open"));
    for (const auto& it : pending_)
      it->Give(response);
  }

  asio::io_context& io_;
  const HttpServerOptions options_;
  Counter& calls_;
  Counter& bytes_in_;
  Counter& bytes_out_;
  Router router_;
  std::vector<std::shared_ptr<const RouteEntry>> routes_;
  ListeningServer server_;
  int port_ = 0;
  std::thread listener_;
  std::mutex mutex_;
  std::atomic<bool> ended_{false};
  std::function<void()> stopped_;
  std::set<std::shared_ptr<detail::PendingAnswer>> pending_;
};

HttpServer::HttpServer(asio::io_context& io,
                       MetricsRegistry& metrics,
                       HttpServerOptions options)
    : impl_(std::make_unique<Impl>(io, metrics, std::move(options))) {}

HttpServer::~HttpServer() = default;

void HttpServer::Handle(std::string_view method,
                        std::string_view pattern,
                        Handler handler,
                        Duration answer_limit) {
  impl_->Handle(method, pattern, std::move(handler), answer_limit);
}

absl::Status HttpServer::Start() {
  return impl_->Start();
}

int HttpServer::port() const {
  return impl_->port();
}

void HttpServer::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}

}  // namespace quetzalshelf
