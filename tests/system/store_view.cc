#include "system/store_view.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "connection/base64.h"

namespace lynxglade::system_test {

namespace {

using connection::ScriptedServer;
using nlohmann::json;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kTargetsPrefix = "servers/";

}  // namespace

StoreView::StoreView(ScriptedStore& store, Rewrite rewrite)
    : store_(store),
      rewrite_(std::move(rewrite)),
      server_([this](const std::string& request) { return Answer(request); }) {}

ScriptedServer::Reply StoreView::Answer(const std::string& request) const {
  ScriptedServer::Reply reply = store_.Answer(request);
  const std::size_t body_at = reply.bytes.find(kHeadEnd) + kHeadEnd.size();
  json body = json::parse(reply.bytes.substr(body_at), nullptr, false);
  const auto rewrite = [this](json& item) {
    if (item.contains("value")) {
      const std::string value =
          *connection::Base64Decode(item.at("value").get<std::string>());
      item["value"] = connection::Base64Encode(rewrite_(item.at("key"), value));
    }
  };
  for (const char* list : {"items", "events"}) {
    if (body.is_object() && body.contains(list)) {
      for (json& item : body[list]) {
        rewrite(item);
      }
    }
  }
  if (body.is_object()) {
    rewrite(body);
  }
  const std::string status = reply.bytes.substr(0, reply.bytes.find("\r\n"));
  const std::string text = body.dump();
  reply.bytes = status +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(text.size()) + "\r\n\r\n" + text;
  return reply;
}

StoreView::Rewrite WithPorts(std::function<int(const std::string& id)> port) {
  return [port = std::move(port)](const std::string& key,
                                  const std::string& value) {
    if (!key.starts_with(kTargetsPrefix)) {
      return value;
    }
    json entry = json::parse(value);
    entry["address"] =
        "127.0.0.1:" + std::to_string(port(key.substr(kTargetsPrefix.size())));
    return entry.dump();
  };
}

}  // namespace lynxglade::system_test
