// What the fuzz targets share: checks that end the run, and typed input.
#ifndef LYNXGLADE_FUZZ_CHECK_H_
#define LYNXGLADE_FUZZ_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace lynxglade::fuzz {

// libFuzzer reports the input of a run that aborts.
inline void Check(bool holds, const char* what) {
  if (!holds) {
    std::fprintf(stderr, "broken: %s\n", what);
    std::abort();
  }
}

inline std::string_view TextOf(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace lynxglade::fuzz

#endif  // LYNXGLADE_FUZZ_CHECK_H_
