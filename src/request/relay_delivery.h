// Hands an answer's tokens to the caller, each once and in order, whatever
// attempts they come from.
#ifndef LYNXGLADE_REQUEST_RELAY_DELIVERY_H_
#define LYNXGLADE_REQUEST_RELAY_DELIVERY_H_

#include <atomic>
#include <cstddef>
#include <optional>
#include <string>

#include "base/time.h"
#include "base/units.h"
#include "request/attempt.h"
#include "request/relay.h"
#include "request/request.h"

namespace lynxglade::request {

// The caller's side of one request. Used by the thread that serves it, except
// CallerGone(), which is thread-safe as far as the caller's hook is.
class RelayDelivery {
 public:
  // What Accept() made of a chunk.
  enum class Verdict {
    kTaken,
    // The chunk leaves a gap or cuts a chunk that was delivered: it is not
    // part of this answer.
    kMisfit,
    kCallerGone,
  };

  // All outlive this object.
  RelayDelivery(const Request& request,
                const CallerSink& sink,
                const base::Clock& now,
                std::size_t max_recorded_bytes);
  RelayDelivery(const RelayDelivery&) = delete;
  RelayDelivery& operator=(const RelayDelivery&) = delete;

  // Passes on a chunk, or drops it when all of it was delivered before. A
  // request that cannot be repeated is never ended by its caller's leaving.
  Verdict Accept(const TokenChunk& chunk);

  // True once the caller refused a chunk or its connection closed.
  bool CallerGone() const;

  // Tokens of the answer so far: where a resumed stream goes on.
  base::Tokens offset() const noexcept { return offset_; }
  // Tokens passed to the caller's on_token.
  base::Tokens streamed() const noexcept { return streamed_; }
  // From the request's arrival to its first token.
  std::optional<base::Duration> first_token() const noexcept {
    return first_token_;
  }
  // The text gathered; empty when it is streamed and not to be recorded.
  std::string TakeText() noexcept;
  // Whether the answer (with its text taken) is complete and small enough to
  // be recorded with a claim.
  bool MayRecord(const Answer& answer) const noexcept;

 private:
  // False when the caller has gone.
  bool Stream(const TokenChunk& chunk);
  void Gather(std::string_view text);

  const Request& request_;
  const CallerSink& sink_;
  const base::Clock& now_;
  const std::size_t max_recorded_bytes_;

  std::string text_;
  bool text_too_long_ = false;
  base::Tokens offset_{0};
  base::Tokens streamed_{0};
  std::optional<base::Duration> first_token_;
  // Read by the thread that watches attempts.
  std::atomic<bool> refused_by_caller_{false};
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_RELAY_DELIVERY_H_
