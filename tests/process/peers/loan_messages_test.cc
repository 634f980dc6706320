#include "process/peers/loan_messages.h"

#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process::peers {
namespace {

// Amounts are rounded down, so that a loan never grows in transit.
RC_GTEST_PROP(LoanMessages, RoundTrip, ()) {
  const LoanRequestId request_id(*rc::gen::arbitrary<std::uint64_t>());
  const double arrivals = *rc::gen::inRange(0, 100'000) / 1000.0;
  const auto loan = DecodeLoan(EncodeLoan({request_id, arrivals}));
  RC_ASSERT(loan.has_value());
  RC_ASSERT(loan->request_id == request_id);
  RC_ASSERT(loan->arrivals <= arrivals);
  RC_ASSERT(loan->arrivals > arrivals - 0.0011);
  const base::ServiceName service("s" + std::to_string(request_id.value()));
  const auto request =
      DecodeLoanRequest(EncodeLoanRequest({request_id, service, arrivals}));
  RC_ASSERT(request.has_value());
  RC_ASSERT(request->request_id == request_id);
  RC_ASSERT(request->service == service);
  RC_ASSERT(request->arrivals <= arrivals);
}

TEST(LoanMessages, AmountsAreBounded) {
  const LoanRequestId request_id(1);
  EXPECT_EQ(DecodeLoan(EncodeLoan({request_id, 1e9}))->arrivals,
            kMaxLoanArrivals);
  EXPECT_EQ(DecodeLoan(EncodeLoan({request_id, -1}))->arrivals, 0);
}

RC_GTEST_PROP(LoanMessages,
              ArbitraryBytesAreRejectedOrBounded,
              (std::string bytes)) {
  std::string loan = EncodeLoan({LoanRequestId(7), 2.5});
  loan[*rc::gen::inRange<std::size_t>(0, loan.size())] =
      static_cast<char>(*rc::gen::inRange(0, 256));
  for (const std::string_view it :
       {std::string_view(bytes), std::string_view(loan)}) {
    const auto read = DecodeLoan(it);
    RC_ASSERT(
        (!read || (read->arrivals >= 0 && read->arrivals <= kMaxLoanArrivals)));
    const auto request = DecodeLoanRequest(it);
    RC_ASSERT((!request || request->arrivals <= kMaxLoanArrivals));
  }
}

TEST(LoanMessages, RequestAndLoanAreNotInterchangeable) {
  const LoanRequestId request_id(7);
  const base::ServiceName service("s");
  EXPECT_FALSE(DecodeLoan(EncodeLoanRequest({request_id, service, 1})));
  EXPECT_FALSE(DecodeLoanRequest(EncodeLoan({request_id, 1})));
  const std::string long_name(400, 's');
  EXPECT_FALSE(DecodeLoanRequest(
      EncodeLoanRequest({request_id, base::ServiceName(long_name), 1})));
}

}  // namespace
}  // namespace lynxglade::process::peers
