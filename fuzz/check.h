// Helpers of the fuzz targets: checks that abort the run, and text input.
#ifndef LYNXGLADE_FUZZ_CHECK_H_
#define LYNXGLADE_FUZZ_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace lynxglade::fuzz {

// Aborts if `holds` is false; libFuzzer then reports the input.
inline void Check(bool holds, const char* what) {
  if (!holds) {
    std::fprintf(stderr, "check failed: %s\n", what);
    std::abort();
  }
}

inline std::string_view TextOf(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace lynxglade::fuzz

#endif  // LYNXGLADE_FUZZ_CHECK_H_
