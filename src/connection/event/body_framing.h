// What ends the body of an HTTP answer.
#ifndef LYNXGLADE_CONNECTION_EVENT_BODY_FRAMING_H_
#define LYNXGLADE_CONNECTION_EVENT_BODY_FRAMING_H_

#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

namespace lynxglade::connection::event {

enum class BodyFraming {
  // The answer has no body, or its head was not read.
  kNone,
  kLength,
  kChunks,
  // The end of the connection: a body that the peer broke off looks complete.
  kConnection,
};
std::string_view ToString(BodyFraming framing) noexcept;

// As the head says that was read last.
BodyFraming FramingOf(const boost::beast::http::basic_parser<false>& parser);

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_BODY_FRAMING_H_
