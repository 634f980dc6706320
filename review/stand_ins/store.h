// The platform's store: ranges, long-polling watches, conditional transactions
// and leases, as the platform's protocol describes them.
#ifndef LYNXGLADE_REVIEW_STAND_INS_STORE_H_
#define LYNXGLADE_REVIEW_STAND_INS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "review/stand_ins/http_server.h"

namespace lynxglade::review {

// Thread-safe.
class Store {
 public:
  Store() = default;
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // A port of its own for one instance, whose link can be disturbed.
  HttpServer& OpenPort();
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Watches from an earlier revision are told that it is gone.
  void DropHistory();

 private:
  using Json = nlohmann::json;
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::int64_t revision = 0;
    // Nothing if it was deleted.
    std::optional<Item> item;
  };
  struct Lease {
    Millis ttl{};
    Clock::time_point ends{};
  };

  std::string Handle(const Message& request);
  std::string Range(const std::string& query);
  std::string Watch(const std::string& query);
  std::string Transaction(const Json& body);
  std::string HandleLease(const std::string& target, const Json& body);
  // These require `mutex_`.
  void Write(const std::string& key, std::string value, std::int64_t lease);
  void Erase(const std::string& key);
  void ExpireLeases();
  static Json Row(const std::string& key, const Item& item);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool ending_ = false;
  std::int64_t revision_ = 1;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  // The history goes back to this revision.
  std::int64_t history_after_ = 0;
  std::int64_t next_lease_ = 1;
  std::map<std::int64_t, Lease> leases_;
  // Declared last: its threads use the other members.
  std::vector<std::unique_ptr<HttpServer>> ports_;
};

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_STORE_H_
