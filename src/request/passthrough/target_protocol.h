// Hooks for the protocol between callers and targets.
//
// The relay forwards bodies and most headers unchanged. The few headers with
// terms are read and written by these hooks, so that the relay is independent
// of header names.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_TARGET_PROTOCOL_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_TARGET_PROTOCOL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"
#include "connection/event/http_types.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/named_limit.h"
#include "request/passthrough/prompt.h"
#include "request/passthrough/run_evidence.h"

namespace lynxglade::request::passthrough {

// Terms in the head of a caller's request.
struct RequestTerms {
  // Assigned by the caller; a retry by the caller has a new one.
  std::string request_id;
  // How long the caller waits from now, if stated.
  std::optional<base::Duration> timeout;
  Prompt prompt;
  // Output tokens that the caller expects; a rough estimate, unbiased in the
  // median. 0 if not stated.
  std::int64_t expected_tokens = 0;
  // Most output tokens that the caller accepts; 0 if not stated.
  std::int64_t max_tokens = 0;
  // The caller resumes a broken stream after this event; empty: from the start.
  std::string last_event_id;
  // The target that the request is meant for, if its sender named one: an
  // instance that was told that the target is here.
  base::TargetId expected_target;
  // API key, if the request carries one. Secret: must not be logged.
  std::optional<std::string> api_key;
};

// KV cache held by an engine, to be fetched once.
struct KvSource {
  EngineHandle engine;
  std::string handle;
};

// Terms under which a request is sent to one target.
struct SendTerms {
  EngineHandle target;
  // The target stops working after this.
  base::Duration time_left{};
  // 0 is the most urgent.
  int priority = 0;
  // Only prefill; the KV cache is kept for another engine.
  bool prefill_only = false;
  std::optional<KvSource> source;
  // Fetch cached parts of the prompt from this engine first; null: none.
  EngineHandle fetch_from;
  // Resume after this event; empty: from the start.
  std::string last_event_id;
  // The caller's credentials are meant for this process; targets get the
  // organisation instead, empty if there is none.
  bool withhold_credentials = false;
  base::OrganisationId organisation;
};

// Contents of the head of a target's answer.
struct AnswerInfo {
  RunEvidence evidence = RunEvidence::kAnswered;
  // The process that rejected a misdirected request, if it names itself.
  base::TargetId answered_by;
  // Carries the target's proof of origin, and the body is unmodified.
  bool authenticated = false;
  std::optional<ReportedLoad> load;
  LimitStatement limit;
  // Headers that are named like those of the protocol but are not known.
  int unknown_headers = 0;
};

struct TargetProtocol {
  // Nothing, with a reason, if the terms are malformed.
  std::function<std::optional<RequestTerms>(
      const connection::event::RequestHead&,
      std::string* reason)>
      parse_terms;
  // Turns a copy of the caller's head into the one for the target: removes
  // headers reserved to the system and sets them.
  std::function<void(connection::event::RequestHead&, const SendTerms&)>
      rewrite_head;
  std::function<AnswerInfo(const connection::event::ResponseHead&)>
      parse_answer;
  // Whether an answer belongs to the request with that id.
  std::function<bool(const connection::event::ResponseHead&,
                     std::string_view request_id,
                     bool fresh_connection)>
      is_answer_to;
  // The handle in the body of an answer to a prefill-only request.
  std::function<std::optional<std::string>(std::string_view body)> parse_handle;
  // The request that frees KV cache that will not be fetched.
  std::function<connection::event::OutgoingRequest(const KvSource&)>
      free_handle;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_TARGET_PROTOCOL_H_
