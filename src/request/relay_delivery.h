// Delivers the tokens of an answer to the caller, each once and in order, even
// if they come from several attempts.
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

// The delivery of one request's answer. Not thread-safe, except
// CallerDisconnected() if CallerSink::disconnected is.
class RelayDelivery {
 public:
  // Result of Accept().
  enum class AcceptResult {
    kAccepted,
    // The chunk leaves a gap or partially overlaps what was delivered.
    kOutOfSequence,
    kCallerDisconnected,
  };

  // The references must outlive this object.
  RelayDelivery(const Request& request,
                const CallerSink& sink,
                const base::Clock& now,
                std::size_t max_recorded_bytes);
  RelayDelivery(const RelayDelivery&) = delete;
  RelayDelivery& operator=(const RelayDelivery&) = delete;

  // Delivers a chunk, or drops it if all of it was delivered before. Returns
  // kCallerDisconnected for idempotent requests only; others run to their end.
  AcceptResult Accept(const TokenChunk& chunk);

  // Whether the caller rejected a chunk or its connection closed.
  bool CallerDisconnected() const;

  // Number of tokens accepted: the offset from which an answer is resumed.
  base::Tokens offset() const noexcept { return offset_; }
  // Number of tokens passed to the caller's on_token.
  base::Tokens streamed() const noexcept { return streamed_; }
  // From the request's arrival to its first token.
  std::optional<base::Duration> first_token() const noexcept {
    return first_token_;
  }
  // Returns the text of the answer; empty if it was streamed and will not be
  // recorded.
  std::string TakeText() noexcept;
  // Whether `answer`, which holds the text from TakeText(), is small enough to
  // be recorded with a claim.
  bool MayRecord(const Answer& answer) const noexcept;

 private:
  // Returns false if the caller disconnected.
  bool Stream(const TokenChunk& chunk);
  void AppendText(std::string_view text);

  const Request& request_;
  const CallerSink& sink_;
  const base::Clock& now_;
  const std::size_t max_recorded_bytes_;

  std::string text_;
  bool text_too_long_ = false;
  base::Tokens offset_{0};
  base::Tokens streamed_{0};
  std::optional<base::Duration> first_token_;
  // Also read by the thread that polls TokenSink::cancelled.
  std::atomic<bool> rejected_by_caller_{false};
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_RELAY_DELIVERY_H_
