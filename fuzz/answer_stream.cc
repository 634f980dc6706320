// Body of a target's answer with a stream of events, as the relay reads it from
// a connection: the verdict does not depend on how the bytes are split, and
// only an answer whose message and last event have ended is whole. The first
// byte determines what delimits the body, the second one the size of the
// pieces.
#include <algorithm>
#include <array>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "connection/event/body_framing.h"
#include "fuzz/check.h"
#include "request/passthrough/answer_end.h"
#include "request/passthrough/event_splitter.h"
#include "tests/connection/answer_text.h"

namespace {

using namespace lynxglade;
using request::passthrough::AnswerEnd;
using request::passthrough::EventSplitter;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;
using Parser = http::response_parser<http::buffer_body>;

constexpr std::size_t kMaxHeldBytes = 1024;

struct Verdict {
  AnswerEnd end = AnswerEnd::kOpen;
  std::string forwarded;

  bool operator==(const Verdict&) const = default;
};

class Reader {
 public:
  void Feed(std::string_view bytes) {
    buffer_.commit(
        asio::buffer_copy(buffer_.prepare(bytes.size()), asio::buffer(bytes)));
    while (!ec_ && !parser_.is_done() && ParseSome()) {
    }
  }
  Verdict EndConnection() {
    if (!ec_ && !parser_.is_done()) {
      parser_.put_eof(ec_);
    }
    verdict_.end = AnswerEnd::kMessageCut;
    if (!ec_ && parser_.is_done()) {
      verdict_.end =
          EndOfEvents(connection::event::FramingOf(parser_), events_);
    }
    if (verdict_.end == AnswerEnd::kWhole) {
      verdict_.forwarded += events_.Finish().substr(released_);
    }
    return verdict_;
  }

 private:
  // Returns false if more bytes are needed.
  bool ParseSome() {
    auto& body = parser_.get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    const std::size_t n = parser_.put(buffer_.data(), ec_);
    buffer_.consume(n);
    const std::size_t read = piece_.size() - body.size;
    if (read > 0) {
      const std::string_view events =
          events_.Feed(std::string_view(piece_.data(), read));
      released_ = events.size();
      verdict_.forwarded += events;
    }
    if (ec_ == http::error::need_more) {
      ec_ = {};
      return false;
    }
    if (ec_ == http::error::need_buffer) {
      ec_ = {};
    }
    return n > 0 && buffer_.size() > 0;
  }

  Parser parser_;
  boost::beast::flat_buffer buffer_;
  std::array<char, 64> piece_{};
  ErrorCode ec_;
  EventSplitter events_{kMaxHeldBytes};
  // Size of what the last Feed() returned.
  std::size_t released_ = 0;
  Verdict verdict_;
};

Verdict Read(std::string_view wire, std::size_t piece) {
  Reader reader;
  while (!wire.empty()) {
    reader.Feed(wire.substr(0, piece));
    wire.remove_prefix(std::min(piece, wire.size()));
  }
  return reader.EndConnection();
}

// Whether the text ends inside an event, read line by line.
bool EndsInsideEvent(std::string text) {
  if (text.starts_with("\xEF\xBB\xBF")) {
    text.erase(0, 3);
  }
  bool inside = false;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end =
        std::min(text.find_first_of("\r\n", begin), text.size());
    if (end > begin) {
      inside = inside || text[begin] != ':';
    } else {
      inside = false;
    }
    begin = end + (text.compare(end, 2, "\r\n") == 0 ? 2 : 1);
  }
  return inside;
}

std::string HeadOf(std::uint8_t kind, std::size_t body_bytes) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  switch (kind % 3) {
    case 0:
      return head + "Content-Length: " + std::to_string(body_bytes) +
             "\r\n\r\n";
    case 1:
      return head + "Transfer-Encoding: chunked\r\n\r\n";
    default:
      return head + "\r\n";
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size < 2) {
    return 0;
  }
  const std::string body(fuzz::TextOf(data, size).substr(2));
  const std::string wire = HeadOf(data[0], body.size()) + body;
  const Verdict verdict = Read(wire, wire.size());
  fuzz::Check(verdict == Read(wire, data[1] % 64 + 1),
              "the verdict does not depend on how the bytes are split");
  tests::AnswerText answer;
  answer.Feed(wire);
  answer.EndConnection(/*reset=*/false);
  fuzz::Check(answer.body().starts_with(verdict.forwarded),
              "only what was sent is forwarded, in order");
  if (verdict.end == AnswerEnd::kWhole) {
    fuzz::Check(answer.complete(), "a whole message has ended");
    fuzz::Check(answer.body() == verdict.forwarded, "a whole answer is sent");
    fuzz::Check(!EndsInsideEvent(answer.body()), "the last event has ended");
  }
  if (verdict.end == AnswerEnd::kEventCut) {
    const bool cut_line = !answer.body().ends_with('\n');
    fuzz::Check(cut_line || EndsInsideEvent(answer.body()),
                "an event or a line was cut");
  }
  return 0;
}
