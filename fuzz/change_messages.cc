// Messages between instances about changes of the store: decoded completely or
// not at all, and unchanged by encoding and decoding.
#include "process/peers/change_messages.h"

#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace lynxglade;
  const std::string text(fuzz::TextOf(data, size));
  if (const auto query = process::peers::DecodeQuery(text)) {
    fuzz::Check(process::peers::DecodeQuery(process::peers::EncodeQuery(*query))
                    .has_value(),
                "the query again");
  }
  const auto answer = process::peers::DecodeAnswer(text);
  if (!answer) {
    return 0;
  }
  const auto bytes = process::peers::EncodeAnswer(*answer);
  if (!bytes) {
    return 0;
  }
  const auto again = process::peers::DecodeAnswer(*bytes);
  const auto& changes = answer->changes;
  fuzz::Check(again && again->changes.revision == changes.revision &&
                  again->changes.items.size() == changes.items.size() &&
                  again->levels == answer->levels,
              "the same answer");
  for (std::size_t i = 0; i < changes.items.size(); ++i) {
    const auto& item = changes.items[i];
    const auto& same = again->changes.items[i];
    fuzz::Check(item.revision <= changes.revision,
                "no change after the revision");
    fuzz::Check(item.key == same.key && item.value == same.value &&
                    item.deleted == same.deleted,
                "the same change");
  }
  return 0;
}
