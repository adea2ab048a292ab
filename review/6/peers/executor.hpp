// Executors as PROTOCOL.md describes them: runs under leases and fences, gangs,
// checkpoints, ends that are listed until they have been taken note of.

#ifndef REVIEW_6_PEERS_EXECUTOR_HPP_
#define REVIEW_6_PEERS_EXECUTOR_HPP_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.hpp"

namespace peers {

using nlohmann::json;

// What a task is, as the client that sent its job knows.
struct TaskInfo {
  int64_t work_ms = 1'000;
  int64_t cpu = 0;
  int64_t mem_mb = 0;
  int64_t gpu = 0;
  int gang = 0;  // Members; 0: none.
  bool checkpointing = false;
  bool long_running = false;  // Does not end by itself.
  bool fails = false;         // By its own fault, after `work_ms`.
};

// `ID.K.STEP` of a task.
inline std::string StepOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

class Executor;

// Sees all executors; records what they do.
class Fleet {
 public:
  explicit Fleet(asio::io_context& io) : io(io) {}

  asio::io_context& io;
  std::function<TaskInfo(const std::string& task)> info;
  // Called with `start`, `end` and `refuse`.
  std::function<void(const std::string& what,
                     const Executor& executor,
                     const std::string& task,
                     int64_t attempt,
                     const std::string& how)>
      on_event;
  std::vector<std::unique_ptr<Executor>> executors;
};

class Executor {
 public:
  static constexpr int64_t kHoldMaxMs = 6'000;
  static constexpr int64_t kGangWaitMs = 3'000;
  static constexpr int64_t kStopMs = 100;
  static constexpr int64_t kCheckpointMs = 500;
  static constexpr int64_t kRestoreMs = 100;
  // Travel time between executors.
  static constexpr int64_t kTellMs = 2;
  static constexpr size_t kMaxEnds = 500;

  struct Run {
    int64_t attempt = 0;
    uint64_t serial = 0;
    TaskInfo info;
    bool working = false;
    int64_t began_ms = 0;    // Of its work.
    int64_t saved_work = 0;  // Work done before `began_ms`.
    std::string checkpoint;
  };
  struct Faults {
    // A call that is to get no answer, though it is carried out.
    std::function<bool(const Request&)> lose_answer;
    // A call that gets no answer and is carried out so much later; 0: at once.
    std::function<int64_t(const Request&)> late_ms;
    // All that it starts fails after this time; negative: no such fault.
    int64_t fail_after_ms = -1;
  };

  Executor(Fleet& fleet, std::string id, std::string zone, std::string rack)
      : fleet_(fleet),
        id_(std::move(id)),
        zone_(std::move(zone)),
        rack_(std::move(rack)),
        server_(fleet.io, [this](const Request& request, const Reply& reply) {
          Handle(request, reply);
        }) {
    server_.Listen();
    Begin();
  }

  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  const std::string& rack() const { return rack_; }
  int port() const { return server_.port(); }
  bool up() const { return up_; }
  const std::map<std::string, Run>& runs() const { return runs_; }
  Faults faults;
  std::string service = "taquilla";
  std::string kind = "a";
  bool guards = true;  // Refuses what does not fit.
  bool draining = false;
  int64_t remaining_ms = 0;
  int64_t cpu = 64'000, mem_mb = 131'072, gpu = 8;

  json Entry() {
    return {{"service", service},
            {"addr", "127.0.0.1:" + std::to_string(server_.port())},
            {"zone", zone_},
            {"version", "1"},
            {"slots", 8},
            {"state", draining ? "draining" : "ready"},
            {"remaining_ms", remaining_ms},
            {"cold_left_ms", 0},
            {"seq", ++seq_},
            {"capacity", {{"cpu", cpu}, {"mem_mb", mem_mb}, {"gpu", gpu}}},
            {"labels", {kind, rack_}},
            {"born", born_}};
  }
  int64_t free_gpu() const {
    int64_t used = 0;
    for (const auto& [task, run] : runs_)
      used += run.info.gpu;
    return gpu - used;
  }
  int64_t free_cpu() const {
    int64_t used = 0;
    for (const auto& [task, run] : runs_)
      used += run.info.cpu;
    return cpu - used;
  }

