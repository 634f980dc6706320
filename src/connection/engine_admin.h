// Orders to engines, and reading back what they are.
//
// An order travels on a connection of its own: it is opened, the engine's
// state is read on it, the sender's authority is checked, and then the order
// is written on the very same socket. That socket is never replaced, so the
// order of a sender that slept after its check dies with the connection that
// the engine closed meanwhile.
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

// What an engine is ordered to be. Absolute, so that a second copy of the
// same order changes nothing.
struct EngineTargetState {
  bool draining = false;
  request::EngineRole role = request::EngineRole::kMixed;
  base::ModelName model;
  base::ModelVersion version;
  // Sorted.
  std::vector<std::string> adapters;

  bool operator==(const EngineTargetState&) const = default;
};

// True when only `draining` may differ.
bool SameContent(const EngineTargetState& a,
                 const EngineTargetState& b) noexcept;

enum class EnginePhase { kReady, kChanging, kHalfChanged };
std::string_view ToString(EnginePhase phase) noexcept;

// What an engine says of itself at the moment it answers.
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

// Why an engine took no order; nothing was changed.
enum class OrderRefusal {
  kNone,
  kStaleFence,
  kStaleGeneration,
  kBusy,
  kInFlight,
  // Refused with a word this client does not know.
  kOther,
};
std::string_view ToString(OrderRefusal refusal) noexcept;

struct OrderAnswer {
  // False: see `refusal`; nothing was changed.
  bool accepted = false;
  OrderRefusal refusal = OrderRefusal::kNone;
};

// Why a call gave no answer.
enum class EngineAdminError {
  kNone,
  // No connection: nothing was sent.
  kUnreachable,
  // The sender's check said no: nothing was sent.
  kNotAllowed,
  // The order was handed to the socket and its answer lost; it may take
  // effect now, later or never.
  kAmbiguous,
  // The engine answered with something this client does not understand; an
  // order may have taken effect.
  kBadAnswer,
};
std::string_view ToString(EngineAdminError error) noexcept;

struct EngineEndpoint {
  std::string address;
  int port = 0;
};

// The last check before an order is written. Gets the state that was read on
// the order's own connection. Called on the sender's thread; must not block.
using MaySend = std::function<bool(const EngineState&)>;

// The two calls, as hooks, so that a test needs no socket. Both block for at
// most the timeout they were made with, and may be called from any thread but
// an actor's.
struct EngineAdmin {
  std::function<std::optional<EngineState>(const EngineEndpoint&,
                                           EngineAdminError* last_error)>
      read_state;
  std::function<std::optional<OrderAnswer>(const EngineEndpoint&,
                                           const EngineOrder&,
                                           const MaySend&,
                                           EngineAdminError* last_error)>
      give_order;
};

// Over HTTP. `timeout` bounds connecting, each read and each write.
EngineAdmin MakeHttpEngineAdmin(base::Duration timeout);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_ENGINE_ADMIN_H_
