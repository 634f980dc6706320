// Parses an HTTP message with header fields of any size.
//
// Nothing that a peer sends makes it throw: what cannot be kept is an error.
// Trailers are checked and left out, as they must not pass for headers.
#ifndef LYNXGLADE_CONNECTION_EVENT_MESSAGE_PARSER_H_
#define LYNXGLADE_CONNECTION_EVENT_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <exception>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include "connection/event/header_fields.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// Parses one message. `Body` as for Beast's parser.
template <bool kIsRequest, typename Body>
class MessageParser : public http::basic_parser<kIsRequest> {
 public:
  using Message = http::message<kIsRequest, Body, HeaderFields>;

  MessageParser() : reader_(message_.base(), message_.body()) {}

  // The part that has been parsed.
  const Message& get() const noexcept { return message_; }
  Message& get() noexcept { return message_; }
  Message release() { return std::move(message_); }

 private:
  using StringView = boost::beast::string_view;

  // Turns what `step` throws into an error.
  template <typename Step>
  static void Catch(ErrorCode& ec, Step step) {
    try {
      step();
    } catch (const std::exception&) {
      ec = make_error_code(boost::system::errc::not_enough_memory);
    }
  }

  void on_request_impl(http::verb method,
                       StringView method_string,
                       StringView target,
                       int version,
                       ErrorCode& ec) override {
    if constexpr (kIsRequest) {
      Catch(ec, [&] {
        message_.target(target);
        if (method == http::verb::unknown) {
          message_.method_string(method_string);
        } else {
          message_.method(method);
        }
        message_.version(static_cast<unsigned>(version));
      });
    }
  }

  void on_response_impl(int status,
                        StringView reason,
                        int version,
                        ErrorCode& ec) override {
    if constexpr (!kIsRequest) {
      Catch(ec, [&] {
        message_.result(static_cast<unsigned>(status));
        message_.version(static_cast<unsigned>(version));
        message_.reason(reason);
      });
    }
  }

  void on_field_impl(http::field name,
                     StringView name_string,
                     StringView value,
                     ErrorCode& ec) override {
    if (!this->is_header_done()) {
      Catch(ec, [&] { message_.insert(name, name_string, value); });
    }
  }

  void on_header_impl(ErrorCode& /*ec*/) override {}

  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         ErrorCode& ec) override {
    Catch(ec, [&] { reader_.init(length, ec); });
  }

  std::size_t on_body_impl(StringView bytes, ErrorCode& ec) override {
    std::size_t n = 0;
    Catch(ec, [&] {
      n = reader_.put(asio::buffer(bytes.data(), bytes.size()), ec);
    });
    return n;
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            StringView /*extensions*/,
                            ErrorCode& /*ec*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*left*/,
                                 StringView bytes,
                                 ErrorCode& ec) override {
    return on_body_impl(bytes, ec);
  }

  void on_finish_impl(ErrorCode& ec) override {
    Catch(ec, [&] { reader_.finish(ec); });
  }

  Message message_;
  typename Body::reader reader_;
};

template <typename Body>
using RequestParser = MessageParser<true, Body>;
template <typename Body>
using ResponseParser = MessageParser<false, Body>;

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_MESSAGE_PARSER_H_
