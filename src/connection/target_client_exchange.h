// One HTTP exchange of an attempt and its outcome. Private to TargetClient;
// exposes HTTP library types, so it is included from .cc files only.
#ifndef LYNXGLADE_CONNECTION_TARGET_CLIENT_EXCHANGE_H_
#define LYNXGLADE_CONNECTION_TARGET_CLIENT_EXCHANGE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <httplib.h>

#include "base/time.h"
#include "connection/target_client_stream.h"
#include "connection/target_client_watch.h"
#include "connection/target_connection.h"
#include "request/attempt.h"

namespace lynxglade::connection {

// Builds the body sent to an engine: the request body plus the fields of the
// attempt. Returns nullopt if the request body is not a JSON object.
std::optional<std::string> EngineBody(const request::AttemptSpec& spec);

// Whether method, path and content type can be sent without escaping.
bool IsSendable(const request::Request& request) noexcept;

// Carries one attempt; used by one thread.
class TargetExchange {
 public:
  // `spec`, `sink` and `clock` must outlive this object.
  TargetExchange(const request::AttemptSpec& spec,
                 const request::TokenSink& sink,
                 std::string body,
                 const base::Clock& clock,
                 std::size_t max_plain_body);
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;

  // Sends the request and reads the answer until it is complete or fails. Call
  // once, with a `watch` of this exchange only.
  request::AttemptReport Perform(TargetConnection& client,
                                 WatchedAttempt& watch);

  // Whether the connection may be reused for another request.
  bool connection_clean() const noexcept { return connection_clean_; }

 private:
  enum class Phase { kConnecting, kWriting, kWritten, kAnswering };

  httplib::Request MakeRequest(WatchedAttempt& watch);
  bool WriteBody(std::size_t offset,
                 std::size_t size,
                 httplib::DataSink& out,
                 WatchedAttempt& watch);
  bool HandleHead(const httplib::Response& head, WatchedAttempt& watch);
  bool HandleBytes(std::string_view bytes, WatchedAttempt& watch);
  bool IsPlain() const noexcept;
  bool IsStreaming() const noexcept;

  void Classify(httplib::Error error, StopReason stopped);
  void ClassifyUnsent(httplib::Error error, StopReason stopped);
  void ClassifyStream(bool complete, StopReason stopped);
  void ClassifyBody(bool complete, StopReason stopped);
  void ClassifyBroken(StopReason stopped);
  // Returns true if the body is an error with outcome "not_run".
  bool ParseRefusal();
  void End(request::AttemptEnd end, base::Outcome outcome);

  const request::AttemptSpec& spec_;
  const std::string body_;
  const base::Clock& clock_;
  const base::Time started_;
  const std::size_t max_plain_body_;
  request::TokenSink counted_sink_;
  EngineStream stream_;

  Phase phase_ = Phase::kConnecting;
  bool overdue_ = false;
  bool crossed_ = false;
  bool body_too_large_ = false;
  bool length_known_ = false;
  bool chunked_ = false;
  // A chunked body, without its end.
  bool cut_ = false;
  int status_ = 0;
  std::string content_type_;
  std::string retry_after_;
  // Body of an answer that is not an event stream.
  std::string answer_;
  bool connection_clean_ = false;
  request::AttemptReport report_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_TARGET_CLIENT_EXCHANGE_H_
