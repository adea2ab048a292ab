#include "core/finding.h"

#include <utility>

namespace quetzalshelf {

void Findings::Add(Place place, std::string message, std::string remedy) {
  items_.push_back({std::move(place), std::move(message), std::move(remedy)});
}

void Findings::Append(const Findings& other) {
  items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string Findings::ToString() const {
  std::string text;
  for (const Finding& it : items_) {
    if (!text.empty())
      text += '\n';
    text += quetzalshelf::ToString(it);
  }
  return text;
}

absl::Status Findings::ToStatus() const {
  if (empty())
    return absl::OkStatus();
  return absl::InvalidArgumentError(ToString());
}

std::string ToString(const Place& place) {
  std::string text = place.file;
  if (place.line > 0) {
    if (!text.empty())
      text += ':';
    text += std::to_string(place.line);
  }
  if (!place.path.empty()) {
    if (!text.empty())
      text += ": ";
    text += place.path;
  }
  return text;
}

std::string ToString(const Finding& finding) {
  std::string text = ToString(finding.place);
  if (!text.empty())
    text += ": ";
  text += finding.message;
  if (!finding.remedy.empty())
    text += " (" + finding.remedy + ")";
  return text;
}

}  // namespace quetzalshelf
