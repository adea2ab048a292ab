// Reading of YAML documents as JSON values that remember their lines. Typed
// reads go through JsonReader; Locate() then adds file and line to its
// findings.

#ifndef CORE_YAML_READER_H_
#define CORE_YAML_READER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/finding.h"
#include "core/json_reader.h"

namespace quetzalshelf {

// One parsed YAML document.
class YamlDocument {
 public:
  // Parses `text`. Syntax errors, duplicate keys, keys that are not scalars
  // and documents that expand to more than 100,000 nodes are findings; all
  // duplicate keys are reported together. Returns nullopt when there are any.
  static std::optional<YamlDocument> Parse(std::string_view text,
                                           std::string file,
                                           Findings& findings);

  // Plain `true`, `false`, `null` and numbers have their JSON types; all other
  // scalars and all quoted ones are strings. An empty document is an empty
  // object.
  const Json& json() const { return json_; }
  const std::string& file() const { return file_; }

  // The line of a path such as `teams/plaza/guarantees[0]/tasks`, or of the
  // nearest parent that the document has.
  int LineOf(const std::string& path) const;
  // The findings with the file of this document and the line of their path.
  Findings Locate(const Findings& findings) const;

 private:
  friend class YamlConverter;

  std::string file_;
  Json json_;
  std::map<std::string, int> lines_;
};

// Block-style YAML that YamlDocument::Parse reads back as the same value.
std::string ToYaml(const Json& json);

// The path of a child: `path/key`, or `key` below the root.
std::string JoinPath(const std::string& path, const std::string& key);
// The path of an element: `path[index]`.
std::string IndexPath(const std::string& path, size_t index);

}  // namespace quetzalshelf

#endif  // CORE_YAML_READER_H_
