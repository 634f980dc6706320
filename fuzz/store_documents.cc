// Documents that other programs write to the platform store: target entries and
// the operator configuration. They are parsed completely or rejected with a
// reason.
#include "platform/store_documents.h"

#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace lynxglade;
  const std::string_view text = fuzz::TextOf(data, size);
  platform::DocumentFault fault;
  const auto entry = platform::ParseTargetEntry("servers/i-1", text, &fault);
  fuzz::Check(entry || !fault.detail.empty(), "an entry or a reason");
  if (entry) {
    fuzz::Check(entry->id.str() == "i-1", "the key names the target");
    fuzz::Check(entry->port > 0 && !entry->ip.empty(), "an address");
    fuzz::Check(entry->slots >= 0, "slots");
    fuzz::Check(!entry->start_time || entry->start_time->value() >= 0,
                "start time in range");
  }
  platform::DocumentFault other;
  const auto table = platform::ParseConfiguration(text, &other);
  fuzz::Check(table || !other.detail.empty(), "a configuration or a reason");
  fuzz::Check(!table || table->version() >= 0, "version");
  return 0;
}
