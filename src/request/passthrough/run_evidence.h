// What shows whether a target ran a request: the evidence of one sending on one
// connection.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_RUN_EVIDENCE_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_RUN_EVIDENCE_H_

#include <string_view>

namespace lynxglade::request::passthrough {

enum class RunEvidence {
  // No byte of the request was sent.
  kNotSent,
  // Another process has the target's address and rejected the request.
  kMisdirected,
  // The target rejected the request and states that it did not run it.
  kRejected,
  // The target answered without such a statement.
  kAnswered,
  // The request was sent, and no answer to it arrived.
  kNoAnswer,
};

constexpr std::string_view ToString(RunEvidence evidence) noexcept {
  switch (evidence) {
    case RunEvidence::kNotSent:
      return "not_sent";
    case RunEvidence::kMisdirected:
      return "misdirected";
    case RunEvidence::kRejected:
      return "rejected";
    case RunEvidence::kAnswered:
      return "answered";
    case RunEvidence::kNoAnswer:
      break;
  }
  return "no_answer";
}

// Whether the request has not run at the target and will not. Without that it
// may have run.
constexpr bool ProvesNotRun(RunEvidence evidence) noexcept {
  return evidence == RunEvidence::kNotSent ||
         evidence == RunEvidence::kMisdirected ||
         evidence == RunEvidence::kRejected;
}

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_RUN_EVIDENCE_H_
