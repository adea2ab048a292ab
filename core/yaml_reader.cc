#include "core/yaml_reader.h"

#include <charconv>
#include <cmath>
#include <set>
#include <utility>

#include <yaml-cpp/yaml.h>

namespace quetzalshelf {

namespace {

// Bounds what aliases can expand to.
constexpr int kMaxNodes = 100'000;
constexpr int kMaxDepth = 64;

template <typename T>
bool ReadWhole(const std::string& text, T& value) {
  const char* end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, value);
  return ec == std::errc() && ptr == end;
}

// A scalar without quotes.
Json PlainScalar(const std::string& text) {
  if (text == "true" || text == "false")
    return text == "true";
  if (text.empty() || text == "~" || text == "null")
    return nullptr;
  int64_t whole = 0;
  if (ReadWhole(text, whole))
    return whole;
  uint64_t large = 0;
  if (ReadWhole(text, large))
    return large;
  double number = 0;
  const bool starts_like_number =
      text.find_first_of("0123456789") <= 1 && text[0] != '+';
  if (starts_like_number && ReadWhole(text, number) && std::isfinite(number))
    return number;
  return text;
}

bool IsPlainString(const std::string& text) {
  return PlainScalar(text).is_string();
}

void Emit(const Json& json, YAML::Emitter& out) {
  if (json.is_object()) {
    if (json.empty())
      out << YAML::Flow;
    out << YAML::BeginMap;
    for (const auto& [key, value] : json.items()) {
      out << YAML::Key;
      if (!IsPlainString(key))
        out << YAML::DoubleQuoted;
      out << key << YAML::Value;
      Emit(value, out);
    }
    out << YAML::EndMap;
  } else if (json.is_array()) {
    if (json.empty())
      out << YAML::Flow;
    out << YAML::BeginSeq;
    for (const Json& it : json)
      Emit(it, out);
    out << YAML::EndSeq;
  } else if (json.is_string()) {
    const auto& text = json.get_ref<const std::string&>();
    if (!IsPlainString(text))
      out << YAML::DoubleQuoted;
    out << text;
  } else {
    out << json.dump();
  }
}

}  // namespace

// Converts one document.
class YamlConverter {
 public:
  YamlConverter(YamlDocument& document, Findings& findings)
      : document_(document), findings_(findings) {}

  Json Convert(const YAML::Node& node, const std::string& path, int depth) {
    const int line = node.Mark().line + 1;
    document_.lines_.emplace(path, line);
    if (++nodes_ > kMaxNodes || depth > kMaxDepth) {
      if (!too_large_)
        Add(line, path, "is too large or too deeply nested", "split the file");
      too_large_ = true;
      return nullptr;
    }
    if (node.IsMap())
      return ConvertMap(node, path, depth);
    if (node.IsSequence())
      return ConvertSequence(node, path, depth);
    if (node.IsScalar())
      return node.Tag() == "!" ? Json(node.Scalar())
                               : PlainScalar(node.Scalar());
    return nullptr;
  }

 private:
  void Add(int line,
           const std::string& path,
           std::string message,
           std::string remedy) {
    findings_.Add({document_.file_, line, path}, std::move(message),
                  std::move(remedy));
  }

  Json ConvertMap(const YAML::Node& node, const std::string& path, int depth) {
    Json json = Json::object();
    for (const auto& it : node) {
      const int line = it.first.Mark().line + 1;
      if (!it.first.IsScalar()) {
        Add(line, path, "has a key that is not a plain name", "use a name");
        continue;
      }
      const std::string& key = it.first.Scalar();
      const std::string child = JoinPath(path, key);
      if (json.contains(key)) {
        Add(line, child,
            "is given twice, first in line " +
                std::to_string(document_.LineOf(child)),
            "remove one of them");
        continue;
      }
      document_.lines_.emplace(child, line);
      json[key] = Convert(it.second, child, depth + 1);
      if (too_large_)
        break;
    }
    return json;
  }

  Json ConvertSequence(const YAML::Node& node,
                       const std::string& path,
                       int depth) {
    Json json = Json::array();
    for (size_t i = 0; i < node.size() && !too_large_; ++i)
      json.push_back(Convert(node[i], IndexPath(path, i), depth + 1));
    return json;
  }

  YamlDocument& document_;
  Findings& findings_;
  int nodes_ = 0;
  bool too_large_ = false;
};

std::optional<YamlDocument> YamlDocument::Parse(std::string_view text,
                                                std::string file,
                                                Findings& findings) {
  YamlDocument document;
  document.file_ = std::move(file);
  Findings own;
  try {
    const YAML::Node node = YAML::Load(std::string(text));
    document.json_ = YamlConverter(document, own).Convert(node, "", 0);
    if (document.json_.is_null())
      document.json_ = Json::object();
  } catch (const YAML::Exception& ex) {
    own.Add({document.file_, ex.mark.line + 1, ""},
            "is not valid YAML: " + ex.msg, "correct the syntax");
  }
  findings.Append(own);
  if (!own.empty())
    return std::nullopt;
  return document;
}

int YamlDocument::LineOf(const std::string& path) const {
  std::string place = path;
  while (true) {
    if (auto it = lines_.find(place); it != lines_.end())
      return it->second;
    const size_t cut = place.find_last_of("/[");
    if (cut == std::string::npos)
      break;
    place.resize(cut);
  }
  auto it = lines_.find("");
  return it == lines_.end() ? 0 : it->second;
}

Findings YamlDocument::Locate(const Findings& findings) const {
  Findings located;
  for (const Finding& it : findings.items()) {
    located.Add({file_, LineOf(it.place.path), it.place.path}, it.message,
                it.remedy);
  }
  return located;
}

std::string ToYaml(const Json& json) {
  YAML::Emitter out;
  Emit(json, out);
  return std::string(out.c_str()) + "\n";
}

std::string JoinPath(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + "/" + key;
}

std::string IndexPath(const std::string& path, size_t index) {
  return path + "[" + std::to_string(index) + "]";
}

}  // namespace quetzalshelf
