#include "store.hpp"

#include <algorithm>
#include <utility>

namespace review {

namespace {

// `row_bytes` and the other limits of PROTOCOL.md.
constexpr size_t kRowBytes = 65'536;
constexpr size_t kMaxEntries = 100;
constexpr size_t kMaxCallBytes = 1'000'000;
constexpr size_t kMaxRows = 500;
// `txn_ms`, and the answer time of a read.
constexpr Millis kTransactionTime{3};
constexpr Millis kReadTime{2};

constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& text) {
  std::string out;
  for (size_t n = 0; n < text.size(); n += 3) {
    uint32_t bits = 0;
    const size_t left = std::min<size_t>(3, text.size() - n);
    for (size_t i = 0; i < 3; ++i)
      bits =
          bits << 8 | (i < left ? static_cast<unsigned char>(text[n + i]) : 0);
    for (size_t i = 0; i < 4; ++i)
      out += i <= left ? kDigits[bits >> (18 - 6 * i) & 63] : '=';
  }
  return out;
}

size_t DecodedSize(const std::string& base64) {
  const auto padding = static_cast<size_t>(std::ranges::count(base64, '='));
  return base64.size() / 4 * 3 - padding;
}

uint64_t Number(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

int Store::AddAddress(const std::string& node) {
  servers_.push_back(std::make_unique<Server>(
      io_, [this, node](const Request& request, const Reply& reply) {
        Handle(node, request, reply);
      }));
  return servers_.back()->port();
}

void Store::After(Millis delay, std::function<void()> what) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait(
      [timer, what = std::move(what)](const asio::error_code& ec) {
        if (!ec)
          what();
      });
}

Json Store::Answer() const {
  return {
      {"ver", version_},
      {"now_ms",
       std::chrono::duration_cast<Millis>(Now().time_since_epoch()).count()}};
}

void Store::Handle(const std::string& node,
                   const Request& request,
                   const Reply& reply) {
  if (request.path == "/api/rows-tx")
    After(kTransactionTime,
          [this, node, request, reply] { Commit(node, request, reply); });
  else if (request.path == "/api/rows-get")
    After(kReadTime, [this, request, reply] { Read(request, reply); });
  else if (request.path == "/api/rows-feed")
    Feed(request, reply);
  else
    reply(404, "{}");
}

void Store::Commit(const std::string& node,
                   const Request& request,
                   const Reply& reply) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || request.body.size() > kMaxCallBytes) {
    reply(400, "{}");
    return;
  }
  const auto key_of = [](const Json& row) {
    return Key(row.value("table", ""), row.value("part", ""),
               row.value("key", ""));
  };
  const Json expected = body.value("expected_rev", Json::array());
  const Json writes = body.value("writes", Json::array());
  const Json deletes = body.value("deletes", Json::array());
  if (expected.size() + writes.size() + deletes.size() > kMaxEntries) {
    reply(400, "{}");
    return;
  }
  for (const Json& it : writes) {
    const std::string table = it.value("table", "");
    if (table == "op" || table == "servers") {
      reply(403, "{}");
      return;
    }
    if (const size_t size = DecodedSize(it.value("value", ""));
        size > kRowBytes) {
      if (refused_for_size_++ % 50 == 0) {
        record_.Line("store refuses a transaction of " + node + ": row " +
                     it.value("key", "") + " has " + std::to_string(size) +
                     " bytes, row_bytes is " + std::to_string(kRowBytes) +
                     "; rows in the call: " + std::to_string(writes.size()));
      }
      reply(400, "{}");
      return;
    }
  }
  bool holds = true;
  Json current = Json::array();
  for (const Json& it : expected) {
    const auto row = rows_.find(key_of(it));
    const uint64_t present = row == rows_.end() ? 0 : row->second.version;
    holds = holds && present == it.value("ver", uint64_t{0});
    if (row != rows_.end()) {
      const auto& [table, part, key] = row->first;
      current.push_back({{"table", table},
                         {"part", part},
                         {"key", key},
                         {"value", row->second.value},
                         {"ver", row->second.version}});
    }
  }
  if (!holds) {
    Json answer = Answer();
    answer["rows"] = std::move(current);
    reply(412, answer.dump());
    return;
  }
  if (!expected.empty())
    last_writer_ = node;
  ++version_;
  for (const Json& it : writes)
    Apply(key_of(it), it.value("value", ""), false);
  for (const Json& it : deletes)
    Apply(key_of(it), "", true);
  reply(200, Answer().dump());
  Wake();
}

