// Loan requests and loans of the shared retry budget between instances.
#include "process/loan_messages.h"

#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace lynxglade;
  const auto bytes = fuzz::TextOf(data, size);
  if (const auto loan = process::DecodeLoan(bytes)) {
    fuzz::Check(
        loan->arrivals >= 0 && loan->arrivals <= process::kMaxLoanArrivals,
        "a bounded loan");
    const auto again = process::DecodeLoan(process::EncodeLoan(*loan));
    fuzz::Check(again && again->request_id == loan->request_id &&
                    again->arrivals <= loan->arrivals,
                "a loan does not grow when encoded");
  }
  if (const auto request = process::DecodeLoanRequest(bytes)) {
    fuzz::Check(request->arrivals <= process::kMaxLoanArrivals,
                "a bounded loan request");
    const auto again =
        process::DecodeLoanRequest(process::EncodeLoanRequest(*request));
    fuzz::Check(again && again->service == request->service,
                "the same service");
  }
  return 0;
}
