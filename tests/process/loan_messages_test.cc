#include "process/loan_messages.h"

#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process {
namespace {

// Of what is lent a message never says more.
RC_GTEST_PROP(LoanMessages, AreReadAsTheyWereWritten, ()) {
  const LoanRequestId number(*rc::gen::arbitrary<std::uint64_t>());
  const double arrivals = *rc::gen::inRange(0, 100'000) / 1000.0;
  const auto loan = DecodeLoan(EncodeLoan({number, arrivals}));
  RC_ASSERT(loan.has_value());
  RC_ASSERT(loan->number == number);
  RC_ASSERT(loan->arrivals <= arrivals);
  RC_ASSERT(loan->arrivals > arrivals - 0.0011);
  const base::ServiceName service("s" + std::to_string(number.value()));
  const auto question =
      DecodeLoanRequest(EncodeLoanRequest({number, service, arrivals}));
  RC_ASSERT(question.has_value());
  RC_ASSERT(question->number == number);
  RC_ASSERT(question->service == service);
  RC_ASSERT(question->wanted <= arrivals);
}

TEST(LoanMessages, AmountsAreBounded) {
  const LoanRequestId number(1);
  EXPECT_EQ(DecodeLoan(EncodeLoan({number, 1e9}))->arrivals, kMaxLoanArrivals);
  EXPECT_EQ(DecodeLoan(EncodeLoan({number, -1}))->arrivals, 0);
}

RC_GTEST_PROP(LoanMessages,
              BytesOfAnotherOriginAreRefusedOrBounded,
              (std::string bytes)) {
  std::string loan = EncodeLoan({LoanRequestId(7), 2.5});
  loan[*rc::gen::inRange<std::size_t>(0, loan.size())] =
      static_cast<char>(*rc::gen::inRange(0, 256));
  for (const std::string_view it :
       {std::string_view(bytes), std::string_view(loan)}) {
    const auto read = DecodeLoan(it);
    RC_ASSERT(
        (!read || (read->arrivals >= 0 && read->arrivals <= kMaxLoanArrivals)));
    const auto question = DecodeLoanRequest(it);
    RC_ASSERT((!question || question->wanted <= kMaxLoanArrivals));
  }
}

TEST(LoanMessages, OneIsNotTakenForTheOther) {
  const LoanRequestId number(7);
  const base::ServiceName service("s");
  EXPECT_FALSE(DecodeLoan(EncodeLoanRequest({number, service, 1})));
  EXPECT_FALSE(DecodeLoanRequest(EncodeLoan({number, 1})));
  const std::string long_name(400, 's');
  EXPECT_FALSE(DecodeLoanRequest(
      EncodeLoanRequest({number, base::ServiceName(long_name), 1})));
}

}  // namespace
}  // namespace lynxglade::process
