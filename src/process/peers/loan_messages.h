// CBOR messages by which instances borrow retry budget from each other.
#ifndef LYNXGLADE_PROCESS_PEERS_LOAN_MESSAGES_H_
#define LYNXGLADE_PROCESS_PEERS_LOAN_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/units.h"

namespace lynxglade::process::peers {

// Identifies a request of one instance; a loan refers to the request.
using LoanRequestId =
    base::StrongNumber<struct LoanRequestIdTag, std::uint64_t>;

// Upper bound of one request or loan, in arrivals.
inline constexpr double kMaxLoanArrivals = 100;

struct LoanRequest {
  LoanRequestId request_id;
  base::ServiceName service = base::ServiceName("");
  // Arrivals.
  double arrivals = 0;
};

struct Loan {
  LoanRequestId request_id;
  // Arrivals.
  double arrivals = 0;
};

// Encodes version, request id, service and thousandths of arrivals (rounded
// down) as an array. Decoding returns nullopt for malformed bytes.
std::string EncodeLoanRequest(const LoanRequest& request);
std::optional<LoanRequest> DecodeLoanRequest(std::string_view bytes);

// The same array without the service.
std::string EncodeLoan(const Loan& loan);
std::optional<Loan> DecodeLoan(std::string_view bytes);

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_LOAN_MESSAGES_H_
