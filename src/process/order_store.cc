#include "process/order_store.h"

namespace lynxglade::process {

using connection::KvError;

OrderStore MakeOrderStore(const connection::KeyValue& key_value) {
  const connection::KeyValue* const kv = &key_value;
  OrderStore store;
  store.get = [kv](const std::string& key, KvError* error) {
    return kv->Get(key, error);
  };
  store.list = [kv](const std::string& prefix, KvError* error) {
    return kv->List(prefix, 0, error);
  };
  store.commit = [kv](const auto& guards, const auto& writes, KvError* error) {
    return kv->Commit(guards, writes, error);
  };
  store.grant_lease = [kv](base::Duration ttl, KvError* error) {
    return kv->GrantLease(ttl, error);
  };
  store.keep_alive = [kv](connection::KvLeaseId lease, KvError* error) {
    return kv->KeepAlive(lease, error);
  };
  store.revoke_lease = [kv](connection::KvLeaseId lease, KvError* error) {
    return kv->RevokeLease(lease, error);
  };
  return store;
}

}  // namespace lynxglade::process
