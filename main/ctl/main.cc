#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include "main/ctl/command_line.h"
#include "main/ctl/http_transport.h"

namespace {

using quetzalshelf::ctl::Environment;

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return absl::NotFoundError("cannot open the file");
  return std::string((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
}

absl::Status WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  file.flush();
  return file ? absl::OkStatus()
              : absl::UnavailableError("cannot write the file");
}

std::string Variable(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? "" : value;
}

std::optional<bool> Confirm(const std::string& question) {
  if (isatty(STDIN_FILENO) == 0)
    return std::nullopt;
  std::cerr << question << " [y/N] " << std::flush;
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "y" || answer == "yes";
}

std::string NewId() {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::random_device device;
  std::string id = "job-";
  for (int i = 0; i < 16; ++i)
    id += kDigits[device() % 16];
  return id;
}

std::unique_ptr<quetzalshelf::ctl::Transport> MakeTransport(std::string token) {
  return std::make_unique<quetzalshelf::ctl::HttpTransport>(
      quetzalshelf::ctl::HttpTransportOptions{.token = std::move(token)});
}

}  // namespace

int main(int argc, char** argv) {
  const Environment environment{ReadFile, WriteFile, Variable, Confirm, NewId};
  try {
    return static_cast<int>(quetzalshelf::ctl::RunCommandLine(
        std::vector<std::string>(argv + 1, argv + argc), environment,
        MakeTransport, std::cout, std::cerr));
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return static_cast<int>(quetzalshelf::ctl::Exit::kRefused);
  }
}
