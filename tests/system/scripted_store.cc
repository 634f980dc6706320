#include "system/scripted_store.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "connection/base64.h"

namespace lynxglade::system_test {

namespace {

using connection::ScriptedServer;
using nlohmann::json;

// A watch without changes returns after this time.
constexpr auto kWatchWait = std::chrono::milliseconds(300);

ScriptedServer::Reply Http(int status, const std::string& body) {
  return {"HTTP/1.1 " + std::to_string(status) +
          " X\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body};
}

// Returns a parameter of the query of the request.
std::string Parameter(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

}  // namespace

ScriptedStore::ScriptedStore()
    : server_([this](const std::string& request) { return Answer(request); }) {}

ScriptedStore::~ScriptedStore() {
  const std::lock_guard lock(mutex_);
  ending_ = true;
  changed_.notify_all();
}

void ScriptedStore::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  values_[key] = value;
  Note(key, false);
}

void ScriptedStore::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  Erase(key);
}

void ScriptedStore::Erase(const std::string& key) {
  values_.erase(key);
  key_leases_.erase(key);
  Note(key, true);
}

void ScriptedStore::ExpireLeases() {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(leases_,
                [now](const auto& it) { return it.second.expires_at <= now; });
  std::vector<std::string> expired;
  for (const auto& [key, lease] : key_leases_) {
    if (!leases_.contains(lease)) {
      expired.push_back(key);
    }
  }
  std::ranges::for_each(expired, [this](const auto& it) { Erase(it); });
}

bool ScriptedStore::Has(const std::string& key) {
  const std::lock_guard lock(mutex_);
  return values_.contains(key);
}

void ScriptedStore::SwallowNextWatch() {
  const std::lock_guard lock(mutex_);
  swallow_next_ = true;
  swallowed_at_.reset();
}

std::optional<std::chrono::steady_clock::time_point>
ScriptedStore::SwallowedAt() {
  const std::lock_guard lock(mutex_);
  return swallowed_at_;
}

bool ScriptedStore::Swallows() {
  const std::lock_guard lock(mutex_);
  if (!std::exchange(swallow_next_, false)) {
    return false;
  }
  swallowed_at_ = std::chrono::steady_clock::now();
  return true;
}

void ScriptedStore::Note(const std::string& key, bool deleted) {
  revisions_[key] = ++revision_;
  history_.push_back({revision_, key, deleted});
  changed_.notify_all();
}

ScriptedStore::Reply ScriptedStore::Answer(const std::string& request) {
  const std::size_t first = request.find(' ') + 1;
  const std::string target =
      request.substr(first, request.find(' ', first) - first);
  const std::string body = request.substr(request.find("\r\n\r\n") + 4);
  const std::string prefix = Parameter(target, "pathPrefix");
  {
    const std::lock_guard lock(mutex_);
    ExpireLeases();
  }
  if (target.starts_with("/kv-range")) {
    return Http(200, Range(prefix).dump());
  }
  if (target.starts_with("/kv-watch")) {
    if (Swallows()) {
      return {"", ScriptedServer::Then::kHang};
    }
    return Http(200,
                Watch(prefix, std::stoll(Parameter(target, "after"))).dump());
  }
  if (target.starts_with("/kv-key")) {
    return Key(Parameter(target, "key"));
  }
  if (target.starts_with("/kv-txn")) {
    return Transaction(json::parse(body));
  }
  return Lease(target, json::parse(body, nullptr, false));
}

json ScriptedStore::Item(const std::string& key) {
  return {{"key", key},
          {"value", connection::Base64Encode(values_.at(key))},
          {"revision", revisions_.at(key)},
          {"created", revisions_.at(key)},
          {"lease", 0}};
}

json ScriptedStore::Range(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  json items = json::array();
  for (const auto& [key, value] : values_) {
    if (key.starts_with(prefix)) {
      items.push_back(Item(key));
    }
  }
  return {{"items", items}, {"hasMore", false}, {"at", revision_}};
}

json ScriptedStore::Watch(const std::string& prefix, std::int64_t after) {
  std::unique_lock lock(mutex_);
  json events = json::array();
  changed_.wait_for(lock, kWatchWait, [&] {
    for (const Change& change : history_) {
      if (change.revision > after && change.key.starts_with(prefix)) {
        events.push_back(!change.deleted && values_.contains(change.key)
                             ? Item(change.key)
                             : json{{"key", change.key},
                                    {"revision", change.revision},
                                    {"deleted", true}});
      }
    }
    return ending_ || !events.empty();
  });
  return {{"events", events}, {"at", revision_}};
}

ScriptedStore::Reply ScriptedStore::Key(const std::string& key) {
  const std::lock_guard lock(mutex_);
  return values_.contains(key) ? Http(200, Item(key).dump()) : Http(404, "{}");
}

ScriptedStore::Reply ScriptedStore::Transaction(const json& body) {
  const std::lock_guard lock(mutex_);
  for (const json& condition : body.value("ifRevision", json::array())) {
    const std::string key = condition.at("key");
    const std::int64_t revision = values_.contains(key) ? revisions_[key] : 0;
    if (revision != condition.at("revision")) {
      const json items =
          values_.contains(key) ? json::array({Item(key)}) : json::array();
      return Http(412, json{{"items", items}}.dump());
    }
  }
  for (const json& write : body.value("writes", json::array())) {
    const std::int64_t lease = write.value("lease", std::int64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      return Http(404, "{}");
    }
  }
  for (const json& write : body.value("writes", json::array())) {
    const std::string key = write.at("key");
    values_[key] =
        *connection::Base64Decode(write.at("value").get<std::string>());
    key_leases_.erase(key);
    const std::int64_t lease = write.value("lease", std::int64_t{0});
    if (lease != 0) {
      key_leases_[key] = lease;
    }
    Note(key, false);
  }
  for (const json& key : body.value("remove", json::array())) {
    Erase(key.get<std::string>());
  }
  return Http(200, json{{"revision", revision_}}.dump());
}

ScriptedStore::Reply ScriptedStore::Lease(const std::string& target,
                                          const json& body) {
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  if (target == "/kv-lease") {
    const std::chrono::milliseconds ttl(body.at("ttlMs").get<std::int64_t>());
    leases_[next_lease_] = {ttl, now + ttl};
    return Http(200,
                json{{"lease", next_lease_++}, {"ttlMs", ttl.count()}}.dump());
  }
  const std::int64_t lease = std::stoll(target.substr(target.rfind('/') + 1));
  const auto it = leases_.find(lease);
  if (it == leases_.end()) {
    return Http(404, "{}");
  }
  if (target.starts_with("/kv-lease-end/")) {
    leases_.erase(it);
    ExpireLeases();
    return Http(200, "{}");
  }
  it->second.expires_at = now + it->second.ttl;
  return Http(200,
              json{{"lease", lease}, {"ttlMs", it->second.ttl.count()}}.dump());
}

}  // namespace lynxglade::system_test
