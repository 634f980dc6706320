#include "connection/event/hop_headers.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <boost/beast/http/rfc7230.hpp>

namespace lynxglade::connection::event {

void EraseHopHeaders(HeaderFields& fields) {
  constexpr std::array kHopHeaders{
      http::field::connection,
      http::field::keep_alive,
      http::field::proxy_connection,
      http::field::proxy_authenticate,
      http::field::te,
      http::field::trailer,
      http::field::transfer_encoding,
      http::field::upgrade,
      http::field::content_length,
      http::field::expect,
  };
  std::vector<std::string> named;
  for (const auto token : http::token_list(fields[http::field::connection])) {
    named.emplace_back(token);
  }
  std::ranges::for_each(named,
                        [&](const std::string& it) { fields.erase(it); });
  std::ranges::for_each(kHopHeaders, [&](http::field it) { fields.erase(it); });
}

}  // namespace lynxglade::connection::event
