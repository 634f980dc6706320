// What instances ask and lend each other of the retries, as CBOR.
#ifndef LYNXGLADE_PROCESS_LOAN_MESSAGES_H_
#define LYNXGLADE_PROCESS_LOAN_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/units.h"

namespace lynxglade::process {

// Names a question of one instance; a loan answers one.
using LoanRequestId =
    base::StrongNumber<struct LoanRequestIdTag, std::uint64_t>;

// More is neither asked for nor lent at once, in arrivals.
inline constexpr double kMaxLoanArrivals = 100;

struct LoanRequest {
  LoanRequestId request_id;
  base::ServiceName service = base::ServiceName("");
  // Arrivals.
  double wanted = 0;
};

struct Loan {
  LoanRequestId request_id;
  // Arrivals.
  double arrivals = 0;
};

// An array of version, number, service and thousandths of arrivals, rounded
// down. Decoding gives nothing for other bytes.
std::string EncodeLoanRequest(const LoanRequest& request);
std::optional<LoanRequest> DecodeLoanRequest(std::string_view bytes);

// The same without the service.
std::string EncodeLoan(const Loan& loan);
std::optional<Loan> DecodeLoan(std::string_view bytes);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_LOAN_MESSAGES_H_
