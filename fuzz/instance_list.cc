// The platform's instance list.
#include "connection/instance_list.h"
#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  lynxglade::connection::ParseInstanceTable(
      lynxglade::fuzz::TextOf(data, size));
  return 0;
}
