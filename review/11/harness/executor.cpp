#include "executor.hpp"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <utility>

namespace review {

namespace {

// `heartbeat_ms` and `stop_timeout_ms` of the small deployments.
constexpr Millis kBeat{1'500};
constexpr Millis kStopTime{300};
constexpr int64_t kMaxWaitMs = 2'000;
// After the start of the next life.
constexpr Millis kLateStart{500};
constexpr size_t kMaxListedEnds = 500;

int64_t WordOf(const std::string& spec, const std::string& name) {
  std::istringstream in(spec);
  std::string word;
  while (in >> word) {
    if (word.starts_with(name + "="))
      return std::stoll(word.substr(name.size() + 1));
  }
  return 0;
}

}  // namespace

Executor::Executor(asio::io_context& io,
                   Store& store,
                   Record& record,
                   ExecutorOptions options,
                   Listener listener)
    : io_(io),
      store_(store),
      record_(record),
      options_(std::move(options)),
      listener_(std::move(listener)),
      server_(io,
              [this](const Request& request, const Reply& reply) {
                Handle(request, reply);
              }),
      born_ms_(WallMillis()),
      started_(Now()) {
  Beat();
}

void Executor::After(Millis delay, std::function<void()> what) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([this, timer, life = life_,
                     what = std::move(what)](const asio::error_code& ec) {
    if (!ec && life == life_)
      what();
  });
}

int64_t Executor::ClockMs() const {
  return std::chrono::duration_cast<Millis>(Now() - started_).count();
}

void Executor::Beat() {
  if (up_) {
    store_.Put("servers", options_.id,
               {{"service", options_.service},
                {"addr", "127.0.0.1:" + std::to_string(server_.port())},
                {"zone", options_.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"capacity",
                 {{"cpu", options_.cpu},
                  {"mem_mb", options_.mem_mb},
                  {"gpu", options_.gpu}}},
                {"labels", {options_.kind, options_.rack}},
                {"clock_ms", ClockMs()},
                {"born", born_ms_},
                {"seq", ++beats_}});
  }
  After(kBeat, [this] { Beat(); });
}

void Executor::HoldNextStart(std::function<void()> held) {
  held_ = std::move(held);
}

void Executor::BeginResets() {
  record_.Line("executor " + id() +
               " resets its connections, runs=" + std::to_string(runs_.size()));
  server_.SetReach(Reach::kClosed);
}

void Executor::GoMute() {
  record_.Line("executor " + id() + " answers no call any more, runs=" +
               std::to_string(runs_.size()));
  server_.SetReach(Reach::kDark);
}

void Executor::ServeAgain() {
  record_.Line("executor " + id() +
               " serves again, runs=" + std::to_string(runs_.size()));
  server_.SetReach(Reach::kOpen);
}

void Executor::Crash(Millis after, const std::string& kind) {
  record_.Line("executor " + id() +
               " crashes, runs=" + std::to_string(runs_.size()));
  up_ = false;
  ++life_;
  for (const auto& [task, run] : runs_)
    listener_({"crash", id(), zone(), options_.kind, task, run.attempt,
               record_.Elapsed()});
  server_.SetReach(Reach::kClosed);
  runs_.clear();
  tombstones_.clear();
  ends_.clear();
  waiting_.clear();
  last_end_ = 0;
  fence_ = 0;
  lease_until_ms_ = 0;
  beats_ = 0;
  After(after, [this, kind] {
    up_ = true;
    if (!kind.empty())
      options_.kind = kind;
    born_ms_ = WallMillis();
    started_ = Now();
    server_.SetReach(Reach::kOpen);
    record_.Line("executor " + id() + " has started again, kind " +
                 options_.kind);
    After(options_.first_beat, [this] { Beat(); });
    After(kLateStart, [this] { CarryOutLateStarts(); });
  });
}

void Executor::CarryOutLateStarts() {
  for (const Json& it : std::exchange(late_starts_, {})) {
    record_.Line("executor " + id() + " carries out a late start of " +
                 it.value("task", "") +
                 (it.value("fence", uint64_t{0}) < fence_
                      ? ": refused by its fence"
                      : ""));
    if (it.value("fence", uint64_t{0}) >= fence_)
      Start(it, [](int, const std::string&) {});
  }
}

void Executor::Handle(const Request& request, const Reply& reply) {
  const std::string expected = request.Header("X-Expect-Instance");
  if (!expected.empty() && expected != id()) {
    reply(421, "{}");
    return;
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    reply(400, "{}");
    return;
  }
  if (held_ && request.path == "/api/run-start") {
    record_.Line("executor " + id() + ": start of " + body.value("task", "") +
                 " attempt " + std::to_string(body.value("attempt", 0)) +
                 " gets no answer and is carried out later");
    late_starts_.push_back(body);
    std::exchange(held_, nullptr)();
    return;
  }
  const auto fence = body.value("fence", uint64_t{0});
  if (fence < fence_) {
    reply(409, Json{{"clock_ms", ClockMs()}, {"reason", "fence"}}.dump());
    return;
  }
  fence_ = fence;
  if (request.path == "/api/run-start")
    Start(body, reply);
  else if (request.path == "/api/run-stop")
    Stop(body, reply);
  else if (request.path == "/api/hold")
    Hold(body, reply);
  else
    reply(404, "{}");
}

void Executor::Start(const Json& body, const Reply& reply) {
  const auto refuse = [&](const char* reason) {
    reply(409, Json{{"clock_ms", ClockMs()}, {"reason", reason}}.dump());
  };
  const std::string task = body.value("task", "");
  const auto attempt = body.value("attempt", int64_t{0});
  const auto until = body.value("until_ms", int64_t{0});
  const std::string spec = body.value("spec", "");
  if (const auto it = runs_.find(task);
      it != runs_.end() && it->second.attempt == attempt) {
    ExtendLease(until);
    reply(200, Json{{"clock_ms", ClockMs()}}.dump());
    return;
  }
  if (const auto it = tombstones_.find(task);
      it != tombstones_.end() && attempt <= it->second) {
    ExtendLease(until);
    refuse("old");
    return;
  }
  if (until <= ClockMs()) {
    refuse("late");
    return;
  }
  Run run;
  run.attempt = attempt;
  run.serial = ++serial_;
  run.began = Now();
  run.ms = WordOf(spec, "ms");
  run.saves = WordOf(spec, "saves");
  run.cpu = static_cast<int>(WordOf(spec, "cpu"));
  run.mem = static_cast<int>(WordOf(spec, "mem"));
  int cpu = run.cpu;
  int mem = run.mem;
  for (const auto& [other, it] : runs_) {
    cpu += it.cpu;
    mem += it.mem;
  }
  if (cpu > options_.cpu || mem > options_.mem_mb || runs_.contains(task)) {
    ExtendLease(until);
    refuse("room");
    return;
  }
  // The digits of a checkpoint are the work that it holds, in milliseconds.
  if (const std::string saved = body.value("checkpoint", ""); !saved.empty())
    run.saved_ms = std::stoll(saved, nullptr, 16);
  runs_[task] = run;
  ExtendLease(until);
  listener_(
      {"start", id(), zone(), options_.kind, task, attempt, record_.Elapsed()});
  const auto still_runs = [this, task, serial = run.serial] {
    const auto it = runs_.find(task);
    return it != runs_.end() && it->second.serial == serial;
  };
  After(Millis(run.ms - run.saved_ms), [this, task, still_runs] {
    if (still_runs())
      EndRun(task, "done");
  });
  if (const int64_t crash = WordOf(spec, "crash"); crash > 0) {
    After(Millis(crash), [this, still_runs] {
      if (still_runs())
        Crash(Millis(3'000));
    });
  }
  reply(200, Json{{"clock_ms", ClockMs()}}.dump());
}

void Executor::Stop(const Json& body, const Reply& reply) {
  const std::string task = body.value("task", "");
  const auto attempt = body.value("attempt", int64_t{0});
  int64_t& tombstone = tombstones_[task];
  tombstone = std::max(tombstone, attempt);
  if (const auto it = runs_.find(task);
      it != runs_.end() && it->second.attempt <= attempt) {
    After(kStopTime, [this, task, serial = it->second.serial] {
      const auto run = runs_.find(task);
      if (run != runs_.end() && run->second.serial == serial)
        EndRun(task, "stopped");
    });
  }
  reply(200, Json{{"clock_ms", ClockMs()}}.dump());
}

void Executor::Hold(const Json& body, const Reply& reply) {
  const auto seen = body.value("last_seen", int64_t{0});
  for (const End& it : ends_) {
    if (it.number <= seen)
      listener_({"noted", id(), zone(), options_.kind, it.task, it.attempt,
                 record_.Elapsed()});
  }
  std::erase_if(ends_, [&](const End& it) { return it.number <= seen; });
  if (body.contains("until_ms"))
    ExtendLease(body["until_ms"].get<int64_t>());
  const auto wait = std::min(body.value("wait_ms", int64_t{0}), kMaxWaitMs);
  if (wait <= 0 || !ends_.empty()) {
    List(reply);
    return;
  }
  waiting_.push_back([this, reply] { List(reply); });
  After(Millis(wait), [this, reply] { List(reply); });
}

int64_t Executor::WorkOf(const Run& run) const {
  return std::chrono::duration_cast<Millis>(Now() - run.began).count() +
         run.saved_ms;
}

std::string Executor::SavedOf(const std::string&, const Run& run) const {
  if (run.saves <= 0)
    return "";
  const int64_t work = WorkOf(run) / run.saves * run.saves;
  if (work <= 0)
    return "";
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(work));
  return text;
}

void Executor::List(const Reply& reply) {
  Json answer = {{"clock_ms", ClockMs()},
                 {"born", born_ms_},
                 {"running", Json::array()},
                 {"finished", Json::array()}};
  for (const auto& [task, run] : runs_) {
    const int64_t percent =
        run.ms > 0 ? std::min<int64_t>(100, WorkOf(run) * 100 / run.ms) : 0;
    answer["running"].push_back(
        {task, run.attempt, SavedOf(task, run), percent, run.cpu});
  }
  for (const End& it : ends_) {
    if (answer["finished"].size() == kMaxListedEnds)
      break;
    answer["finished"].push_back(
        {it.number, it.task, it.attempt, it.how, it.saved});
  }
  reply(200, answer.dump());
}

void Executor::EndRun(const std::string& task, const std::string& how) {
  const Run run = runs_.at(task);
  const std::string saved = how == "done" ? "" : SavedOf(task, run);
  runs_.erase(task);
  int64_t& tombstone = tombstones_[task];
  tombstone = std::max(tombstone, run.attempt);
  ends_.push_back({++last_end_, task, run.attempt, how, saved});
  listener_(
      {how, id(), zone(), options_.kind, task, run.attempt, record_.Elapsed()});
  for (const auto& it : std::exchange(waiting_, {}))
    asio::post(io_, it);
}

void Executor::ExtendLease(int64_t until_ms) {
  const int64_t until = std::min(until_ms, ClockMs() + options_.hold_max_ms);
  if (until <= lease_until_ms_)
    return;
  lease_until_ms_ = until;
  After(Millis(std::max<int64_t>(0, until - ClockMs())), [this, until] {
    if (until != lease_until_ms_)
      return;
    while (!runs_.empty())
      EndRun(std::string(runs_.begin()->first), "lapsed");
  });
}

}  // namespace review
