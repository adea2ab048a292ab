#include "standins/platform/vm_file.h"

#include <yaml-cpp/yaml.h>

#include "core/json_reader.h"
#include "drivers/platform/platform_codec.h"

namespace quetzalshelf {

namespace {

Json ScalarToJson(const YAML::Node& node) {
  // Quoted scalars have the tag `!` and stay text.
  int64_t n = 0;
  if (node.Tag() != "!" && YAML::convert<int64_t>::decode(node, n))
    return n;
  return node.Scalar();
}

Json ToJson(const YAML::Node& node) {
  if (node.IsScalar())
    return ScalarToJson(node);
  if (node.IsSequence()) {
    Json list = Json::array();
    for (const YAML::Node& it : node)
      list.push_back(ToJson(it));
    return list;
  }
  if (node.IsMap()) {
    Json map = Json::object();
    for (const auto& it : node)
      map[it.first.Scalar()] = ToJson(it.second);
    return map;
  }
  return nullptr;
}

}  // namespace

std::vector<Vm> ReadVmFile(const std::string& file, Findings& findings) {
  Json json;
  try {
    json = ToJson(YAML::LoadFile(file));
  } catch (const YAML::Exception& e) {
    findings.Add({file, e.mark.is_null() ? 0 : e.mark.line + 1, ""}, e.msg);
    return {};
  }
  Findings faults;
  JsonReader reader(json, "", faults);
  std::vector<Vm> vms;
  for (const Json& it : reader.RequireArray("vms")) {
    vms.push_back(
        ReadVm(it, "vms[" + std::to_string(vms.size()) + "]", faults));
  }
  reader.Finish();
  for (const Finding& it : faults.items())
    findings.Add({file, 0, it.place.path}, it.message, it.remedy);
  return vms;
}

}  // namespace quetzalshelf
