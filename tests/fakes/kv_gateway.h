// The etcd v3 JSON gateway on top of a KvStore: maps request bodies to response
// bodies.
#ifndef LYNXGLADE_FAKES_KV_GATEWAY_H_
#define LYNXGLADE_FAKES_KV_GATEWAY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "base/time.h"
#include "connection/key_value.h"
#include "fakes/kv_store.h"

namespace lynxglade::fakes {

// Whether a call counts as a write or as a read.
enum class KvCallKind { kRead, kWrite, kUnknown };
KvCallKind KindOf(std::string_view path, const nlohmann::json& body);

// Runs one call, other than a watch, against the store.
connection::KvAnswer RunKvCall(std::string_view path,
                               const nlohmann::json& body,
                               base::Time now,
                               KvStore& store);

// An error in the format of the gateway.
connection::KvAnswer KvErrorAnswer(int status,
                                   int grpc_code,
                                   const std::string& message);

// A parsed watch request.
struct KvWatchRequest {
  KvSpan span;
  // 0: start from the next change.
  base::Revision start;
  bool progress = false;
};
KvWatchRequest ParseWatch(const nlohmann::json& body);

// One line of a watch response, including its newline.
std::string WatchCreatedLine(base::Revision revision);
std::string WatchProgressLine(base::Revision revision);
std::string WatchCompactedLine(base::Revision revision, base::Revision oldest);
// `events` is a list of objects made by WatchEvent().
std::string WatchEventsLine(base::Revision revision, nlohmann::json events);
nlohmann::json WatchEvent(const KvChange& change);

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_KV_GATEWAY_H_
