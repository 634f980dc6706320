// Sends orders to engines and reads their state.
//
// Each order uses its own connection: the engine's state is read on it, the
// sender's authority is checked, and then the order is written on the same
// socket. The socket is never reopened: if the sender was suspended after the
// check and the engine closed the connection meanwhile, the order is not
// delivered.
#ifndef LYNXGLADE_CONNECTION_ENGINE_ADMIN_H_
#define LYNXGLADE_CONNECTION_ENGINE_ADMIN_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "request/target.h"

namespace lynxglade::connection {

// The state that an order requests. Complete, so that orders are idempotent.
struct EngineTargetState {
  bool draining = false;
  request::EngineRole role = request::EngineRole::kMixed;
  base::ModelName model;
  base::ModelVersion version;
  // Sorted.
  std::vector<std::string> adapters;

  bool operator==(const EngineTargetState&) const = default;
};

// Whether the states are equal except for `draining`.
bool SameContent(const EngineTargetState& a,
                 const EngineTargetState& b) noexcept;

enum class EnginePhase { kReady, kChanging, kHalfChanged };
std::string_view ToString(EnginePhase phase) noexcept;

// State reported by an engine.
struct EngineState {
  std::string incarnation;
  bool fenced = false;
  EnginePhase phase = EnginePhase::kReady;
  int in_flight = 0;
  EngineTargetState current;
  base::Generation generation;
  base::FencingToken fence;
  std::string order_id;
  std::uint64_t seq = 0;
};

struct EngineOrder {
  std::string order_id;
  base::FencingToken fence;
  base::Generation generation;
  base::InstanceId holder;
  EngineTargetState target;
};

// Why an engine rejected an order; its state is unchanged then.
enum class OrderRefusal {
  kNone,
  kStaleFence,
  kStaleGeneration,
  kBusy,
  kInFlight,
  // Rejected with an unknown reason.
  kOther,
};
std::string_view ToString(OrderRefusal refusal) noexcept;

struct OrderAnswer {
  // If false, `refusal` has the reason and the state is unchanged.
  bool accepted = false;
  OrderRefusal refusal = OrderRefusal::kNone;
};

// Why a call failed.
enum class EngineAdminError {
  kNone,
  // The connection failed; no order was sent.
  kUnreachable,
  // MaySend returned false; the order was not sent.
  kNotAllowed,
  // The order was written to the socket but got no answer; it may or may not
  // take effect, possibly later.
  kAmbiguous,
  // The answer cannot be parsed; an order may have taken effect.
  kBadAnswer,
};
std::string_view ToString(EngineAdminError error) noexcept;

struct EngineEndpoint {
  std::string address;
  int port = 0;
};

// Last check before an order is written; receives the state read on the order's
// connection. Called on the sender's thread; must not block.
using MaySend = std::function<bool(const EngineState&)>;

// The calls to an engine, as hooks that tests can replace. Both block and are
// thread-safe; do not call them from an actor.
struct EngineAdmin {
  std::function<std::optional<EngineState>(const EngineEndpoint&,
                                           EngineAdminError* last_error)>
      read_state;
  std::function<std::optional<OrderAnswer>(const EngineEndpoint&,
                                           const EngineOrder&,
                                           const MaySend&,
                                           EngineAdminError* last_error)>
      send_order;
};

// Makes the calls over HTTP. `timeout` applies to connecting and to each read
// and write.
EngineAdmin MakeHttpEngineAdmin(base::Duration timeout);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_ENGINE_ADMIN_H_
