// What the commands of quetzalshelfctl work with.

#ifndef MAIN_CTL_CONTEXT_H_
#define MAIN_CTL_CONTEXT_H_

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "main/ctl/api_client.h"
#include "main/ctl/exit_codes.h"

namespace quetzalshelf::ctl {

// The world outside the process; replaced in tests.
struct Environment {
  std::function<absl::StatusOr<std::string>(const std::string&)> read_file;
  std::function<absl::Status(const std::string&, const std::string&)>
      write_file;
  // The value of an environment variable; empty when it is not set.
  std::function<std::string(const std::string&)> variable;
  // Asks the operator; nullopt when there is no terminal.
  std::function<std::optional<bool>(const std::string&)> confirm;
  // An id that no other call has, for jobs that are given none.
  std::function<std::string()> new_id;
};

// One run of one command.
struct Context {
  ApiClient& client;
  const Environment& environment;
  std::ostream& out;
  std::ostream& err;
  bool json = false;  // Output for programs.
};

// Rows of text under a header, in columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  void AddRow(std::vector<std::string> row);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// Prints why a call failed, with findings and conflict, to `err`; with JSON
// output also the server's error body to `out`. Returns the exit code.
Exit ReportFailure(Context& context, const ApiReply& reply);
// Prints faults of the input to `err`.
Exit ReportFindings(Context& context, const Findings& findings);
Exit ReportUsage(Context& context, const std::string& message);

// Prints the JSON value as one line.
void PrintJson(Context& context, const Json& json);

// Fields of answers, lenient about missing ones: a newer or older server's
// answer is still shown.
std::string Text(const Json& json, const char* field);
// As Text, but `-` when empty.
std::string Cell(const Json& json, const char* field);
uint64_t Number(const Json& json, const char* field);
// The array of that name, or an empty one.
const Json& List(const Json& json, const char* field);
// The object of that name, or an empty one.
const Json& Object(const Json& json, const char* field);

}  // namespace quetzalshelf::ctl

#endif  // MAIN_CTL_CONTEXT_H_
