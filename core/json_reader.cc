#include "core/json_reader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace quetzalshelf {

namespace {

const Json& EmptyArray() {
  static const Json kEmpty = Json::array();
  return kEmpty;
}

const Json& EmptyObject() {
  static const Json kEmpty = Json::object();
  return kEmpty;
}

constexpr int64_t kMaxAmount = int64_t{1} << 40;

}  // namespace

std::optional<Json> ParseJson(std::string_view text, Findings& findings) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    findings.Add({}, "the body is not valid JSON", "send one JSON object");
    return std::nullopt;
  }
  return json;
}

JsonReader::JsonReader(const Json& json, std::string path, Findings& findings)
    : json_(json.is_object() ? json : EmptyObject()),
      path_(std::move(path)),
      findings_(findings) {
  if (!json.is_object())
    findings_.Add({"", 0, path_}, "must be an object");
}

const Json* JsonReader::Find(std::string_view field, bool required) {
  seen_.emplace_back(field);
  auto it = json_.find(std::string(field));
  if (it == json_.end() || it->is_null()) {
    if (required)
      AddFinding(field, "is missing");
    return nullptr;
  }
  return &*it;
}

bool JsonReader::Has(std::string_view field) const {
  return json_.contains(std::string(field));
}

bool JsonReader::HasString(std::string_view field) const {
  auto it = json_.find(std::string(field));
  return it != json_.end() && it->is_string();
}

std::string JsonReader::PathOf(std::string_view field) const {
  if (path_.empty())
    return std::string(field);
  return path_ + "/" + std::string(field);
}

void JsonReader::AddFinding(std::string_view field,
                            std::string message,
                            std::string remedy) {
  findings_.Add({"", 0, PathOf(field)}, std::move(message), std::move(remedy));
}

bool JsonReader::RequireBool(std::string_view field) {
  const Json* value = Find(field, true);
  if (value == nullptr)
    return false;
  if (!value->is_boolean()) {
    AddFinding(field, "must be true or false");
    return false;
  }
  return value->get<bool>();
}

int64_t JsonReader::RequireInt(std::string_view field,
                               int64_t min,
                               int64_t max) {
  const Json* value = Find(field, true);
  if (value == nullptr)
    return min;
  const bool too_large =
      value->is_number_unsigned() &&
      value->get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  if (!value->is_number_integer()) {
    AddFinding(field, "must be a whole number");
    return min;
  }
  const int64_t n =
      too_large ? std::numeric_limits<int64_t>::max() : value->get<int64_t>();
  if (n < min || n > max) {
    AddFinding(field, "must be from " + std::to_string(min) + " to " +
                          std::to_string(max));
    return min;
  }
  return n;
}

double JsonReader::RequireDouble(std::string_view field) {
  const Json* value = Find(field, true);
  if (value == nullptr)
    return 0;
  if (!value->is_number()) {
    AddFinding(field, "must be a number");
    return 0;
  }
  return value->get<double>();
}

std::string JsonReader::RequireString(std::string_view field, size_t max_size) {
  const Json* value = Find(field, true);
  if (value == nullptr)
    return "";
  if (!value->is_string()) {
    AddFinding(field, "must be a string");
    return "";
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.size() > max_size) {
    AddFinding(field,
               "must have at most " + std::to_string(max_size) + " bytes");
    return "";
  }
  return text;
}

const Json& JsonReader::RequireArray(std::string_view field) {
  const Json* value = Find(field, true);
  if (value == nullptr)
    return EmptyArray();
  if (!value->is_array()) {
    AddFinding(field, "must be an array");
    return EmptyArray();
  }
  return *value;
}

const Json& JsonReader::RequireObject(std::string_view field) {
  const Json* value = Find(field, true);
  if (value == nullptr)
    return EmptyObject();
  if (!value->is_object()) {
    AddFinding(field, "must be an object");
    return EmptyObject();
  }
  return *value;
}

bool JsonReader::OptionalBool(std::string_view field, bool fallback) {
  return Find(field, false) == nullptr ? fallback : RequireBool(field);
}

double JsonReader::OptionalDouble(std::string_view field, double fallback) {
  return Find(field, false) == nullptr ? fallback : RequireDouble(field);
}

int64_t JsonReader::OptionalInt(std::string_view field,
                                int64_t min,
                                int64_t max,
                                int64_t fallback) {
  if (Find(field, false) == nullptr)
    return fallback;
  return RequireInt(field, min, max);
}

std::string JsonReader::OptionalString(std::string_view field,
                                       std::string fallback,
                                       size_t max_size) {
  if (Find(field, false) == nullptr)
    return fallback;
  return RequireString(field, max_size);
}

const Json& JsonReader::OptionalArray(std::string_view field) {
  return Find(field, false) == nullptr ? EmptyArray() : RequireArray(field);
}

const Json& JsonReader::OptionalObject(std::string_view field) {
  return Find(field, false) == nullptr ? EmptyObject() : RequireObject(field);
}

void JsonReader::OptionalAny(std::string_view field, Json& value) {
  seen_.emplace_back(field);
  if (auto it = json_.find(std::string(field)); it != json_.end())
    value = *it;
}

void JsonReader::Finish() {
  for (const auto& [name, value] : json_.items()) {
    if (std::find(seen_.begin(), seen_.end(), name) == seen_.end())
      AddFinding(name, "is not a known field", "remove it");
  }
}

Resources ReadResources(JsonReader& reader) {
  Resources resources;
  resources.accelerators =
      Accelerators(reader.RequireInt("accelerators", 0, kMaxAmount));
  resources.cpu = MilliCores(reader.OptionalInt("cpu_milli", 0, kMaxAmount, 0));
  resources.memory =
      Mebibytes(reader.OptionalInt("memory_mib", 0, kMaxAmount, 0));
  return resources;
}

void WriteResources(const Resources& resources, Json& json) {
  json["accelerators"] = resources.accelerators.value();
  json["cpu_milli"] = resources.cpu.value();
  json["memory_mib"] = resources.memory.value();
}

}  // namespace quetzalshelf
