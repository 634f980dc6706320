// A request that crashes its targets and keeps coming back, beside others.
#ifndef LYNXGLADE_REVIEW_STAND_INS_CRASHING_REQUEST_H_
#define LYNXGLADE_REVIEW_STAND_INS_CRASHING_REQUEST_H_

#include <functional>

#include "review/stand_ins/deployment.h"

namespace lynxglade::review {

struct CrashingRequestOptions {
  // Whether the machine of a target that crashed is dark until it is back.
  bool goes_dark = false;
  // Called before the first copy of the request is sent.
  std::function<void(Deployment&)> on_begin = {};
};

// Sends copies of the request, with new ids, to the first instance, and other
// requests beside them. Returns kBroken if it reached targets in more than
// three retries that were sent later than the stable window after the third
// crash.
int RunCrashingRequest(const CaseArguments& arguments,
                       const CrashingRequestOptions& options);

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_CRASHING_REQUEST_H_
