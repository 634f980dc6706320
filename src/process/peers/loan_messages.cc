#include "process/peers/loan_messages.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <nlohmann/json.hpp>

#include "connection/bounded_cbor.h"

namespace lynxglade::process::peers {

namespace {

using connection::CborWhole;
using nlohmann::json;

constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kRequestParts = 4;
constexpr std::size_t kLoanParts = 3;
constexpr std::size_t kMaxServiceBytes = 200;
constexpr double kThousandths = 1000;
constexpr connection::CborLimits kLimits{.max_bytes = kMaxServiceBytes + 64,
                                         .max_depth = 1,
                                         .max_elements = 8};

std::uint64_t ToThousandths(double arrivals) {
  const double limited = std::clamp(arrivals, 0.0, kMaxLoanArrivals);
  return static_cast<std::uint64_t>(std::floor(limited * kThousandths));
}

std::optional<double> ReadArrivals(const json& value) {
  constexpr auto kMaxThousandths =
      static_cast<std::uint64_t>(kMaxLoanArrivals * kThousandths);
  const auto thousandths = CborWhole(value, kMaxThousandths);
  if (!thousandths) {
    return std::nullopt;
  }
  return static_cast<double>(*thousandths) / kThousandths;
}

// Decodes an array of `parts` elements that starts with kVersion.
std::optional<json> DecodeParts(std::string_view bytes, std::size_t parts) {
  auto message = connection::DecodeVersioned(bytes, kLimits, kVersion);
  if (!message || message->size() != parts) {
    return std::nullopt;
  }
  return message;
}

std::optional<LoanRequestId> ReadRequestId(const json& value) {
  const auto request_id =
      CborWhole(value, std::numeric_limits<std::uint64_t>::max());
  if (!request_id) {
    return std::nullopt;
  }
  return LoanRequestId(*request_id);
}

}  // namespace

std::string EncodeLoanRequest(const LoanRequest& request) {
  return connection::EncodeCbor(
      json::array({kVersion, request.request_id.value(), request.service.str(),
                   ToThousandths(request.arrivals)}));
}

std::optional<LoanRequest> DecodeLoanRequest(std::string_view bytes) {
  const auto message = DecodeParts(bytes, kRequestParts);
  if (!message || !(*message)[2].is_string()) {
    return std::nullopt;
  }
  const auto request_id = ReadRequestId((*message)[1]);
  const auto arrivals = ReadArrivals((*message)[3]);
  if (!request_id || !arrivals) {
    return std::nullopt;
  }
  return LoanRequest{*request_id,
                     base::ServiceName((*message)[2].get<std::string>()),
                     *arrivals};
}

std::string EncodeLoan(const Loan& loan) {
  return connection::EncodeCbor(json::array(
      {kVersion, loan.request_id.value(), ToThousandths(loan.arrivals)}));
}

std::optional<Loan> DecodeLoan(std::string_view bytes) {
  const auto message = DecodeParts(bytes, kLoanParts);
  if (!message) {
    return std::nullopt;
  }
  const auto request_id = ReadRequestId((*message)[1]);
  const auto arrivals = ReadArrivals((*message)[2]);
  if (!request_id || !arrivals) {
    return std::nullopt;
  }
  return Loan{*request_id, *arrivals};
}

}  // namespace lynxglade::process::peers
