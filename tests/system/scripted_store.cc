#include "system/scripted_store.h"

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
  values_.erase(key);
  Note(key, true);
}

bool ScriptedStore::Has(const std::string& key) {
  const std::lock_guard lock(mutex_);
  return values_.contains(key);
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
  if (target.starts_with("/kv-range")) {
    return Http(200, Range(prefix).dump());
  }
  if (target.starts_with("/kv-watch")) {
    return Http(200,
                Watch(prefix, std::stoll(Parameter(target, "after"))).dump());
  }
  if (target.starts_with("/kv-key")) {
    return Key(Parameter(target, "key"));
  }
  if (target.starts_with("/kv-txn")) {
    return Http(200, Transaction(json::parse(body)).dump());
  }
  return Http(200, json{{"lease", 7}, {"ttlMs", 10000}}.dump());
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

json ScriptedStore::Transaction(const json& body) {
  const std::lock_guard lock(mutex_);
  for (const json& write : body.at("writes")) {
    const std::string key = write.at("key");
    values_[key] =
        *connection::Base64Decode(write.at("value").get<std::string>());
    Note(key, false);
  }
  return {{"revision", revision_}};
}

}  // namespace lynxglade::system_test
