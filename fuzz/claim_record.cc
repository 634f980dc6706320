// Claim records read from the key-value service.
#include "request/claim_record.h"
#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace lynxglade;
  const auto record = request::DecodeClaimRecord(fuzz::TextOf(data, size));
  if (!record) {
    return 0;
  }
  fuzz::Check(!record->write_id.empty(), "a claim has a write id");
  fuzz::Check(record->outcome != base::Outcome::kNotRun,
              "no claim has the outcome not run");
  const std::string text = request::EncodeClaimRecord(*record);
  const auto again = request::DecodeClaimRecord(text);
  fuzz::Check(again.has_value(), "encoded data can be decoded");
  fuzz::Check(request::EncodeClaimRecord(*again) == text,
              "decoding and encoding again yields the same bytes");
  return 0;
}
