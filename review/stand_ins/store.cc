#include "review/stand_ins/store.h"

#include <algorithm>
#include <utility>

#include "connection/base64.h"

namespace lynxglade::review {

namespace {

constexpr Millis kExpiryPeriod{50};

std::string JsonAnswer(int status, const nlohmann::json& body) {
  return Answer(status, "Content-Type: application/json\r\n", body.dump());
}

std::string Decode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string Parameter(const std::string& query, const std::string& name) {
  const std::size_t at = ('&' + query).find('&' + name + '=');
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 1;
  return Decode(query.substr(begin, query.find('&', begin) - begin));
}

}  // namespace

HttpServer& Store::OpenPort() {
  ports_.push_back(std::make_unique<HttpServer>(
      0, [this](const Message& request) { return Handle(request); }));
  return *ports_.back();
}

Store::~Store() {
  const std::lock_guard lock(mutex_);
  ending_ = true;
  changed_.notify_all();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Write(key, value, 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  Erase(key);
}

void Store::DropHistory() {
  const std::lock_guard lock(mutex_);
  history_.clear();
  history_after_ = revision_;
  changed_.notify_all();
}

void Store::Write(const std::string& key,
                  std::string value,
                  std::int64_t lease) {
  Item& item = items_[key];
  item.revision = ++revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  item.value = std::move(value);
  item.lease = lease;
  history_.push_back({key, revision_, item});
  changed_.notify_all();
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back({key, ++revision_, std::nullopt});
    changed_.notify_all();
  }
}

void Store::ExpireLeases() {
  const auto now = Clock::now();
  std::erase_if(leases_,
                [now](const auto& it) { return it.second.ends <= now; });
  std::vector<std::string> expired;
  for (const auto& [key, item] : items_) {
    if (item.lease != 0 && !leases_.contains(item.lease)) {
      expired.push_back(key);
    }
  }
  std::ranges::for_each(expired, [this](const auto& it) { Erase(it); });
}

nlohmann::json Store::Row(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", connection::Base64Encode(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

std::string Store::Handle(const Message& request) {
  const std::size_t first = request.start.find(' ') + 1;
  const std::string target =
      request.start.substr(first, request.start.find(' ', first) - first);
  const std::size_t mark = target.find('?');
  const std::string path = target.substr(0, mark);
  const std::string query =
      mark == std::string::npos ? std::string() : target.substr(mark + 1);
  const Json body = Json::parse(request.body, nullptr, false);
  if (path == "/kv-watch") {
    return Watch(query);
  }
  const std::lock_guard lock(mutex_);
  ExpireLeases();
  if (path == "/kv-range") {
    return Range(query);
  }
  if (path == "/kv-key") {
    const std::string key = Parameter(query, "key");
    const auto it = items_.find(key);
    return it == items_.end() ? JsonAnswer(404, Json::object())
                              : JsonAnswer(200, Row(key, it->second));
  }
  return path == "/kv-txn" ? Transaction(body) : HandleLease(path, body);
}

std::string Store::Range(const std::string& query) {
  constexpr std::size_t kPage = 500;
  const std::string prefix = Parameter(query, "pathPrefix");
  const std::string after = Parameter(query, "after");
  Json rows = Json::array();
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    more = rows.size() == kPage;
    if (more) {
      break;
    }
    rows.push_back(Row(key, item));
  }
  return JsonAnswer(200,
                    {{"items", rows}, {"hasMore", more}, {"at", revision_}});
}

std::string Store::Watch(const std::string& query) {
  const std::string prefix = Parameter(query, "pathPrefix");
  const std::int64_t after = std::stoll(Parameter(query, "after"));
  const auto until =
      Clock::now() + Millis(std::stoll(Parameter(query, "waitMs")));
  std::unique_lock lock(mutex_);
  Json events = Json::array();
  while (true) {
    ExpireLeases();
    if (after < history_after_) {
      return JsonAnswer(410, Json::object());
    }
    for (const Change& it : history_) {
      if (it.revision > after && it.key.starts_with(prefix)) {
        events.push_back(it.item ? Row(it.key, *it.item)
                                 : Json{{"key", it.key},
                                        {"revision", it.revision},
                                        {"deleted", true}});
      }
    }
    if (ending_ || !events.empty() || Clock::now() >= until) {
      return JsonAnswer(200, {{"events", events}, {"at", revision_}});
    }
    changed_.wait_for(lock, kExpiryPeriod);
  }
}

std::string Store::Transaction(const Json& body) {
  for (const Json& condition : body.value("ifRevision", Json::array())) {
    const std::string key = condition.at("key");
    const auto it = items_.find(key);
    const std::int64_t revision = it == items_.end() ? 0 : it->second.revision;
    if (revision != condition.at("revision")) {
      Json rows = Json::array();
      if (it != items_.end()) {
        rows.push_back(Row(key, it->second));
      }
      return JsonAnswer(412, {{"items", rows}});
    }
  }
  const Json writes = body.value("writes", Json::array());
  const bool leased = std::ranges::all_of(writes, [this](const Json& it) {
    const auto lease = it.value("lease", std::int64_t{0});
    return lease == 0 || leases_.contains(lease);
  });
  if (!leased) {
    return JsonAnswer(404, Json::object());
  }
  for (const Json& it : writes) {
    Write(it.at("key"),
          connection::Base64Decode(it.at("value").get<std::string>())
              .value_or(std::string()),
          it.value("lease", std::int64_t{0}));
  }
  for (const Json& key : body.value("remove", Json::array())) {
    Erase(key.get<std::string>());
  }
  return JsonAnswer(200, {{"revision", revision_}});
}

std::string Store::HandleLease(const std::string& path, const Json& body) {
  const auto now = Clock::now();
  if (path == "/kv-lease") {
    const Millis ttl(body.at("ttlMs").get<std::int64_t>());
    leases_[next_lease_] = {ttl, now + ttl};
    return JsonAnswer(200, {{"lease", next_lease_++}, {"ttlMs", ttl.count()}});
  }
  const std::int64_t id = std::stoll(path.substr(path.rfind('/') + 1));
  const auto it = leases_.find(id);
  if (it == leases_.end()) {
    return JsonAnswer(404, Json::object());
  }
  if (path.starts_with("/kv-lease-end/")) {
    leases_.erase(it);
    ExpireLeases();
    return JsonAnswer(200, Json::object());
  }
  it->second.ends = now + it->second.ttl;
  return JsonAnswer(200, {{"lease", id}, {"ttlMs", it->second.ttl.count()}});
}

}  // namespace lynxglade::review
