// JSON codec of the platform's services, shared by clients and stand-in.

#ifndef DRIVERS_PLATFORM_PLATFORM_CODEC_H_
#define DRIVERS_PLATFORM_PLATFORM_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/finding.h"
#include "core/json_reader.h"
#include "core/platform/table.h"
#include "core/platform/vm_list.h"

namespace quetzalshelf {

constexpr size_t kMaxRowKeyBytes = 1'024;
constexpr size_t kMaxRowValueBytes = size_t{4} << 20;

// `{"token","conditions":[{"key","version"}],"writes":[{"key","value"}]}`; a
// write without a value deletes.
Json EncodeTransaction(const Transaction& transaction);
// `{"key","value","version","token"}`.
Json EncodeRow(const Row& row);
// `{"rows":[...]}`.
Json EncodeRows(const std::vector<Row>& rows);
Json EncodeVm(const Vm& vm);
// `{"vms":[...]}`.
Json EncodeVms(const std::vector<Vm>& vms);

// Each gives nullopt and at least one finding for a bad message.
std::optional<Transaction> DecodeTransaction(std::string_view body,
                                             Findings& findings);
std::optional<Row> DecodeRow(std::string_view body, Findings& findings);
std::optional<std::vector<Row>> DecodeRows(std::string_view body,
                                           Findings& findings);
std::optional<Vm> DecodeVm(std::string_view body, Findings& findings);
std::optional<std::vector<Vm>> DecodeVms(std::string_view body,
                                         Findings& findings);
// `json` is one VM at `path` of a larger message.
Vm ReadVm(const Json& json, const std::string& path, Findings& findings);
// `live` or `leaving`.
VmState ReadVmState(JsonReader& reader, std::string_view field);

}  // namespace quetzalshelf

#endif  // DRIVERS_PLATFORM_PLATFORM_CODEC_H_
