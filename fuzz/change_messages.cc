// Messages between instances about changes of the store: decoded completely or
// not at all, and unchanged by encoding and decoding.
#include "process/peers/change_messages.h"

#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace lynxglade;
  const auto changes = process::peers::DecodeChanges(fuzz::TextOf(data, size));
  if (!changes) {
    return 0;
  }
  const auto bytes = process::peers::EncodeChanges(*changes);
  if (!bytes) {
    return 0;
  }
  const auto again = process::peers::DecodeChanges(*bytes);
  fuzz::Check(again && again->revision == changes->revision &&
                  again->items.size() == changes->items.size(),
              "the same changes");
  for (std::size_t i = 0; i < changes->items.size(); ++i) {
    const auto& item = changes->items[i];
    fuzz::Check(item.revision <= changes->revision,
                "no change after the revision");
    fuzz::Check(item.key == again->items[i].key &&
                    item.value == again->items[i].value &&
                    item.deleted == again->items[i].deleted,
                "the same change");
  }
  return 0;
}
