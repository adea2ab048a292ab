// The platform's metadata store: rows in tables, conditional transactions,
// reads and feeds, as PROTOCOL.md has them.

#ifndef REVIEW_HARNESS_3_STORE_HPP_
#define REVIEW_HARNESS_3_STORE_HPP_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "http.hpp"
#include "record.hpp"

namespace review {

using Json = nlohmann::json;

class Store {
 public:
  Store(asio::io_context& io, Record& record) : io_(io), record_(record) {}

  // An address of the store for one node, so that nodes can be told apart.
  // Returns its port.
  int AddAddress(const std::string& node);

  // What the operator and the executors write; acknowledged at once.
  void Put(const std::string& table, const std::string& key, const Json& value);
  void Delete(const std::string& table, const std::string& key);

  // The node that last wrote under a condition.
  const std::string& last_writer() const { return last_writer_; }
  // Transactions that were refused since a row was too large.
  int refused_for_size() const { return refused_for_size_; }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;  // Base64.
    uint64_t version = 0;
  };
  struct Change {
    uint64_t version;
    Key key;
    std::string value;
    bool deleted;
  };
  struct Waiter {
    std::string table;
    uint64_t after;
    Reply reply;
  };

  void Handle(const std::string& node,
              const Request& request,
              const Reply& reply);
  void Commit(const std::string& node,
              const Request& request,
              const Reply& reply);
  void Read(const Request& request, const Reply& reply);
  void Feed(const Request& request, const Reply& reply);
  void Apply(const Key& key, const std::string& value, bool deleted);
  void Wake();
  Json Changes(const std::string& table, uint64_t after) const;
  Json Answer() const;
  void After(Millis delay, std::function<void()> what);

  asio::io_context& io_;
  Record& record_;
  std::map<Key, Row> rows_;
  std::vector<Change> history_;
  std::list<std::shared_ptr<Waiter>> waiters_;
  std::vector<std::unique_ptr<Server>> servers_;
  uint64_t version_ = 0;
  std::string last_writer_;
  int refused_for_size_ = 0;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_STORE_HPP_
