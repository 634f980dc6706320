// Guards against ORDER: whatever delimits a target's answer, and wherever it
// ends, its caller can tell a whole answer from a broken-off one.
#include <algorithm>
#include <atomic>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/relay_fixture.h"

namespace lynxglade::platform {
namespace {

using connection::ScriptedServer;
using Reply = ScriptedServer::Reply;
using Then = ScriptedServer::Then;

enum class Framing { kLength, kChunks, kConnection };

// An answer as its target sends it, up to the byte at which it ends.
struct DrawnAnswer {
  std::string path;
  bool resumable = false;
  // Plain routes: any bytes. Streams: the events.
  std::string body;
  int events = 0;
  // Offsets in `body` after each event.
  std::vector<std::size_t> boundaries{0};
  Framing framing = Framing::kLength;
  std::string version;
  // Bytes of the answer, head included, that are sent; nothing: all.
  std::optional<std::size_t> cut;
  Then then = Then::kClose;
  std::size_t piece_bytes = 0;

  bool is_stream() const { return events > 0; }
};

std::string BodyBytes(const DrawnAnswer& answer) {
  if (answer.framing != Framing::kChunks) {
    return answer.body;
  }
  std::string bytes;
  // Chunks of any size, so that some end inside an event.
  for (std::size_t at = 0; at < answer.body.size(); at += 17) {
    bytes += Chunk(answer.body.substr(at, 17));
  }
  return bytes + "0\r\n\r\n";
}

std::string HeadBytes(const DrawnAnswer& answer, const std::string& request) {
  std::string head =
      answer.version + " 200 OK\r\n" + Echo(request) + kProofLine;
  if (answer.is_stream()) {
    head += "Content-Type: text/event-stream\r\n";
  }
  if (answer.framing == Framing::kLength) {
    head += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
  } else if (answer.framing == Framing::kChunks) {
    head += "Transfer-Encoding: chunked\r\n";
  }
  return head + "\r\n";
}

DrawnAnswer DrawAnswer() {
  DrawnAnswer answer;
  answer.path = *rc::gen::element<std::string>("/unsafe/x", "/safe/x",
                                               "/stream/x", "/resumable/x");
  answer.resumable = answer.path == "/resumable/x" || answer.path == "/safe/x";
  if (answer.path == "/stream/x" || answer.path == "/resumable/x") {
    answer.events = *rc::gen::inRange(1, 6);
    for (int id = 1; id <= answer.events; ++id) {
      answer.body += Event(id);
      answer.boundaries.push_back(answer.body.size());
    }
  } else {
    answer.body = "fine";
  }
  answer.framing = *rc::gen::element(Framing::kLength, Framing::kChunks,
                                     Framing::kConnection);
  answer.version = answer.framing == Framing::kChunks
                       ? "HTTP/1.1"
                       : *rc::gen::element<std::string>("HTTP/1.1", "HTTP/1.0");
  if (*rc::gen::inRange(0, 4) > 0) {
    const std::size_t head =
        HeadBytes(answer, "\r\nLynxglade-Attempt-Id: r1\r\n").size();
    const std::size_t body = BodyBytes(answer).size();
    const bool in_head = *rc::gen::inRange(0, 5) == 0;
    answer.cut = in_head ? *rc::gen::inRange<std::size_t>(0, head)
                         : head + *rc::gen::inRange<std::size_t>(0, body);
  }
  answer.then = *rc::gen::element(Then::kClose, Then::kReset);
  answer.piece_bytes = *rc::gen::inRange<std::size_t>(0, 40);
  return answer;
}

class DrawnAnswersTest : public RelayTest {
 protected:
  DrawnAnswersTest() {
    const auto handler = [this](const std::string& request) {
      return ++calls_ == 1 ? First(request) : Rest(request);
    };
    AddTarget(handler);
    AddTarget(handler);
  }
  Reply First(const std::string& request) {
    const std::string head = HeadBytes(answer_, request);
    const std::string bytes = head + BodyBytes(answer_);
    const std::size_t sent = answer_.cut.value_or(bytes.size());
    body_sent_ = sent <= head.size() ? 0 : sent - head.size();
    head_sent_ = sent >= head.size();
    return {bytes.substr(0, sent), answer_.then, answer_.piece_bytes};
  }
  // What a second target sends: the whole answer, or its events after the last
  // one that the caller has.
  Reply Rest(const std::string& request) {
    if (!answer_.is_stream()) {
      return Answer(request, "200 OK", answer_.body);
    }
    const std::string last = Header(request, "Last-Event-Id");
    return Stream(request, last.empty() ? 1 : std::stoi(last) + 1,
                  answer_.events, Then::kKeep);
  }
  // Whether nothing that was sent shows that the answer is not whole.
  bool LooksWhole() const {
    if (!answer_.cut) {
      return answer_.framing != Framing::kConnection ||
             answer_.then == Then::kClose;
    }
    if (answer_.framing != Framing::kConnection ||
        answer_.then != Then::kClose || !head_sent_) {
      return false;
    }
    return !answer_.is_stream() || (body_sent_ > 0 && IsBoundary(body_sent_));
  }
  bool IsBoundary(std::size_t n) const {
    return std::ranges::find(answer_.boundaries, n) != answer_.boundaries.end();
  }

  DrawnAnswer answer_;
  std::atomic<int> calls_ = 0;
  bool head_sent_ = false;
  std::size_t body_sent_ = 0;
};

RC_GTEST_FIXTURE_PROP(DrawnAnswersTest, CallersCanTellWhatIsWhole, ()) {
  answer_ = DrawAnswer();
  std::string request = Request(answer_.path);
  if (*rc::gen::arbitrary<bool>()) {
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  }
  const tests::AnswerText got = CallAndRead(request);
  const bool success = got.status() == 200;
  const bool served = got.complete() && success;
  // A reset may overtake what was sent before it.
  const bool certain = answer_.then == Then::kClose;
  RC_TAG(served ? "served" : success ? "broken off" : "refused");
  if (LooksWhole()) {
    const std::string sent =
        answer_.cut ? answer_.body.substr(0, body_sent_) : answer_.body;
    RC_ASSERT((served || !certain));
    RC_ASSERT((!served || got.body() == sent));
  } else if (answer_.resumable) {
    RC_ASSERT(served);
    RC_ASSERT(got.body() == answer_.body);
  } else {
    RC_ASSERT(!served);
  }
  if (success && answer_.is_stream()) {
    RC_ASSERT(answer_.body.starts_with(got.body()));
    RC_ASSERT(IsBoundary(got.body().size()));
  }
  RC_ASSERT((got.status() == 200 || got.status() == 502));
}

}  // namespace
}  // namespace lynxglade::platform
