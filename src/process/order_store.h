// The calls of the key-value service that orders use, as callbacks, and the
// types by which a single-threaded owner runs blocking calls on other threads.
#ifndef LYNXGLADE_PROCESS_ORDER_STORE_H_
#define LYNXGLADE_PROCESS_ORDER_STORE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "connection/key_value.h"

namespace lynxglade::process {

// Same calls, semantics and errors as connection::KeyValue.
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

// Runs on the owner's thread after a blocking call has returned.
using Completion = std::function<void()>;
// A blocking call. It must use only copies of its owner's data.
using BlockingCall = std::function<Completion()>;
// Runs the call on another thread and its completion on the owner's thread.
using CallRunner = std::function<void(BlockingCall)>;

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_STORE_H_
