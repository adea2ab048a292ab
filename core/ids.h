// Strong types for identifiers and version numbers.

#ifndef CORE_IDS_H_
#define CORE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace quetzalshelf {

// An identifier that is text on the wire. Ids with different tags do not
// compare or convert to each other.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StringId&, const StringId&) = default;
  friend std::ostream& operator<<(std::ostream& os, const StringId& id) {
    return os << id.value_;
  }

 private:
  std::string value_;
};

// A number with a meaning of its own: an epoch, a version, an attempt.
template <typename Tag>
class Ordinal {
 public:
  constexpr Ordinal() = default;
  constexpr explicit Ordinal(uint64_t value) : value_(value) {}

  constexpr uint64_t value() const { return value_; }
  constexpr Ordinal Next() const { return Ordinal(value_ + 1); }

  friend constexpr auto operator<=>(const Ordinal&, const Ordinal&) = default;
  friend std::ostream& operator<<(std::ostream& os, const Ordinal& number) {
    return os << number.value_;
  }

 private:
  uint64_t value_ = 0;
};

using BackendId = StringId<struct BackendIdTag>;
using DomainId = StringId<struct DomainIdTag>;
using IncarnationId = StringId<struct IncarnationIdTag>;
using JobId = StringId<struct JobIdTag>;
using NodeId = StringId<struct NodeIdTag>;
using RackId = StringId<struct RackIdTag>;
using RegionId = StringId<struct RegionIdTag>;
using RequestId = StringId<struct RequestIdTag>;
using TicketId = StringId<struct TicketIdTag>;
using TokenId = StringId<struct TokenIdTag>;
using WorkerId = StringId<struct WorkerIdTag>;
using WorkspaceId = StringId<struct WorkspaceIdTag>;

// Increases each time a job is started.
using Attempt = Ordinal<struct AttemptTag>;
// Fences the owner of a shard: a worker refuses a lower epoch.
using Epoch = Ordinal<struct EpochTag>;
// Version of one row of the table service; 0 means that the row is absent.
using RowVersion = Ordinal<struct RowVersionTag>;
// Version of the settings as a whole.
using SettingsVersion = Ordinal<struct SettingsVersionTag>;

}  // namespace quetzalshelf

template <typename Tag>
struct std::hash<quetzalshelf::StringId<Tag>> {
  size_t operator()(const quetzalshelf::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

template <typename Tag>
struct std::hash<quetzalshelf::Ordinal<Tag>> {
  size_t operator()(const quetzalshelf::Ordinal<Tag>& number) const noexcept {
    return std::hash<uint64_t>()(number.value());
  }
};

#endif  // CORE_IDS_H_
