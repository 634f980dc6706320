// Loan requests and loans of the shared retry budget between instances.
#include "process/peers/loan_messages.h"

#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace lynxglade;
  const auto bytes = fuzz::TextOf(data, size);
  if (const auto loan = process::peers::DecodeLoan(bytes)) {
    fuzz::Check(loan->arrivals >= 0 &&
                    loan->arrivals <= process::peers::kMaxLoanArrivals,
                "a bounded loan");
    const auto again =
        process::peers::DecodeLoan(process::peers::EncodeLoan(*loan));
    fuzz::Check(again && again->request_id == loan->request_id &&
                    again->arrivals <= loan->arrivals,
                "a loan does not grow when encoded");
  }
  if (const auto request = process::peers::DecodeLoanRequest(bytes)) {
    fuzz::Check(request->arrivals <= process::peers::kMaxLoanArrivals,
                "a bounded loan request");
    const auto again = process::peers::DecodeLoanRequest(
        process::peers::EncodeLoanRequest(*request));
    fuzz::Check(again && again->service == request->service,
                "the same service");
  }
  return 0;
}
