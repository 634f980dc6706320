#include "process/order_store.h"

namespace lynxglade::process {

using connection::KvError;

OrderStore MakeOrderStore(const connection::KeyValue& key_value) {
  const connection::KeyValue* const kv = &key_value;
  OrderStore store;
  store.get = [kv](const std::string& key, KvError* last_error) {
    return kv->Get(key, last_error);
  };
  store.list = [kv](const std::string& prefix, KvError* last_error) {
    return kv->List(prefix, 0, last_error);
  };
  store.commit = [kv](const auto& guards, const auto& writes,
                      KvError* last_error) {
    return kv->Commit(guards, writes, last_error);
  };
  store.grant_lease = [kv](base::Duration ttl, KvError* last_error) {
    return kv->GrantLease(ttl, last_error);
  };
  store.keep_alive = [kv](connection::KvLeaseId lease, KvError* last_error) {
    return kv->KeepAlive(lease, last_error);
  };
  store.revoke_lease = [kv](connection::KvLeaseId lease, KvError* last_error) {
    return kv->RevokeLease(lease, last_error);
  };
  return store;
}

}  // namespace lynxglade::process
