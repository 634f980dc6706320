// One chunk of a chunked HTTP body.
#ifndef LYNXGLADE_TESTS_CONNECTION_CHUNK_H_
#define LYNXGLADE_TESTS_CONNECTION_CHUNK_H_

#include <array>
#include <cstdio>
#include <string>

namespace lynxglade::tests {

inline std::string Chunk(const std::string& bytes) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx", bytes.size());
  return std::string(size.data()) + "\r\n" + bytes + "\r\n";
}

}  // namespace lynxglade::tests

#endif  // LYNXGLADE_TESTS_CONNECTION_CHUNK_H_
