// The platform's store as PROTOCOL.md describes it: rows in tables and parts,
// conditional transactions, ranges and feeds. Each caller has a port of its
// own, so that faults can be set for one of them.

#ifndef REVIEW_6_PEERS_STORE_HPP_
#define REVIEW_6_PEERS_STORE_HPP_

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.hpp"

namespace peers {

using nlohmann::json;

inline std::string Base64(const std::string& in) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t n = 0; n < in.size(); n += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits <<= 8;
      if (n + k < in.size())
        bits |= static_cast<unsigned char>(in[n + k]);
    }
    for (size_t k = 0; k < 4; ++k)
      out += n + k <= in.size() ? kDigits[(bits >> (18 - 6 * k)) & 63] : '=';
  }
  return out;
}

inline std::string FromBase64(const std::string& in) {
  std::string out;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : in) {
    int digit = -1;
    if (c >= 'A' && c <= 'Z')
      digit = c - 'A';
    else if (c >= 'a' && c <= 'z')
      digit = c - 'a' + 26;
    else if (c >= '0' && c <= '9')
      digit = c - '0' + 52;
    else if (c == '+')
      digit = 62;
    else if (c == '/')
      digit = 63;
    if (digit < 0)
      break;
    bits = (bits << 6) | static_cast<uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>((bits >> count) & 255);
    }
  }
  return out;
}

class Store {
 public:
  static constexpr size_t kRowBytes = 65'536;  // `row_bytes`
  static constexpr size_t kMaxRows = 500;
  static constexpr size_t kMaxEntries = 100;
  static constexpr size_t kMaxCallBytes = 1'048'576;
  static constexpr int64_t kAnswerMs = 3;
  static constexpr int64_t kHistoryMs = 20'000;

  using Key = std::tuple<std::string, std::string, std::string>;

  struct Faults {
    bool busy = false;    // 503: nothing was done.
    bool silent = false;  // Calls are neither done nor answered.
    // Of the transactions: done, but not answered.
    std::function<bool(const json& body)> lose_answer;
    // Of the transactions: done so much later, and not answered; 0: at once.
    std::function<int64_t(const json& body)> late_ms;
  };

  explicit Store(asio::io_context& io) : io_(io) {}

