#include "connection/event/body_framing.h"

namespace lynxglade::connection::event {

std::string_view ToString(BodyFraming framing) noexcept {
  switch (framing) {
    case BodyFraming::kNone:
      return "none";
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunks:
      return "chunks";
    case BodyFraming::kConnection:
      break;
  }
  return "connection";
}

BodyFraming FramingOf(const boost::beast::http::basic_parser<false>& parser) {
  if (!parser.is_header_done()) {
    return BodyFraming::kNone;
  }
  if (parser.chunked()) {
    return BodyFraming::kChunks;
  }
  if (parser.need_eof()) {
    return BodyFraming::kConnection;
  }
  return parser.content_length().value_or(0) > 0 ? BodyFraming::kLength
                                                 : BodyFraming::kNone;
}

}  // namespace lynxglade::connection::event
