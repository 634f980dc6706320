#include "request/passthrough/named_limit.h"

#include <algorithm>

namespace lynxglade::request::passthrough {

std::string_view ToString(NamedLimit::Change change) noexcept {
  switch (change) {
    case NamedLimit::Change::kNone:
      return "none";
    case NamedLimit::Change::kNamed:
      return "named";
    case NamedLimit::Change::kRaised:
      return "raised";
    case NamedLimit::Change::kLowered:
      return "lowered";
    case NamedLimit::Change::kEnded:
      break;
  }
  return "ended";
}

NamedLimit::Change NamedLimit::Observe(const LimitStatement& statement,
                                       const AnswerTimes& times) {
  switch (statement.kind) {
    case LimitStatement::Kind::kNamed:
      return ObserveRate(statement.rate, times);
    case LimitStatement::Kind::kMalformed:
      return ObserveRate(rate_.value_or(base::PerSecond(0)), times);
    case LimitStatement::Kind::kNone:
      break;
  }
  if (!rate_ || times.sent_at < received_at_) {
    return Change::kNone;
  }
  rate_.reset();
  relaxed_by_ = times.sent_at;
  return Change::kEnded;
}

NamedLimit::Change NamedLimit::ObserveRate(base::PerSecond rate,
                                           const AnswerTimes& times) {
  const bool raises = rate_ && rate > *rate_;
  const bool is_outdated =
      raises ? times.sent_at < received_at_ : times.sent_at < relaxed_by_;
  if (is_outdated) {
    return Change::kNone;
  }
  Change change = Change::kNone;
  if (!rate_) {
    change = Change::kNamed;
  } else if (raises) {
    change = Change::kRaised;
    relaxed_by_ = times.sent_at;
  } else if (rate < *rate_) {
    change = Change::kLowered;
  }
  rate_ = rate;
  received_at_ = std::max(received_at_, times.received_at);
  return change;
}

}  // namespace lynxglade::request::passthrough
