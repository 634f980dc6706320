// Event stream of an engine: the result does not depend on how the bytes are
// split, and a complete stream has as many tokens as its usage reports. The
// first byte determines the size of the pieces.
#include <string>

#include "connection/target_client_stream.h"
#include "fuzz/check.h"

namespace {

using namespace lynxglade;
using connection::EngineStream;

struct Result {
  EngineStream::State state;
  bool whole;
  std::int64_t tokens;
  std::string text;

  bool operator==(const Result&) const = default;
};

Result Run(std::string_view bytes, std::size_t piece) {
  std::string text;
  request::TokenSink sink;
  sink.on_token = [&text](const request::TokenChunk& chunk) {
    fuzz::Check(chunk.offset.value() >= 0 && chunk.count.value() > 0,
                "chunks are in range");
    text += chunk.text;
    return true;
  };
  EngineStream stream(base::AttemptId("a-1"), base::Tokens(0), sink);
  bool wanted = true;
  while (wanted && !bytes.empty()) {
    wanted = stream.Feed(bytes.substr(0, piece));
    bytes.remove_prefix(std::min(piece, bytes.size()));
  }
  fuzz::Check(stream.tokens().value() >= 0, "tokens are counted");
  if (stream.IsComplete()) {
    fuzz::Check(stream.usage()->completion == stream.tokens(),
                "the usage matches the token count");
  }
  return {stream.state(), stream.IsComplete(), stream.tokens().value(), text};
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view bytes = fuzz::TextOf(data, size).substr(1);
  const std::size_t piece = data[0] % 32 + 1;
  fuzz::Check(Run(bytes, bytes.size() + 1) == Run(bytes, piece),
              "the result does not depend on how the bytes are split");
  return 0;
}
