#include "request/passthrough/answer_admission.h"

#include <algorithm>

namespace lynxglade::request::passthrough {

namespace {

// Before an answer has ended; the users' engines make a token in 0.7 to 5 ms.
constexpr double kPriorMsPerToken = 2;
// What one more answer changes of what is believed. Callers' estimates are
// right on average only, so many are needed.
constexpr double kStep = 0.05;

}  // namespace

void AnswerTimes::Learn(const base::ServiceName& service,
                        std::int64_t tokens,
                        base::Duration took) {
  if (tokens <= 0) {
    return;
  }
  double& ms =
      ms_per_token_.try_emplace(service, kPriorMsPerToken).first->second;
  ms += kStep * (base::ToFineMillis(took) / static_cast<double>(tokens) - ms);
}

base::Duration AnswerTimes::Expected(const base::ServiceName& service,
                                     std::int64_t tokens) const {
  const auto it = ms_per_token_.find(service);
  const double ms = it == ms_per_token_.end() ? kPriorMsPerToken : it->second;
  return base::FromFineMillis(ms * static_cast<double>(tokens));
}

bool IsLongAnswer(base::Duration expected,
                  base::Duration time_left,
                  const AnswerAdmissionOptions& options) noexcept {
  return expected > options.long_part * time_left;
}

bool IsFilled(const Engine& engine,
              base::Time now,
              const AnswerAdmissionOptions& options) noexcept {
  return KnownLoad(engine, now) >=
         options.most_filled * std::max(engine.entry.slots, 1);
}

}  // namespace lynxglade::request::passthrough
