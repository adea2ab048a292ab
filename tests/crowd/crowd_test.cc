// Clients that are not under the operators' control, against an entry node in a
// process of its own. Checks what does not depend on the machine's speed.

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <thread>

#include <unistd.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "tests/crowd/crowd.h"
#include "tests/soak/entry_process.h"
#include "tests/soak/soak_fleet.h"

namespace quetzalshelf::crowd {

namespace {

constexpr int kClients = 300;
// What the node is told of its machine, and stays within.
constexpr int kMemoryMb = 64;
constexpr int kDescriptors = 1'024;
constexpr int kCallerPort = 7001;  // As of EntryProcess.
constexpr int kOk = 200;
constexpr int kMaxTries = 60;

// A loopback address that no other test uses at the same time.
std::string OwnHost() {
  const int pid = static_cast<int>(::getpid());
  return "127." + std::to_string(64 + pid % 128) + "." +
         std::to_string(pid / 128 % 256) + ".1";
}

// An entry node with a store on loopback that has a configuration.
class Rig {
 public:
  Rig() : fleet_(io_, 0, 1), host_(OwnHost()) {
    REQUIRE(fleet_.Start().ok());
    soak::EntryProcessOptions options{.daemon = QUETZALSHELF_DAEMON,
                                      .work_dir = QUETZALSHELF_WORK_DIR,
                                      .name = "crowded",
                                      .domain = "cartago",
                                      .host = host_,
                                      .store_port = fleet_.store_port()};
    options.memory_mb = kMemoryMb;
    process_ = std::make_unique<soak::EntryProcess>(io_, options);
    // Its port for callers is that of the node itself.
    REQUIRE(process_->Start().ok());
    thread_ = std::thread([this] { io_.run(); });
    REQUIRE(AskUntilServed() == kOk);
  }
  ~Rig() {
    io_.stop();
    thread_.join();
  }

  const std::string& host() const { return host_; }

  // Hands a job in until it is accepted, or for kMaxTries.
  int AskUntilServed() {
    const std::string body =
        R"({"spec":"x","phases":[{"count":1,"cpu":1,"mem_mb":1}]})";
    int status = 0;
    for (int n = 0; n < kMaxTries && status != kOk; ++n) {
      if (n > 0)
        ::sleep(1);
      status = Ask(host_, kCallerPort,
                   "POST /plans/00000000000000aa HTTP/1.1\r\nHost: " +
                       std::string(soak::kHost) + "\r\nAuthorization: Token " +
                       soak::kKey + "\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    return status;
  }

  bool IsAlive() { return process_->Tick(TimePoint()).empty(); }

  // Most memory that the process has had resident so far, in MB.
  int64_t PeakMegabytes() const {
    std::ifstream file("/proc/" + std::to_string(process_->pid()) + "/status");
    for (std::string line; std::getline(file, line);) {
      std::istringstream words(line);
      std::string name;
      int64_t kib = 0;
      if (words >> name >> kib && name == "VmHWM:")
        return kib / 1'024;
    }
    return kMemoryMb + 1;  // There is no such process.
  }

  int64_t OpenDescriptors() const {
    const std::filesystem::directory_iterator files(
        "/proc/" + std::to_string(process_->pid()) + "/fd");
    return std::distance(begin(files), end(files));
  }

 private:
  asio::io_context io_;
  soak::SoakFleet fleet_;
  std::string host_;
  std::unique_ptr<soak::EntryProcess> process_;
  std::thread thread_;
};

void CheckBorne(Habit habit) {
  Rig rig;
  Crowd crowd(rig.host(), kCallerPort);
  crowd.Press(habit, kClients);
  CHECK(rig.IsAlive());
  CHECK(rig.OpenDescriptors() <= kDescriptors);
  CHECK(rig.AskUntilServed() == kOk);
  CHECK(rig.PeakMegabytes() <= kMemoryMb);
  CHECK(rig.IsAlive());
}

}  // namespace

TEST_CASE("Bodies that stop short of their end are borne") {
  CheckBorne(Habit::kBodyShortOfItsEnd);
}

TEST_CASE("Bodies that come piece by piece and never end are borne") {
  CheckBorne(Habit::kBodyPieceByPiece);
}

TEST_CASE("Headers without an end are borne") {
  CheckBorne(Habit::kHeadersWithoutEnd);
}

TEST_CASE("Chunked bodies without an end are borne") {
  CheckBorne(Habit::kChunksWithoutEnd);
}

TEST_CASE("Whole bodies before bodies without an end are borne") {
  CheckBorne(Habit::kWholeBodies);
}

TEST_CASE("Callers that read no answers are borne") {
  CheckBorne(Habit::kAnswersNotRead);
}

}  // namespace quetzalshelf::crowd
