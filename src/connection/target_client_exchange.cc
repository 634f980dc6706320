#include "connection/target_client_exchange.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "base/hash.h"

namespace lynxglade::connection {

namespace {

using base::Outcome;
using nlohmann::json;
using request::AttemptEnd;
using request::AttemptKind;
using request::TargetRefusal;

constexpr char kChatPath[] = "/v1/chat/completions";
constexpr std::string_view kEventStream = "text/event-stream";
// Larger error bodies are not parsed.
constexpr std::size_t kMaxErrorBodyBytes = 64u << 10;
// Bytes per write to the socket.
constexpr std::size_t kWriteChunkBytes = 64u << 10;
// How long to wait for the end of the HTTP message after the stream's end
// marker before closing the connection. The answer is already complete.
constexpr base::Duration kMessageEndTimeout = std::chrono::milliseconds(50);
constexpr std::size_t kMaxMessageBytes = 512;

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

bool IsRefusalStatus(int status) noexcept {
  return (status >= 400 && status < 500) || status == kStatusUnavailable;
}

bool IsGraphic(char c) noexcept {
  return c > ' ' && c != '\x7f';
}

bool IsUpper(char c) noexcept {
  return c >= 'A' && c <= 'Z';
}

// Names of codings are compared without case.
bool IsChunked(std::string_view coding) noexcept {
  return std::ranges::equal(coding, std::string_view("chunked"), {},
                            [](unsigned char c) { return std::tolower(c); });
}

// Statuses whose answers never have a body.
bool HasNoBody(int status) noexcept {
  return status == 204 || status == 304;
}

std::optional<base::Duration> ParseRetryAfter(const json& error,
                                              const std::string& header) {
  const auto it = error.find("retry_after_ms");
  if (it != error.end() && it->is_number_unsigned()) {
    return std::chrono::milliseconds(it->get<std::uint32_t>());
  }
  std::uint32_t seconds = 0;
  const char* end = header.data() + header.size();
  const auto [rest, ec] = std::from_chars(header.data(), end, seconds);
  if (header.empty() || ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

std::optional<std::string> EngineBody(const request::AttemptSpec& spec) {
  const request::Request& request = *spec.request;
  std::optional<json> parsed = base::ParseBoundedJson(request.body);
  if (!parsed || !parsed->is_object()) {
    return std::nullopt;
  }
  json& body = *parsed;
  body["stream"] = true;
  body["stream_options"] = {{"include_usage", true}};
  body["priority"] = request.priority.value();
  if (spec.resume_from.value() > 0) {
    body["resume_from"] = spec.resume_from.value();
  }
  if (request.prefix_hash != 0) {
    body["prefix_hint"] = base::ToHex(request.prefix_hash);
  }
  if (spec.kind == AttemptKind::kPrefill) {
    body["max_tokens"] = 1;
    body["kv_transfer_params"] = {{"do_remote_decode", true}};
  } else if (!spec.kv_transfer_params.empty()) {
    body["kv_transfer_params"] =
        json::parse(spec.kv_transfer_params, nullptr, false);
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool IsSendable(const request::Request& request) noexcept {
  return !request.method.empty() &&
         std::ranges::all_of(request.method, IsUpper) &&
         request.path.starts_with('/') &&
         std::ranges::all_of(request.path, IsGraphic) &&
         std::ranges::none_of(request.content_type, [](char c) {
           return c == '\r' || c == '\n' || c == '\0';
         });
}

TargetExchange::TargetExchange(const request::AttemptSpec& spec,
                               const request::TokenSink& sink,
                               std::string body,
                               const base::Clock& clock,
                               std::size_t max_plain_body)
    : spec_(spec),
      body_(std::move(body)),
      clock_(clock),
      started_(clock()),
      max_plain_body_(max_plain_body),
      stream_(spec.id, spec.resume_from, counted_sink_) {
  counted_sink_.on_token = [this, &sink](const request::TokenChunk& chunk) {
    if (!report_.first_token) {
      report_.first_token = clock_() - started_;
    }
    return sink.on_token(chunk);
  };
}

request::AttemptReport TargetExchange::Perform(TargetConnection& client,
                                               WatchedAttempt& watch) {
  httplib::Request request = MakeRequest(watch);
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool sent = client.send(request, response, error);
  // From here on, the watch no longer closes the connection.
  watch.Disarm();
  // The HTTP library does not call the response handler if there is no body.
  if (sent && phase_ != Phase::kAnswering) {
    HandleHead(response, watch);
  }
  cut_ = chunked_ && !client.ended_with_empty_line();
  Classify(sent ? httplib::Error::Success : error, watch.reason());
  connection_clean_ = sent && !cut_ && report_.end != AttemptEnd::kCrossed &&
                      watch.reason() == StopReason::kNone;
  report_.tokens = stream_.tokens();
  return std::move(report_);
}

httplib::Request TargetExchange::MakeRequest(WatchedAttempt& watch) {
  const request::Request& from = *spec_.request;
  httplib::Request request;
  request.method = IsPlain() ? from.method : "POST";
  request.path = IsPlain() ? from.path : kChatPath;
  request.set_header("X-Request-Id", from.id.str());
  request.set_header("X-Attempt-Id", spec_.id.str());
  const std::string type = IsPlain() ? from.content_type : "application/json";
  if (!type.empty()) {
    request.set_header("Content-Type", type);
  }
  // The body is sent by a content provider: its first call is the last point at
  // which the attempt can still be abandoned as not run.
  request.content_length_ = body_.size();
  request.content_provider_ = [this, &watch](std::size_t offset,
                                             std::size_t size,
                                             httplib::DataSink& out) {
    return WriteBody(offset, size, out, watch);
  };
  request.response_handler = [this, &watch](const httplib::Response& head) {
    return HandleHead(head, watch);
  };
  request.content_receiver = [this, &watch](const char* data, std::size_t size,
                                            std::uint64_t, std::uint64_t) {
    return HandleBytes(std::string_view(data, size), watch);
  };
  return request;
}

bool TargetExchange::WriteBody(std::size_t offset,
                               std::size_t size,
                               httplib::DataSink& out,
                               WatchedAttempt& watch) {
  if (phase_ == Phase::kConnecting) {
    const base::Time now = clock_();
    // The process may have been suspended since the attempt started.
    const base::Duration limit = spec_.start_timeout > base::Duration::zero()
                                     ? spec_.start_timeout
                                     : spec_.timeout;
    overdue_ = now - started_ >= limit;
    if (overdue_) {
      return false;
    }
    watch.Arm(now);
    phase_ = Phase::kWriting;
  }
  const std::size_t n = std::min(size, kWriteChunkBytes);
  if (!out.write(body_.data() + offset, n)) {
    return false;
  }
  if (offset + n == body_.size()) {
    phase_ = Phase::kWritten;
  }
  return true;
}

bool TargetExchange::HandleHead(const httplib::Response& head,
                                WatchedAttempt& watch) {
  // A request without a body has not been armed by WriteBody().
  watch.Arm(clock_());
  phase_ = Phase::kAnswering;
  status_ = head.status;
  content_type_ = head.get_header_value("Content-Type");
  retry_after_ = head.get_header_value("Retry-After");
  report_.load_json = head.get_header_value("X-Engine-Load");
  chunked_ = IsChunked(head.get_header_value("Transfer-Encoding"));
  length_known_ =
      head.has_header("Content-Length") || HasNoBody(status_) || chunked_;
  const std::string echo = head.get_header_value("X-Attempt-Id");
  crossed_ = !echo.empty() && echo != spec_.id.str();
  return !crossed_;
}

bool TargetExchange::HandleBytes(std::string_view bytes,
                                 WatchedAttempt& watch) {
  watch.Touch(clock_());
  if (IsStreaming()) {
    const bool more = stream_.Feed(bytes);
    if (stream_.state() == EngineStream::State::kEnded) {
      watch.ShortenDeadline(clock_() + kMessageEndTimeout);
    }
    return more;
  }
  const std::size_t bound = IsPlain()
                                ? max_plain_body_
                                : std::min(kMaxErrorBodyBytes, max_plain_body_);
  body_too_large_ = answer_.size() + bytes.size() > bound;
  if (!body_too_large_) {
    answer_ += bytes;
  }
  return !body_too_large_;
}

bool TargetExchange::IsPlain() const noexcept {
  return spec_.role == request::EngineRole::kPlain;
}

bool TargetExchange::IsStreaming() const noexcept {
  return !IsPlain() && status_ == kStatusOk &&
         content_type_.starts_with(kEventStream);
}

void TargetExchange::Classify(httplib::Error error, StopReason stopped) {
  const bool complete = error == httplib::Error::Success;
  if (phase_ == Phase::kAnswering) {
    if (crossed_) {
      End(AttemptEnd::kCrossed, Outcome::kUnknown);
    } else if (IsStreaming()) {
      ClassifyStream(complete, stopped);
    } else {
      ClassifyBody(complete, stopped);
    }
    return;
  }
  if (phase_ == Phase::kConnecting) {
    ClassifyUnsent(error, stopped);
    return;
  }
  if (stopped != StopReason::kNone) {
    ClassifyBroken(stopped);
  } else if (phase_ == Phase::kWriting) {
    End(AttemptEnd::kSendFailed, Outcome::kUnknown);
  } else {
    End(AttemptEnd::kReset, Outcome::kUnknown);
  }
}

void TargetExchange::ClassifyUnsent(httplib::Error error, StopReason stopped) {
  const bool connect_failed = error == httplib::Error::Connection ||
                              error == httplib::Error::ConnectionTimeout ||
                              error == httplib::Error::BindIPAddress;
  if (connect_failed) {
    End(AttemptEnd::kConnectFailed, Outcome::kNotRun);
    return;
  }
  if (overdue_) {
    End(AttemptEnd::kTimeout, Outcome::kNotRun);
    return;
  }
  if (!body_.empty()) {
    // The head may have been sent, but none of the body.
    End(AttemptEnd::kSendFailed, Outcome::kNotRun);
    return;
  }
  // Without a body, the head is the complete request and may have been sent.
  const base::Duration limit = spec_.idle_timeout > base::Duration::zero()
                                   ? std::min(spec_.timeout, spec_.idle_timeout)
                                   : spec_.timeout;
  const bool timed_out = clock_() - started_ >= limit;
  End(timed_out ? AttemptEnd::kTimeout : AttemptEnd::kReset, Outcome::kUnknown);
}

void TargetExchange::ClassifyStream(bool complete, StopReason stopped) {
  report_.message = stream_.message();
  const Outcome so_far = stream_.started() ? Outcome::kRan : Outcome::kUnknown;
  switch (stream_.state()) {
    case EngineStream::State::kEnded:
      if (!stream_.IsComplete()) {
        report_.message =
            "finish reason or usage missing, or token count differs from usage";
        End(AttemptEnd::kBadAnswer, so_far);
        return;
      }
      report_.finish_reason = stream_.finish_reason();
      report_.usage = *stream_.usage();
      report_.kv_transfer_params = stream_.kv_transfer_params();
      End(AttemptEnd::kWhole, Outcome::kRan);
      return;
    case EngineStream::State::kCrossed:
      End(AttemptEnd::kCrossed, so_far);
      return;
    case EngineStream::State::kBad:
      End(AttemptEnd::kBadAnswer, so_far);
      return;
    case EngineStream::State::kSinkClosed:
      End(AttemptEnd::kCancelledByCaller, so_far);
      return;
    case EngineStream::State::kOpen:
      break;
  }
  if (stopped != StopReason::kNone) {
    ClassifyBroken(stopped);
    report_.outcome = so_far;
    return;
  }
  if (complete) {
    report_.message = "stream ended without its end marker";
  }
  End(AttemptEnd::kTruncated, so_far);
}

void TargetExchange::ClassifyBody(bool complete, StopReason stopped) {
  if (stopped != StopReason::kNone) {
    ClassifyBroken(stopped);
    return;
  }
  if (body_too_large_) {
    report_.message = "answer body too large";
    End(AttemptEnd::kBadAnswer, IsPlain() ? Outcome::kRan : Outcome::kUnknown);
    return;
  }
  const bool whole = complete && length_known_ && !cut_;
  if (whole && IsRefusalStatus(status_) && ParseRefusal()) {
    End(AttemptEnd::kRefused, Outcome::kNotRun);
    return;
  }
  if (!IsPlain()) {
    report_.message = "status " + std::to_string(status_);
    End(whole ? AttemptEnd::kBadAnswer : AttemptEnd::kTruncated,
        Outcome::kUnknown);
    return;
  }
  if (!whole) {
    End(AttemptEnd::kTruncated, Outcome::kRan);
    return;
  }
  report_.plain = request::PlainAnswer{.status = status_,
                                       .content_type = content_type_,
                                       .body = std::move(answer_)};
  End(AttemptEnd::kWhole, Outcome::kRan);
}

void TargetExchange::ClassifyBroken(StopReason stopped) {
  End(stopped == StopReason::kCancelled ? AttemptEnd::kCancelledByCaller
                                        : AttemptEnd::kTimeout,
      Outcome::kUnknown);
}

bool TargetExchange::ParseRefusal() {
  const std::optional<json> body = base::ParseBoundedJson(answer_);
  if (!body || !body->is_object() || !body->contains("error") ||
      !(*body)["error"].is_object()) {
    return false;
  }
  const json& error = (*body)["error"];
  const auto outcome = error.find("outcome");
  if (outcome == error.end() || *outcome != base::ToString(Outcome::kNotRun)) {
    return false;
  }
  const auto code = error.find("code");
  const bool has_code = code != error.end() && code->is_string();
  report_.refusal =
      has_code
          ? request::ParseTargetRefusal(code->get_ref<const std::string&>())
          : TargetRefusal::kOther;
  const auto message = error.find("message");
  if (message != error.end() && message->is_string()) {
    report_.target_message =
        message->get<std::string>().substr(0, kMaxMessageBytes);
  }
  report_.retry_after = ParseRetryAfter(error, retry_after_);
  return true;
}

void TargetExchange::End(AttemptEnd end, Outcome outcome) {
  report_.end = end;
  report_.outcome = outcome;
}

}  // namespace lynxglade::connection