  void Crash() {
    up_ = false;
    ++life_;
    server_.Crash();
    const auto lost = std::exchange(runs_, {});
    waiting_.clear();
    for (const auto& [task, run] : lost) {
      Tell("end", task, run.attempt, "crash");
      if (run.info.gang > 1)
        BreakGang(task, run.attempt);
    }
  }
  // The link is cut: connections are reset and new ones are refused. The
  // executor runs on.
  void CutOff() { server_.Crash(); }
  void Reconnect() { server_.Restart(); }
  // The machine loses power: nothing is sent and nothing is answered.
  void GoDark() {
    up_ = false;
    dark_ = true;
    ++life_;
    const auto lost = std::exchange(runs_, {});
    waiting_.clear();
    for (const auto& [task, run] : lost) {
      Tell("end", task, run.attempt, "crash");
      if (run.info.gang > 1)
        BreakGang(task, run.attempt);
    }
  }
  // Starts again under its id, at its address.
  void Restart() {
    if (std::exchange(dark_, false))
      server_.Crash();
    server_.Restart();
    Begin();
  }

 private:
  struct End {
    int64_t number = 0;
    std::string task;
    int64_t attempt = 0;
    std::string how;
    std::string saved;
  };

  void Begin() {
    up_ = true;
    born_ = WallMs();
    clock_start_ = NowMs() - 1'000;
    fence_ = lease_until_ = last_end_ = 0;
    seq_ = 0;
    ends_.clear();
    refused_.clear();
  }

  int64_t Clock() const { return NowMs() - clock_start_; }

  void Tell(const std::string& what,
            const std::string& task,
            int64_t attempt,
            const std::string& how) {
    if (fleet_.on_event)
      fleet_.on_event(what, *this, task, attempt, how);
  }

  void After(int64_t ms, std::function<void()> what) {
    auto timer = std::make_shared<asio::steady_timer>(fleet_.io);
    timer->expires_after(std::chrono::milliseconds(std::max<int64_t>(0, ms)));
    timer->async_wait([this, timer, life = life_,
                       what = std::move(what)](const asio::error_code& ec) {
      if (!ec && life == life_)
        what();
    });
  }

  void Handle(const Request& request, const Reply& reply) {
    if (dark_)
      return;
    if (request.path == "/healthz")
      return reply(200, "");
    const std::string expected = request.Header("x-expect-instance");
    json body = json::parse(request.body, nullptr, false);
    Reply answer = reply;
    if (faults.lose_answer && faults.lose_answer(request))
      answer = [](int, const std::string&) {};
    if (!expected.empty() && expected != id_)
      return answer(421, "{}");
    if (!body.is_object())
      return answer(400, "{}");
    if (const int64_t late = faults.late_ms ? faults.late_ms(request) : 0;
        late > 0) {
      After(late, [this, request, body] {
        CarryOut(request, body, [](int, const std::string&) {});
      });
      return;
    }
    CarryOut(request, body, answer);
  }

  void CarryOut(const Request& request, const json& body, const Reply& answer) {
    if (request.path == "/api/run-start")
      Start(body, answer);
    else if (request.path == "/api/run-stop")
      Stop(body, answer);
    else if (request.path == "/api/hold")
      Hold(body, answer);
    else
      answer(404, "{}");
  }

  json Body() const { return {{"clock_ms", Clock()}, {"born", born_}}; }

  bool IsFenced(const json& body, const Reply& reply) {
    const int64_t fence = body.value("fence", int64_t{0});
    if (fence < fence_) {
      json answer = Body();
      answer["reason"] = "fence";
      reply(409, answer.dump());
      return true;
    }
    fence_ = fence;
    return false;
  }

  void ExtendLease(int64_t until) {
    lease_until_ =
        std::max(lease_until_, std::min(until, Clock() + kHoldMaxMs));
    After(lease_until_ - Clock(), [this, until_was = lease_until_] {
      if (until_was != lease_until_)
        return;
      while (!runs_.empty())
        EndRun(std::string(runs_.begin()->first), "lapsed");
    });
  }

