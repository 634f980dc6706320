#include "connection/engine_admin.h"

#include <memory>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "connection/engine_admin_codec.h"

namespace lynxglade::connection {

namespace {

using Json = nlohmann::json;

constexpr const char* kStatePath = "/v1/state";
constexpr const char* kOrdersPath = "/v1/orders";
constexpr const char* kJsonType = "application/json";
constexpr int kHttpOk = 200;

// HTTP client that connects only once. The library's client silently reconnects
// if the peer closed the connection, and would then send the order on a
// connection opened after the sender's check.
class SingleConnectionClient : public httplib::ClientImpl {
 public:
  SingleConnectionClient(const EngineEndpoint& endpoint, base::Duration timeout)
      : ClientImpl(endpoint.address, endpoint.port) {
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(timeout).count();
    constexpr std::int64_t kMicrosPerSecond = 1'000'000;
    const auto seconds = static_cast<time_t>(micros / kMicrosPerSecond);
    const auto rest = static_cast<time_t>(micros % kMicrosPerSecond);
    set_connection_timeout(seconds, rest);
    set_read_timeout(seconds, rest);
    set_write_timeout(seconds, rest);
    set_keep_alive(true);
    set_tcp_nodelay(true);
    set_follow_location(false);
  }

  // Whether a connection was made; it may be closed again.
  bool opened() const noexcept { return opened_; }
  // Whether the library tried to reconnect.
  bool reopen_refused() const noexcept { return reopen_refused_; }

 protected:
  // The library's name. NOLINTNEXTLINE(readability-identifier-naming)
  bool create_and_connect_socket(Socket& socket,
                                 httplib::Error& error) override {
    if (opened_) {
      reopen_refused_ = true;
      error = httplib::Error::Connection;
      return false;
    }
    opened_ = ClientImpl::create_and_connect_socket(socket, error);
    return opened_;
  }

 private:
  bool opened_ = false;
  bool reopen_refused_ = false;
};

std::optional<EngineState> ReadState(SingleConnectionClient& client,
                                     EngineAdminError* last_error) {
  const auto result = client.Get(kStatePath);
  if (!result) {
    *last_error = EngineAdminError::kUnreachable;
    return std::nullopt;
  }
  if (result->status != kHttpOk) {
    *last_error = EngineAdminError::kBadAnswer;
    return std::nullopt;
  }
  auto state =
      DecodeEngineState(base::ParseBoundedJson(result->body).value_or(Json()));
  *last_error = state ? EngineAdminError::kNone : EngineAdminError::kBadAnswer;
  return state;
}

std::optional<OrderAnswer> SendOrder(SingleConnectionClient& client,
                                     const EngineOrder& order,
                                     EngineAdminError* last_error) {
  const auto result = client.Post(kOrdersPath, EncodeOrder(order), kJsonType);
  if (!result) {
    // If the library tried to reconnect, it found the connection closed before
    // it wrote the first byte.
    *last_error = client.reopen_refused() ? EngineAdminError::kUnreachable
                                          : EngineAdminError::kAmbiguous;
    return std::nullopt;
  }
  auto answer = DecodeOrderAnswer(result->status, result->body);
  *last_error = answer ? EngineAdminError::kNone : EngineAdminError::kBadAnswer;
  return answer;
}

std::optional<OrderAnswer> CheckAndSendOrder(SingleConnectionClient& client,
                                             const EngineOrder& order,
                                             const MaySend& may_send,
                                             EngineAdminError* last_error) {
  const auto state = ReadState(client, last_error);
  if (!state) {
    return std::nullopt;
  }
  if (!may_send(*state)) {
    *last_error = EngineAdminError::kNotAllowed;
    return std::nullopt;
  }
  return SendOrder(client, order, last_error);
}

}  // namespace

bool SameContent(const EngineTargetState& a,
                 const EngineTargetState& b) noexcept {
  return a.role == b.role && a.model == b.model && a.version == b.version &&
         a.adapters == b.adapters;
}

std::string_view ToString(EnginePhase phase) noexcept {
  switch (phase) {
    case EnginePhase::kReady:
      return "ready";
    case EnginePhase::kChanging:
      return "changing";
    case EnginePhase::kHalfChanged:
      break;
  }
  return "half_changed";
}

std::string_view ToString(OrderRefusal refusal) noexcept {
  switch (refusal) {
    case OrderRefusal::kNone:
      return "none";
    case OrderRefusal::kStaleFence:
      return "stale_fence";
    case OrderRefusal::kStaleGeneration:
      return "stale_generation";
    case OrderRefusal::kBusy:
      return "busy";
    case OrderRefusal::kInFlight:
      return "in_flight";
    case OrderRefusal::kOther:
      break;
  }
  return "other";
}

std::string_view ToString(EngineAdminError error) noexcept {
  switch (error) {
    case EngineAdminError::kNone:
      return "none";
    case EngineAdminError::kUnreachable:
      return "unreachable";
    case EngineAdminError::kNotAllowed:
      return "not_allowed";
    case EngineAdminError::kAmbiguous:
      return "ambiguous";
    case EngineAdminError::kBadAnswer:
      break;
  }
  return "bad_answer";
}

EngineAdmin MakeHttpEngineAdmin(base::Duration timeout) {
  EngineAdmin admin;
  admin.read_state = [timeout](const EngineEndpoint& endpoint,
                               EngineAdminError* last_error) {
    SingleConnectionClient client(endpoint, timeout);
    return ReadState(client, last_error);
  };
  admin.send_order =
      [timeout](const EngineEndpoint& endpoint, const EngineOrder& order,
                const MaySend& may_send, EngineAdminError* last_error) {
        SingleConnectionClient client(endpoint, timeout);
        return CheckAndSendOrder(client, order, may_send, last_error);
      };
  return admin;
}

}  // namespace lynxglade::connection
