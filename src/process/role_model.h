// Computes how much of a demand a given split of engine roles can serve.
//
// An analytic model of rates, without queues. A prefill or decode engine does
// one kind of work. A mixed engine does both and loses part of its rate while
// both run concurrently.
#ifndef LYNXGLADE_PROCESS_ROLE_MODEL_H_
#define LYNXGLADE_PROCESS_ROLE_MODEL_H_

#include "request/target.h"

namespace lynxglade::process {

// Tokens per second of one engine in its own role, and how a mixed engine
// divides its time.
struct EngineRates {
  double prefill_tokens_per_s = 12000;
  double decode_tokens_per_s = 1200;
  // Fraction of the time that prefill gets while both kinds of work are queued.
  double mixed_prefill_share = 0.7;
  // Fraction of both rates that is lost while both kinds run concurrently.
  double mixed_penalty = 0.3;
};

// Demand in tokens per second.
struct TokenDemand {
  double prefill = 0;
  double decode = 0;
};

// Number of engines in service by role.
struct RoleCounts {
  int prefill = 0;
  int decode = 0;
  int mixed = 0;

  int total() const noexcept { return prefill + decode + mixed; }
  // `role` must not be kPlain.
  int& Of(request::EngineRole role) noexcept;
  int Of(request::EngineRole role) const noexcept;

  bool operator==(const RoleCounts&) const = default;
};

// Fraction of its decode rate that a mixed engine has left while its prefill
// uses `prefill_part` of its prefill rate. Both are 0 to 1.
double MixedDecodeCapacity(const EngineRates& rates,
                           double prefill_part) noexcept;

// The largest fraction of `demand`, 0 to 1, that the engines can serve if each
// prompt served is also decoded. 1 when there is no demand.
double ServedFraction(const EngineRates& rates,
                      const RoleCounts& counts,
                      const TokenDemand& demand) noexcept;

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ROLE_MODEL_H_
