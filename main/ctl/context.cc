#include "main/ctl/context.h"

#include <algorithm>
#include <utility>

#include "core/yaml_reader.h"

namespace quetzalshelf::ctl {

namespace {

// Columns that a byte sequence takes: continuation bytes of UTF-8 take none.
size_t Width(const std::string& text) {
  return static_cast<size_t>(
      std::count_if(text.begin(), text.end(), [](char it) {
        return (static_cast<unsigned char>(it) & 0xC0U) != 0x80U;
      }));
}

void PrintConflict(Context& context, const Json& reply) {
  const Json& conflict = Object(reply, "conflict");
  if (conflict.empty())
    return;
  const auto value = [&conflict](const char* field) {
    auto it = conflict.find(field);
    return it == conflict.end() ? std::string("null\n") : ToYaml(*it);
  };
  context.err << "your change is based on version "
              << Number(conflict, "base_version") << "; version "
              << Number(conflict, "current_version") << " is in force\n"
              << "your value:\n"
              << value("your_value") << "current value:\n"
              << value("current_value");
}

}  // namespace

TextTable::TextTable(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void TextTable::AddRow(std::vector<std::string> row) {
  row.resize(rows_.front().size());
  // Texts of callers must not control the terminal.
  for (std::string& cell : row) {
    std::replace_if(
        cell.begin(), cell.end(),
        [](char it) {
          return static_cast<unsigned char>(it) < ' ' || it == 127;
        },
        '?');
  }
  rows_.push_back(std::move(row));
}

void TextTable::Print(std::ostream& out) const {
  std::vector<size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], Width(row[i]));
  }
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - Width(row[i]) + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

Exit ReportFailure(Context& context, const ApiReply& reply) {
  if (context.json && reply.body.is_object())
    PrintJson(context, reply.body);
  context.err << "error: " << reply.message << "\n";
  for (const Finding& it : reply.findings.items())
    context.err << "  " << quetzalshelf::ToString(it) << "\n";
  PrintConflict(context, reply.body);
  return reply.exit;
}

Exit ReportFindings(Context& context, const Findings& findings) {
  for (const Finding& it : findings.items())
    context.err << quetzalshelf::ToString(it) << "\n";
  return Exit::kUsage;
}

Exit ReportUsage(Context& context, const std::string& message) {
  context.err << "error: " << message << "\n";
  return Exit::kUsage;
}

void PrintJson(Context& context, const Json& json) {
  context.out << json.dump(-1, ' ', false, Json::error_handler_t::replace)
              << "\n";
}

std::string Text(const Json& json, const char* field) {
  if (!json.is_object())
    return "";
  auto it = json.find(field);
  if (it == json.end() || it->is_null())
    return "";
  if (it->is_string())
    return it->get<std::string>();
  return it->dump();
}

std::string Cell(const Json& json, const char* field) {
  std::string text = Text(json, field);
  return text.empty() ? "-" : text;
}

uint64_t Number(const Json& json, const char* field) {
  if (!json.is_object())
    return 0;
  auto it = json.find(field);
  return it != json.end() && it->is_number_integer() ? it->get<uint64_t>() : 0;
}

const Json& List(const Json& json, const char* field) {
  static const Json kEmpty = Json::array();
  if (!json.is_object())
    return kEmpty;
  auto it = json.find(field);
  return it != json.end() && it->is_array() ? *it : kEmpty;
}

const Json& Object(const Json& json, const char* field) {
  static const Json kEmpty = Json::object();
  if (!json.is_object())
    return kEmpty;
  auto it = json.find(field);
  return it != json.end() && it->is_object() ? *it : kEmpty;
}

}  // namespace quetzalshelf::ctl
