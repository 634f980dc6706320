// Messages of peers, and the facts in them that have an encoding of their own.
#include <chrono>
#include <string>
#include <variant>

#include "fuzz/check.h"
#include "process/instance_fact.h"
#include "process/peer_messages.h"
#include "request/quarantine_mark.h"

namespace {

using namespace lynxglade;
using process::ViewKind;

void TryFact(const process::ViewItem& item) {
  fuzz::Check(item.key.size() <= process::kMaxViewKeyBytes, "key is bounded");
  fuzz::Check(item.body.size() <= process::kMaxViewBodyBytes,
              "body is bounded");
  if (item.kind == ViewKind::kInstance) {
    process::DecodeInstanceFact(item.body);
  }
  if (item.kind == ViewKind::kQuarantine) {
    request::DecodeMark(item);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const base::Time now{std::chrono::hours(1'000)};
  process::PeerMessageError error = process::PeerMessageError::kNone;
  const auto message =
      process::DecodePeerMessage(fuzz::TextOf(data, size), now, &error);
  if (!message) {
    fuzz::Check(error != process::PeerMessageError::kNone,
                "a rejected input has a reason");
    return 0;
  }
  const std::string bytes = process::EncodePeerMessage(*message, now);
  const auto again = process::DecodePeerMessage(bytes, now, &error);
  fuzz::Check(again.has_value(), "encoded data can be decoded");
  fuzz::Check(process::EncodePeerMessage(*again, now) == bytes,
              "decoding and encoding again yields the same bytes");
  if (const auto* batch = std::get_if<process::ViewBatchMessage>(&*message)) {
    for (const process::ViewItem& item : batch->items) {
      TryFact(item);
    }
  }
  return 0;
}
