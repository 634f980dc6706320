// Change requests of operators: an applicable change yields a configuration
// that survives encoding and decoding.
#include "fuzz/check.h"
#include "version/change_request.h"
#include "version/configuration_codec.h"

namespace {

using namespace lynxglade;
using namespace lynxglade::version;

Configuration Sample() {
  Configuration configuration;
  configuration.revision = base::Revision(7);
  const base::ServiceName service("llm");
  configuration.services[service].name = service;
  Contract& contract = configuration.contracts[base::ContractId("archive")];
  contract.id = base::ContractId("archive");
  Intent intent;
  intent.service = service;
  intent.model = base::ModelName("m");
  intent.version = base::ModelVersion("1");
  intent.share = 0.5;
  contract.intents.push_back(intent);
  return configuration;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const Configuration sample = Sample();
  CodecFault fault;
  const auto statement = ParseChangeRequest(fuzz::TextOf(data, size), &fault);
  if (!statement) {
    fuzz::Check(fault.error != CodecError::kNone,
                "a rejected input has a reason");
    return 0;
  }
  Configuration changed = sample;
  if (!ApplyChangeRequest(*statement, &changed, &fault) ||
      !CheckConfiguration(changed, &fault)) {
    return 0;
  }
  const auto again = DecodeConfiguration(EncodeConfiguration(changed), &fault);
  fuzz::Check(again && *again == changed, "encoded data can be decoded");
  return 0;
}
