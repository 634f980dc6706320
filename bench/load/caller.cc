#include "load/caller.h"

#include <charconv>
#include <chrono>
#include <system_error>

#include <httplib.h>

#include "load/answer_check.h"

namespace lynxglade::bench {

namespace {

constexpr int kOk = 200;

double SecondsBetween(base::Time from, base::Time to) {
  return std::chrono::duration<double>(to - from).count();
}

httplib::Headers MakeHeaders(const TraceItem& item) {
  httplib::Headers headers = {
      {"X-Contract", item.contract.str()},
      {"X-Request-Id", item.id.str()},
      {"X-Worth", std::to_string(item.worth.value())},
      {"X-Deadline-Ms", std::to_string(base::ToMillis(item.deadline))},
      {"X-Priority", std::to_string(item.priority)},
      {"Content-Type", "application/json"}};
  if (item.non_idempotent) {
    headers.emplace("X-Non-Idempotent", "true");
    headers.emplace("Idempotency-Key", "key-" + item.id.str());
  }
  return headers;
}

std::string PathOf(const Workload& workload, const TraceItem& item) {
  return item.kind == CallKind::kChat
             ? "/v1/chat/completions"
             : "/services/" + workload.plain_service.str() + "/" +
                   workload.plain_path;
}

Verdict EvaluateComplete(const TraceItem& item, double last_byte_s) {
  const double deadline_s =
      std::chrono::duration<double>(item.deadline).count();
  return last_byte_s <= deadline_s ? Verdict::kDelivered : Verdict::kLate;
}

void ApplyError(const ErrorBody& error, CallResult* result) {
  result->code = error.code.empty() ? "no_code" : error.code;
  result->outcome = error.outcome;
  result->has_retry_after = error.retry_after_ms >= 0;
}

void EvaluateStream(const TraceItem& item,
                    const StreamCheck& check,
                    base::Time due,
                    CallResult* result) {
  if (check.has_tokens()) {
    result->first_token_s = SecondsBetween(due, check.first_token());
  }
  result->gaps_s = check.gaps();
  result->counted = check.counted();
  if (check.broken()) {
    result->verdict = Verdict::kBroken;
    result->code = "token_order";
  } else if (check.whole()) {
    result->verdict = EvaluateComplete(item, result->last_byte_s);
    result->outcome = "ran";
  } else {
    result->verdict = Verdict::kCut;
    result->code = check.error_code().empty() ? std::string(check.Missing())
                                              : check.error_code();
    result->outcome = check.error_outcome();
  }
}

// Whether the response echoes the id of this request or none.
bool IsOwnAnswer(const httplib::Response& response, const TraceItem& item) {
  return !response.has_header("X-Request-Id") ||
         response.get_header_value("X-Request-Id") == item.id.str();
}

}  // namespace

bool ParseEndpoint(std::string_view text, Endpoint* endpoint) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  endpoint->address = std::string(text.substr(0, colon));
  const char* last = text.data() + text.size();
  const auto [end, ec] =
      std::from_chars(text.data() + colon + 1, last, endpoint->port);
  return ec == std::errc() && end == last && endpoint->port > 0;
}

std::string_view ToString(Verdict verdict) noexcept {
  switch (verdict) {
    case Verdict::kDelivered:
      return "delivered";
    case Verdict::kLate:
      return "late";
    case Verdict::kRefused:
      return "refused";
    case Verdict::kCut:
      return "cut";
    case Verdict::kBroken:
      return "broken";
    case Verdict::kLost:
      break;
  }
  return "lost";
}

CallResult Call(const Endpoint& endpoint,
                const Workload& workload,
                const TraceItem& item,
                const std::string& body,
                base::Time due,
                base::Duration grace_period) {
  httplib::Client client(endpoint.address, endpoint.port);
  client.set_tcp_nodelay(true);
  client.set_keep_alive(false);
  client.set_connection_timeout(std::chrono::seconds(5));
  client.set_read_timeout(item.deadline + grace_period);

  httplib::Request request;
  request.method = "POST";
  request.path = PathOf(workload, item);
  request.headers = MakeHeaders(item);
  request.body = body;
  StreamCheck check;
  std::string whole;
  bool is_stream = false;
  request.response_handler = [&](const httplib::Response& response) {
    is_stream = response.get_header_value("Content-Type")
                    .starts_with("text/event-stream");
    return true;
  };
  request.content_receiver = [&](const char* data, std::size_t n, std::uint64_t,
                                 std::uint64_t) {
    if (is_stream) {
      check.Feed({data, n}, base::BootClock::now());
    } else {
      whole.append(data, n);
    }
    return true;
  };

  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const base::Time sent = base::BootClock::now();
  const bool ended = client.send(request, response, error);
  CallResult result;
  result.last_byte_s = SecondsBetween(due, base::BootClock::now());
  result.status = response.status > 0 ? response.status : 0;
  if (is_stream && result.status == kOk) {
    EvaluateStream(item, check, due, &result);
  } else if (!ended) {
    // cpp-httplib reports a timeout and a broken connection with the same
    // error.
    const bool timed_out =
        error == httplib::Error::Read &&
        base::BootClock::now() - sent >= item.deadline + grace_period;
    result.code = timed_out ? "gave_up_waiting" : httplib::to_string(error);
    result.verdict = whole.empty() ? Verdict::kLost : Verdict::kCut;
  } else if (result.status != kOk) {
    result.verdict = Verdict::kRefused;
    ApplyError(ReadErrorBody(whole), &result);
  } else if (item.kind == CallKind::kChat && !IsWholeAnswer(whole)) {
    result.verdict = Verdict::kCut;
    result.code = "not_whole";
  } else {
    result.verdict = EvaluateComplete(item, result.last_byte_s);
    result.outcome = "ran";
  }
  if (result.status == kOk && !IsOwnAnswer(response, item)) {
    result.verdict = Verdict::kBroken;
    result.code = "crossed_answer";
  }
  return result;
}

}  // namespace lynxglade::bench
