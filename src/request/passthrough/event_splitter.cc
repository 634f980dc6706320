#include "request/passthrough/event_splitter.h"

#include <algorithm>

namespace lynxglade::request::passthrough {

namespace {

// End of the last event in `text`, or npos. Events end with an empty line;
// lines end with LF or CRLF.
std::size_t EndOfLastEvent(std::string_view text) {
  const std::size_t lf = text.rfind("\n\n");
  const std::size_t crlf = text.rfind("\n\r\n");
  const std::size_t lf_end = lf == std::string_view::npos ? 0 : lf + 2;
  const std::size_t crlf_end = crlf == std::string_view::npos ? 0 : crlf + 3;
  const std::size_t end = std::max(lf_end, crlf_end);
  return end == 0 ? std::string_view::npos : end;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  partial_.append(bytes);
  const std::size_t end = EndOfLastEvent(partial_);
  if (end == std::string_view::npos) {
    return {};
  }
  std::string whole = partial_.substr(0, end);
  partial_.erase(0, end);
  RecordIds(whole);
  return whole;
}

void EventSplitter::RecordIds(std::string_view events) {
  constexpr std::string_view kField = "id:";
  while (!events.empty()) {
    const std::size_t end = events.find('\n');
    std::string_view line = events.substr(0, end);
    events.remove_prefix(end == std::string_view::npos ? events.size()
                                                       : end + 1);
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    last_id_ = std::string(line);
    ++events_;
  }
}

}  // namespace lynxglade::request::passthrough
