// The store as one instance sees it: some values are others than in the store.
#ifndef LYNXGLADE_SYSTEM_STORE_VIEW_H_
#define LYNXGLADE_SYSTEM_STORE_VIEW_H_

#include <functional>
#include <string>

#include "connection/scripted_server.h"
#include "system/scripted_store.h"

namespace lynxglade::system_test {

// Thread-safe. Listens on a port of its own; the store must outlive it.
class StoreView {
 public:
  // Returns what the instance sees for a key with that value.
  using Rewrite = std::function<std::string(const std::string& key,
                                            const std::string& value)>;

  StoreView(ScriptedStore& store, Rewrite rewrite);
  StoreView(const StoreView&) = delete;
  StoreView& operator=(const StoreView&) = delete;

  int port() const noexcept { return server_.port(); }

 private:
  connection::ScriptedServer::Reply Answer(const std::string& request) const;

  ScriptedStore& store_;
  const Rewrite rewrite_;
  // Declared last: its threads use the other members.
  connection::ScriptedServer server_;
};

// The view of an instance that has links of its own to targets: for each target
// id of the service "s" the port to connect to.
StoreView::Rewrite WithPorts(std::function<int(const std::string& id)> port);

}  // namespace lynxglade::system_test

#endif  // LYNXGLADE_SYSTEM_STORE_VIEW_H_