  void Start(const json& body, const Reply& reply) {
    const std::string task = body.value("task", "");
    const int64_t attempt = body.value("attempt", int64_t{0});
    const int64_t until = body.value("until_ms", int64_t{0});
    if (IsFenced(body, reply)) {
      Tell("refuse", task, attempt, "fence");
      return;
    }
    json answer = Body();
    if (const auto it = runs_.find(task);
        it != runs_.end() && it->second.attempt == attempt) {
      ExtendLease(until);
      return reply(200, answer.dump());
    }
    const auto refuse = [&](const char* reason) {
      Tell("refuse", task, attempt, reason);
      answer["reason"] = reason;
      reply(409, answer.dump());
    };
    if (const auto it = refused_.find(task);
        runs_.contains(task) ||
        (it != refused_.end() && attempt <= it->second)) {
      ExtendLease(until);
      return refuse("old");
    }
    if (until <= Clock())
      return refuse("late");
    const TaskInfo info = fleet_.info(task);
    if (guards && (free_gpu() < info.gpu || free_cpu() < info.cpu)) {
      ExtendLease(until);
      return refuse("room");
    }
    Run& run = runs_[task];
    run.attempt = attempt;
    run.serial = ++serial_;
    run.info = info;
    run.checkpoint = body.value("checkpoint", "");
    if (!run.checkpoint.empty())
      run.saved_work = std::stoll(run.checkpoint.substr(0, 8), nullptr, 16);
    ExtendLease(until);
    Tell("start", task, attempt, run.checkpoint);
    reply(200, answer.dump());
    if (faults.fail_after_ms >= 0 && info.gang <= 1)
      EndLater(task, faults.fail_after_ms, "failed");
    if (info.gang > 1)
      JoinGang(task);
    else
      Work(task);
  }

  // The run begins to work now.
  void Work(const std::string& task) {
    Run& run = runs_.at(task);
    run.working = true;
    run.began_ms = NowMs();
    if (faults.fail_after_ms >= 0 && run.info.gang > 1)
      EndLater(task, faults.fail_after_ms, "failed");
    const int64_t restore = run.saved_work > 0 ? kRestoreMs : 0;
    const int64_t left =
        restore + std::max<int64_t>(1, run.info.work_ms - run.saved_work);
    if (run.info.checkpointing)
      SaveLater(task, run.serial);
    if (run.info.long_running)
      return;
    After(left, [this, task, serial = run.serial] {
      const auto it = runs_.find(task);
      if (it == runs_.end() || it->second.serial != serial)
        return;
      if (it->second.info.fails)
        EndRun(task, "failed");
      else if (it->second.info.gang > 1)
        EndGang(task, it->second.attempt, "done");
      else
        EndRun(task, "done");
    });
  }

  void SaveLater(const std::string& task, uint64_t serial) {
    After(kCheckpointMs, [this, task, serial] {
      const auto it = runs_.find(task);
      if (it == runs_.end() || it->second.serial != serial)
        return;
      Save(it->second);
      SaveLater(task, serial);
    });
  }

  static int64_t Done(const Run& run) {
    return run.working ? run.saved_work + NowMs() - run.began_ms
                       : run.saved_work;
  }

  static void Save(Run& run) {
    if (!run.info.checkpointing || !run.working)
      return;
    char text[17];
    std::snprintf(text, sizeof text, "%08llx%08x",
                  static_cast<unsigned long long>(Done(run)), 0x7a21d94bU);
    run.checkpoint = text;
  }

  template <typename Visit>
  void ForGang(const std::string& task, int64_t attempt, Visit visit) {
    const std::string step = StepOf(task);
    for (const auto& it : fleet_.executors) {
      std::vector<std::string> members;
      for (const auto& [other, run] : it->runs_) {
        if (run.attempt == attempt && StepOf(other) == step)
          members.push_back(other);
      }
      for (const std::string& member : members) {
        if (it->runs_.contains(member))
          visit(*it, member);
      }
    }
  }

  void JoinGang(const std::string& task) {
    const Run& run = runs_.at(task);
    int present = 0;
    ForGang(task, run.attempt,
            [&](Executor&, const std::string&) { ++present; });
    if (present >= run.info.gang) {
      ForGang(task, run.attempt, [](Executor& it, const std::string& member) {
        if (!it.runs_.at(member).working)
          it.Work(member);
      });
      return;
    }
    After(kGangWaitMs, [this, task, serial = run.serial] {
      const auto it = runs_.find(task);
      if (it != runs_.end() && it->second.serial == serial &&
          !it->second.working)
        EndRun(task, "alone");
    });
  }

