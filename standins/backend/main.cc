#include <memory>

#include "standins/backend/backend_service.h"
#include "standins/common/standin_process.h"

namespace quetzalshelf {
namespace {

constexpr int kDefaultSlots = 8;

int Main(int argc, char** argv) {
  StandinProcess process("quetzalshelf-backend",
                         "Stand-in for a backend server");
  int slots = kDefaultSlots;
  process.app()
      .add_option("--slots", slots, "Requests that run at once")
      ->check(CLI::Range(1, 1'000'000));
  std::unique_ptr<BackendService> service;
  const auto set_up = [&](HttpServer& server) {
    service = std::make_unique<BackendService>(process.runner(), slots);
    service->Install(server);
    return absl::OkStatus();
  };
  return process.Run(argc, argv, {set_up, [&] { service->Leave(); }});
}

}  // namespace
}  // namespace quetzalshelf

int main(int argc, char** argv) {
  return quetzalshelf::Main(argc, argv);
}
