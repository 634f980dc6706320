#include "review/stand_ins_2/store.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "connection/base64.h"

namespace lynxglade::review {

namespace {

constexpr std::size_t kPageItems = 500;
// How often a waiting watch looks for leases that have ended.
constexpr Millis kLeaseCheckPeriod{100};

std::string Decode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string pair = target.substr(begin + 1, end - begin - 1);
    const std::size_t equals = pair.find('=');
    query[pair.substr(0, equals)] = Decode(pair.substr(equals + 1));
    begin = end;
  }
  return query;
}

std::string Reply(int status, const nlohmann::json& body) {
  return Answer(status, "Content-Type: application/json\r\n", body.dump());
}

std::int64_t LastNumber(const std::string& path) {
  return std::atoll(path.substr(path.rfind('/') + 1).c_str());
}

}  // namespace

Store::Store()
    : listener_([this](Socket it) { Serve(std::move(it), nullptr); }) {}

StoreLink& Store::OpenLink() {
  links_.push_back(std::make_unique<StoreLink>());
  StoreLink& link = *links_.back();
  link_listeners_.push_back(std::make_unique<Listener>(
      [this, &link](Socket it) { Serve(std::move(it), &link); }));
  link.port = link_listeners_.back()->port();
  return link;
}

void Store::DropHistory() {
  const std::lock_guard lock(mutex_);
  dropped_ = revision_;
  history_.clear();
  changed_.notify_all();
}

std::int64_t Store::Put(const std::string& key, const nlohmann::json& value) {
  const std::lock_guard lock(mutex_);
  Write(key, value.dump(), 0);
  return revision_;
}

std::int64_t Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  Erase(key);
  return revision_;
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto it = items_.find(key);
  return it == items_.end() ? std::string() : it->second.value;
}

void Store::Serve(Socket socket, const StoreLink* link) {
  while (const auto request = socket.ReadMessage()) {
    const auto rejects = [link] { return link && link->busy; };
    const std::string rejection = Reply(429, Json::object());
    std::string answer = rejects() ? rejection : Handle(*request);
    // A watch that was waiting is rejected as well.
    if (rejects()) {
      answer = rejection;
    }
    if (!socket.Send(answer)) {
      return;
    }
  }
}

std::string Store::Handle(const Message& request) {
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  const auto query = ParseQuery(target);
  {
    const std::lock_guard lock(mutex_);
    ExpireLeases();
  }
  if (path == "/kv-range") {
    return Range(query);
  }
  if (path == "/kv-watch") {
    return Watch(query);
  }
  if (path == "/kv-txn") {
    return Transact(Json::parse(request.body));
  }
  if (path == "/kv-lease") {
    return Grant(Json::parse(request.body));
  }
  if (path.starts_with("/kv-keep/")) {
    return Keep(LastNumber(path));
  }
  const std::lock_guard lock(mutex_);
  if (path.starts_with("/kv-lease-end/")) {
    EndLease(LastNumber(path));
    return Reply(200, Json::object());
  }
  if (path == "/kv-key" && items_.contains(query.at("key"))) {
    Json item = Describe(query.at("key"));
    item["at"] = revision_;
    return Reply(200, item);
  }
  return Reply(404, Json::object());
}

std::string Store::Range(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(mutex_);
  const auto prefix = query.find("pathPrefix");
  const auto after = query.find("after");
  Json items = Json::array();
  bool more = false;
  for (const auto& [key, item] : items_) {
    if ((prefix != query.end() && !key.starts_with(prefix->second)) ||
        (after != query.end() && key <= after->second)) {
      continue;
    }
    if (items.size() == kPageItems) {
      more = true;
      break;
    }
    items.push_back(Describe(key));
  }
  return Reply(200, {{"items", items}, {"hasMore", more}, {"at", revision_}});
}

std::string Store::Watch(const std::map<std::string, std::string>& query) {
  const auto prefix = query.find("pathPrefix");
  const std::int64_t after = std::atoll(query.at("after").c_str());
  const auto end =
      Clock::now() + Millis(std::atoll(query.at("waitMs").c_str()));
  std::unique_lock lock(mutex_);
  while (true) {
    ExpireLeases();
    if (after < dropped_) {
      return Reply(410, Json::object());
    }
    Json events = Json::array();
    for (const Change& it : history_) {
      if (it.revision <= after) {
        continue;
      }
      const std::string key = it.event["key"];
      if (prefix == query.end() || key.starts_with(prefix->second)) {
        events.push_back(it.event);
      }
    }
    if (!events.empty() || Clock::now() >= end) {
      return Reply(200, {{"events", events}, {"at", revision_}});
    }
    changed_.wait_until(lock, std::min(end, Clock::now() + kLeaseCheckPeriod));
  }
}

std::string Store::Transact(const Json& body) {
  const std::lock_guard lock(mutex_);
  Json current = Json::array();
  bool holds = true;
  for (const Json& it : body.value("ifRevision", Json::array())) {
    const std::string key = it["key"];
    const auto item = items_.find(key);
    const std::int64_t revision =
        item == items_.end() ? 0 : item->second.revision;
    holds = holds && revision == it["revision"].get<std::int64_t>();
    current.push_back(item == items_.end() ? Json{{"key", key}, {"revision", 0}}
                                           : Describe(key));
  }
  if (!holds) {
    return Reply(412, {{"items", current}});
  }
  const Json writes = body.value("writes", Json::array());
  for (const Json& it : writes) {
    const std::int64_t lease = it.value("lease", std::int64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      return Reply(404, Json::object());
    }
  }
  for (const Json& it : writes) {
    Write(it["key"],
          connection::Base64Decode(it["value"].get<std::string>())
              .value_or(std::string()),
          it.value("lease", std::int64_t{0}));
  }
  for (const Json& it : body.value("remove", Json::array())) {
    Erase(it);
  }
  return Reply(200, {{"revision", revision_}});
}

std::string Store::Grant(const Json& body) {
  const std::lock_guard lock(mutex_);
  const Millis ttl(body["ttlMs"].get<std::int64_t>());
  leases_[++last_lease_] = {ttl, Clock::now() + ttl};
  return Reply(200, {{"lease", last_lease_}, {"ttlMs", ttl.count()}});
}

std::string Store::Keep(std::int64_t lease) {
  const std::lock_guard lock(mutex_);
  const auto it = leases_.find(lease);
  if (it == leases_.end()) {
    return Reply(404, Json::object());
  }
  it->second.end = Clock::now() + it->second.ttl;
  return Reply(200, Json::object());
}

nlohmann::json Store::Describe(const std::string& key) const {
  const Item& item = items_.at(key);
  return {{"key", key},
          {"value", connection::Base64Encode(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void Store::Write(const std::string& key,
                  std::string value,
                  std::int64_t lease) {
  ++revision_;
  Item& item = items_[key];
  item.value = std::move(value);
  item.revision = revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  item.lease = lease;
  history_.push_back({revision_, Describe(key)});
  changed_.notify_all();
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) == 0) {
    return;
  }
  ++revision_;
  history_.push_back(
      {revision_, {{"key", key}, {"revision", revision_}, {"deleted", true}}});
  changed_.notify_all();
}

void Store::EndLease(std::int64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& it : keys) {
    Erase(it);
  }
}

void Store::ExpireLeases() {
  const auto now = Clock::now();
  std::vector<std::int64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.end <= now) {
      ended.push_back(id);
    }
  }
  for (const std::int64_t it : ended) {
    EndLease(it);
  }
}

}  // namespace lynxglade::review