  void EndGang(const std::string& task, int64_t attempt, const char* how) {
    ForGang(task, attempt, [&](Executor& it, const std::string& member) {
      it.Finish(member, how);
    });
  }
  void BreakGang(const std::string& task, int64_t attempt) {
    EndGang(task, attempt, "broken");
  }

  void EndLater(const std::string& task, int64_t ms, const std::string& how) {
    After(ms, [this, task, how, serial = runs_.at(task).serial] {
      const auto it = runs_.find(task);
      if (it != runs_.end() && it->second.serial == serial)
        EndRun(task, how);
    });
  }

  // Ends a run; the others of its gang end `broken` when they hear of it.
  void EndRun(const std::string& task, const std::string& how) {
    const Run run = runs_.at(task);
    Finish(task, how);
    if (run.info.gang <= 1)
      return;
    After(kTellMs,
          [this, task, attempt = run.attempt] { BreakGang(task, attempt); });
  }

  void Finish(const std::string& task, const std::string& how) {
    Run& run = runs_.at(task);
    if (how == "stopped")
      Save(run);
    const int64_t attempt = run.attempt;
    ends_.push_back(
        {++last_end_, task, attempt, how, how == "done" ? "" : run.checkpoint});
    runs_.erase(task);
    int64_t& refused = refused_[task];
    refused = std::max(refused, attempt);
    Tell("end", task, attempt, how);
    for (const auto& it : std::exchange(waiting_, {}))
      asio::post(fleet_.io, it);
  }

  void Stop(const json& body, const Reply& reply) {
    if (IsFenced(body, reply))
      return;
    const std::string task = body.value("task", "");
    const int64_t attempt = body.value("attempt", int64_t{0});
    int64_t& refused = refused_[task];
    refused = std::max(refused, attempt);
    if (const auto it = runs_.find(task);
        it != runs_.end() && it->second.attempt <= attempt)
      EndLater(task, kStopMs, "stopped");
    reply(200, Body().dump());
  }

  void Hold(const json& body, const Reply& reply) {
    if (IsFenced(body, reply))
      return;
    if (body.contains("until_ms"))
      ExtendLease(body["until_ms"].get<int64_t>());
    const int64_t seen = body.value("last_seen", int64_t{0});
    for (const End& it : ends_) {
      if (it.number <= seen)
        Tell("noted", it.task, it.attempt, it.how);
    }
    std::erase_if(ends_, [&](const End& it) { return it.number <= seen; });
    const int64_t wait = body.value("wait_ms", int64_t{0});
    if (wait == 0 || !ends_.empty())
      return reply(200, Lists());
    const auto answer = [this, reply] { reply(200, Lists()); };
    waiting_.push_back(answer);
    After(wait, answer);
  }

  std::string Lists() const {
    json body = Body();
    body["running"] = json::array();
    body["finished"] = json::array();
    for (const auto& [task, run] : runs_) {
      const int64_t percent = std::min<int64_t>(
          99, Done(run) * 100 / std::max<int64_t>(1, run.info.work_ms));
      body["running"].push_back(
          {task, run.attempt, run.checkpoint, percent, run.info.cpu});
    }
    for (const End& it : ends_) {
      if (body["finished"].size() == kMaxEnds)
        break;
      body["finished"].push_back(
          {it.number, it.task, it.attempt, it.how, it.saved});
    }
    return body.dump();
  }

  Fleet& fleet_;
  const std::string id_;
  const std::string zone_;
  const std::string rack_;
  HttpServer server_;
  bool up_ = false;
  bool dark_ = false;
  uint64_t life_ = 0;
  int64_t born_ = 0;
  int64_t clock_start_ = 0;
  int64_t fence_ = 0;
  int64_t lease_until_ = 0;
  int64_t last_end_ = 0;
  int64_t seq_ = 0;
  uint64_t serial_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, int64_t> refused_;  // Attempts that come too late.
  std::vector<End> ends_;
  std::vector<std::function<void()>> waiting_;
};

}  // namespace peers

#endif  // REVIEW_6_PEERS_EXECUTOR_HPP_