  // A port for one more caller.
  int AddCaller(std::shared_ptr<Faults> faults) {
    servers_.push_back(std::make_unique<HttpServer>(
        io_, [this, faults](const Request& request, const Reply& reply) {
          if (faults->silent)
            return;
          if (faults->busy)
            return After(kAnswerMs, [reply] { reply(503, "{}"); });
          Handle(request, reply, *faults);
        }));
    servers_.back()->Listen();
    return servers_.back()->port();
  }

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value) {
    ++version_;
    Write({table, "", key}, Base64(value));
    Wake();
  }
  void Delete(const std::string& table, const std::string& key) {
    ++version_;
    Erase({table, "", key});
    Wake();
  }
  // Empty when there is no such row.
  std::string Find(const std::string& table,
                   const std::string& part,
                   const std::string& key) const {
    const auto it = rows_.find({table, part, key});
    return it == rows_.end() ? "" : FromBase64(it->second.value);
  }
  // Called with each transaction and its status.
  std::function<void(const json& body, int status)> on_transaction;
  size_t largest_refused = 0;
  int refused = 0;

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
  };
  struct Change {
    Key id;
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
    int64_t at_ms = 0;
  };
  struct Waiter {
    std::string table;
    uint64_t after = 0;
    Reply reply;
    bool done = false;
  };

  void After(int64_t ms, std::function<void()> what) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(std::chrono::milliseconds(ms));
    timer->async_wait(
        [timer, what = std::move(what)](const asio::error_code& ec) {
          if (!ec)
            what();
        });
  }

  static json Encode(const Key& id, const Row& row) {
    return {{"table", std::get<0>(id)},
            {"part", std::get<1>(id)},
            {"key", std::get<2>(id)},
            {"value", row.value},
            {"ver", row.version}};
  }
  static Key DecodeKey(const json& row) {
    return {row.value("table", ""), row.value("part", ""),
            row.value("key", "")};
  }

  void Write(const Key& id, const std::string& value) {
    rows_[id] = {value, version_};
    history_.push_back({id, value, version_, false, NowMs()});
    Forget();
  }
  void Erase(const Key& id) {
    if (rows_.erase(id) > 0)
      history_.push_back({id, "", version_, true, NowMs()});
  }

  void Forget() {
    while (history_.front().at_ms + kHistoryMs < NowMs()) {
      forgotten_ = history_.front().version;
      history_.pop_front();
    }
  }

  json Body() const { return {{"ver", version_}, {"now_ms", NowMs() + 5'000}}; }

  void Handle(const Request& request, const Reply& reply, Faults& faults) {
    if (request.path == "/api/rows-tx") {
      const json body = json::parse(request.body, nullptr, false);
      if (const int64_t late = faults.late_ms ? faults.late_ms(body) : 0;
          late > 0) {
        After(late, [this, body, bytes = request.body.size()] {
          const auto [status, answer] = Transact(body, bytes);
          if (on_transaction)
            on_transaction(body, status);
        });
        return;
      }
      After(kAnswerMs, [this, body, bytes = request.body.size(), reply,
                        lose = faults.lose_answer] {
        const bool lost = lose && lose(body);
        const auto [status, answer] = Transact(body, bytes);
        if (on_transaction)
          on_transaction(body, status);
        if (!lost)
          reply(status, answer.dump());
      });
    } else if (request.path == "/api/rows-get") {
      After(kAnswerMs, [this, request, reply] { Read(request, reply); });
    } else if (request.path == "/api/rows-feed") {
      After(kAnswerMs, [this, request, reply] { Feed(request, reply); });
    } else {
      reply(404, "{}");
    }
  }

  std::pair<int, json> Transact(const json& body, size_t bytes) {
    if (!body.is_object() || bytes > kMaxCallBytes)
      return {400, json::object()};
    const json conditions = body.value("expected_rev", json::array());
    const json writes = body.value("writes", json::array());
    const json deletes = body.value("deletes", json::array());
    if (conditions.size() + writes.size() + deletes.size() > kMaxEntries)
      return {400, json::object()};
    for (const json& it : writes) {
      const size_t size = FromBase64(it.value("value", "")).size();
      if (size <= kRowBytes)
        continue;
      ++refused;
      largest_refused = std::max(largest_refused, size);
      return {400, {{"error", "value is larger than row_bytes"}}};
    }
    json current = json::array();
    bool holds = true;
    for (const json& it : conditions) {
      const Key id = DecodeKey(it);
      const auto row = rows_.find(id);
      const uint64_t present = row == rows_.end() ? 0 : row->second.version;
      holds = holds && present == it.value("ver", uint64_t{0});
      if (row != rows_.end())
        current.push_back(Encode(id, row->second));
    }
    if (!holds) {
      json answer = Body();
      answer["rows"] = current;
      return {412, answer};
    }
    ++version_;
    for (const json& it : writes)
      Write(DecodeKey(it), it.value("value", ""));
    for (const json& it : deletes)
      Erase(DecodeKey(it));
    Wake();
    return {200, Body()};
  }

  void Read(const Request& request, const Reply& reply) {
    const std::string table = request.Query("table");
    const std::string part = request.Query("part");
    const std::string to = request.Query("to");
    size_t limit = kMaxRows;
    if (const std::string text = request.Query("limit"); !text.empty())
      limit = std::min<size_t>(limit, std::stoul(text));
    json answer = Body();
    answer["rows"] = json::array();
    answer["has_more"] = false;
    size_t bytes = 0;
    for (auto it = rows_.lower_bound({table, part, request.Query("from")});
         it != rows_.end(); ++it) {
      const auto& [t, p, key] = it->first;
      if (t != table || p != part || (!to.empty() && key >= to))
        break;
      bytes += it->second.value.size();
      if (answer["rows"].size() == limit ||
          (bytes > kMaxCallBytes && !answer["rows"].empty())) {
        answer["has_more"] = true;
        break;
      }
      answer["rows"].push_back(Encode(it->first, it->second));
    }
    reply(200, answer.dump());
  }

  json Changes(const std::string& table, uint64_t after) const {
    json rows = json::array();
    for (const Change& it : history_) {
      if (it.version <= after || std::get<0>(it.id) != table)
        continue;
      json row = Encode(it.id, {it.value, it.version});
      if (it.deleted)
        row["deleted"] = true;
      rows.push_back(std::move(row));
    }
    return rows;
  }

  void Feed(const Request& request, const Reply& reply) {
    const std::string table = request.Query("table");
    const uint64_t after = std::stoull("0" + request.Query("depends_on"));
    const int64_t wait = std::stoll("0" + request.Query("wait_ms"));
    if (after < forgotten_)
      return reply(410, "{}");
    json rows = Changes(table, after);
    if (!rows.empty() || wait == 0) {
      json answer = Body();
      answer["rows"] = std::move(rows);
      return reply(200, answer.dump());
    }
    auto waiter = std::make_shared<Waiter>(Waiter{table, after, reply});
    waiters_.push_back(waiter);
    After(wait, [this, waiter] {
      if (std::exchange(waiter->done, true))
        return;
      json answer = Body();
      answer["rows"] = json::array();
      waiter->reply(200, answer.dump());
    });
  }

  void Wake() {
    std::vector<std::shared_ptr<Waiter>> left;
    for (const auto& it : waiters_) {
      if (it->done)
        continue;
      json rows = Changes(it->table, it->after);
      if (rows.empty()) {
        left.push_back(it);
        continue;
      }
      it->done = true;
      json answer = Body();
      answer["rows"] = std::move(rows);
      it->reply(200, answer.dump());
    }
    waiters_ = std::move(left);
  }

  asio::io_context& io_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::map<Key, Row> rows_;
  std::deque<Change> history_;
  uint64_t forgotten_ = 0;  // Changes up to this version.
  std::vector<std::shared_ptr<Waiter>> waiters_;
  uint64_t version_ = 1;
};

}  // namespace peers

#endif  // REVIEW_6_PEERS_STORE_HPP_
