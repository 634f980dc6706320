// The platform's key-value store: items, watches, transactions and leases, as
// PROTOCOL.md describes them.
#ifndef LYNXGLADE_REVIEW_STAND_INS_2_STORE_H_
#define LYNXGLADE_REVIEW_STAND_INS_2_STORE_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "review/stand_ins_2/wire.h"

namespace lynxglade::review {

// One machine's link to the store.
struct StoreLink {
  int port = 0;
  // The store rejects the machine's calls.
  std::atomic<bool> busy = false;
};

// Thread-safe.
class Store {
 public:
  Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  int port() const noexcept { return listener_.port(); }
  // A port of its own for one machine. Lives as long as the process.
  StoreLink& OpenLink();
  // Watches from an earlier revision are told that it is gone.
  void DropHistory();
  // Writes of the operator and the engines. The revision is the ack.
  std::int64_t Put(const std::string& key, const nlohmann::json& value);
  std::int64_t Remove(const std::string& key);
  // Decoded value; empty if there is no such key.
  std::string Get(const std::string& key);

 private:
  using Json = nlohmann::json;

  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Change {
    std::int64_t revision = 0;
    Json event;
  };
  struct Lease {
    Millis ttl{};
    Clock::time_point end{};
  };

  void Serve(Socket socket, const StoreLink* link);
  std::string Handle(const Message& request);
  std::string Range(const std::map<std::string, std::string>& query);
  std::string Watch(const std::map<std::string, std::string>& query);
  std::string Transact(const Json& body);
  std::string Grant(const Json& body);
  std::string Keep(std::int64_t lease);
  // These require `mutex_`.
  Json Describe(const std::string& key) const;
  void Write(const std::string& key, std::string value, std::int64_t lease);
  void Erase(const std::string& key);
  void EndLease(std::int64_t lease);
  void ExpireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t revision_ = 10;
  std::int64_t last_lease_ = 0;
  std::map<std::string, Item> items_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<Change> history_;
  // Changes up to this revision are gone.
  std::int64_t dropped_ = 0;
  std::vector<std::unique_ptr<StoreLink>> links_;
  std::vector<std::unique_ptr<Listener>> link_listeners_;
  Listener listener_;
};

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_2_STORE_H_