void Store::Apply(const Key& key, const std::string& value, bool deleted) {
  if (deleted && rows_.erase(key) == 0)
    return;
  if (!deleted)
    rows_[key] = {value, version_};
  history_.push_back({version_, key, value, deleted});
}

void Store::Put(const std::string& table,
                const std::string& key,
                const Json& value) {
  ++version_;
  Apply({table, "", key}, EncodeBase64(value.dump()), false);
  Wake();
}

void Store::Delete(const std::string& table, const std::string& key) {
  ++version_;
  Apply({table, "", key}, "", true);
  Wake();
}

void Store::Read(const Request& request, const Reply& reply) {
  const std::string table = request.Query("table");
  const std::string part = request.Query("part");
  const std::string to = request.Query("to");
  const uint64_t limit = Number(request.Query("limit"));
  const size_t most = limit == 0 ? kMaxRows : std::min<size_t>(limit, kMaxRows);
  Json answer = Answer();
  answer["rows"] = Json::array();
  answer["has_more"] = false;
  size_t bytes = 0;
  for (auto it = rows_.lower_bound({table, part, request.Query("from")});
       it != rows_.end(); ++it) {
    const auto& [row_table, row_part, key] = it->first;
    if (row_table != table || row_part != part || (!to.empty() && key >= to))
      break;
    bytes += it->second.value.size();
    if (answer["rows"].size() == most ||
        (bytes > kMaxCallBytes && !answer["rows"].empty())) {
      answer["has_more"] = true;
      break;
    }
    answer["rows"].push_back({{"table", table},
                              {"part", part},
                              {"key", key},
                              {"value", it->second.value},
                              {"ver", it->second.version}});
  }
  reply(200, answer.dump());
}

Json Store::Changes(const std::string& table, uint64_t after) const {
  Json rows = Json::array();
  const auto first =
      std::ranges::upper_bound(history_, after, {}, &Change::version);
  for (auto it = first; it != history_.end(); ++it) {
    const auto& [row_table, part, key] = it->key;
    if (row_table != table)
      continue;
    Json row = {{"table", table},
                {"part", part},
                {"key", key},
                {"value", it->value},
                {"ver", it->version}};
    if (it->deleted)
      row["deleted"] = true;
    rows.push_back(std::move(row));
  }
  return rows;
}

void Store::Feed(const Request& request, const Reply& reply) {
  auto waiter = std::make_shared<Waiter>();
  *waiter = {request.Query("table"), Number(request.Query("depends_on")),
             reply};
  waiters_.push_back(waiter);
  After(Millis(Number(request.Query("wait_ms"))) + kReadTime, [this, waiter] {
    const auto it = std::ranges::find(waiters_, waiter);
    if (it == waiters_.end())
      return;
    waiters_.erase(it);
    Json answer = Answer();
    answer["rows"] = Changes(waiter->table, waiter->after);
    waiter->reply(200, answer.dump());
  });
  After(kReadTime, [this] { Wake(); });
}

void Store::Wake() {
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    Json rows = Changes((*it)->table, (*it)->after);
    if (rows.empty()) {
      ++it;
      continue;
    }
    Json answer = Answer();
    answer["rows"] = std::move(rows);
    const auto waiter = *it;
    it = waiters_.erase(it);
    waiter->reply(200, answer.dump());
  }
}

}  // namespace review
