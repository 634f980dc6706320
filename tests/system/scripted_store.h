// A scripted key-value store with the subset of its HTTP and JSON protocol that
// an entry instance uses: ranges, watches, conditional transactions and leases.
// Implemented independently of the client and transport under test.
#ifndef LYNXGLADE_SYSTEM_SCRIPTED_STORE_H_
#define LYNXGLADE_SYSTEM_SCRIPTED_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "connection/scripted_server.h"

namespace lynxglade::system_test {

// Thread-safe.
class ScriptedStore {
 public:
  ScriptedStore();
  ~ScriptedStore();
  ScriptedStore(const ScriptedStore&) = delete;
  ScriptedStore& operator=(const ScriptedStore&) = delete;

  int port() const noexcept { return server_.port(); }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  bool Has(const std::string& key);
  // The next watch gets no answer, as one that an outage has swallowed.
  void SwallowNextWatch();
  // When that watch came; nothing before.
  std::optional<std::chrono::steady_clock::time_point> SwallowedAt();
  // Answers one request of the protocol.
  connection::ScriptedServer::Reply Answer(const std::string& request);

 private:
  using Reply = connection::ScriptedServer::Reply;

  // Whether the watch that comes now is to be swallowed.
  bool Swallows();
  nlohmann::json Range(const std::string& prefix);
  nlohmann::json Watch(const std::string& prefix, std::int64_t after);
  Reply Key(const std::string& key);
  Reply Transaction(const nlohmann::json& body);
  Reply Lease(const std::string& target, const nlohmann::json& body);
  // Requires `mutex_`.
  void Erase(const std::string& key);
  void ExpireLeases();
  nlohmann::json Item(const std::string& key);
  // Requires `mutex_`.
  void Note(const std::string& key, bool deleted);

  struct GrantedLease {
    std::chrono::milliseconds ttl{};
    std::chrono::steady_clock::time_point expires_at{};
  };
  struct Change {
    std::int64_t revision;
    std::string key;
    bool deleted;
  };

  std::mutex mutex_;
  std::condition_variable changed_;
  bool ending_ = false;
  std::int64_t revision_ = 1;
  std::map<std::string, std::string> values_;
  std::map<std::string, std::int64_t> revisions_;
  std::vector<Change> history_;
  bool swallow_next_ = false;
  std::optional<std::chrono::steady_clock::time_point> swallowed_at_;
  std::int64_t next_lease_ = 1;
  std::map<std::int64_t, GrantedLease> leases_;
  // The lease that a key is bound to.
  std::map<std::string, std::int64_t> key_leases_;
  // Declared last: its threads use the other members.
  connection::ScriptedServer server_;
};

}  // namespace lynxglade::system_test

#endif  // LYNXGLADE_SYSTEM_SCRIPTED_STORE_H_
