#include "connection/event/caller_faults.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace lynxglade::connection::event {

namespace {

constexpr std::array kFaultAnswers{
    FaultAnswer{ReadFault::kClosed, 0, "closed"},
    FaultAnswer{ReadFault::kIdle, 0, "idle"},
    FaultAnswer{ReadFault::kSlow, 408, "slow"},
    FaultAnswer{ReadFault::kMalformed, 400, "malformed"},
    FaultAnswer{ReadFault::kHeadTooLarge, 431, "head_too_large"},
    FaultAnswer{ReadFault::kBodyTooLarge, 413, "body_too_large"},
    FaultAnswer{ReadFault::kMemory, 503, "memory"},
    FaultAnswer{ReadFault::kOverloaded, 0, "overloaded"},
    FaultAnswer{ReadFault::kStopping, 503, "stopping"},
};

}  // namespace

const FaultAnswer& AnswerTo(ReadFault fault) {
  return *std::ranges::find(kFaultAnswers, fault, &FaultAnswer::fault);
}

ReadFault FaultOf(const ErrorCode& ec) {
  if (ec == http::error::header_limit) {
    return ReadFault::kHeadTooLarge;
  }
  if (ec == http::error::body_limit) {
    return ReadFault::kBodyTooLarge;
  }
  const bool is_http =
      ec.category() ==
      http::make_error_code(http::error::end_of_stream).category();
  const bool torn =
      ec == http::error::end_of_stream || ec == http::error::partial_message;
  return is_http && !torn ? ReadFault::kMalformed : ReadFault::kClosed;
}

bool HasUnambiguousLength(const RequestHead& head) {
  const bool coded = head.count(http::field::transfer_encoding) > 0;
  return HasKnownCoding(head) &&
         head.count(http::field::content_length) <= (coded ? 0 : 1);
}

}  // namespace lynxglade::connection::event
