#include "bench/processes/hold_load.h"

#include <chrono>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "core/random.h"

namespace quetzalshelf::bench {

namespace {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr char kHost[] = "127.0.0.1";
constexpr int kMaxCalls = 60;
constexpr std::chrono::milliseconds kPause{100};
constexpr std::chrono::milliseconds kBetweenHolds{5};

// One answer of a node, as far as the caller can tell.
struct CallResult {
  bool is_final = false;
  HoldOutcome outcome = HoldOutcome::kUnknown;
  std::string payload;
};

httplib::Client MakeClient(int port) {
  httplib::Client client(kHost, port);
  client.set_connection_timeout(std::chrono::milliseconds(300));
  client.set_read_timeout(std::chrono::seconds(4));
  return client;
}

// Only a reply that names the outcome of the hold, and does not ask the caller
// to come back, is final.
CallResult Interpret(const httplib::Result& result) {
  if (!result)
    return {};
  const json body = json::parse(result->body, nullptr, false);
  if (!body.is_object() || !body.contains("outcome"))
    return {};
  const std::string outcome = body["outcome"];
  if (outcome == "answered")
    return {true, HoldOutcome::kAnswered, body["payload"]};
  if (outcome == "not_run")
    return {true, HoldOutcome::kNotRun, ""};
  return {body["retry_after_ms"] == 0, HoldOutcome::kUnknown, ""};
}

int PickPort(const std::vector<int>& ports, uint64_t& random) {
  return ports[Random(random++).Below(ports.size())];
}

}  // namespace

HoldLoad::HoldLoad(std::vector<int> node_ports, int callers, uint64_t seed)
    : node_ports_(std::move(node_ports)), callers_(callers), seed_(seed) {}

HoldLoad::~HoldLoad() {
  Stop();
}

void HoldLoad::Start() {
  stopping_ = false;
  ++starts_;
  for (int n = 0; n < callers_; ++n)
    threads_.emplace_back([this, n] { RunCaller(n); });
}

void HoldLoad::Stop() {
  stopping_ = true;
  for (std::thread& it : threads_)
    it.join();
  threads_.clear();
}

std::vector<HoldRecord> HoldLoad::TakeRecords() {
  std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(records_, {});
}

void HoldLoad::RunCaller(int caller) {
  uint64_t random = seed_ * 1'000'003 + static_cast<uint64_t>(caller) * 7'919;
  const std::string prefix =
      "hold-" + std::to_string(starts_) + "-" + std::to_string(caller) + "-";
  for (int n = 0; !stopping_; ++n) {
    HoldRecord record = SendHold(prefix + std::to_string(n), random);
    {
      std::lock_guard<std::mutex> lock(mutex_);
      records_.push_back(std::move(record));
    }
    std::this_thread::sleep_for(kBetweenHolds);
  }
}

HoldRecord HoldLoad::SendHold(const std::string& payload,
                              uint64_t& random) const {
  HoldRecord record;
  record.payload = payload;
  const auto start = SteadyClock::now();
  const std::string ticket = GetTicket(random);
  if (ticket.empty()) {
    record.outcome = HoldOutcome::kNotRun;
    return record;
  }
  const std::string body =
      json{{"workspace", "plaza"}, {"kind", "hold"},   {"idempotent", false},
           {"deadline_ms", 3'000}, {"ticket", ticket}, {"payload", payload}}
          .dump();
  while (record.calls < kMaxCalls) {
    ++record.calls;
    httplib::Client client = MakeClient(PickPort(node_ports_, random));
    const CallResult call =
        Interpret(client.Post("/v1/requests", body, "application/json"));
    if (call.is_final) {
      record.outcome = call.outcome;
      record.wrong_answer = call.outcome == HoldOutcome::kAnswered &&
                            call.payload != "answer to " + payload;
      break;
    }
    std::this_thread::sleep_for(kPause);
  }
  record.seconds =
      std::chrono::duration<double>(SteadyClock::now() - start).count();
  return record;
}

std::string HoldLoad::GetTicket(uint64_t& random) const {
  for (int n = 0; n < kMaxCalls; ++n) {
    httplib::Client client = MakeClient(PickPort(node_ports_, random));
    const auto result = client.Post("/v1/tickets", "{}", "application/json");
    if (result && result->status == 200)
      return json::parse(result->body)["ticket"];
    std::this_thread::sleep_for(kPause);
  }
  return "";
}

}  // namespace quetzalshelf::bench
