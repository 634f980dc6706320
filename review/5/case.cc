// Two of three machines are lost for good while a request that crashes its
// targets keeps coming back at the third.
#include "review/stand_ins/crashing_request.h"

namespace lynxglade::review {
namespace {

void LoseTwo(Deployment& deployment) {
  deployment.record().Write("the other two machines are lost");
  deployment.instance(1).Kill();
  deployment.instance(2).Kill();
}

}  // namespace
}  // namespace lynxglade::review

int main(int argc, char** argv) {
  using namespace lynxglade::review;
  const CaseArguments arguments = ParseArguments(argc, argv);
  CrashingRequestOptions options;
  if (arguments.trouble) {
    options.on_begin = LoseTwo;
  }
  return RunCrashingRequest(arguments, options);
}
