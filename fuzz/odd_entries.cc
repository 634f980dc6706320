// Keys and values that other writers may leave among the entries of the
// targets: deeply nested, with numbers too large (1e999, a "born" of 1e300),
// ports out of range, keys that are not text. Input: a key, a line end, a
// value.
#include <algorithm>
#include <string>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "base/text_bytes.h"
#include "fuzz/check.h"
#include "platform/store_documents.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace lynxglade;
  const std::string_view text = fuzz::TextOf(data, size);
  const std::size_t end = std::min(text.find('\n'), text.size());
  const std::string key = "servers/" + std::string(text.substr(0, end));
  const std::string_view value = text.substr(std::min(end + 1, text.size()));
  platform::DocumentFault fault;
  const auto entry = platform::ParseTargetEntry(key, value, &fault);
  fuzz::Check(entry || !fault.detail.empty(), "an entry or a reason");
  if (entry) {
    fuzz::Check(!entry->id.str().empty(), "an id");
    fuzz::Check(std::ranges::all_of(entry->id.str(),
                                    [](char c) { return c > ' ' && c <= '~'; }),
                "an id that is a header's value");
    fuzz::Check(entry->slots >= 0 && entry->slots <= 4'096, "slots");
    fuzz::Check(entry->port > 0 && !entry->ip.empty(), "an address");
  }
  const std::string escaped = base::EscapeInvalidUtf8(text);
  fuzz::Check(nlohmann::json::accept(nlohmann::json(escaped).dump()),
              "escaped text is valid");
  base::UnescapeInvalidUtf8(text);
  const auto kept = base::ParseJsonWithoutDeepValues(escaped);
  // The dump is recursive: what was kept is not deep.
  fuzz::Check(!kept || !kept->dump().empty(), "bounded depth");
  return 0;
}
