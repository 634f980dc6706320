// What the relay has to know of the protocol that callers and targets speak.
//
// The relay passes bodies and most headers on as they are. The few headers
// that carry terms are read and written by these hooks, so that the relay
// knows no header's name.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_TARGET_PROTOCOL_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_TARGET_PROTOCOL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/outcome.h"
#include "base/time.h"
#include "connection/event/http_types.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/prompt.h"

namespace lynxglade::request::passthrough {

// The terms in a caller's head.
struct RequestTerms {
  // The caller's name for this request; a repeat by the caller has a new one.
  std::string request_id;
  // How long the caller will wait from now, if it says so.
  std::optional<base::Duration> timeout;
  Prompt prompt;
  // Output tokens that the caller expects, right at the median and often far
  // off; 0 if it does not say.
  std::int64_t expected_tokens = 0;
  // Output tokens that the caller takes at most; 0 if it does not say.
  std::int64_t max_tokens = 0;
  // The caller goes on after this event of a broken stream; empty: from the
  // start.
  std::string last_event_id;
};

// KV cache that waits at an engine to be fetched once.
struct KvSource {
  EngineHandle engine;
  std::string handle;
};

// The terms under which a request goes to one target.
struct SendTerms {
  EngineHandle target;
  // A target stops working when this has passed.
  base::Duration time_left{};
  // 0 is the most urgent.
  int priority = 0;
  // Only the prompt is read; the KV cache waits for another engine.
  bool prefill_only = false;
  std::optional<KvSource> source;
  // Fetch what is cached there of the prompt's parts first; null: nothing.
  EngineHandle fetch_from;
  // Go on after this event; empty: from the start.
  std::string last_event_id;
};

// What the head of a target's answer says.
struct AnswerInfo {
  // kNotRun if the target says that it did not run the request.
  base::Outcome outcome = base::Outcome::kRan;
  // Another target has this address.
  bool misdirected = false;
  // It carries the target's proof of origin, and the body is as the target
  // made it.
  bool authenticated = false;
  std::optional<ReportedLoad> load;
};

struct TargetProtocol {
  // Nothing, with a reason, if a head's terms cannot be read.
  std::function<std::optional<RequestTerms>(
      const connection::event::RequestHead&,
      std::string* reason)>
      parse_terms;
  // Turns a copy of the caller's head into the target's: takes out what is
  // the system's to set, and sets it.
  std::function<void(connection::event::RequestHead&, const SendTerms&)>
      rewrite_head;
  std::function<AnswerInfo(const connection::event::ResponseHead&)>
      parse_answer;
  // Whether an answer belongs to the request with that id.
  std::function<bool(const connection::event::ResponseHead&,
                     std::string_view request_id,
                     bool fresh_connection)>
      is_answer_to;
  // The handle in the body of an answer to a read-only request.
  std::function<std::optional<std::string>(std::string_view body)> parse_handle;
  // The request that frees KV cache that nobody will fetch.
  std::function<connection::event::OutgoingRequest(const KvSource&)>
      free_handle;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_TARGET_PROTOCOL_H_
