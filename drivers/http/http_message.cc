#include "drivers/http/http_message.h"

#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

namespace quetzalshelf {

namespace {

bool IsUnreserved(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || c == '-' || c == '_' || c == '.' || c == '~';
}

}  // namespace

std::string FindField(const HttpFields& fields, std::string_view name) {
  for (const HttpField& it : fields) {
    if (absl::EqualsIgnoreCase(it.name, {name.data(), name.size()}))
      return it.value;
  }
  return "";
}

std::string PercentEncode(std::string_view text, bool keep_slash) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    if (IsUnreserved(c) || (keep_slash && c == '/')) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kDigits[byte >> 4];
    encoded += kDigits[byte & 15];
  }
  return encoded;
}

}  // namespace quetzalshelf
