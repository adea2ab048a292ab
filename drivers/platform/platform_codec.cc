#include "drivers/platform/platform_codec.h"

#include <array>
#include <limits>
#include <utility>

namespace quetzalshelf {

namespace {

constexpr int64_t kMaxVersion = std::numeric_limits<int64_t>::max();
constexpr int kMaxPort = 65'535;
constexpr int kMaxSlots = 1'000'000;

constexpr std::array kRoleNames = {"entry", "worker", "backend"};
constexpr std::array kStateNames = {"live", "leaving"};

// The index of the field's text among `names`; a finding and 0 for another.
template <typename Enum, size_t N>
Enum ReadEnum(JsonReader& reader,
              std::string_view field,
              const std::array<const char*, N>& names,
              const std::string& text) {
  std::string expected;
  for (size_t i = 0; i < N; ++i) {
    if (text == names[i])
      return static_cast<Enum>(i);
    expected += (i == 0 ? "" : ", ") + std::string(names[i]);
  }
  reader.AddFinding(field, "must be one of: " + expected);
  return Enum{};
}

std::string Indexed(const char* field, size_t i) {
  return std::string(field) + "[" + std::to_string(i) + "]";
}

Condition ReadCondition(const Json& json,
                        const std::string& path,
                        Findings& findings) {
  JsonReader reader(json, path, findings);
  Condition condition;
  condition.key = reader.RequireString("key", kMaxRowKeyBytes);
  condition.version = RowVersion(
      static_cast<uint64_t>(reader.RequireInt("version", 0, kMaxVersion)));
  reader.Finish();
  return condition;
}

Write ReadWrite(const Json& json, const std::string& path, Findings& findings) {
  JsonReader reader(json, path, findings);
  Write write;
  write.key = reader.RequireString("key", kMaxRowKeyBytes);
  const bool has_value = reader.Has("value") && !json.at("value").is_null();
  std::string value = reader.OptionalString("value", "", kMaxRowValueBytes);
  if (has_value)
    write.value = std::move(value);
  reader.Finish();
  return write;
}

Row ReadRow(const Json& json, const std::string& path, Findings& findings) {
  JsonReader reader(json, path, findings);
  Row row;
  row.key = reader.RequireString("key", kMaxRowKeyBytes);
  row.value = reader.RequireString("value", kMaxRowValueBytes);
  row.version = RowVersion(
      static_cast<uint64_t>(reader.RequireInt("version", 1, kMaxVersion)));
  row.token = TokenId(reader.RequireString("token"));
  reader.Finish();
  return row;
}

// Parses `body` and reads it by `read`.
template <typename Read>
auto Decode(std::string_view body, Findings& findings, Read read)
    -> std::optional<decltype(read(std::declval<const Json&>()))> {
  const std::optional<Json> json = ParseJson(body, findings);
  if (!json)
    return std::nullopt;
  auto message = read(*json);
  if (!findings.empty())
    return std::nullopt;
  return message;
}

}  // namespace

Json EncodeTransaction(const Transaction& transaction) {
  Json conditions = Json::array();
  for (const Condition& it : transaction.conditions)
    conditions.push_back({{"key", it.key}, {"version", it.version.value()}});
  Json writes = Json::array();
  for (const Write& it : transaction.writes) {
    Json write = {{"key", it.key}};
    if (it.value)
      write["value"] = *it.value;
    writes.push_back(std::move(write));
  }
  return {{"token", transaction.token.value()},
          {"conditions", std::move(conditions)},
          {"writes", std::move(writes)}};
}

Json EncodeRow(const Row& row) {
  return {{"key", row.key},
          {"value", row.value},
          {"version", row.version.value()},
          {"token", row.token.value()}};
}

Json EncodeRows(const std::vector<Row>& rows) {
  Json list = Json::array();
  for (const Row& it : rows)
    list.push_back(EncodeRow(it));
  return {{"rows", std::move(list)}};
}

Json EncodeVm(const Vm& vm) {
  Json capacity = Json::object();
  WriteResources(vm.capacity, capacity);
  return {{"name", vm.name},
          {"host", vm.host},
          {"port", vm.port},
          {"role", kRoleNames.at(static_cast<size_t>(vm.role))},
          {"state", kStateNames.at(static_cast<size_t>(vm.state))},
          {"region", vm.region.value()},
          {"domain", vm.domain.value()},
          {"rack", vm.rack.value()},
          {"capacity", std::move(capacity)},
          {"slots", vm.slots}};
}

Json EncodeVms(const std::vector<Vm>& vms) {
  Json list = Json::array();
  for (const Vm& it : vms)
    list.push_back(EncodeVm(it));
  return {{"vms", std::move(list)}};
}

std::optional<Transaction> DecodeTransaction(std::string_view body,
                                             Findings& findings) {
  return Decode(body, findings, [&](const Json& json) {
    JsonReader reader(json, "", findings);
    Transaction transaction;
    transaction.token = reader.RequireId<TokenId>("token");
    size_t i = 0;
    for (const Json& it : reader.OptionalArray("conditions")) {
      transaction.conditions.push_back(
          ReadCondition(it, Indexed("conditions", i++), findings));
    }
    i = 0;
    for (const Json& it : reader.RequireArray("writes")) {
      transaction.writes.push_back(
          ReadWrite(it, Indexed("writes", i++), findings));
    }
    reader.Finish();
    return transaction;
  });
}

std::optional<Row> DecodeRow(std::string_view body, Findings& findings) {
  return Decode(body, findings,
                [&](const Json& json) { return ReadRow(json, "", findings); });
}

std::optional<std::vector<Row>> DecodeRows(std::string_view body,
                                           Findings& findings) {
  return Decode(body, findings, [&](const Json& json) {
    JsonReader reader(json, "", findings);
    std::vector<Row> rows;
    for (const Json& it : reader.RequireArray("rows"))
      rows.push_back(ReadRow(it, Indexed("rows", rows.size()), findings));
    reader.Finish();
    return rows;
  });
}

VmState ReadVmState(JsonReader& reader, std::string_view field) {
  return ReadEnum<VmState>(reader, field, kStateNames,
                           reader.OptionalString(field, "live"));
}

Vm ReadVm(const Json& json, const std::string& path, Findings& findings) {
  JsonReader reader(json, path, findings);
  Vm vm;
  vm.name = reader.RequireString("name");
  vm.host = reader.RequireString("host");
  vm.port = static_cast<int>(reader.RequireInt("port", 1, kMaxPort));
  vm.role = ReadEnum<VmRole>(reader, "role", kRoleNames,
                             reader.RequireString("role"));
  vm.state = ReadVmState(reader, "state");
  vm.region = RegionId(reader.RequireString("region"));
  vm.domain = DomainId(reader.RequireString("domain"));
  vm.rack = RackId(reader.OptionalString("rack"));
  const Json& capacity = reader.OptionalObject("capacity");
  if (!capacity.empty()) {
    JsonReader resources(capacity, reader.PathOf("capacity"), findings);
    vm.capacity = ReadResources(resources);
    resources.Finish();
  }
  vm.slots = static_cast<int>(reader.OptionalInt("slots", 0, kMaxSlots, 0));
  reader.Finish();
  return vm;
}

std::optional<Vm> DecodeVm(std::string_view body, Findings& findings) {
  return Decode(body, findings,
                [&](const Json& json) { return ReadVm(json, "", findings); });
}

std::optional<std::vector<Vm>> DecodeVms(std::string_view body,
                                         Findings& findings) {
  return Decode(body, findings, [&](const Json& json) {
    JsonReader reader(json, "", findings);
    std::vector<Vm> vms;
    for (const Json& it : reader.RequireArray("vms"))
      vms.push_back(ReadVm(it, Indexed("vms", vms.size()), findings));
    reader.Finish();
    return vms;
  });
}

}  // namespace quetzalshelf
