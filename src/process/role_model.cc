#include "process/role_model.h"

#include <algorithm>

namespace lynxglade::process {

namespace {

// Bisection steps for ServedFraction(): a precision of 1e-5.
constexpr int kHalvings = 17;
constexpr double kEpsilon = 1e-12;

// Whether `mixed` engines can do this work, given in engines' full rates.
bool MixedCanServe(const EngineRates& rates,
                   int mixed,
                   double prefill_parts,
                   double decode_parts) {
  if (prefill_parts <= kEpsilon && decode_parts <= kEpsilon) {
    return true;
  }
  if (mixed == 0) {
    return false;
  }
  const double each_prefill = prefill_parts / mixed;
  const double each_decode = decode_parts / mixed;
  return each_prefill <= 1 &&
         each_decode <= MixedDecodeCapacity(rates, each_prefill);
}

bool CanServe(const EngineRates& rates,
              const RoleCounts& counts,
              const TokenDemand& demand,
              double part) {
  const double prefill = part * demand.prefill / rates.prefill_tokens_per_s;
  const double decode = part * demand.decode / rates.decode_tokens_per_s;
  return MixedCanServe(rates, counts.mixed,
                       std::max(0.0, prefill - counts.prefill),
                       std::max(0.0, decode - counts.decode));
}

}  // namespace

int& RoleCounts::Of(request::EngineRole role) noexcept {
  switch (role) {
    case request::EngineRole::kPrefill:
      return prefill;
    case request::EngineRole::kDecode:
      return decode;
    default:
      return mixed;
  }
}

int RoleCounts::Of(request::EngineRole role) const noexcept {
  RoleCounts copy = *this;
  return copy.Of(role);
}

double MixedDecodeCapacity(const EngineRates& rates,
                           double prefill_part) noexcept {
  // When both kinds of work are always queued, each gets its share of the
  // reduced rate. With less prefill than that, prefill is queued only part of
  // the time; with more, decode is.
  const double both_prefill =
      rates.mixed_prefill_share * (1 - rates.mixed_penalty);
  const double both_decode =
      (1 - rates.mixed_prefill_share) * (1 - rates.mixed_penalty);
  if (prefill_part <= both_prefill) {
    return 1 - prefill_part / both_prefill * (1 - both_decode);
  }
  return std::max(0.0, (1 - prefill_part) / (1 - both_prefill) * both_decode);
}

double ServedFraction(const EngineRates& rates,
                      const RoleCounts& counts,
                      const TokenDemand& demand) noexcept {
  if (CanServe(rates, counts, demand, 1)) {
    return 1;
  }
  double low = 0;
  double high = 1;
  for (int i = 0; i < kHalvings; ++i) {
    const double middle = (low + high) / 2;
    (CanServe(rates, counts, demand, middle) ? low : high) = middle;
  }
  return low;
}

}  // namespace lynxglade::process
