// What orders need of the key-value service, as hooks, and how blocking calls
// leave and re-enter a single-threaded owner.
#ifndef LYNXGLADE_PROCESS_ORDER_STORE_H_
#define LYNXGLADE_PROCESS_ORDER_STORE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "connection/key_value.h"

namespace lynxglade::process {

// The calls of connection::KeyValue, with its meaning and errors.
struct OrderStore {
  std::function<std::optional<connection::KvRange>(const std::string& key,
                                                   connection::KvError*)>
      get;
  std::function<std::optional<connection::KvRange>(const std::string& prefix,
                                                   connection::KvError*)>
      list;
  std::function<std::optional<connection::KvTxnResult>(
      const std::vector<connection::KvGuard>&,
      const std::vector<connection::KvWrite>&,
      connection::KvError*)>
      commit;
  std::function<std::optional<connection::KvLeaseId>(base::Duration ttl,
                                                     connection::KvError*)>
      grant_lease;
  std::function<std::optional<base::Duration>(connection::KvLeaseId,
                                              connection::KvError*)>
      keep_alive;
  std::function<bool(connection::KvLeaseId, connection::KvError*)> revoke_lease;
};

// `key_value` must outlive the result.
OrderStore MakeOrderStore(const connection::KeyValue& key_value);

// The part of a blocking call that its owner runs when the call is back.
using Completion = std::function<void()>;
// A blocking call; it must touch nothing of its owner but what it copied.
using BlockingCall = std::function<Completion()>;
// Makes the call on another thread and hands its completion to the owner's.
using CallRunner = std::function<void(BlockingCall)>;

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_STORE_H_
